/**
 * Keeps customers to their quotas over all nodes. Each node admits by its own estimate of what all of them used, and
 * reports its use to the others together with its loads, so no request waits for a message. Nodes that lose contact with
 * a part of the others use only their share of the quota.
 */
import * as Schema from "effect/Schema";
import { quotaCost, type Customer, type Quota } from "./customer.ts";
import { QuotaBucket } from "./quotaBucket.ts";

/** Reports in which a change of use is repeated, as datagrams may be lost. */
const repeatedReports = 8;
/** A peer that was silent for longer may have used its share of the quota while it was out of contact, ms. */
const contactTimeoutMs = 1_600;
/**
 * Debt up to which requests are admitted, less a multiple of the average size of the route's requests. While the quota is
 * exhausted, the many small requests are served rather than a few large ones: refusing one of these makes room for ten.
 * It is a ratio of the tolerance, whose rest is for what other nodes use unseen, or else of the burst size.
 */
const maxDebtOfTolerance = 0.5;
const maxDebtOfBurst = 0.25;
const sizesReserved = 4;
/** How much more is reserved for each priority below the most urgent. */
const priorityStepRatio = 0.25;
/** Weight of a request in the average size of its route's requests. */
const sizeWeight = 0.05;
/** Number of routes whose average sizes are kept per customer; configurations may replace them all the time. */
const maxRoutes = 1_000;
/** Longest Retry-After of a customer over its quota, ms: one window of the demand that was refused. */
const maxRetryAfterMs = 8_000;

/** Use by one node, by customer: the total since its start, and what it used within the last few reports. */
export const QuotaReport = Schema.Struct({
  /** Increases with each start of the node's process. */
  boot: Schema.Number,
  used: Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number])),
});
/** A decoded report. */
export type QuotaReport = typeof QuotaReport.Type;

/** An admitted request's use of its customer's quota. */
export const QuotaCharge = Schema.Struct({
  customer: Schema.String,
  amount: Schema.Number,
  /** On the clock of the node that charged it. */
  atMs: Schema.Number,
});
/** A decoded charge. */
export type QuotaCharge = typeof QuotaCharge.Type;

/** Whether the quota has room for a request; `charge` is absent for customers without a quota. */
export const QuotaDecision = Schema.Union([
  Schema.Struct({ kind: Schema.Literal("admitted"), charge: Schema.optionalKey(QuotaCharge) }),
  Schema.Struct({ kind: Schema.Literal("refused"), retryAfterMs: Schema.Number, detail: Schema.String }),
]);
/** A decoded decision. */
export type QuotaDecision = typeof QuotaDecision.Type;

/** What the decision on a request depends on. */
export interface QuotaRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly route: string;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
}

/** How far the use within a window may exceed what the quota allows for it. */
export interface QuotaTolerance {
  readonly windowS: number;
  /** As a ratio of that. */
  readonly overage: number;
  /** In the unit of the quota, on top. */
  readonly slack: number;
}

/** Options of `Quotas`. */
export interface QuotasOptions {
  /** Identifies this start of the process. */
  readonly boot: number;
  /** Share of all quotas that this node and those in contact with it may use, from 0 to 1. */
  readonly share: () => number;
  /** Number of nodes that serve callers. */
  readonly nodeCount: () => number;
  /** Average age of the peers' reports, ms. */
  readonly reportAgeMs: () => number;
  /** Tolerance that operators state; requests within the limit of a window are refused less often with one. */
  readonly tolerance?: QuotaTolerance | undefined;
}

interface Account {
  quota: Quota;
  readonly bucket: QuotaBucket;
  total: number;
  /** Totals at the last reports, oldest first. */
  readonly reported: number[];
  /** Average size of requests, by route. */
  readonly sizes: Map<string, number>;
  /** Demand that was refused here and may return. */
  refused: number;
  refusedMs: number;
}

interface PeerUse {
  readonly boot: number;
  heardMs: number;
  readonly totals: Map<string, number>;
}

/** The quotas of all customers. */
export class Quotas {
  private readonly accounts = new Map<string, Account>();
  private readonly peers = new Map<string, PeerUse>();
  /** The process admitted nothing before its start, whenever the first configuration arrives. */
  private unknownUntilMs: number | undefined = 0;

  constructor(private readonly options: QuotasOptions) {}

  /** Applies the quotas of a configuration. */
  apply(customers: readonly Customer[], nowMs: number): void {
    const usedUntilMs = this.unknownUntilMs ?? nowMs;
    this.unknownUntilMs = undefined;
    const limited = new Map(customers.map(({ name, quota }) => [name, quota]));
    for (const name of this.accounts.keys()) if (limited.get(name) === undefined) this.accounts.delete(name);
    for (const [name, quota] of limited) {
      if (quota === undefined) continue;
      const known = this.accounts.get(name);
      if (known === undefined) this.accounts.set(name, newAccount(quota, usedUntilMs));
      else {
        known.quota = quota;
        known.bucket.resize(quota, nowMs);
        if (known.sizes.size > maxRoutes) known.sizes.clear();
      }
    }
  }

