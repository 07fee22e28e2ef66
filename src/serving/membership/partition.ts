/**
 * The active nodes as they were before some of them were lost without notice, and the evidence of which lost ones still
 * serve callers. The share of customers' quotas for the nodes in contact with this one follows from it.
 */
import * as Schema from "effect/Schema";

/**
 * A lost node without evidence of life counts fully for this long, ms: longer than most partitions. With the store
 * reachable on both sides each side's row is evidence and this doesn't end.
 */
export const fullCountMs = 120_000;
/**
 * From then on it counts for `unconfirmedWeight`, until this time, ms. A part that the store doesn't answer looks the same
 * as a crash to the others, so it reduces its own use to the same weight: the sum stays within the quota.
 */
export const forgetMs = 1_800_000;
const unconfirmedWeight = 0.25;
/** A part without the store reduces its use this much before the others stop counting it fully, ms. */
const reductionLeadMs = 15_000;
/** Nodes rank themselves by address; each waits this long for the one before to write the row of the part, ms. */
const writerTurnMs = 6_000;
const maxWriterTurns = 3;

/** Two reports of the same evidence differ by the time they took, ms; later ones by less than this add nothing. */
const sameEvidenceMs = 1_000;
/** A node states what contradicts another's statement for this long, ms. */
const contradictionMs = 5_000;

/** What is known last of a node. */
const MemberState = Schema.Struct({
  /** Time since the evidence, ms. */
  ageMs: Schema.Number,
  /** It left, rather than being alive then: it said so to its part, or its row in the list of nodes is gone. */
  left: Schema.optionalKey(Schema.Literals(["announced", "removed"])),
});

/** What a node tells the others of its part, and part of the row in the store. */
export const PartitionStatement = Schema.Struct({
  /** The nodes that were active before the first loss. */
  members: Schema.Record(Schema.String, MemberState),
  /** Time since a node of this part wrote its row in the store, ms; absent if none could. */
  writtenAgeMs: Schema.optionalKey(Schema.Number),
});
/** A decoded statement. */
export type PartitionStatement = typeof PartitionStatement.Type;

/** A peer from which nothing is received any more, or is. */
export interface PartitionPeer {
  readonly ip: string;
  readonly heard: boolean;
  readonly lastHeardMs: number;
  /** Whether it accepts callers. */
  readonly ready: boolean;
  /** Since when it has been known as active, ms; absent if nothing was received from it itself. */
  readonly sinceMs?: number | undefined;
}

interface Evidence {
  readonly atMs: number;
  readonly left?: "announced" | "removed" | undefined;
}

/** The partition as one node knows it; empty while no peer is lost. */
export class Partition {
  private readonly members = new Map<string, Evidence>();
  /** Nodes that left, and when that was known, ms. */
  private readonly departed = new Map<string, number>();
  private heard = new Set<string>();
  private writtenMs: number | undefined;
  /** First loss of this partition, ms. */
  private sinceMs = 0;
  /** Until when to state `departed` nodes that another node still counts, ms. */
  private readonly contradictedUntilMs = new Map<string, number>();

  constructor(private readonly selfIp: string) {}

  /** Whether any node counts as lost; `observe` the peers first. */
  get active(): boolean {
    return this.members.size > 0;
  }

  /** Applies which peers are heard now. */
  observe(peers: readonly PartitionPeer[], nowMs: number): void {
    this.heard = new Set(peers.filter(({ heard }) => heard).map(({ ip }) => ip));
    // Later losses of nodes that became active since the first one don't change what the parts divide.
    if (!this.active) this.begin(peers, nowMs);
    if (!this.active) return;
    for (const { ip, heard, ready, lastHeardMs } of peers) {
      if (heard) this.departed.delete(ip);
      const known = this.members.get(ip);
      if (known === undefined) continue;
      if (heard || known.atMs < lastHeardMs) this.members.set(ip, { atMs: lastHeardMs });
      if (!heard && !ready) this.record(ip, { atMs: lastHeardMs, left: "announced" });
    }
    this.endIfWhole(nowMs);
  }

  /** The node has stopped, or doesn't accept callers any more. */
  recordLeft(ip: string, nowMs: number, left: "announced" | "removed" = "announced"): void {
    for (const [other, atMs] of this.departed) if (nowMs - atMs >= forgetMs) this.departed.delete(other);
    this.departed.set(ip, nowMs);
    this.record(ip, { atMs: nowMs, left });
  }

  /**
   * The node's row is gone from the list of nodes: it stopped in order. If it is started again in its part it hears no one
   * who could tell it of the partition, so the partition's row is kept for it for some time.
   */
  recordRemoved(ip: string, nowMs: number): void {
    this.recordLeft(ip, nowMs, "removed");
  }

  /** The node was alive at this time, according to the row of another part. */
  recordAlive(ip: string, atMs: number): void {
    this.record(ip, { atMs });
  }

  /** A node of this part wrote its row in the store. */
  recordWritten(atMs: number): void {
    this.writtenMs = Math.max(this.writtenMs ?? Number.NEGATIVE_INFINITY, atMs);
  }

