/** State shared by the components of a gateway node: estimates used to route and admit requests, and change events. */
import type { Log } from "../common/log.ts";
import { Emitter } from "../common/emitter.ts";
import { ReadWatermark } from "../common/readWatermark.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import { CacheKnowledge } from "../serving/prefixCache/cacheKnowledge.ts";
import { SharedParts } from "../serving/prefixCache/sharedParts.ts";
import { ConcurrencyLimiter } from "../serving/concurrencyLimiter.ts";
import { Quotas, type QuotasOptions } from "../serving/customers/quotas.ts";
import { DecodingTracker } from "../serving/decoding/decodingTracker.ts";
import { DemandMeter } from "../serving/demandMeter.ts";
import type { HeaderCodec } from "../serving/exchange.ts";
import { EngineSpeed } from "../serving/engineSpeed.ts";
import { Fleet } from "../serving/fleet.ts";
import { LoadTracker } from "../serving/loadTracker.ts";
import { ModelWaitEstimator } from "../serving/modelWaitEstimator.ts";
import { PrefillFactors } from "../serving/prefillFactors.ts";
import { ServerReachability } from "../serving/serverReachability.ts";
import { OutlierDetector } from "../serving/outlierDetector.ts";
import { ServerPaces } from "../serving/pace/serverPaces.ts";
import { ServerSpeeds } from "../serving/pace/serverSpeeds.ts";
import { ServerTurns } from "../serving/pace/serverTurns.ts";
import { OverloadDetector } from "../serving/overload.ts";
import { Quarantine } from "../serving/quarantine/quarantine.ts";
import { PermitIssuer } from "../serving/permits/permitIssuer.ts";
import { Permits } from "../serving/permits/permits.ts";
import { Refusals } from "../serving/refusals.ts";
import { RequestCounter } from "../serving/requestCounter.ts";
import type { RunCopyClient } from "../serving/runTransfer/runCopyClient.ts";
import { StreamVersions } from "../serving/streams/streamVersions.ts";
import { VersionHistory } from "../serving/streams/versionHistory.ts";
import { ServerNotices } from "../serving/serverNotices.ts";
import { ResponseSizes } from "../serving/zones/responseSizes.ts";
import { ActiveConfiguration } from "./store/activeConfiguration.ts";
import { GatewayMetrics } from "./gatewayMetrics.ts";
import { RunTransfers } from "./runTransfer/runTransfers.ts";
import { SlotQueue } from "./requests/slotQueue.ts";
import { UpstreamPool } from "./requests/upstreamPool.ts";

/** An adapter that a request needs. */
export interface AdapterNeed {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  /** The software version of the engines that can serve the request; any if absent. */
  readonly softwareVersion?: string | undefined;
}

/** Requests models and adapters from the holder of the placement lease. */
export interface PlacementClient {
  /** Resolves once the adapter was ordered, with its location in the fleet, or can't be ordered now. */
  ensureAdapter(need: AdapterNeed): Promise<void>;
  /** Reports promptly to the lease holder that a request waits for a model. */
  demandChanged(): void;
}

/** Shared components of one gateway node. */
export interface GatewayContext {
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
  /** A server that announced its shutdown may be sent requests for this long, ms. */
  readonly drainMs: number;
  /** Bandwidth of the host's link, Mbit/s; undefined if the settings don't state it. */
  readonly linkMbps?: number | undefined;
  readonly log: Log;
  readonly codec: HeaderCodec;
  readonly configuration: ActiveConfiguration;
  readonly fleet: Fleet;
  /** Fired when a server or its residents change, or a server accepts requests again. */
  readonly fleetChanged: Emitter<undefined>;
  readonly loads: LoadTracker;
  /** Sizes of responses, by route. */
  readonly responseSizes: ResponseSizes;
  /** Prefill and running streams at engines whose streams have a gap limit. */
  readonly decoding: DecodingTracker;
  /** What engines have cached, and which prompt parts requests share. */
  readonly cacheKnowledge: CacheKnowledge;
  readonly sharedParts: SharedParts;
  readonly outliers: OutlierDetector;
  /** Speed of servers as observed by all nodes. */
  readonly speeds: ServerSpeeds;
  /** Limits of the requests in flight at servers that have just started or recovered. */
  readonly paces: ServerPaces;
  /** Which of the servers of a plain service this node sends the next request to. */
  readonly turns: ServerTurns;
  /** Which servers this node can connect to. */
  readonly reachability: ServerReachability;
  /** Demand for models, by demand key. */
  readonly demand: DemandMeter;
  /** Demand for adapters, by adapter key. */
  readonly adapterDemand: DemandMeter;
  /** Requests waiting for a model that no engine holds, by demand key. */
  readonly waitingRequests: RequestCounter;
  /** Requests in flight, by adapter key. */
  readonly adaptersRunning: RequestCounter;
  /** Requests in flight, by residency key. */
  readonly modelsRunning: RequestCounter;
  readonly refusals: Refusals;
  /** Rate limits, shutdowns and back-offs that servers state in their responses. */
  readonly notices: ServerNotices;
  /** Permits to send to rate-limited servers. */
  readonly permits: Permits;
  /** Grants permits to all nodes for the servers that this node owns. */
  readonly permitIssuer: PermitIssuer;
  /** Limits requests in flight at servers that fail if they have to reject many. */
  readonly concurrency: ConcurrencyLimiter;
  /** Requests that wait for a slot of such a server. */
  readonly slotQueue: SlotQueue;
  /** Limits on what customers use, over all nodes. */
  readonly quotas: Quotas;
  /** Copies of this node's runs at engines that can continue them. */
  readonly runTransfers: RunTransfers;
  /** Requests that crash servers. */
  readonly quarantine: Quarantine;
  /** Software versions of recent streams, and of each service's servers. */
  readonly streamVersions: StreamVersions;
  readonly versionHistory: VersionHistory;
  readonly modelWaits: ModelWaitEstimator;
  readonly prefillFactors: PrefillFactors;
  readonly engineSpeed: EngineSpeed;
  readonly pool: UpstreamPool;
  /** Source of the random numbers, from 0 to 1, that server choices depend on. */
  readonly random: () => number;
  readonly metrics: GatewayMetrics;
  /** Time up to which this process has read its sockets. */
  readonly watermark: ReadWatermark;
  readonly overloadDetector: OverloadDetector;
}