  /** Charges the request to the customer's quota, or refuses it if the quota is exhausted. */
  admit(customer: string, request: QuotaRequest, nowMs: number): QuotaDecision {
    const account = this.accounts.get(customer);
    if (account === undefined) return { kind: "admitted" };
    const amount = quotaCost(account.quota, request);
    const balance = this.balanceOf(account, nowMs);
    // A request larger than the burst size couldn't be admitted otherwise; the debt is repaid before the next one.
    const missing = -this.maxDebt(account, request, amount) - balance;
    if (missing >= 0) return this.refuse(account, amount, balance, missing, nowMs);
    account.bucket.charge(amount, nowMs);
    account.total += amount;
    return { kind: "admitted", charge: { customer, amount, atMs: nowMs } };
  }

  /** Returns the charge of a request that was not run. */
  refund({ customer, amount, atMs }: QuotaCharge, nowMs: number): void {
    const account = this.accounts.get(customer);
    if (account?.bucket.refund(amount, atMs, nowMs) === true) account.total -= amount;
  }

  /** What the customer can use now, over all nodes as far as known; undefined without a quota. */
  balance(customer: string, nowMs: number): number | undefined {
    const account = this.accounts.get(customer);
    return account === undefined ? undefined : this.balanceOf(account, nowMs);
  }

  /** The report to send now; undefined if nothing changed lately. Call it once per reporting period. */
  nextReport(): QuotaReport | undefined {
    const used: Record<string, [number, number]> = {};
    for (const [name, { total, reported }] of this.accounts) {
      const recent = total - (reported[0] ?? 0);
      const changed = reported.some((earlier) => earlier !== total);
      reported.push(total);
      if (reported.length > repeatedReports) reported.shift();
      if (changed) used[name] = [Math.round(total), Math.round(recent)];
    }
    return Object.keys(used).length === 0 ? undefined : { boot: this.options.boot, used };
  }

  /** Applies a peer's report. */
  applyReport(ip: string, { boot, used }: QuotaReport, nowMs: number): void {
    const known = this.peers.get(ip);
    const inContact = known !== undefined && nowMs - known.heardMs < contactTimeoutMs;
    // Late reports of an earlier process. A later start has a lower number if the wall clock was set back meanwhile.
    if (inContact && known.boot > boot) return;
    const peer = known?.boot === boot ? known : { boot, heardMs: nowMs, totals: new Map<string, number>() };
    this.peers.set(ip, peer);
    peer.heardMs = nowMs;
    for (const [name, [total, recent]] of Object.entries(used)) {
      const before = peer.totals.get(name);
      peer.totals.set(name, total);
      this.accounts
        .get(name)
        ?.bucket.chargeOther(before !== undefined && inContact ? total - before : recent, nowMs);
    }
  }

  /** The node was suspended, or didn't hear the others for another reason: what was used until now isn't known. */
  reset(nowMs: number): void {
    this.peers.clear();
    for (const { bucket } of this.accounts.values()) bucket.reset(nowMs);
  }

  private balanceOf({ bucket }: Account, nowMs: number): number {
    bucket.setShare(this.options.share(), nowMs);
    return bucket.balance(nowMs, this.options.reportAgeMs());
  }

  /** Debt up to which a request of its route is admitted; counts the request towards the average size. */
  private maxDebt(
    { quota, bucket, sizes }: Account,
    { route, priority }: QuotaRequest,
    amount: number,
  ): number {
    const known = sizes.get(route) ?? amount;
    const size = known + (amount - known) * sizeWeight;
    sizes.set(route, size);
    const reserved = sizesReserved * size * (1 + priorityStepRatio * Math.max(0, priority));
    return Math.max(0, bucket.share * this.debtLimit(quota) - reserved);
  }

  private debtLimit({ perS, burst }: Quota): number {
    const { tolerance } = this.options;
    if (tolerance === undefined) return maxDebtOfBurst * burst;
    const { windowS, overage, slack } = tolerance;
    return maxDebtOfTolerance * (overage * (perS * windowS + burst) + slack);
  }

  /**
   * The Retry-After grows with the demand that was refused, so that callers return at the rate at which the quota refills
   * rather than all at once.
   */
  private refuse(
    account: Account,
    amount: number,
    balance: number,
    missing: number,
    nowMs: number,
  ): QuotaDecision {
    const { bucket, quota } = account;
    const nodes = Math.max(1, this.options.nodeCount());
    const refilled = (quota.perS * Math.max(0, nowMs - account.refusedMs)) / 1_000 / nodes;
    account.refused = Math.max(0, account.refused - refilled);
    account.refusedMs = nowMs;
    const retryAfterMs = Math.min(
      maxRetryAfterMs,
      bucket.refillMs(missing) + bucket.refillMs(account.refused * nodes),
    );
    account.refused = Math.min(account.refused + amount, (quota.perS * maxRetryAfterMs) / 1_000 / nodes);
    const detail =
      `over its quota of ${quota.perS} ${quota.unit}/s, burst ${quota.burst}: ` +
      `the request counts ${amount}, balance ${Math.round(balance)}`;
    return { kind: "refused", retryAfterMs, detail };
  }
}

function newAccount(quota: Quota, nowMs: number): Account {
  const bucket = new QuotaBucket(quota, nowMs);
  return { quota, bucket, total: 0, reported: [0], sizes: new Map(), refused: 0, refusedMs: nowMs };
}
