/** What callers ask of all nodes together, as the holder of the placement lease knows it: its own and its peers'. */
import type { EngineLimits } from "../serving/configuration.ts";
import { negligibleDemand } from "../serving/demandMeter.ts";
import type { CallerDemand, PeerTable, Heartbeat } from "../serving/membership/peerTable.ts";
import type { ModelDemand } from "../serving/placementView.ts";
import { demandKey, type GatewayContext } from "./gatewayContext.ts";

/** A peer's demand counts for this long, ms. */
const peerDemandTtlMs = 1_500;
/** A new holder waits this long at most to hear the demand of its peers, ms: three of their periods. */
const peerDemandWaitMs = 1_000;

/** Gathers what peers say. */
export class DemandAggregator {
  private readonly peerDemand = new Map<string, { asked: CallerDemand; atMs: number }>();
  private readonly lastDemandMs = new Map<string, number>();
  private readonly startedMs = performance.now();
  /** When this node became the holder, or ceased to be one. */
  private leaseChangedMs = performance.now();

  constructor(
    private readonly context: GatewayContext,
    private readonly peers: PeerTable,
  ) {}

  /** Takes what a peer says. */
  applyHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.asked !== undefined)
      this.peerDemand.set(heartbeat.ip, { asked: heartbeat.asked, atMs: performance.now() });
  }

  /** The lease was taken or lost: what peers said before may not have been meant for this node. */
  reset(): void {
    this.leaseChangedMs = performance.now();
  }

  /**
   * Has every peer told this holder what is asked of it? Guards "a new holder drops the busiest model": before
   * it has heard its peers it takes every model for idle.
   */
  get isComplete(): boolean {
    const now = performance.now();
    if (now - this.leaseChangedMs > peerDemandWaitMs) return true;
    const peers = this.peers.alive(now).map((peer) => peer.status.ip);
    return peers.every(
      (ip) => (this.peerDemand.get(ip)?.atMs ?? Number.NEGATIVE_INFINITY) > this.leaseChangedMs,
    );
  }

  /** Requests in flight over all nodes: by engine, then by model. */
  runningRequests(nowMs: number): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const byEngine = new Map<string, Map<string, number>>();
    for (const [key, count] of this.sum("running", this.context.modelsRunning.snapshot(), nowMs)) {
      const [serverId = "", model = ""] = key.split(" ");
      const byModel = byEngine.get(serverId) ?? new Map<string, number>();
      byEngine.set(serverId, byModel.set(model, count));
    }
    return byEngine;
  }

  /** Demand for each model of the service. */
  modelDemand(service: string, { models }: EngineLimits, nowMs: number): Map<string, ModelDemand> {
    const demand = this.sum("demand", this.context.demand.levels(nowMs), nowMs);
    const waiting = this.sum("waiting", this.context.waitingRequests.snapshot(), nowMs);
    const adapters = this.requestedAdapters(nowMs);
    const byModel = models.map(({ name }): [string, ModelDemand] => {
      const key = demandKey(service, name);
      const engineMs = demand.get(key) ?? 0;
      const waitingNow = waiting.get(key) ?? 0;
      if (engineMs >= negligibleDemand || waitingNow > 0) this.lastDemandMs.set(key, nowMs);
      const idleMs = nowMs - (this.lastDemandMs.get(key) ?? this.startedMs);
      return [name, { engineMs, waiting: waitingNow, idleMs, adapters: adapters.get(key)?.size ?? 0 }];
    });
    return new Map(byModel);
  }

  /**
   * When the adapter was last asked for anywhere, as far as is known, ms. Guards "an engine takes no orders for
   * seconds": an adapter that is told to make way while requests run with it closes the engine until they end.
   * A new holder has not heard yet what its peers run, so it takes any adapter for used until then.
   */
  adapterLastUsedMs(key: string, nowMs: number): number {
    const { adapterDemand, adaptersRunning } = this.context;
    if (adaptersRunning.has(key) || adapterDemand.level(key, nowMs) >= negligibleDemand) return nowMs;
    const usedByPeer = this.recentPeerDemand(nowMs).some((asked) => asked.adapters[key] !== undefined);
    return usedByPeer ? nowMs : this.leaseChangedMs;
  }

  /** Different adapters asked for lately over all nodes, by the demand key of their model. */
  private requestedAdapters(nowMs: number): Map<string, Set<string>> {
    const byModel = new Map<string, Set<string>>();
    const own = this.context.adapterDemand.levels(nowMs);
    for (const asked of [own, ...this.recentPeerDemand(nowMs).map(({ adapters }) => adapters)]) {
      for (const key of Object.keys(asked)) {
        const [model = ""] = key.split("/");
        const names = byModel.get(model) ?? new Set<string>();
        byModel.set(model, names.add(key));
      }
    }
    return byModel;
  }

  /**
   * One part of what is asked, summed over this node and its peers. Summed once a round by the keys that were told: a
   * look for each engine and model at each peer took most of a small host's time with 82 engines and 141 models.
   */
  private sum(
    part: "demand" | "waiting" | "running",
    own: Readonly<Record<string, number>>,
    nowMs: number,
  ): Map<string, number> {
    const sums = new Map(Object.entries(own));
    for (const asked of this.recentPeerDemand(nowMs)) {
      for (const [key, value] of Object.entries(asked[part])) sums.set(key, (sums.get(key) ?? 0) + value);
    }
    return sums;
  }

  /** What peers said that still counts. */
  private recentPeerDemand(nowMs: number): CallerDemand[] {
    return [...this.peerDemand.values()]
      .filter(({ atMs }) => nowMs - atMs < peerDemandTtlMs)
      .map(({ asked }) => asked);
  }
}
