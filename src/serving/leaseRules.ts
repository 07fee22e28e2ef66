/**
 * Who may order engines. One lease row in the store names the holder and, on the store's steady clock,
 * the moment until which it may send orders. Answers holders that die, freeze, or are cut off while their
 * last order may still be on its way: a successor waits until none can be sent any more, and then the
 * time for which two holders must not take turns.
 *
 * A store that comes back from a copy may have lost the row of the last holder. A row of an era before says nothing of who
 * held the lease since, so a successor waits as long as that holder could have kept it: no renewal of an era before was
 * sent after this node first heard of the new one. The last holder itself may go on, as all others wait.
 */
import * as Schema from "effect/Schema";

/** The lease row's value. */
export const LeaseRow = Schema.Struct({
  holder: Schema.String,
  /** Where the holder runs: a new host under an old name is another holder. */
  ip: Schema.String,
  /** Grows with every holder. */
  token: Schema.Number,
  /** The holder sends no order after this, ms on the store's clock. */
  untilMs: Schema.Number,
  /** The era of the store in which it was written; absent in the first one. */
  era: Schema.optionalKey(Schema.Number),
  /**
   * Set when the holder gave the lease up: when it last ordered each engine, ms on the store's clock. A
   * successor needn't wait, but keeps its distance at each engine.
   */
  ordered: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
});
/** A decoded lease row. */
export type LeaseRow = typeof LeaseRow.Type;

/** Time a renewal is good for, ms: two and a half periods of renewal, so that one may be lost. */
export const leaseTtlMs = 2_000;
/** Period of renewal, ms. */
export const leaseRenewMs = 800;
/**
 * A write of an earlier era may be carried out late and replace the holder's row, if its condition holds by chance. The
 * holder has found out and written it again after this time, ms.
 */
const rewriteMs = 2 * leaseRenewMs;
/** How long after another holder's last order to an engine a successor may order it, ms. */
export function handoverDelayMs(leaseMs: number): number {
  return leaseMs + handoverSlackMs;
}

/** Kept between two holders beyond the platform's bound, ms: network delay of an order in flight. */
const handoverSlackMs = 300;

/** Who asks for the lease. */
export interface LeaseCandidate {
  readonly host: string;
  readonly ip: string;
}

/** A holder tells its peers that it gives the lease up, as it can't reach the store any more. */
export const LeaseYield = Schema.Struct({
  token: Schema.Number,
  /** Time since it last ordered each engine, ms; engines not named were left alone for long. */
  orderedAgoMs: Schema.Record(Schema.String, Schema.Number),
});
/** A decoded yield. */
export type LeaseYield = typeof LeaseYield.Type;

/** What a candidate knows of the lease. */
export interface LeaseView {
  readonly row: LeaseRow | undefined;
  /** The era in which the row was read, and the time for which this node has known of it, ms. */
  readonly era: number;
  readonly eraAgeMs: number;
  /** Time for which the candidate has known the row as it is, ms. */
  readonly unchangedMs: number;
  /** The candidate held the lease last, and so lately that nobody can have taken it in an era that is lost. */
  readonly heldLast: boolean;
  readonly storeNowMs: number;
}

/** Does the row tell who held the lease last, rather than come from a copy? */
export function isFromEra(row: LeaseRow | undefined, era: number): boolean {
  return era === 0 || row?.era === era;
}

/** Time until `candidate` may take the lease, ms; 0 if now. */
export function takeoverDelayMs(view: LeaseView, candidate: LeaseCandidate, leaseMs: number): number {
  const { row, era, eraAgeMs, unchangedMs, heldLast, storeNowMs } = view;
  if (!isFromEra(row, era)) {
    const lastOrderMs = leaseTtlMs + handoverDelayMs(leaseMs) - eraAgeMs;
    return heldLast ? 0 : Math.max(0, lastOrderMs, rewriteMs - unchangedMs);
  }
  if (row === undefined || row.ordered !== undefined || isSameHost(row, candidate)) return 0;
  return Math.max(0, row.untilMs + handoverDelayMs(leaseMs) - storeNowMs);
}

/** Tokens given out in one era, at most. */
const tokensPerEra = 2 ** 32;

/**
 * The token of the next holder. Guards "a token is given out twice": those given out in seconds that the store lost are
 * not in the row, so each era has tokens of its own, above those of all before.
 */
export function nextToken(row: LeaseRow | undefined, era: number): number {
  return Math.max(row?.token ?? 0, era * tokensPerEra) + 1;
}

/** Is this the same host, perhaps after a restart? */
export function isSameHost(row: LeaseRow, candidate: LeaseCandidate): boolean {
  return row.holder === candidate.host && row.ip === candidate.ip;
}

/**
 * The store's clock, never taken for earlier than it is: its reading was taken after the call was sent, so
 * reading plus the time since sending is at or past the true time.
 */
export class StoreClock {
  private readingMs = 0;
  private sentMs = Number.NEGATIVE_INFINITY;

  /** An answer to a call sent at `sentMs` carried `nowMs`. */
  update(nowMs: number, sentMs: number): void {
    this.readingMs = nowMs;
    this.sentMs = sentMs;
  }

  /** True once a reading was taken. */
  get known(): boolean {
    return this.sentMs > 0;
  }

  /** The store's time at `steadyMs` or a little later. */
  at(steadyMs: number): number {
    return this.readingMs + (steadyMs - this.sentMs);
  }

  /** The steady time, or a little earlier, at which the store's clock shows `storeMs`. */
  monotonicAt(storeMs: number): number {
    return this.sentMs + (storeMs - this.readingMs);
  }
}
