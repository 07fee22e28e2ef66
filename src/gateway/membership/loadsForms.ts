/** The forms of one load message: each is encoded once for all peers that read it. */
import * as rpc from "json-rpc-2.0";
import type { LoadsMessage } from "../../serving/loadTracker.ts";
import { encodeLoads, type LoadKeys } from "../../serving/zones/compactLoads.ts";
import type { CarriedPulse } from "../../serving/zones/briefFields.ts";

/** Encodes a notification. */
export function encodeNotification(method: string, params: unknown): Buffer {
  return Buffer.from(JSON.stringify(rpc.createJSONRPCNotification(method, params)));
}

/** What a peer understands, as its heartbeat states it. */
export interface PeerForms {
  readonly compactMessages?: boolean;
  readonly combinedMessages?: boolean;
}

/** One message in all its forms. */
export class LoadsForms {
  private readonly encoded = new Map<string, Buffer>();

  constructor(
    private readonly message: LoadsMessage,
    private readonly keys: LoadKeys,
    private readonly pulse: CarriedPulse | undefined,
  ) {}

  /** The message for a peer: in full if the peer reads no short form, with the heartbeat if `withPulse`. */
  encodedFor(peer: PeerForms | undefined, withPulse: boolean): Buffer {
    if (peer === undefined) return this.get("full", () => this.message);
    if (peer.combinedMessages !== true) return this.get("compact", () => this.compact());
    return withPulse
      ? this.get("with-pulse", () => ({ ...this.keyed(), pulse: this.pulse }))
      : this.get("keyed", () => this.keyed());
  }

  private get(form: string, create: () => unknown): Buffer {
    const known = this.encoded.get(form) ?? encodeNotification("loads", create());
    this.encoded.set(form, known);
    return known;
  }

  private compact(): LoadsMessage {
    return { ...this.message, loads: {}, compact: encodeLoads(this.message.loads, this.keys) };
  }

  private keyed(): LoadsMessage {
    const { decoding, answers, ...rest } = this.compact();
    return {
      ...rest,
      ...(decoding === undefined ? {} : { keyedDecoding: this.byKey(decoding) }),
      ...(answers === undefined ? {} : { keyedAnswers: this.byKey(answers) }),
    };
  }

  private byKey<T>(report: Readonly<Record<string, T>>): Record<string, T> {
    return Object.fromEntries(
      Object.entries(report).map(([incarnation, entry]) => [this.keys.keyOf(incarnation), entry]),
    );
  }
}