/** Options of `createGatewayContext`. */
export interface GatewayContextOptions extends Pick<
  GatewayContext,
  "host" | "ip" | "zone" | "drainMs" | "linkMbps" | "log" | "codec"
> {
  /** IPs of the nodes that can send requests to servers of the service. */
  readonly sendingNodes: (service: string) => readonly string[];
  /** Number of nodes that currently serve callers, including this one. */
  readonly nodeCount: () => number;
  readonly quotas: Omit<QuotasOptions, "nodeCount">;
  /** `Math.random` by default. */
  readonly random?: () => number;
  /** Has engines copy runs; absent if they can't. */
  readonly runCopies?: RunCopyClient | undefined;
}

/** Creates the components in their initial state. */
export function createGatewayContext({
  nodeCount,
  sendingNodes,
  quotas,
  random = Math.random,
  runCopies: client,
  ...options
}: GatewayContextOptions): GatewayContext {
  const notices = new ServerNotices();
  const fleet = new Fleet(notices);
  const servers = (service: string): readonly BackendServer[] => fleet.available(service);
  const speeds = new ServerSpeeds({ servers });
  return {
    ...options,
    random,
    configuration: new ActiveConfiguration(),
    fleet,
    fleetChanged: new Emitter(),
    loads: new LoadTracker(),
    responseSizes: new ResponseSizes(),
    decoding: new DecodingTracker(),
    cacheKnowledge: new CacheKnowledge(),
    sharedParts: new SharedParts(),
    outliers: new OutlierDetector(),
    speeds,
    paces: new ServerPaces({ speeds, servers, nodeCount: (service) => sendingNodes(service).length }),
    turns: new ServerTurns({ random }),
    reachability: new ServerReachability(),
    demand: new DemandMeter({ nodeCount }),
    adapterDemand: new DemandMeter({ nodeCount }),
    waitingRequests: new RequestCounter(),
    adaptersRunning: new RequestCounter(),
    modelsRunning: new RequestCounter(),
    refusals: new Refusals(),
    notices,
    permits: new Permits(notices),
    permitIssuer: new PermitIssuer(),
    concurrency: new ConcurrencyLimiter({
      self: options.ip,
      nodes: sendingNodes,
      servers,
    }),
    slotQueue: new SlotQueue(),
    quotas: new Quotas({ ...quotas, nodeCount }),
    runTransfers: new RunTransfers({ client, nodeCount: (service) => sendingNodes(service).length }),
    quarantine: new Quarantine(),
    streamVersions: new StreamVersions(),
    versionHistory: new VersionHistory(),
    modelWaits: new ModelWaitEstimator(),
    prefillFactors: new PrefillFactors(),
    engineSpeed: new EngineSpeed(),
    pool: new UpstreamPool(),
    metrics: new GatewayMetrics(),
    watermark: new ReadWatermark(),
    overloadDetector: new OverloadDetector(),
  };
}

/** Key of the demand for a model. */
export function demandKey(service: string, model: string): string {
  return `${service} ${model}`;
}

/** Key of the requests at one engine for one model. */
export function residencyKey(serverId: string, model: string): string {
  return `${serverId} ${model}`;
}

/** Key of the demand for an adapter. */
export function adapterKey(service: string, model: string, adapter: string): string {
  return `${service} ${model}/${adapter}`;
}
