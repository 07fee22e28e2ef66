/** Caller demand summed over this node and its peers, as input for placement by the lease holder. */
import type { EngineLimits } from "../../serving/configuration.ts";
import { negligibleDemand } from "../../serving/demandMeter.ts";
import type { CallerDemand, PeerTable, Heartbeat } from "../../serving/membership/peerTable.ts";
import type { ModelDemand } from "../../serving/placementView.ts";
import { demandKey, type GatewayContext } from "../gatewayContext.ts";

/** Demand received from a peer is valid for this long, ms. */
const peerDemandTtlMs = 1_500;
/** Maximum time a new lease holder waits for the demand of its peers, ms: three heartbeat periods. */
const peerDemandWaitMs = 1_000;

/** Collects the demand that peers report. */
export class DemandAggregator {
  private readonly peerDemand = new Map<string, { demand: CallerDemand; atMs: number }>();
  private readonly lastDemandMs = new Map<string, number>();
  private readonly startedMs = performance.now();
  /** When this node acquired or lost the lease. */
  private leaseChangedMs = performance.now();

  constructor(
    private readonly context: GatewayContext,
    private readonly peers: PeerTable,
  ) {}

  /** Applies the demand reported in a peer's heartbeat. */
  applyHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.asked !== undefined)
      this.peerDemand.set(heartbeat.ip, { demand: heartbeat.asked, atMs: performance.now() });
  }

  /** Called when the lease is acquired or lost: demand received earlier may not have been addressed to this node. */
  reset(): void {
    this.leaseChangedMs = performance.now();
  }

  /**
   * Whether every peer has reported its demand to this lease holder. Before that every model looks idle, and a new
   * holder would evict the busiest one.
   */
  get isComplete(): boolean {
    const now = performance.now();
    if (now - this.leaseChangedMs > peerDemandWaitMs) return true;
    const peers = this.peers.alive(now).map((peer) => peer.status.ip);
    return peers.every(
      (ip) => (this.peerDemand.get(ip)?.atMs ?? Number.NEGATIVE_INFINITY) > this.leaseChangedMs,
    );
  }

  /** Requests in flight over all nodes, by engine and then by model. */
  runningRequests(nowMs: number): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const byEngine = new Map<string, Map<string, number>>();
    for (const [key, count] of this.sum("running", this.context.modelsRunning.snapshot(), nowMs)) {
      const [serverId = "", model = ""] = key.split(" ");
      const byModel = byEngine.get(serverId) ?? new Map<string, number>();
      byEngine.set(serverId, byModel.set(model, count));
    }
    return byEngine;
  }

  /** Demand by model of the service. */
  modelDemand(service: string, { models }: EngineLimits, nowMs: number): Map<string, ModelDemand> {
    const demand = this.sum("demand", this.context.demand.levels(nowMs), nowMs);
    const waiting = this.sum("waiting", this.context.waitingRequests.snapshot(), nowMs);
    const adapters = this.requestedAdapters(nowMs);
    const byZone = this.demandByZone(nowMs);
    const byModel = models.map(({ name }): [string, ModelDemand] => {
      const key = demandKey(service, name);
      const engineMs = demand.get(key) ?? 0;
      const waitingNow = waiting.get(key) ?? 0;
      if (engineMs >= negligibleDemand || waitingNow > 0) this.lastDemandMs.set(key, nowMs);
      const idleMs = nowMs - (this.lastDemandMs.get(key) ?? this.startedMs);
      const demanded = { engineMs, waiting: waitingNow, idleMs, adapters: adapters.get(key)?.size ?? 0 };
      return [name, byZone === undefined ? demanded : { ...demanded, engineMsByZone: byZone.get(key) }];
    });
    return new Map(byModel);
  }

  /** Demand by demand key and zone of the nodes; undefined if the cost of a crossing isn't known. */
  private demandByZone(nowMs: number): Map<string, Map<string, number>> | undefined {
    const { linkMbps, zone: ownZone, demand } = this.context;
    if (linkMbps === undefined) return undefined;
    const byKey = new Map<string, Map<string, number>>();
    const add = (zone: string, levels: Readonly<Record<string, number>>): void => {
      for (const [key, engineMs] of Object.entries(levels)) {
        const zones = byKey.get(key) ?? new Map<string, number>();
        byKey.set(key, zones.set(zone, (zones.get(zone) ?? 0) + engineMs));
      }
    };
    add(ownZone, demand.levels(nowMs));
    for (const [ip, { demand: asked, atMs }] of this.peerDemand) {
      const zone = this.peers.zoneOf(ip);
      if (zone !== undefined && nowMs - atMs < peerDemandTtlMs) add(zone, asked.demand);
    }
    return byKey;
  }

  /**
   * When the adapter was last requested on any node, as far as known, ms. Evicting an adapter while requests use it
   * blocks orders to the engine for seconds, until those requests complete. A new lease holder doesn't know yet what
   * its peers run, so every adapter counts as used when the lease was acquired.
   */
  adapterLastUsedMs(key: string, nowMs: number): number {
    const { adapterDemand, adaptersRunning } = this.context;
    if (adaptersRunning.has(key) || adapterDemand.level(key, nowMs) >= negligibleDemand) return nowMs;
    const usedByPeer = this.recentPeerDemand(nowMs).some((demand) => demand.adapters[key] !== undefined);
    return usedByPeer ? nowMs : this.leaseChangedMs;
  }

  /** Distinct adapters requested recently over all nodes, by the demand key of their model. */
  private requestedAdapters(nowMs: number): Map<string, Set<string>> {
    const byModel = new Map<string, Set<string>>();
    const own = this.context.adapterDemand.levels(nowMs);
    for (const demand of [own, ...this.recentPeerDemand(nowMs).map(({ adapters }) => adapters)]) {
      for (const key of Object.keys(demand)) {
        const [model = ""] = key.split("/");
        const names = byModel.get(model) ?? new Set<string>();
        byModel.set(model, names.add(key));
      }
    }
    return byModel;
  }

  /**
   * Sums one part of the demand over this node and its peers. Done once per round over the reported keys: a lookup for
   * each engine and model at each peer took most of a small host's CPU time with 82 engines and 141 models.
   */
  private sum(
    part: "demand" | "waiting" | "running",
    own: Readonly<Record<string, number>>,
    nowMs: number,
  ): Map<string, number> {
    const sums = new Map(Object.entries(own));
    for (const demand of this.recentPeerDemand(nowMs)) {
      for (const [key, value] of Object.entries(demand[part])) sums.set(key, (sums.get(key) ?? 0) + value);
    }
    return sums;
  }

  /** Demand reported by peers that is still valid. */
  private recentPeerDemand(nowMs: number): CallerDemand[] {
    return [...this.peerDemand.values()]
      .filter(({ atMs }) => nowMs - atMs < peerDemandTtlMs)
      .map(({ demand }) => demand);
  }
}
