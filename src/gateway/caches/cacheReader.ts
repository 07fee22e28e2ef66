/** Reads what one engine incarnation has cached, with one call after the other that waits for events. */
import { LoopTask } from "../../common/loopTask.ts";
import type { Log } from "../../common/log.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import { targetOf, type OrderTarget } from "../../serving/orders.ts";
import type { CacheEventSource } from "../../serving/prefixCache/cacheEvents.ts";
import { serverKey } from "../../serving/prefixCache/cacheKnowledge.ts";
import type { CacheUpdate } from "../../serving/prefixCache/cacheMessage.ts";
import { CachePublication } from "../../serving/prefixCache/cachePublication.ts";
import { EngineCache } from "../../serving/prefixCache/engineCache.ts";
import type { SharedParts } from "../../serving/prefixCache/sharedParts.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";

/** How long the engine may wait for events, ms. Calls that wait less than 200 ms count as health checks. */
const waitMs = 1_000;
/**
 * Minimum time between the starts of two calls, ms: an engine that answers at its first event would otherwise be called
 * for each one, while the other nodes are told only every 300 ms.
 */
const minIntervalMs = 250;
/** Minimum time between two listings, ms, which delay the engine's work. */
const listIntervalMs = 10_000;
/** Pause after the first failed call, ms; doubled with each further one, up to the maximum. */
const firstBackoffMs = 250;
const maxBackoffMs = 8_000;

/** Options of a `CacheReader`. */
export interface CacheReaderOptions {
  readonly server: BackendServer;
  readonly source: CacheEventSource;
  readonly shared: SharedParts;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
}

/** `failed`: no answer in the expected format. */
type ReadOutcome = "ok" | "listed" | "busy" | "gone" | "failed";

/** Reads until it is disposed. */
export class CacheReader extends LoopTask {
  readonly server: BackendServer;
  private readonly cache = new EngineCache();
  private readonly publication: CachePublication;
  /** The engine's last answer describes its cache at this time, ms. */
  private heardMs = Number.NEGATIVE_INFINITY;
  private lastListMs = Number.NEGATIVE_INFINITY;
  private failures = 0;

  constructor(private readonly options: CacheReaderOptions) {
    super(`cache-reader ${options.server.id}`);
    this.server = options.server;
    this.publication = new CachePublication(serverKey(options.server), this.cache, options.shared);
  }

  override async dispose(): Promise<void> {
    await super.dispose();
    this.wake();
  }

  /** The update for all nodes that is due now, if any. */
  nextUpdate(nowMs: number): CacheUpdate | undefined {
    return Number.isFinite(this.heardMs) ? this.publication.next(this.heardMs, nowMs) : undefined;
  }

  /** All that was published, for a node that lacks it. */
  wholeUpdate(nowMs: number): CacheUpdate | undefined {
    return this.publication.whole(this.heardMs, nowMs);
  }

  protected async run(): Promise<void> {
    while (!this.stopped) {
      const startedMs = performance.now();
      const outcome = await this.read(startedMs);
      if (this.stopped) return;
      this.options.metrics.cacheReads.inc({ outcome });
      const pauseMs = this.pauseAfter(outcome, performance.now() - startedMs);
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private pauseAfter(outcome: ReadOutcome, tookMs: number): number {
    if (outcome === "ok" || outcome === "listed") {
      this.failures = 0;
      return minIntervalMs - tookMs;
    }
    this.failures += 1;
    const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (this.failures - 1));
    // Jitter, so that several readers that an engine refused don't come back together.
    return backoffMs * (0.75 + 0.5 * Math.random());
  }

  private async read(startedMs: number): Promise<ReadOutcome> {
    try {
      const lists = !this.cache.isComplete && startedMs - this.lastListMs >= listIntervalMs;
      const outcome = lists ? await this.list(startedMs) : await this.readEvents(startedMs);
      if (outcome === "gone") this.cache.forget();
      return outcome;
    } catch (error) {
      if (!this.stopped && this.failures === 0) this.log("cache-read-failed", { detail: String(error) });
      return "failed";
    }
  }

  private async readEvents(startedMs: number): Promise<ReadOutcome> {
    const { source, metrics } = this.options;
    const { since } = this.cache;
    const reply = await source.events(this.target, since, waitMs);
    if (reply.kind !== "ok") return reply.kind;
    const gap = this.cache.apply(reply.value);
    // The engine has answered by the end of its wait, however late this process reads the answer.
    this.heardMs = Math.min(performance.now(), startedMs + waitMs);
    if (gap !== undefined) {
      metrics.cacheGaps.inc({ reason: gap });
      this.log("cache-events-lost", { reason: gap, since, next: reply.value.next });
    }
    return "ok";
  }

  private async list(startedMs: number): Promise<ReadOutcome> {
    this.lastListMs = startedMs;
    const reply = await this.options.source.list(this.target);
    if (reply.kind !== "ok") return reply.kind;
    this.cache.applyListing(reply.value);
    this.heardMs = startedMs;
    const { next, parts } = reply.value;
    this.log("cache-listed", {
      next,
      parts: parts.length,
      tookMs: Math.round(performance.now() - startedMs),
    });
    return "listed";
  }

  private get target(): OrderTarget {
    return targetOf(this.server);
  }

  private log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.options.log.info({ event, server: this.server.id, ...fields });
  }
}
