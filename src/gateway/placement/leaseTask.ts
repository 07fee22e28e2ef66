/** Takes, renews and gives up the placement lease, so that only one node at a time sends orders to engines. */
import { decodeEither } from "../../common/decode.ts";
import { toFailure } from "../../common/errors.ts";
import { Emitter } from "../../common/emitter.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import { ClockJumpDetector, readClocks } from "../../serving/clockJumpDetector.ts";
import {
  handoverDelayMs,
  isFromEra,
  isSameHost,
  LeaseRow,
  leaseRenewMs,
  leaseTtlMs,
  nextToken,
  StoreClock,
  takeoverDelayMs,
  LeaseYield,
  type LeaseCandidate,
} from "../../serving/leaseRules.ts";
import { storeRetryMs } from "../../serving/membership/storeReaders.ts";
import type { RowSet, Store } from "../../serving/store.ts";
import { absentAt, formatPosition, type StorePosition } from "../../serving/storePosition.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import type { StoreHealth } from "../store/storeHealth.ts";

const table = "parsleynotch";
const key = "placement";
/** Period of checks, ms. */
const periodMs = 200;
/** Time without a heartbeat of a lease holder after which the row is read, ms. */
const holderTimeoutMs = 900;
/** Range of the random delay of attempts to take the lease, ms: one node wins, and the others receive its heartbeat. */
const maxJitterMs = 500;
/** Timeout of a write, ms: a holder that can't reach the store finds out within it, and yields the lease. */
const writeTimeoutMs = 500;
/** Orders stop this long before the lease expires, ms: the time that an order may be in transit. */
const orderMarginMs = 100;

/** Options of a `LeaseTask`. */
export interface LeaseTaskOptions {
  readonly store: Store;
  readonly storeHealth: StoreHealth;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly self: LeaseCandidate;
  /** Minimum time between orders of two holders to the same engine, ms. */
  readonly leaseMs: number;
  /** Whether this node may hold the lease; standby nodes may not. */
  readonly eligible: () => boolean;
  /** Whether heartbeats of a lease holder are received. */
  readonly holderAlive: () => boolean;
  /** Whether the store answers any peer. */
  readonly storeReachableByPeers: () => boolean;
  /** Number of nodes that read the store like this one while it answers nobody. */
  readonly retryingNodes: () => number;
  /** Sends the message to all peers. */
  readonly broadcastYield: (message: LeaseYield) => void;
}

interface LeaseRowRead {
  /** Position of the row, or of its absence. */
  readonly position: StorePosition;
  readonly value: LeaseRow | undefined;
}

interface HeldLease {
  readonly token: number;
  /** When the lease expires, on the monotonic clock, ms; no order is sent after it. */
  readonly untilMs: number;
}

/** Owns this node's state of the lease. */
export class LeaseTask extends PeriodicTask {
  /** Fired with true when this node becomes the holder, with false when it loses the lease. */
  readonly changed = new Emitter<boolean>();
  private held: HeldLease | undefined;
  private readonly storeClock = new StoreClock();
  private readonly jumpDetector = new ClockJumpDetector();
  /** The row as last read or written; its value is undefined if the row is absent. Undefined while the state is unknown. */
  private lastRead: LeaseRowRead | undefined;
  /** When the row was first seen in its present version, ms. */
  private unchangedSinceMs = Number.NEGATIVE_INFINITY;
  private unchangedRow = "";
  /** Until then this node is known to be the last holder, whatever writes the store has lost, ms. */
  private heldLastUntilMs = Number.NEGATIVE_INFINITY;
  private renewedMs = 0;
  private holderMissingSinceMs: number | undefined;
  private nextReadMs = 0;
  /** When this node last sent an order to each engine, on the monotonic clock, ms. */
  private readonly lastOrderMs = new Map<string, number>();
  /** Until when this node may not order an engine, as an earlier holder ordered it recently, ms. */
  private blockedUntilMs = new Map<string, number>();
  /** The last yield received, and when. */
  private lastYield: { readonly message: LeaseYield; readonly atMs: number } | undefined;
  private stopping = false;
  /** The lease is being given up: no more orders are sent. */
  private steppingDown = false;
  private readAtStart = false;

  constructor(private readonly options: LeaseTaskOptions) {
    super("lease", periodMs, options.log);
    options.store.eras.changed.on(() => {
      this.onEraChange();
    });
  }

