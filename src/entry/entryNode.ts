/**
 * One entry node, the older of the two roles that serve callers (the other is in `src/gateway`): a supervisor over its
 * tasks (config watcher, fleet, membership, placement, HTTP server).
 * `drain` is the graceful shutdown: stop advertising, reject new requests with a retry hint, finish those in flight.
 */
import * as http from "node:http";
import * as Schema from "effect/Schema";
import { DisposableStore } from "../common/disposables.ts";
import { close, listen } from "../common/http.ts";
import { createLog } from "../common/log.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { decodeParams, RpcEndpoint, RpcTraffic } from "../common/rpc.ts";
import { Supervisor } from "../common/supervisor.ts";
import { planners, type PlacementPolicy } from "../placement/planners.ts";
import { Admission } from "./admission.ts";
import { CompletionProxy } from "./completionProxy.ts";
import { Completions } from "./completions.ts";
import { ConfigWatcher } from "./configWatcher.ts";
import { DemandAggregator } from "./demandAggregator.ts";
import { DemandMeter } from "./demandMeter.ts";
import { DemandReport, type DemandReceipt } from "./demandReport.ts";
import { DemandReporter } from "./demandReporter.ts";
import { CompletionQuarantine, quarantineMethod } from "./completionQuarantine.ts";
import { EntryServer } from "./entryServer.ts";
import { Fleet } from "./fleet.ts";
import { Lease } from "./lease.ts";
import { Ledger } from "./ledger.ts";
import { LoadBudget } from "./loadBudget.ts";
import { Membership } from "./membership.ts";
import { EntryMetrics } from "./metrics.ts";
import { Peers } from "./peers.ts";
import { PlacementController } from "./placementController.ts";
import { Quarantine, QuarantineUpdate } from "../serving/quarantine/quarantine.ts";
import { RetryBudget } from "../serving/retryBudget.ts";
import { Router } from "./router.ts";
import type { RoutingPolicy } from "./routingPolicies.ts";
import { ServiceTimes } from "./serviceTimes.ts";
import { ServiceCaller } from "./serviceCaller.ts";

const Since = Schema.Struct({ since: Schema.Number });

/** Options of an `EntryNode`. */
export interface EntryNodeOptions {
  readonly id: string;
  readonly zone: string;
  readonly platformUrl: string;
  readonly host?: string;
  readonly port?: number;
  /** Address advertised to callers; defaults to `http://host:port`. */
  readonly advertise?: string;
  readonly pollMs?: number;
  readonly defaultDeadlineMs?: number;
  readonly attempts?: number;
  readonly drainMs?: number;
  readonly idleTimeoutMs?: number;
  readonly leaseTtlMs?: number;
  /** Addresses of other entry nodes, queried for the configuration while the platform is unreachable. */
  readonly peers?: readonly string[];
  /** Placement policy, from the lookup table in `placement/planners.ts`. */
  readonly placement?: PlacementPolicy;
  /** Routing policy, from the lookup table in `routingPolicies.ts`. */
  readonly routing?: RoutingPolicy;
  /** Whether requests that cannot be served in time are rejected on arrival. */
  readonly admission?: boolean;
  /** The weight store's rate and concurrency limits, which placement observes. */
  readonly loadsPerSecond?: number;
  readonly loadsAtOnce?: number;
}

const defaults = {
  host: "127.0.0.1",
  port: 0,
  pollMs: 500,
  defaultDeadlineMs: 30_000,
  attempts: 2,
  drainMs: 20_000,
  idleTimeoutMs: 5000,
  placement: "demand" as PlacementPolicy,
  routing: "balanced" as RoutingPolicy,
  admission: true,
  loadsPerSecond: 1,
  loadsAtOnce: 5,
};

/** Builds, starts and stops one entry node. */
export class EntryNode {
  readonly metrics = new EntryMetrics();
  /** Control-plane calls and bytes of this node (platform and engine RPCs). */
  readonly traffic = new RpcTraffic();
  readonly config: ConfigWatcher;
  readonly fleet: Fleet;
  /** The bound port, after `start`. */
  port = 0;
  private readonly options: EntryNodeOptions & typeof defaults;
  private readonly log;
  private readonly store = new DisposableStore();
  private readonly platform: PlatformClient;
  private readonly times = new ServiceTimes();
  private readonly meter: DemandMeter;
  private readonly demandAggregator = new DemandAggregator();
  private readonly quarantine: CompletionQuarantine;
  private membership: Membership | undefined;
  private server: EntryServer | undefined;

