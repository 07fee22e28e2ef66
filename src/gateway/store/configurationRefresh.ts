/** Confirms the active configuration when decisions need it: asks peers that know, then the store. */
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { setTimeoutAfterInput } from "../../common/readWatermark.ts";
import type { ConfigurationAgeLimits } from "../../serving/configurationAge.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";

/** The next source is asked too if one hasn't answered for this long, ms: its connection may be dead. */
const hedgeDelayMs = 100;
/** Time after a failed refresh during which none is started, ms. */
const retryDelayMs = 500;
/** The store counts as away for this long after a failed refresh, ms: longer than it takes to retry one. */
const storeAwayMs = 2_000;

/**
 * Whether decisions may rest on the configuration: `unconfirmed` while it isn't known whether a newer version is in force,
 * `store-away` if neither peers nor the store could tell.
 */
export type ConfigurationState = "current" | "store-away" | "unconfirmed";

/** Asks one source; the configuration is confirmed if it knew. */
export type ConfigurationSource = () => Promise<void>;

/** Options of a `ConfigurationRefresh`. */
export interface ConfigurationRefreshOptions {
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly configuration: ActiveConfiguration;
  readonly limits: ConfigurationAgeLimits;
  /** Sources in the order in which to ask them; the last one is the store. */
  readonly sources: () => readonly ConfigurationSource[];
}

/** Runs one refresh at a time, whoever needs it. */
export class ConfigurationRefresh {
  private running: Promise<void> | undefined;
  private failedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ConfigurationRefreshOptions) {}

  /** Whether decisions may rest on the configuration now. */
  get state(): ConfigurationState {
    const { configuration, limits } = this.options;
    if (configuration.ageMs < limits.maxAgeMs) return "current";
    // A peer that has a newer version can be reached, so it isn't the store that keeps this node from knowing it.
    return this.failedWithin(storeAwayMs) && !configuration.outdated ? "store-away" : "unconfirmed";
  }

  /** Waits until the configuration is confirmed, no source could tell, or for `limitMs`; immediately if it is current. */
  async ensureCurrent(limitMs: number): Promise<void> {
    const { configuration, limits } = this.options;
    if (configuration.ageMs < limits.refreshAgeMs) return;
    void this.refresh();
    if (this.state === "unconfirmed") await this.settled(limitMs);
  }

  /** Waits likewise for a newer version, if one is known to exist. */
  async ensureNewest(limitMs: number): Promise<void> {
    if (!this.options.configuration.outdated) return;
    void this.refresh();
    await this.settled(limitMs);
  }

  /** Starts a refresh unless one is running or has just failed. */
  refresh(): Promise<void> {
    if (this.failedWithin(retryDelayMs)) return Promise.resolve();
    this.running ??= this.run().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  private failedWithin(ms: number): boolean {
    return performance.now() - this.failedMs < ms;
  }

  private async settled(limitMs: number): Promise<void> {
    if (this.running !== undefined) await withinMs(this.running, limitMs);
  }

  private async run(): Promise<void> {
    const { configuration, log, metrics } = this.options;
    const startedMs = performance.now();
    const before = { ageMs: Math.round(configuration.ageMs), version: configuration.version };
    await this.askSources();
    const { version, source } = configuration;
    const outcome = this.isConfirmed ? "confirmed" : "failed";
    this.failedMs = this.isConfirmed ? Number.NEGATIVE_INFINITY : performance.now();
    metrics.configRefreshes.inc({ outcome });
    const tookMs = Math.round(performance.now() - startedMs);
    log.info({ event: "configuration-refreshed", outcome, ...before, newVersion: version, source, tookMs });
  }

  /** Asks the sources one after the other until one has confirmed the configuration. */
  private async askSources(): Promise<void> {
    const asked: Promise<void>[] = [];
    for (const source of this.options.sources()) {
      const answered = this.ask(source);
      asked.push(answered);
      await withinMs(answered, hedgeDelayMs);
      if (this.isConfirmed) return;
    }
    const left = new Set(asked);
    for (const answered of asked) void answered.then(() => left.delete(answered));
    while (left.size > 0 && !this.isConfirmed) await Promise.race(left);
  }

  private async ask(source: ConfigurationSource): Promise<void> {
    try {
      await source();
    } catch (error) {
      this.options.log.debug({ event: "configuration-not-confirmed", detail: toFailure(error).message });
    }
  }

  private get isConfirmed(): boolean {
    const { configuration, limits } = this.options;
    return configuration.ageMs < limits.refreshAgeMs && !configuration.outdated;
  }
}

/** Resolves with the promise, or after `ms`. */
function withinMs(promise: Promise<void>, ms: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeoutAfterInput(ms, resolve);
    void promise.finally(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