  /** Returns the fencing token if an order may be sent to the engine now, and records the order as sent; else undefined. */
  tokenForOrder(serverId: string): number | undefined {
    this.checkForClockJump();
    const now = performance.now();
    if (this.held === undefined || !this.holding || !this.mayOrder(serverId)) return undefined;
    this.lastOrderMs.set(serverId, now);
    return this.held.token;
  }

  /** Whether enough time has passed since earlier holders' orders to the engine. */
  mayOrder(serverId: string): boolean {
    return performance.now() >= (this.blockedUntilMs.get(serverId) ?? 0);
  }

  /** A holder yields a lease that it can't renew, so there is no need to wait until it expires. */
  onYield(params: unknown): boolean {
    return decodeEither(LeaseYield, params)
      .ifLeft((failure) => this.options.log.warn({ event: "peer-message-rejected", detail: failure.message }))
      .map((message) => {
        this.lastYield = { message, atMs: performance.now() };
        this.nextReadMs = 0;
        this.holderMissingSinceMs = performance.now() - holderTimeoutMs + Math.random() * maxJitterMs * 0.3;
        return true;
      })
      .orDefault(false);
  }

  /** Whether this node holds the lease; reading it doesn't count as an order. */
  get holding(): boolean {
    if (this.stopping || this.steppingDown) return false;
    return this.held !== undefined && performance.now() < this.held.untilMs - orderMarginMs;
  }

  /** The token while the lease is held, for heartbeats. */
  get currentToken(): number | undefined {
    return this.holding ? this.held?.token : undefined;
  }

  /** Gives up the lease for good, so that a successor takes it as early as the handover delay allows. */
  async release(): Promise<void> {
    this.stopping = true;
    await this.stepDown();
  }

  /** Gives up the lease, so that a successor takes it as early as the handover delay allows. */
  async stepDown(): Promise<void> {
    if (this.held === undefined || this.steppingDown) return;
    this.steppingDown = true;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    if (this.lastRead?.value !== undefined)
      await this.writeRelease(this.lastRead.position, this.lastRead.value);
    this.markLost("released");
    this.steppingDown = false;
  }

  private async writeRelease(expected: StorePosition, row: LeaseRow): Promise<void> {
    const ordered = Object.fromEntries(
      [...this.lastOrderTimes()].map(([id, ms]) => [id, Math.ceil(this.storeClock.at(ms))]),
    );
    const value = { ...row, untilMs: Math.ceil(this.storeClock.at(performance.now())), ordered };
    try {
      await this.options.store.commit([{ table, key, value: JSON.stringify(value), expected }]);
      this.options.log.info({ event: "lease-released", token: value.token });
    } catch (error) {
      this.options.log.warn({ event: "lease-release-failed", detail: toFailure(error).message });
    }
  }

  override async step(): Promise<void> {
    this.checkForClockJump();
    if (this.stopping || this.steppingDown) return;
    const now = performance.now();
    if (this.held !== undefined && now > this.held.untilMs) this.markLost("not renewed in time");
    if (this.held === undefined) {
      await this.takeIfFree(now);
      return;
    }
    if (this.lastRead === undefined && now >= this.nextReadMs) await this.resolveFromRow();
    await this.renewIfDue(now);
  }

  private async renewIfDue(now: number): Promise<void> {
    if (this.held === undefined || this.lastRead === undefined) return;
    const { value, position } = this.lastRead;
    if (!isFromEra(value, position.era)) await this.write(this.lastRead, nextToken(value, position.era));
    else if (now - this.renewedMs >= leaseRenewMs) await this.write(this.lastRead, this.held.token);
  }

  /**
   * The store was restored from a backup: its row may name another holder, and another node may be waiting for the lease
   * already. A holder renews at once, with a token of the new era.
   */
  private onEraChange(): void {
    this.lastRead = undefined;
    this.nextReadMs = 0;
    this.lastYield = undefined;
  }

  /**
   * Prevents two nodes from ordering the same engine: after a suspension of the host, a lease that expired meanwhile looks
   * valid, as the monotonic clock stood still too. The wall clock shows the suspension, and the lease is dropped.
   */
  private checkForClockJump(): void {
    if (!this.jumpDetector.detectJump(readClocks())) return;
    this.lastRead = undefined;
    this.nextReadMs = 0;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    if (this.held !== undefined) this.markLost("host was suspended");
  }

