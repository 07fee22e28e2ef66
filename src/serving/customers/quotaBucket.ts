/**
 * A customer's quota as one node knows it: a bucket that all nodes draw from. Reports of other nodes arrive late, so what
 * they used since their last report is estimated from their recent rate. Handles a customer whose demand multiplies
 * within a fraction of a second on all nodes at once.
 */
import type { Quota } from "./customer.ts";

/**
 * Part of the burst that counts as used where the use until now is unknown. Less would exceed the tolerance of a window if all
 * nodes started at the same moment; more would refuse callers that return after an outage.
 */
const unknownUseRatio = 0.5;
/** Time constant of the moving average of what other nodes use, ms. */
const rateWindowMs = 500;

/** Use of one quota over all nodes. */
export class QuotaBucket {
  private quota: Quota;
  /** What was used and hasn't drained yet; above the burst size while in debt. */
  private used: number;
  private drainedMs: number;
  /** When the bucket was last full, so that nothing used before still counted, ms. */
  private fullMs = Number.NEGATIVE_INFINITY;
  private currentShare = 1;
  private othersPerMs = 0;
  private othersUpdatedMs: number;

  /** Creates a bucket of which it isn't known what was used until now. */
  constructor(quota: Quota, nowMs: number) {
    this.quota = quota;
    this.used = unknownUseRatio * quota.burst;
    this.drainedMs = nowMs;
    this.othersUpdatedMs = nowMs;
  }

  /** Applies a changed quota: a raised burst is available at once, a lowered one leaves no debt. */
  resize(quota: Quota, nowMs: number): void {
    this.drain(nowMs);
    if (quota.burst < this.quota.burst) this.used = Math.min(this.used, quota.burst * this.share);
    this.quota = quota;
  }

  /** Share of the quota, from 0 to 1, that the nodes in contact with each other may use. */
  get share(): number {
    return this.currentShare;
  }

  /** Sets the share. */
  setShare(share: number, nowMs: number): void {
    if (share === this.share) return;
    this.drain(nowMs);
    this.used *= share / this.share;
    this.currentShare = share;
  }

  /** Forgets what is known, as in a new bucket. */
  reset(nowMs: number): void {
    this.used = Math.max(this.used, unknownUseRatio * this.quota.burst * this.share);
    this.drainedMs = nowMs;
    this.othersPerMs = 0;
    this.othersUpdatedMs = nowMs;
  }

  /** What can be used now, given that reports of other nodes are `lagMs` old on average; negative while in debt. */
  balance(nowMs: number, lagMs: number): number {
    this.drain(nowMs);
    return this.quota.burst * this.share - this.used - this.othersRateAt(nowMs) * lagMs;
  }

  /** Time until `amount` is available, ms. */
  refillMs(amount: number): number {
    return (amount / (this.quota.perS * this.share)) * 1_000;
  }

  /** Records use by this node. */
  charge(amount: number, nowMs: number): void {
    this.drain(nowMs);
    this.used += amount;
  }

  /** Takes back what this node charged at `chargedMs`; nothing if the bucket has been full since. */
  refund(amount: number, chargedMs: number, nowMs: number): boolean {
    this.drain(nowMs);
    if (chargedMs < this.fullMs) return false;
    this.used = Math.max(0, this.used - amount);
    return true;
  }

  /** Records use by another node, negative for refunds. */
  chargeOther(amount: number, nowMs: number): void {
    this.drain(nowMs);
    this.used = Math.max(0, this.used + amount);
    this.othersPerMs = Math.max(0, this.othersRateAt(nowMs) + amount / rateWindowMs);
    this.othersUpdatedMs = nowMs;
  }

  private othersRateAt(nowMs: number): number {
    return this.othersPerMs * Math.exp(-Math.max(0, nowMs - this.othersUpdatedMs) / rateWindowMs);
  }

  private drain(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.drainedMs);
    this.drainedMs = Math.max(this.drainedMs, nowMs);
    this.used -= (this.quota.perS * this.share * elapsedMs) / 1_000;
    if (this.used > 0) return;
    this.used = 0;
    this.fullMs = nowMs;
  }
}
