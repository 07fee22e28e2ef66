/** Takes, renews and gives up the placement lease, so that one node at a time orders engines. */
import { decodeEither } from "../common/decode.ts";
import { toFailure } from "../common/errors.ts";
import { Emitter } from "../common/emitter.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { ClockJumpDetector, readClocks } from "../serving/clockJumpDetector.ts";
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
} from "../serving/leaseRules.ts";
import type { RowSet, Store } from "../serving/store.ts";
import { absentAt, formatPosition, type StorePosition } from "../serving/storePosition.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { StoreHealth } from "./storeHealth.ts";

const table = "parsleynotch";
const key = "placement";
/** Period of looks, ms. */
const tickMs = 200;
/** Without a holder's pulse for this long the row is read, ms. */
const suspectMs = 900;
/** Nodes spread their first attempts over this time, ms, so that one wins and the others hear of it. */
const spreadMs = 500;
/** Time limit of a write, ms: a holder that is cut off finds out within it, and yields. */
const writeTimeoutMs = 500;
/** Orders stop this long before the lease ends, ms: the time an order may take on its way. */
const sendMarginMs = 100;

/** Options of a `LeaseTask`. */
export interface LeaseTaskOptions {
  readonly store: Store;
  readonly storeHealth: StoreHealth;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly self: LeaseCandidate;
  /** The bound on two holders taking turns, ms. */
  readonly leaseMs: number;
  /** May this node hold the lease? One that stands by leaves it to active ones. */
  readonly eligible: () => boolean;
  /** Is a holder's pulse heard? */
  readonly holderAlive: () => boolean;
  /** Does the store answer any peer? */
  readonly storeReachableByPeers: () => boolean;
  /** Tells all peers. */
  readonly broadcastYield: (message: LeaseYield) => void;
}

interface ReadRow {
  /** Of the row, or of its absence. */
  readonly position: StorePosition;
  readonly value: LeaseRow | undefined;
}

interface Held {
  readonly token: number;
  /** No order is sent past this, on the steady clock, ms. */
  readonly untilMs: number;
}

/** Owns this node's part in the lease. */
export class LeaseTask extends PeriodicTask {
  /** This node became the holder, or is one no more. */
  readonly changed = new Emitter<boolean>();
  private held: Held | undefined;
  private readonly clock = new StoreClock();
  private readonly clocks = new ClockJumpDetector();
  /** The row as it was read or written last, if there is one; undefined while it isn't known. */
  private lastRead: ReadRow | undefined;
  /** Since when the row has been known to be as it is, ms. */
  private unchangedSinceMs = Number.NEGATIVE_INFINITY;
  private unchangedRow = "";
  /** While it lasts, this node held the lease last, whatever the store has lost: until when, ms. */
  private heldLastUntilMs = Number.NEGATIVE_INFINITY;
  private renewedMs = 0;
  private unheardSinceMs: number | undefined;
  private nextLookMs = 0;
  /** When this node last ordered each engine, on the steady clock, ms. */
  private readonly ordered = new Map<string, number>();
  /** Until when an engine is closed to this node, as another holder ordered it lately. */
  private closedUntil = new Map<string, number>();
  /** The last yield heard, and when. */
  private yielded: { readonly message: LeaseYield; readonly atMs: number } | undefined;
  private stopping = false;
  /** The lease is being given up: no order is sent any more. */
  private handingOver = false;
  private lookedAtStart = false;

  constructor(private readonly options: LeaseTaskOptions) {
    super("lease", tickMs, options.log);
    options.store.eras.changed.on(() => {
      this.onEra();
    });
  }

  /** The fencing token, while an order may be sent to the engine right now. */
  tokenForOrder(serverId: string): number | undefined {
    this.checkClocks();
    const now = performance.now();
    if (this.held === undefined || !this.holding || !this.mayOrder(serverId)) return undefined;
    this.ordered.set(serverId, now);
    return this.held.token;
  }

  /** Is the engine open to this node, as far as earlier holders go? */
  mayOrder(serverId: string): boolean {
    return performance.now() >= (this.closedUntil.get(serverId) ?? 0);
  }

  /** A holder gives up a lease that it can't renew: no need to wait until it runs out. */
  onYield(params: unknown): boolean {
    return decodeEither(LeaseYield, params)
      .ifLeft((failure) => this.options.log.warn({ event: "peer-message-rejected", detail: failure.message }))
      .map((message) => {
        this.yielded = { message, atMs: performance.now() };
        this.nextLookMs = 0;
        this.unheardSinceMs = performance.now() - suspectMs + Math.random() * spreadMs * 0.3;
        return true;
      })
      .orDefault(false);
  }

  /** Does this node hold the lease? Asked without sending an order. */
  get holding(): boolean {
    if (this.stopping || this.handingOver) return false;
    return this.held !== undefined && performance.now() < this.held.untilMs - sendMarginMs;
  }

  /** The token while held, to tell peers. */
  get currentToken(): number | undefined {
    return this.holding ? this.held?.token : undefined;
  }