  /** Applies what a node of this part knows; a node that was started during the partition learns of it in this way. */
  adopt({ members, writtenAgeMs }: PartitionStatement, nowMs: number): void {
    const isNew = !this.active;
    for (const [ip, { ageMs, left }] of Object.entries(members)) {
      const evidence = { atMs: nowMs - ageMs, left };
      const departedMs = this.departed.get(ip) ?? Number.NEGATIVE_INFINITY;
      if (left === undefined && ageMs > 0 && evidence.atMs < departedMs)
        this.contradictedUntilMs.set(ip, nowMs + contradictionMs);
      if (isNew)
        this.members.set(ip, departedMs > evidence.atMs ? { atMs: departedMs, left: "announced" } : evidence);
      else if (evidence.atMs > (this.members.get(ip)?.atMs ?? Infinity) + sameEvidenceMs)
        this.record(ip, evidence);
    }
    if (isNew) this.sinceMs = Math.min(nowMs, ...this.lost(nowMs).map(({ aliveMs }) => aliveMs));
    this.endIfWhole(nowMs);
    if (!this.active || writtenAgeMs === undefined) return;
    const writtenMs = nowMs - writtenAgeMs;
    if (this.writtenMs === undefined || writtenMs > this.writtenMs + sameEvidenceMs)
      this.recordWritten(writtenMs);
  }

  /** What to tell the others; undefined while no peer is lost. */
  statement(nowMs: number): PartitionStatement | undefined {
    const members: Record<string, typeof MemberState.Type> = {};
    for (const [ip, untilMs] of this.contradictedUntilMs) {
      const leftMs = this.departed.get(ip);
      if (leftMs === undefined || nowMs > untilMs) this.contradictedUntilMs.delete(ip);
      else members[ip] = { ageMs: Math.round(nowMs - leftMs), left: "announced" };
    }
    for (const [ip, { atMs, left }] of this.members) {
      const isPresent = ip === this.selfIp || this.heard.has(ip);
      if (isPresent) members[ip] = { ageMs: 0 };
      else members[ip] = { ageMs: Math.round(nowMs - atMs), ...(left === undefined ? {} : { left }) };
    }
    if (Object.keys(members).length === 0) return undefined;
    const writtenAgeMs = this.writtenMs === undefined ? undefined : Math.round(nowMs - this.writtenMs);
    return { members, ...(writtenAgeMs === undefined ? {} : { writtenAgeMs }) };
  }

  /** Share of the quotas that this node and those it hears may use together, from 0 to 1. */
  share(nowMs: number): number {
    const lost = this.lost(nowMs);
    if (lost.length === 0) return 1;
    const whole = this.members.size;
    // A node that became active since has no part of its own, but its callers are served.
    // What nodes of another part leave goes to that part.
    const elsewhere = [...this.members.values()].filter(({ left }) => left === "removed").length;
    const own = Math.max(1, whole - lost.length - elsewhere);
    const unwrittenMs = nowMs - (this.writtenMs ?? this.sinceMs);
    if (unwrittenMs > fullCountMs - reductionLeadMs) return (unconfirmedWeight * own) / whole;
    const counted = lost.reduce(
      (sum, { aliveMs }) => sum + (nowMs - aliveMs < fullCountMs ? 1 : unconfirmedWeight),
      elsewhere,
    );
    return Math.max(own, whole - counted) / whole;
  }

  /** Members that aren't heard and may be alive. */
  lost(nowMs: number): { readonly ip: string; readonly aliveMs: number }[] {
    return [...this.members]
      .filter(
        ([ip, { atMs, left }]) =>
          ip !== this.selfIp && !this.heard.has(ip) && left === undefined && nowMs - atMs < forgetMs,
      )
      .map(([ip, { atMs }]) => ({ ip, aliveMs: atMs }));
  }

  /** The nodes of this part. */
  get part(): readonly string[] {
    return [this.selfIp, ...this.heard];
  }

  /**
   * Whether this node writes the row of its part now, or reads those of others if it knows of no partition: the first one by
   * address, or the next if that one can't. `activeSinceMs`: since when this node is active.
   */
  writes(nowMs: number, activeSinceMs: number): boolean {
    const rank = [...this.heard].filter((ip) => ip < this.selfIp).length;
    if (rank === 0) return true;
    const turnsFromMs = this.active ? Math.max(this.writtenMs ?? 0, this.sinceMs) : activeSinceMs;
    return rank <= maxWriterTurns && nowMs - turnsFromMs > rank * writerTurnMs;
  }

  private begin(peers: readonly PartitionPeer[], nowMs: number): void {
    // Of peers known from rosters alone nothing has been received yet.
    const lost = peers.filter(
      ({ ip, heard, ready, sinceMs, lastHeardMs }) =>
        !heard &&
        ready &&
        sinceMs !== undefined &&
        nowMs - lastHeardMs < forgetMs &&
        lastHeardMs > (this.departed.get(ip) ?? Number.NEGATIVE_INFINITY),
    );
    if (lost.length === 0) return;
    const firstLossMs = Math.min(...lost.map(({ lastHeardMs }) => lastHeardMs));
    const before = peers.filter(({ heard, sinceMs = nowMs }) => heard && sinceMs <= firstLossMs);
    for (const { ip, lastHeardMs } of [...before, ...lost]) this.members.set(ip, { atMs: lastHeardMs });
    this.members.set(this.selfIp, { atMs: nowMs });
    this.sinceMs = firstLossMs;
  }

  /** Keeps the latest evidence of a member. */
  private record(ip: string, evidence: Evidence): void {
    const known = this.members.get(ip);
    if (known === undefined || evidence.atMs < known.atMs) return;
    if (known.left === undefined || evidence.left === undefined) this.members.set(ip, evidence);
  }

  private endIfWhole(nowMs: number): void {
    if (this.lost(nowMs).length > 0) return;
    const states = [...this.members];
    if (states.some(([, { atMs, left }]) => left === "removed" && nowMs - atMs < fullCountMs)) return;
    for (const [ip, { atMs, left }] of states) if (left !== undefined) this.departed.set(ip, atMs);
    this.members.clear();
    this.writtenMs = undefined;
  }
}
