/** What callers ask of all nodes together, as the holder of the placement lease knows it: its own and its peers'. */
import type { EngineLimits } from "../serving/configuration.ts";
import { negligible } from "../serving/demandMeter.ts";
import type { Asked, PeerTable, Pulse } from "../serving/peerTable.ts";
import type { ModelDemand } from "../serving/placementView.ts";
import { demandKey, residencyKey, type Serving } from "./serving.ts";

/** A peer's demand counts for this long, ms. */
const askedMs = 1_500;
/** A new holder waits this long at most to hear the demand of its peers, ms: three of their periods. */
const hearingMs = 1_000;

/** Gathers what peers say. */
export class DemandBook {
  private readonly asked = new Map<string, { asked: Asked; atMs: number }>();
  private readonly lastDemandMs = new Map<string, number>();
  private readonly startedMs = performance.now();
  /** When this node became the holder, or ceased to be one. */
  private sinceMs = performance.now();

  constructor(
    private readonly serving: Serving,
    private readonly peers: PeerTable,
  ) {}

  /** Takes what a peer says. */
  hear(pulse: Pulse): void {
    if (pulse.asked !== undefined) this.asked.set(pulse.ip, { asked: pulse.asked, atMs: performance.now() });
  }

  /** The lease was taken or lost: what peers said before may not have been meant for this node. */
  startAnew(): void {
    this.sinceMs = performance.now();
  }

  /**
   * Has every peer told this holder what is asked of it? Guards "a new holder drops the busiest model": before
   * it has heard its peers it takes every model for idle.
   */
  get known(): boolean {
    const now = performance.now();
    if (now - this.sinceMs > hearingMs) return true;
    const peers = this.peers.alive(now).map((peer) => peer.pulse.ip);
    return peers.every((ip) => (this.asked.get(ip)?.atMs ?? Number.NEGATIVE_INFINITY) > this.sinceMs);
  }

  /** Requests in flight at the engine by model, over all nodes. */
  runningAt(serverId: string, { models }: EngineLimits, nowMs: number): Map<string, number> {
    const running = new Map<string, number>();
    for (const { name } of models) {
      const key = residencyKey(serverId, name);
      const count = this.lately(nowMs).reduce(
        (sum, asked) => sum + (asked.running[key] ?? 0),
        this.serving.modelsRunning.get(key),
      );
      if (count > 0) running.set(name, count);
    }
    return running;
  }

  /** Demand for each model of the service. */
  of(service: string, { models }: EngineLimits, nowMs: number): Map<string, ModelDemand> {
    const { demand, waiting } = this.serving;
    const own = { demand: demand.levels(nowMs), waiting: waiting.all() };
    const all = [own, ...this.lately(nowMs)];
    const total = (part: keyof typeof own, key: string): number =>
      all.reduce((sum, asked) => sum + (asked[part][key] ?? 0), 0);
    const byModel = models.map(({ name, adapters }): [string, ModelDemand] => {
      const key = demandKey(service, name);
      const engineMs = total("demand", key);
      const waitingNow = total("waiting", key);
      if (engineMs >= negligible || waitingNow > 0) this.lastDemandMs.set(key, nowMs);
      return [
        name,
        {
          engineMs,
          waiting: waitingNow,
          idleMs: nowMs - (this.lastDemandMs.get(key) ?? this.startedMs),
          adapters: adapters === 0 ? 0 : this.adaptersAsked(`${key}/`, nowMs),
        },
      ];
    });
    return new Map(byModel);
  }

  /**
   * When the adapter was last asked for anywhere, as far as is known, ms. Guards "an engine takes no orders for
   * seconds": an adapter that is told to make way while requests run with it closes the engine until they end.
   * A new holder has not heard yet what its peers run, so it takes any adapter for used until then.
   */
  adapterUsedMs(key: string, nowMs: number): number {
    const { adapterDemand, adaptersRunning } = this.serving;
    if (adaptersRunning.has(key) || adapterDemand.level(key, nowMs) >= negligible) return nowMs;
    const usedByPeer = this.lately(nowMs).some((asked) => asked.adapters[key] !== undefined);
    return usedByPeer ? nowMs : this.sinceMs;
  }

  /** Different adapters of a model asked for lately, over all nodes. */
  private adaptersAsked(prefix: string, nowMs: number): number {
    const asked = new Set(Object.keys(this.serving.adapterDemand.levels(nowMs)));
    for (const { adapters } of this.lately(nowMs)) for (const key of Object.keys(adapters)) asked.add(key);
    return [...asked].filter((key) => key.startsWith(prefix)).length;
  }

  /** What peers said that still counts. */
  private lately(nowMs: number): Asked[] {
    return [...this.asked.values()].filter(({ atMs }) => nowMs - atMs < askedMs).map(({ asked }) => asked);
  }
}