  /**
   * Reads the row once after the process has started: a host that held the lease takes it back at once, as no other node
   * may send orders before it expires. After all nodes were killed together, orders start 1.2 s sooner.
   */
  private async readOnceAtStart(): Promise<void> {
    this.readAtStart = true;
    const found = await this.readRow();
    if (found?.value === undefined || !isSameHost(found.value, this.options.self)) return;
    if (isFromEra(found.value, found.position.era)) this.holderMissingSinceMs = Number.NEGATIVE_INFINITY;
  }

  private async takeIfFree(now: number): Promise<void> {
    if (!this.options.eligible() || this.options.holderAlive()) {
      this.holderMissingSinceMs = undefined;
      return;
    }
    this.holderMissingSinceMs ??= now + Math.random() * maxJitterMs;
    if (!this.readAtStart) await this.readOnceAtStart();
    if (now - this.holderMissingSinceMs < holderTimeoutMs || now < this.nextReadMs) return;
    const found = await this.readRow();
    if (found === undefined) {
      // While the store answers nobody, all active nodes try to take the lease.
      this.nextReadMs = performance.now() + storeRetryMs(this.options.retryingNodes(), Math.random());
      return;
    }
    const waitMs = this.takeoverDelay(found);
    if (waitMs > 0 && !this.isYielded(found)) {
      this.nextReadMs = performance.now() + waitMs + Math.random() * maxJitterMs;
      return;
    }
    await this.write(found, nextToken(found.value, found.position.era));
  }

  /** Whether the holder that the row names has yielded the lease; a row of an earlier era may not name the last holder. */
  private isYielded({ position: { era }, value }: LeaseRowRead): boolean {
    return value !== undefined && isFromEra(value, era) && this.lastYield?.message.token === value.token;
  }

  private takeoverDelay({ position: { era }, value }: LeaseRowRead): number {
    const now = performance.now();
    const view = {
      row: value,
      era,
      eraAgeMs: now - this.options.store.eras.sinceMs,
      unchangedMs: now - this.unchangedSinceMs,
      heldLast: now < this.heldLastUntilMs,
      storeNowMs: this.storeClock.at(now),
    };
    return takeoverDelayMs(view, this.options.self, this.options.leaseMs);
  }

  /** Reads the row; undefined if the store doesn't answer, even if the row was read before. */
  private async readRow(): Promise<LeaseRowRead | undefined> {
    const sentMs = performance.now();
    this.lastRead = undefined;
    try {
      this.applyRead(await this.options.store.get(table, key), sentMs);
    } catch (error) {
      this.recordFailure(error);
    }
    return this.lastRead;
  }

  private applyRead(set: RowSet, sentMs: number): void {
    this.options.storeHealth.recordSuccess();
    this.storeClock.update(set.nowMs, sentMs);
    const found = set.rows.find((row) => row.key === key);
    this.recordRowChange(found?.position ?? absentAt(set.position));
    if (found === undefined) {
      this.lastRead = { position: absentAt(set.position), value: undefined };
      return;
    }
    decodeEither(LeaseRow, JSON.parse(found.value))
      .ifLeft((failure) => this.options.log.error({ event: "lease-row-rejected", detail: failure.message }))
      .ifRight((value) => {
        this.lastRead = { position: found.position, value };
      });
  }

  private recordRowChange(position: StorePosition): void {
    const row = formatPosition(position);
    if (row === this.unchangedRow) return;
    this.unchangedRow = row;
    this.unchangedSinceMs = performance.now();
  }

  /** Takes or renews the lease with `token`, provided that the row is still as it was read. */
  private async write({ position, value: previous }: LeaseRowRead, token: number): Promise<void> {
    const { store, self, log } = this.options;
    // The store's clock is known: the row was read before the lease was taken.
    const sentMs = performance.now();
    const { era } = position;
    const value = {
      holder: self.host,
      ip: self.ip,
      token,
      untilMs: Math.ceil(this.storeClock.at(sentMs) + leaseTtlMs),
      ...(era === 0 ? {} : { era }),
    };
    this.renewedMs = sentMs;
    try {
      const receipt = await store.commit([{ table, key, value: JSON.stringify(value), expected: position }], {
        timeoutMs: writeTimeoutMs,
      });
      this.options.storeHealth.recordSuccess();
      this.storeClock.update(receipt.nowMs, sentMs);
      this.lastRead = { position: receipt.position, value };
      if (this.jumpDetector.detectJump(readClocks())) {
        this.markLost("host was suspended");
        return;
      }
      this.markHeld({ token, untilMs: sentMs + leaseTtlMs }, previous, era);
    } catch (error) {
      const kind = this.recordFailure(error);
      log.info({ event: "lease-write-failed", token, era, kind });
      if (kind !== "conflict") this.yieldIfPeersReachStore();
      await this.resolveFromRow();
    }
  }