  constructor(options: EntryNodeOptions) {
    this.options = { ...defaults, ...options };
    this.log = createLog(`entry:${options.id}`);
    this.platform = new PlatformClient({ url: options.platformUrl, traffic: this.traffic });
    const peers = new Peers({ addresses: this.options.peers, traffic: this.traffic });
    this.quarantine = new CompletionQuarantine({ quarantine: new Quarantine(), peers, log: this.log });
    this.config = new ConfigWatcher({
      platform: this.platform,
      peers,
      log: this.log,
      pollMs: this.options.pollMs,
    });
    this.fleet = new Fleet({
      platform: this.platform,
      peers,
      log: this.log,
      pollMs: this.options.pollMs,
      traffic: this.traffic,
    });
    this.meter = new DemandMeter({
      node: options.id,
      serviceMs: (model) => this.times.meanMs(model),
    });
  }

  /** Binds the port, then starts the tasks; resolves with the port. */
  async start(): Promise<number> {
    const httpServer = http.createServer();
    this.port = await listen(httpServer, this.options.host, this.options.port);
    const advertise = this.options.advertise ?? `http://${this.options.host}:${this.port}`;
    this.membership = new Membership({
      platform: this.platform,
      log: this.log,
      self: { id: this.options.id, address: advertise, zone: this.options.zone },
    });
    const lease = new Lease({
      platform: this.platform,
      key: "leases/placement",
      holder: this.options.id,
      address: advertise,
      ttlMs: this.options.leaseTtlMs,
    });
    const placementController = this.placementController(lease);
    const handleReport = (report: DemandReport): DemandReceipt => {
      const wantsFull = this.demandAggregator.record(report);
      if (report.models.some((model) => model.waiting > 0)) placementController.plan();
      return { wantsFull, coming: placementController.pendingModels() };
    };
    const reporter = this.reporter(lease, handleReport);
    this.server = new EntryServer({
      config: this.config,
      completions: this.completions(reporter),
      services: new ServiceCaller(this.store.add(new Ledger({ platform: this.platform }))),
      membership: this.membership,
      rpc: new RpcEndpoint({
        "config.rows": (params) => Promise.resolve(this.config.rowsSince(decodeParams(Since, params).since)),
        "hosts.known": () => Promise.resolve(this.fleet.known()),
        [quarantineMethod]: (params) => {
          this.quarantine.applyUpdate(decodeParams(QuarantineUpdate, params));
          return Promise.resolve({});
        },
        "placement.demand": (params) => Promise.resolve(handleReport(decodeParams(DemandReport, params))),
      }),
      metrics: this.metrics,
      log: this.log,
      defaultDeadlineMs: this.options.defaultDeadlineMs,
      addressesTtlSeconds: 5,
    });
    httpServer.on("request", this.server.listener);
    this.store.add(() => close(httpServer));
    const tasks = new Supervisor(
      `entry:${this.options.id}`,
      [this.config, this.fleet, this.membership, placementController, reporter],
      this.log,
    );
    await tasks.start();
    this.store.add(tasks);
    this.log.info({ event: "listening", port: this.port, zone: this.options.zone, advertise });
    return this.port;
  }

  /** Graceful shutdown: stops advertising, rejects new requests, waits up to `drainMs` for those in flight, then stops. */
  async drain(): Promise<void> {
    if (this.server !== undefined) this.server.draining = true;
    await this.membership?.drain();
    const until = Date.now() + this.options.drainMs;
    while ((this.server?.inFlight ?? 0) > 0 && Date.now() < until)
      await new Promise((r) => setTimeout(r, 20));
    this.log.info({ event: "drained", leftInFlight: this.server?.inFlight ?? 0 });
    await this.dispose();
  }

  /** Stops without draining. */
  async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private completions(reporter: DemandReporter): Completions {
    const { attempts, idleTimeoutMs, zone, routing, admission } = this.options;
    return new Completions({
      router: new Router({ fleet: this.fleet, log: this.log, zone, policy: routing }),
      fleet: this.fleet,
      proxy: this.store.add(new CompletionProxy({ idleTimeoutMs })),
      admission: new Admission({ times: this.times, enabled: admission }),
      times: this.times,
      meter: this.meter,
      retries: new RetryBudget(),
      quarantine: this.quarantine,
      log: this.log,
      attempts,
      demandReporter: reporter,
    });
  }

  private placementController(lease: Lease): PlacementController {
    const { loadsPerSecond, loadsAtOnce, placement, pollMs } = this.options;
    return new PlacementController({
      config: this.config,
      fleet: this.fleet,
      demandAggregator: this.demandAggregator,
      lease,
      budget: new LoadBudget({ loadsPerSecond, loadsAtOnce }),
      planner: planners[placement],
      metrics: this.metrics,
      log: this.log,
      everyMs: pollMs,
    });
  }

  private reporter(lease: Lease, handleReport: (report: DemandReport) => DemandReceipt): DemandReporter {
    return new DemandReporter({
      meter: this.meter,
      handleReport,
      lease,
      log: this.log,
      everyMs: this.options.pollMs,
      traffic: this.traffic,
    });
  }
}
