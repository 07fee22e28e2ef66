/** What the parts of a gateway node share: the beliefs that decide about requests, and who to tell of changes. */
import type { Log } from "../common/log.ts";
import { Emitter } from "../common/emitter.ts";
import { ReadWatermark } from "../common/readWatermark.ts";
import { DemandMeter } from "../serving/demandMeter.ts";
import type { HeaderCodec } from "../serving/exchange.ts";
import { EngineSpeed } from "../serving/engineSpeed.ts";
import { Fleet } from "../serving/fleet.ts";
import { LoadTracker } from "../serving/loadTracker.ts";
import { ModelWaitEstimator } from "../serving/modelWaitEstimator.ts";
import { PrefillFactors } from "../serving/prefillFactors.ts";
import { OutlierDetector } from "../serving/outlierDetector.ts";
import { OverloadDetector } from "../serving/overload.ts";
import { Quarantine } from "../serving/quarantine/quarantine.ts";
import { PermitIssuer } from "../serving/permits/permitIssuer.ts";
import { Permits } from "../serving/permits/permits.ts";
import { Refusals } from "../serving/refusals.ts";
import type { RouteTable } from "../serving/routeTable.ts";
import { ServerNotices } from "../serving/serverNotices.ts";
import { GatewayMetrics } from "./gatewayMetrics.ts";
import { UpstreamPool } from "./upstreamPool.ts";

/** The configuration in force on this node. */
export class ActiveConfiguration {
  private table: RouteTable | undefined;
  readonly changed = new Emitter<RouteTable>();

  /** The routes in force; undefined until a first configuration is known. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** Puts a configuration in force unless it is older than the one that is. */
  applyIfNewer(table: RouteTable): boolean {
    if (this.table !== undefined && table.version <= this.table.version) return false;
    this.table = table;
    this.changed.fire(table);
    return true;
  }
}

/** Asks the holder of the placement lease for a model or adapter. */
export interface PlacementClient {
  /** Resolves once the adapter was ordered or can't be; the fleet then shows where it is. */
  ensureAdapter(service: string, model: string, adapter: string): Promise<void>;
  /** Somebody waits for the model: tells the holder soon. */
  demandChanged(): void;
}

/** Requests that wait or run, counted by demand key or adapter key. */
export class RequestCounter {
  private readonly counts = new Map<string, number>();

  add(key: string): void {
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  remove(key: string): void {
    const left = (this.counts.get(key) ?? 0) - 1;
    if (left > 0) this.counts.set(key, left);
    else this.counts.delete(key);
  }

  has(key: string): boolean {
    return this.counts.has(key);
  }

  get(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  /** Counts by key, to tell peers. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}

/** The shared parts of one gateway node. */
export interface GatewayContext {
  readonly host: string;
  readonly zone: string;
  /** A server that said that it leaves may be sent requests for this long, ms. */
  readonly drainMs: number;
  readonly log: Log;
  readonly codec: HeaderCodec;
  readonly configuration: ActiveConfiguration;
  readonly fleet: Fleet;
  /** Fired when a server, or what it holds, was learned or lost, or a server may be sent to again. */
  readonly fleetChanged: Emitter<undefined>;
  readonly loads: LoadTracker;
  readonly outliers: OutlierDetector;
  /** Demand for models, by demand key. */
  readonly demand: DemandMeter;
  /** Demand for adapters, by adapter key. */
  readonly adapterDemand: DemandMeter;
  /** Requests waiting for a model that no engine holds, by demand key. */
  readonly waitingRequests: RequestCounter;
  /** Requests sent and not finished, by adapter key. */
  readonly adaptersRunning: RequestCounter;
  /** The same by residency key. */
  readonly modelsRunning: RequestCounter;
  readonly refusals: Refusals;
  /** What servers say of themselves in their answers. */
  readonly notices: ServerNotices;
  /** Permits to send to servers that name a rate limit. */
  readonly permits: Permits;
  /** Those that this node issues to all. */
  readonly permitIssuer: PermitIssuer;
  /** Requests under which servers end. */
  readonly quarantine: Quarantine;
  readonly modelWaits: ModelWaitEstimator;
  readonly prefillFactors: PrefillFactors;
  readonly engineSpeed: EngineSpeed;
  readonly pool: UpstreamPool;
  readonly metrics: GatewayMetrics;
  /** How far this process has read what arrived at its sockets. */
  readonly watermark: ReadWatermark;
  readonly overloadDetector: OverloadDetector;
}

/** What differs between nodes. */
export interface GatewayContextOptions extends Pick<
  GatewayContext,
  "host" | "zone" | "drainMs" | "log" | "codec"
> {
  /** Nodes that callers' requests are spread over now, this one included. */
  readonly nodes: () => number;
}

/** The parts as they are before anything was learned. */
export function createGatewayContext({ nodes, ...options }: GatewayContextOptions): GatewayContext {
  const notices = new ServerNotices();
  return {
    ...options,
    configuration: new ActiveConfiguration(),
    fleet: new Fleet(notices),
    fleetChanged: new Emitter(),
    loads: new LoadTracker(),
    outliers: new OutlierDetector(),
    demand: new DemandMeter({ nodeCount: nodes }),
    adapterDemand: new DemandMeter({ nodeCount: nodes }),
    waitingRequests: new RequestCounter(),
    adaptersRunning: new RequestCounter(),
    modelsRunning: new RequestCounter(),
    refusals: new Refusals(),
    notices,
    permits: new Permits(notices),
    permitIssuer: new PermitIssuer(),
    quarantine: new Quarantine(),
    modelWaits: new ModelWaitEstimator(),
    prefillFactors: new PrefillFactors(),
    engineSpeed: new EngineSpeed(),
    pool: new UpstreamPool(),
    metrics: new GatewayMetrics(),
    watermark: new ReadWatermark(),
    overloadDetector: new OverloadDetector(),
  };
}

/** The key under which demand for a model is counted. */
export function demandKey(service: string, model: string): string {
  return `${service} ${model}`;
}

/** The key under which requests at one engine are counted by model. */
export function residencyKey(serverId: string, model: string): string {
  return `${serverId} ${model}`;
}

/** The key under which demand for an adapter is counted. */
export function adapterKey(service: string, model: string, adapter: string): string {
  return `${service} ${model}/${adapter}`;
}
