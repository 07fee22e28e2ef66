/** Takes, renews and gives up the placement lease, so that one node at a time orders engines. */
import { decodeEither } from "../common/decode.ts";
import { toFailure } from "../common/errors.ts";
import { Emitter } from "../common/emitter.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { ClockWatch, readClocks } from "../serving/clockWatch.ts";
import {
  distanceMs,
  isSame,
  LeaseRow,
  leaseRenewMs,
  leaseTtlMs,
  StoreClock,
  waitToTake,
  Yield,
  type Candidate,
} from "../serving/leaseRules.ts";
import type { RowSet, Store } from "../serving/store.ts";
import { absentAt, beginning, type StorePosition } from "../serving/storePosition.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { StoreLink } from "./storeLink.ts";

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
  readonly link: StoreLink;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly self: Candidate;
  /** The bound on two holders taking turns, ms. */
  readonly leaseMs: number;
  /** May this node hold the lease? One that stands by leaves it to active ones. */
  readonly eligible: () => boolean;
  /** Is a holder's pulse heard? */
  readonly holderHeard: () => boolean;
  /** Does the store answer any peer? */
  readonly storeServesPeers: () => boolean;
  /** Tells all peers. */
  readonly tellYield: (message: Yield) => void;
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
  private readonly clocks = new ClockWatch();
  private row: { value: LeaseRow; position: StorePosition } | undefined;
  /** Of the last answer of the store. */
  private readAt = beginning;
  private rowKnown = false;
  private renewedMs = 0;
  private unheardSinceMs: number | undefined;
  private nextLookMs = 0;
  /** When this node last ordered each engine, on the steady clock, ms. */
  private readonly ordered = new Map<string, number>();
  /** Until when an engine is closed to this node, as another holder ordered it lately. */
  private closedUntil = new Map<string, number>();
  /** The last yield heard, and when. */
  private yielded: { readonly message: Yield; readonly atMs: number } | undefined;
  private stopping = false;
  /** The lease is being given up: no order is sent any more. */
  private handingOver = false;
  private lookedAtStart = false;

  constructor(private readonly options: LeaseTaskOptions) {
    super("lease", tickMs, options.log);
  }

  /** The fencing token, while an order may be sent to the engine right now. */
  token(serverId: string): number | undefined {
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
    return decodeEither(Yield, params)
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
  get heldToken(): number | undefined {
    return this.holding ? this.held?.token : undefined;
  }

  /** Stops ordering for good and lets a successor in as early as the bound allows. */
  async release(): Promise<void> {
    this.stopping = true;
    await this.handOver();
  }

  /** Stops ordering and lets a successor in as early as the bound allows. */
  async handOver(): Promise<void> {
    if (this.held === undefined || this.row === undefined || this.handingOver) return;
    this.handingOver = true;
    const ordered = Object.fromEntries(
      [...this.lastOrders()].map(([id, ms]) => [id, Math.ceil(this.clock.at(ms))]),
    );
    const value = { ...this.row.value, untilMs: Math.ceil(this.clock.at(performance.now())), ordered };
    try {
      await this.options.store.commit([
        { table, key, value: JSON.stringify(value), expected: this.row.position },
      ]);
      this.options.log.info({ event: "lease-released", token: value.token });
    } catch (error) {
      this.options.log.warn({ event: "lease-release-failed", detail: toFailure(error).message });
    }
    this.lose("released");
    this.handingOver = false;
  }

  override async step(): Promise<void> {
    this.checkClocks();
    if (this.stopping || this.handingOver) return;
    const now = performance.now();
    if (this.held !== undefined && now > this.held.untilMs) this.lose("not renewed in time");
    if (this.held !== undefined) {
      if (now - this.renewedMs >= leaseRenewMs) await this.write(this.held.token);
      return;
    }
    await this.maybeTake(now);
  }

  /**
   * Guards "two nodes order the same engine in turn": a host that stood still believes in a lease that ran
   * out meanwhile, as its steady clock stood still too. The time of day shows it, and the lease is dropped.
   */
  private checkClocks(): void {
    if (!this.clocks.frozeSince(readClocks())) return;
    this.rowKnown = false;
    this.nextLookMs = 0;
    if (this.held !== undefined) this.lose("host stood still");
  }

  /**
   * Reads the row once when this process starts: a host that held the lease takes it back at once, as nobody
   * else may order before it lapses. Where all nodes are killed together, orders begin 1.2 s sooner.
   */
  private async lookAtStart(): Promise<void> {
    this.lookedAtStart = true;
    await this.read();
    if (this.row === undefined || !isSame(this.row.value, this.options.self)) return;
    this.unheardSinceMs = Number.NEGATIVE_INFINITY;
  }

  private async maybeTake(now: number): Promise<void> {
    if (!this.options.eligible() || this.options.holderHeard()) {
      this.unheardSinceMs = undefined;
      return;
    }
    this.unheardSinceMs ??= now + Math.random() * spreadMs;
    if (!this.lookedAtStart) await this.lookAtStart();
    if (now - this.unheardSinceMs < suspectMs || now < this.nextLookMs) return;
    await this.read();
    if (!this.rowKnown) return;
    const { self, leaseMs } = this.options;
    const wait = waitToTake(this.row?.value, self, this.clock.at(performance.now()), leaseMs);
    if (wait > 0 && this.yielded?.message.token !== this.row?.value.token) {
      this.nextLookMs = performance.now() + wait + Math.random() * spreadMs;
      return;
    }
    await this.write((this.row?.value.token ?? 0) + 1);
  }

  private async read(): Promise<void> {
    const sentMs = performance.now();
    try {
      this.learn(await this.options.store.get(table, key), sentMs);
    } catch (error) {
      this.failed(error);
    }
  }

  private learn(set: RowSet, sentMs: number): void {
    this.options.link.succeeded();
    this.clock.learn(set.nowMs, sentMs);
    this.rowKnown = true;
    this.readAt = set.position;
    const found = set.rows.find((row) => row.key === key);
    this.row = undefined;
    if (found === undefined) return;
    decodeEither(LeaseRow, JSON.parse(found.value))
      .ifLeft((failure) => this.options.log.error({ event: "lease-row-rejected", detail: failure.message }))
      .ifRight((value) => {
        this.row = { value, position: found.position };
      });
  }

  /** Takes or renews the lease with `token`. */
  private async write(token: number): Promise<void> {
    const { store, self, log } = this.options;
    // A renewal needs the clock; it was learned when the row was read before taking the lease.
    const sentMs = performance.now();
    const value = {
      holder: self.host,
      ip: self.ip,
      token,
      untilMs: Math.ceil(this.clock.at(sentMs) + leaseTtlMs),
    };
    const expected = this.row?.position ?? absentAt(this.readAt);
    const previous = this.row?.value;
    this.renewedMs = sentMs;
    try {
      const receipt = await store.commit([{ table, key, value: JSON.stringify(value), expected }], {
        timeoutMs: writeTimeoutMs,
      });
      this.options.link.succeeded();
      this.clock.learn(receipt.nowMs, sentMs);
      this.row = { value, position: receipt.position };
      if (this.clocks.frozeSince(readClocks())) {
        this.lose("host stood still");
        return;
      }
      this.hold({ token, untilMs: sentMs + leaseTtlMs }, previous);
    } catch (error) {
      const failure = this.failed(error);
      log.info({ event: "lease-write-failed", token, kind: failure });
      if (this.held !== undefined && failure !== "conflict" && this.options.storeServesPeers())
        this.giveWay();
      await this.settleUnknown();
    }
  }

  /** A write that failed may have been carried out: what the row says counts. */
  private async settleUnknown(): Promise<void> {
    this.rowKnown = false;
    await this.read();
    if (!this.rowKnown) return;
    const { self } = this.options;
    if (this.held !== undefined && (this.row === undefined || !isSame(this.row.value, self))) {
      this.lose("taken by another node");
    }
    this.nextLookMs = performance.now() + spreadMs * Math.random();
  }

  /** Gives the lease up without the store: a peer that reaches it can take over at once. */
  private giveWay(): void {
    if (this.held === undefined) return;
    const now = performance.now();
    const { token } = this.held;
    this.lose("store out of reach");
    const orderedAgoMs = Object.fromEntries(
      [...this.lastOrders()].map(([id, ms]) => [id, Math.floor(now - ms)]),
    );
    this.options.tellYield({ token, orderedAgoMs });
  }

  /**
   * When this node or a holder before it last ordered each engine. Guards "a third holder follows the first
   * too closely": the second may give up before it has ordered an engine that the first had just ordered.
   */
  private lastOrders(): Map<string, number> {
    const distance = distanceMs(this.options.leaseMs);
    const orders = new Map([...this.closedUntil].map(([id, untilMs]) => [id, untilMs - distance]));
    for (const [id, ms] of this.ordered) orders.set(id, Math.max(ms, orders.get(id) ?? ms));
    return orders;
  }

  /** What earlier holders ordered lately closes those engines for a while. */
  private inherit(previous: LeaseRow | undefined): void {
    const now = performance.now();
    const distance = distanceMs(this.options.leaseMs);
    if (previous === undefined || isSame(previous, this.options.self)) return;
    this.closedUntil = new Map();
    for (const [id, storeMs] of Object.entries(previous.ordered ?? {})) {
      this.closedUntil.set(id, this.clock.steadyAt(storeMs) + distance);
    }
    if (this.yielded?.message.token !== previous.token) return;
    const { message, atMs } = this.yielded;
    for (const [id, agoMs] of Object.entries(message.orderedAgoMs)) {
      if (agoMs < distance) this.closedUntil.set(id, Math.max(now, atMs - agoMs + distance));
    }
  }

  private hold(held: Held, previous: LeaseRow | undefined): void {
    const before = this.held;
    this.held = held;
    if (before !== undefined) return;
    this.inherit(previous);
    this.options.log.info({ event: "lease-taken", token: held.token });
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
      this.options.link.failed(failure);
    return failure.kind;
  }
}