  /** After a failed write, which may have been executed, or if another node may hold the lease, the row decides. */
  private async resolveFromRow(): Promise<void> {
    const found = await this.readRow();
    this.nextReadMs = performance.now() + maxJitterMs * Math.random();
    if (found === undefined) {
      this.yieldIfPeersReachStore();
      return;
    }
    const { value, position } = found;
    if (!isFromEra(value, position.era)) return;
    if (value !== undefined && isSameHost(value, this.options.self)) return;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    this.markLost("taken by another node");
  }

  /** Yields if the store answers peers, so that one of them can take over. */
  private yieldIfPeersReachStore(): void {
    if (this.options.storeReachableByPeers()) this.yieldLease();
  }

  /** Gives up the lease without the store: a peer that reaches the store can take over at once. */
  private yieldLease(): void {
    if (this.held === undefined) return;
    const now = performance.now();
    const { token } = this.held;
    this.markLost("store unreachable");
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    const orderedAgoMs = Object.fromEntries(
      [...this.lastOrderTimes()].map(([id, ms]) => [id, Math.floor(now - ms)]),
    );
    this.options.broadcastYield({ token, orderedAgoMs });
  }

  /**
   * When this node or an earlier holder last ordered each engine. Earlier holders count, as a third holder would otherwise
   * follow the first too closely: the second may step down before it has ordered an engine that the first ordered just
   * before.
   */
  private lastOrderTimes(): Map<string, number> {
    const delayMs = handoverDelayMs(this.options.leaseMs);
    const orders = new Map([...this.blockedUntilMs].map(([id, untilMs]) => [id, untilMs - delayMs]));
    for (const [id, ms] of this.lastOrderMs) orders.set(id, Math.max(ms, orders.get(id) ?? ms));
    return orders;
  }

  /** Blocks engines that earlier holders ordered recently until the handover delay has passed. */
  private applyEarlierOrders(previous: LeaseRow | undefined): void {
    const now = performance.now();
    const delayMs = handoverDelayMs(this.options.leaseMs);
    if (previous === undefined || isSameHost(previous, this.options.self)) return;
    this.blockedUntilMs = new Map();
    for (const [id, storeMs] of Object.entries(previous.ordered ?? {})) {
      this.blockedUntilMs.set(id, this.storeClock.monotonicAt(storeMs) + delayMs);
    }
    if (this.lastYield?.message.token !== previous.token) return;
    const { message, atMs } = this.lastYield;
    for (const [id, agoMs] of Object.entries(message.orderedAgoMs)) {
      if (agoMs < delayMs) this.blockedUntilMs.set(id, Math.max(now, atMs - agoMs + delayMs));
    }
  }

  private markHeld(held: HeldLease, previous: LeaseRow | undefined, era: number): void {
    const before = this.held;
    this.held = held;
    this.heldLastUntilMs = held.untilMs + handoverDelayMs(this.options.leaseMs);
    if (before?.token === held.token) return;
    this.options.log.info({ event: "lease-taken", token: held.token, era, before: before?.token });
    if (before !== undefined) return;
    this.applyEarlierOrders(previous);
    this.options.metrics.leaseHeld.set(1);
    this.changed.fire(true);
  }

  private markLost(reason: string): void {
    if (this.held === undefined) return;
    this.options.log.info({ event: "lease-lost", token: this.held.token, reason });
    this.held = undefined;
    this.holderMissingSinceMs = undefined;
    this.options.metrics.leaseHeld.set(0);
    this.changed.fire(false);
  }

  private recordFailure(error: unknown): string {
    const failure = toFailure(error);
    if (failure.kind === "platform-unavailable" || failure.kind === "outcome-unknown")
      this.options.storeHealth.recordFailure(failure);
    return failure.kind;
  }
}