  /** Stops ordering for good and lets a successor in as early as the bound allows. */
  async release(): Promise<void> {
    this.stopping = true;
    await this.stepDown();
  }

  /** Stops ordering and lets a successor in as early as the bound allows. */
  async stepDown(): Promise<void> {
    if (this.held === undefined || this.handingOver) return;
    this.handingOver = true;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    if (this.lastRead?.value !== undefined)
      await this.writeRelease(this.lastRead.position, this.lastRead.value);
    this.lose("released");
    this.handingOver = false;
  }

  private async writeRelease(expected: StorePosition, row: LeaseRow): Promise<void> {
    const ordered = Object.fromEntries(
      [...this.lastOrders()].map(([id, ms]) => [id, Math.ceil(this.clock.at(ms))]),
    );
    const value = { ...row, untilMs: Math.ceil(this.clock.at(performance.now())), ordered };
    try {
      await this.options.store.commit([{ table, key, value: JSON.stringify(value), expected }]);
      this.options.log.info({ event: "lease-released", token: value.token });
    } catch (error) {
      this.options.log.warn({ event: "lease-release-failed", detail: toFailure(error).message });
    }
  }

  override async step(): Promise<void> {
    this.checkClocks();
    if (this.stopping || this.handingOver) return;
    const now = performance.now();
    if (this.held !== undefined && now > this.held.untilMs) this.lose("not renewed in time");
    if (this.held === undefined) {
      await this.maybeTake(now);
      return;
    }
    if (this.lastRead === undefined && now >= this.nextLookMs) await this.settle();
    await this.renew(now);
  }

  private async renew(now: number): Promise<void> {
    if (this.held === undefined || this.lastRead === undefined) return;
    const { value, position } = this.lastRead;
    if (!isFromEra(value, position.era)) await this.write(this.lastRead, nextToken(value, position.era));
    else if (now - this.renewedMs >= leaseRenewMs) await this.write(this.lastRead, this.held.token);
  }

  /**
   * The store came back from a copy: its row may be of another holder, and another node may wait for the lease by now.
   * A holder renews at once, under a token of the new era.
   */
  private onEra(): void {
    this.lastRead = undefined;
    this.nextLookMs = 0;
    this.yielded = undefined;
  }

  /**
   * Guards "two nodes order the same engine in turn": a host that stood still believes in a lease that ran
   * out meanwhile, as its steady clock stood still too. The time of day shows it, and the lease is dropped.
   */
  private checkClocks(): void {
    if (!this.clocks.detectJump(readClocks())) return;
    this.lastRead = undefined;
    this.nextLookMs = 0;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    if (this.held !== undefined) this.lose("host stood still");
  }

  /**
   * Reads the row once when this process starts: a host that held the lease takes it back at once, as nobody
   * else may order before it lapses. Where all nodes are killed together, orders begin 1.2 s sooner.
   */
  private async lookAtStart(): Promise<void> {
    this.lookedAtStart = true;
    const found = await this.look();
    if (found?.value === undefined || !isSameHost(found.value, this.options.self)) return;
    if (isFromEra(found.value, found.position.era)) this.unheardSinceMs = Number.NEGATIVE_INFINITY;
  }

  private async maybeTake(now: number): Promise<void> {
    if (!this.options.eligible() || this.options.holderAlive()) {
      this.unheardSinceMs = undefined;
      return;
    }
    this.unheardSinceMs ??= now + Math.random() * spreadMs;
    if (!this.lookedAtStart) await this.lookAtStart();
    if (now - this.unheardSinceMs < suspectMs || now < this.nextLookMs) return;
    const found = await this.look();
    if (found === undefined) return;
    const wait = this.waitFor(found);
    if (wait > 0 && !this.isYielded(found)) {
      this.nextLookMs = performance.now() + wait + Math.random() * spreadMs;
      return;
    }
    await this.write(found, nextToken(found.value, found.position.era));
  }

  /** Did the holder that the row names give the lease up? A row of an earlier era may not name the last one. */
  private isYielded({ position: { era }, value }: ReadRow): boolean {
    return value !== undefined && isFromEra(value, era) && this.yielded?.message.token === value.token;
  }

  private waitFor({ position: { era }, value }: ReadRow): number {
    const now = performance.now();
    const view = {
      row: value,
      era,
      eraAgeMs: now - this.options.store.eras.sinceMs,
      unchangedMs: now - this.unchangedSinceMs,
      heldLast: now < this.heldLastUntilMs,
      storeNowMs: this.clock.at(now),
    };
    return takeoverDelayMs(view, this.options.self, this.options.leaseMs);
  }

  /** Reads the row; undefined if the store doesn't answer, whatever was read before. */
  private async look(): Promise<ReadRow | undefined> {
    const sentMs = performance.now();
    this.lastRead = undefined;
    try {
      this.learn(await this.options.store.get(table, key), sentMs);
    } catch (error) {
      this.failed(error);
    }
    return this.lastRead;
  }

