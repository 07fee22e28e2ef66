/**
 * Short heartbeats: only what changes all the time, and which full heartbeat the rest is in. Full heartbeats are sent after
 * changes, on request, and every fourth time, or every sixteenth to nodes that ask for a full one that they lack.
 */
import { hashText, mixHash } from "../../common/textHash.ts";
import type { Heartbeat } from "../membership/peerTable.ts";
import { changingFields, type BriefPulse, type CarriedPulse } from "./briefFields.ts";

const changingFieldNames: ReadonlySet<string> = new Set(Object.keys(changingFields));
const omittedFields: ReadonlySet<string> = new Set([...changingFieldNames, "paces", "base"]);

/** A change is sent in this many full heartbeats, as datagrams may be lost. */
const fullSendsPerChange = 2;

/** Identifies the fields that short heartbeats leave out, except the measured prefill factors, which may be late. */
export function baseOf(heartbeat: Heartbeat): number {
  return mixHash(hashText(JSON.stringify(without(heartbeat, omittedFields))));
}

/** Prefill factors that differ from those sent before; undefined if none do. */
export function changedPaces(before: Heartbeat["paces"], now: Heartbeat["paces"]): Heartbeat["paces"] {
  const changed = Object.entries(now ?? {}).filter(([kind, [factor, count]]) => {
    const known = before?.[kind];
    return known?.[0] !== factor || known[1] !== count;
  });
  return changed.length === 0 ? undefined : Object.fromEntries(changed);
}

/** The short form of a heartbeat, for a message that has the node's address. */
export function carriedPulseOf(heartbeat: Heartbeat, base: number): CarriedPulse {
  const { boot, busy, steadyBusy, configurationAgeMs, readAgeMs, fleetRevision } = heartbeat;
  return {
    ...{ boot, base, fleetRevision, busy: rounded(busy) },
    ...(steadyBusy === undefined ? {} : { steadyBusy: rounded(steadyBusy) }),
    ...(configurationAgeMs === undefined ? {} : { configurationAgeMs }),
    ...(readAgeMs === undefined ? {} : { readAgeMs }),
  };
}

/** The short form of a heartbeat. */
export function briefOf(heartbeat: Heartbeat, base: number): BriefPulse {
  return { ip: heartbeat.ip, ...carriedPulseOf(heartbeat, base) };
}

function rounded(ratio: number): number {
  return Math.round(ratio * 1000) / 1000;
}

type UnchangingFields = Omit<Heartbeat, keyof typeof changingFields>;

/** Keeps what each peer was sent and has sent in full. */
export class BriefPulses {
  private readonly sent = new Map<string, { boot: number; base: number; fullSends: number }>();
  /** The last full heartbeat of each peer without the fields that short ones have. */
  private readonly received = new Map<string, UnchangingFields>();

  /** Whether the peer, in its present incarnation, was sent the full heartbeat often enough. */
  mayBeBrief(peer: { readonly ip: string; readonly boot: number }, base: number): boolean {
    const sent = this.sent.get(peer.ip);
    return sent?.boot === peer.boot && sent.base === base && sent.fullSends >= fullSendsPerChange;
  }

  /** The peer is sent a full heartbeat. */
  recordFullSend({ ip, boot }: { readonly ip: string; readonly boot: number }, base: number): void {
    const sent = this.sent.get(ip);
    const isSame = sent?.boot === boot && sent.base === base;
    this.sent.set(ip, { boot, base, fullSends: isSame ? sent.fullSends + 1 : 1 });
  }

  /** The peer lacks the full heartbeat: the next ones are full again. */
  forgetSends(ip: string): void {
    this.sent.delete(ip);
  }

  /** A peer sent a full heartbeat. */
  recordFull(heartbeat: Heartbeat): void {
    if (heartbeat.base !== undefined)
      this.received.set(heartbeat.ip, without(heartbeat, changingFieldNames) as UnchangingFields);
  }

  /** The full heartbeat that a short one stands for; undefined if its full one isn't known. */
  expand({ ip, boot, base, paces, ...changing }: BriefPulse): Heartbeat | undefined {
    const known = this.received.get(ip);
    if (known?.boot !== boot || known.base !== base) return undefined;
    const full = paces === undefined ? known : { ...known, paces: { ...known.paces, ...paces } };
    if (paces !== undefined) this.received.set(ip, full);
    // A field that the short heartbeat lacks no longer has a value.
    return { ...full, ...changing };
  }
}

function without(heartbeat: Heartbeat, names: ReadonlySet<string>): object {
  return Object.fromEntries(Object.entries(heartbeat).filter(([name]) => !names.has(name)));
}
