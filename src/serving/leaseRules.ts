/**
 * Rules of the lease that permits one node to send orders to engines. A row in the store names the holder and
 * the time, on the store's monotonic clock, until which it may send orders. Handles holders that crash, are
 * suspended, or are partitioned while their last order may still be in transit: a successor waits until no
 * more orders can be sent, and then for the handover delay.
 *
 * A store restored from a backup may have lost the row of the last holder. A row of an earlier era doesn't
 * tell who has held the lease since, so a successor waits as long as that holder could have kept it: no
 * renewal in an earlier era was sent after this node first learned of the new one. The last holder itself may
 * continue, as all others wait.
 */
import * as Schema from "effect/Schema";

/** Value of the lease row. */
export const LeaseRow = Schema.Struct({
  holder: Schema.String,
  /** IP of the holder: a new host that reuses a name is a different holder. */
  ip: Schema.String,
  /** Fencing token, which grows with every holder. */
  token: Schema.Number,
  /** The holder sends no order after this time, ms on the store's clock. */
  untilMs: Schema.Number,
  /** The store's era in which it was written; absent in the first era. */
  era: Schema.optionalKey(Schema.Number),
  /**
   * Set when the holder released the lease: the time of its last order to each engine, ms on the store's
   * clock. A successor may take the lease at once, but keeps the handover delay at each engine.
   */
  ordered: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
});
/** A decoded lease row. */
export type LeaseRow = typeof LeaseRow.Type;

/** Lifetime of a renewal, ms: two and a half renewal periods, so that one renewal may be lost. */
export const leaseTtlMs = 2_000;
/** Renewal period, ms. */
export const leaseRenewMs = 800;
/**
 * A delayed write from an earlier era may replace the holder's row if its condition happens to hold. The
 * holder has noticed and restored the row after this time, ms.
 */
const rowRestoreMs = 2 * leaseRenewMs;
/** Time after another holder's last order to an engine until a successor may send it one, ms. */
export function handoverDelayMs(leaseMs: number): number {
  return leaseMs + handoverMarginMs;
}

/** Added to the platform's lease bound, ms: network delay of an order in transit. */
const handoverMarginMs = 300;

/** A node that asks for the lease. */
export interface LeaseCandidate {
  readonly host: string;
  readonly ip: string;
}

/** Sent to peers by a holder that releases the lease because it can't reach the store any more. */
export const LeaseYield = Schema.Struct({
  token: Schema.Number,
  /** Time since its last order to each engine, ms; engines not named had no recent order. */
  orderedAgoMs: Schema.Record(Schema.String, Schema.Number),
});
/** A decoded yield. */
export type LeaseYield = typeof LeaseYield.Type;

/** What a candidate knows about the lease. */
export interface LeaseView {
  readonly row: LeaseRow | undefined;
  /** The era in which the row was read, and for how long this node has known of that era, ms. */
  readonly era: number;
  readonly eraAgeMs: number;
  /** Time since the candidate first saw the row in its current state, ms. */
  readonly unchangedMs: number;
  /**
   * Whether the candidate was the last holder, so recently that nobody can have taken the lease in an era that was
   * lost.
   */
  readonly heldLast: boolean;
  readonly storeNowMs: number;
}

/** Whether the row was written in the current era rather than restored from a backup. */
export function isFromEra(row: LeaseRow | undefined, era: number): boolean {
  return era === 0 || row?.era === era;
}

/** Time until `candidate` may take the lease, ms; 0 if now. */
export function takeoverDelayMs(view: LeaseView, candidate: LeaseCandidate, leaseMs: number): number {
  const { row, era, eraAgeMs, unchangedMs, heldLast, storeNowMs } = view;
  if (!isFromEra(row, era)) {
    const lastOrderMs = leaseTtlMs + handoverDelayMs(leaseMs) - eraAgeMs;
    return heldLast ? 0 : Math.max(0, lastOrderMs, rowRestoreMs - unchangedMs);
  }
  if (row === undefined || row.ordered !== undefined || isSameHost(row, candidate)) return 0;
  return Math.max(0, row.untilMs + handoverDelayMs(leaseMs) - storeNowMs);
}

/** Maximum number of tokens per era. */
const tokensPerEra = 2 ** 32;

/**
 * The token of the next holder. Prevents a token from being issued twice: tokens issued in the writes that
 * the store lost are missing from the row, so each era has its own range above those of all earlier eras.
 */
export function nextToken(row: LeaseRow | undefined, era: number): number {
  return Math.max(row?.token ?? 0, era * tokensPerEra) + 1;
}

/** Whether the candidate is the host that the row names as the holder, possibly after a restart. */
export function isSameHost(row: LeaseRow, candidate: LeaseCandidate): boolean {
  return row.holder === candidate.host && row.ip === candidate.ip;
}

/**
 * Estimate of the store's clock that is never behind it: the reading was taken after the call was sent, so
 * the reading plus the time since sending is at or past the true time.
 */
export class StoreClock {
  private readingMs = 0;
  private sentMs = Number.NEGATIVE_INFINITY;

  /** The response to a call sent at `sentMs` carried the store's time `nowMs`. */
  update(nowMs: number, sentMs: number): void {
    this.readingMs = nowMs;
    this.sentMs = sentMs;
  }

  /** True after the first reading. */
  get known(): boolean {
    return this.sentMs > 0;
  }

  /** The store's time at the local monotonic time `monotonicMs`, or slightly later. */
  at(monotonicMs: number): number {
    return this.readingMs + (monotonicMs - this.sentMs);
  }

  /** The local monotonic time at which the store's clock shows `storeMs`, or slightly earlier. */
  monotonicAt(storeMs: number): number {
    return this.sentMs + (storeMs - this.readingMs);
  }
}