  private learn(set: RowSet, sentMs: number): void {
    this.options.storeHealth.succeeded();
    this.clock.update(set.nowMs, sentMs);
    const found = set.rows.find((row) => row.key === key);
    this.noteChange(found?.position ?? absentAt(set.position));
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

  private noteChange(position: StorePosition): void {
    const row = formatPosition(position);
    if (row === this.unchangedRow) return;
    this.unchangedRow = row;
    this.unchangedSinceMs = performance.now();
  }

  /** Takes or renews the lease with `token`, on the row as it was read. */
  private async write({ position, value: previous }: ReadRow, token: number): Promise<void> {
    const { store, self, log } = this.options;
    // A renewal needs the clock; it was learned when the row was read before taking the lease.
    const sentMs = performance.now();
    const { era } = position;
    const value = {
      holder: self.host,
      ip: self.ip,
      token,
      untilMs: Math.ceil(this.clock.at(sentMs) + leaseTtlMs),
      ...(era === 0 ? {} : { era }),
    };
    this.renewedMs = sentMs;
    try {
      const receipt = await store.commit([{ table, key, value: JSON.stringify(value), expected: position }], {
        timeoutMs: writeTimeoutMs,
      });
      this.options.storeHealth.succeeded();
      this.clock.update(receipt.nowMs, sentMs);
      this.lastRead = { position: receipt.position, value };
      if (this.clocks.detectJump(readClocks())) {
        this.lose("host stood still");
        return;
      }
      this.hold({ token, untilMs: sentMs + leaseTtlMs }, previous, era);
    } catch (error) {
      const failure = this.failed(error);
      log.info({ event: "lease-write-failed", token, era, kind: failure });
      if (failure !== "conflict") this.giveWayToServed();
      await this.settle();
    }
  }

  /** A write that failed may have been carried out, or another node may hold the lease: what the row says counts. */
  private async settle(): Promise<void> {
    const found = await this.look();
    this.nextLookMs = performance.now() + spreadMs * Math.random();
    if (found === undefined) {
      this.giveWayToServed();
      return;
    }
    const { value, position } = found;
    if (!isFromEra(value, position.era)) return;
    if (value !== undefined && isSameHost(value, this.options.self)) return;
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    this.lose("taken by another node");
  }

  /** The store answers others, so one of them can take over. */
  private giveWayToServed(): void {
    if (this.options.storeReachableByPeers()) this.giveWay();
  }

  /** Gives the lease up without the store: a peer that reaches it can take over at once. */
  private giveWay(): void {
    if (this.held === undefined) return;
    const now = performance.now();
    const { token } = this.held;
    this.lose("store out of reach");
    this.heldLastUntilMs = Number.NEGATIVE_INFINITY;
    const orderedAgoMs = Object.fromEntries(
      [...this.lastOrders()].map(([id, ms]) => [id, Math.floor(now - ms)]),
    );
    this.options.broadcastYield({ token, orderedAgoMs });
  }

  /**
   * When this node or a holder before it last ordered each engine. Guards "a third holder follows the first
   * too closely": the second may give up before it has ordered an engine that the first had just ordered.
   */
  private lastOrders(): Map<string, number> {
    const distance = handoverDelayMs(this.options.leaseMs);
    const orders = new Map([...this.closedUntil].map(([id, untilMs]) => [id, untilMs - distance]));
    for (const [id, ms] of this.ordered) orders.set(id, Math.max(ms, orders.get(id) ?? ms));
    return orders;
  }

  /** What earlier holders ordered lately closes those engines for a while. */
  private inherit(previous: LeaseRow | undefined): void {
    const now = performance.now();
    const distance = handoverDelayMs(this.options.leaseMs);
    if (previous === undefined || isSameHost(previous, this.options.self)) return;
    this.closedUntil = new Map();
    for (const [id, storeMs] of Object.entries(previous.ordered ?? {})) {
      this.closedUntil.set(id, this.clock.monotonicAt(storeMs) + distance);
    }
    if (this.yielded?.message.token !== previous.token) return;
    const { message, atMs } = this.yielded;
    for (const [id, agoMs] of Object.entries(message.orderedAgoMs)) {
      if (agoMs < distance) this.closedUntil.set(id, Math.max(now, atMs - agoMs + distance));
    }
  }

  private hold(held: Held, previous: LeaseRow | undefined, era: number): void {
    const before = this.held;
    this.held = held;
    this.heldLastUntilMs = held.untilMs + handoverDelayMs(this.options.leaseMs);
    if (before?.token === held.token) return;
    this.options.log.info({ event: "lease-taken", token: held.token, era, before: before?.token });
    if (before !== undefined) return;
    this.inherit(previous);
    this.options.metrics.leaseHeld.set(1);
    this.changed.fire(true);
  }

  private lose(reason: string): void {
    if (this.held === undefined) return;
    this.options.log.info({ event: "lease-lost", token: this.held.token, reason });
    this.held = undefined;
    this.unheardSinceMs = undefined;
    this.options.metrics.leaseHeld.set(0);
    this.changed.fire(false);
  }

  private failed(error: unknown): string {
    const failure = toFailure(error);
    if (failure.kind === "platform-unavailable" || failure.kind === "outcome-unknown")
      this.options.storeHealth.failed(failure);
    return failure.kind;
  }
}
