/**
 * One entry node: a supervisor over its tasks (config watcher, fleet, membership, placer, HTTP server).
 * `drain` is the graceful stop: unadvertise, refuse new work with a retry hint, finish what is in flight.
 */
import * as http from "node:http";
import { DisposableStore } from "../common/disposables.ts";
import { close, listen } from "../common/http.ts";
import { createLog } from "../common/log.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { Traffic } from "../common/rpc.ts";
import { Supervisor } from "../common/supervisor.ts";
import { CompletionProxy } from "./completionProxy.ts";
import { ConfigWatcher } from "./configWatcher.ts";
import { EntryServer } from "./entryServer.ts";
import { Fleet } from "./fleet.ts";
import { Ledger } from "./ledger.ts";
import { Membership } from "./membership.ts";
import { EntryMetrics } from "./metrics.ts";
import { Placer } from "./placer.ts";
import { Router } from "./router.ts";
import { ServiceCaller } from "./serviceCaller.ts";

/** Options of an `EntryNode`. */
export interface EntryNodeOptions {
  readonly id: string;
  readonly zone: string;
  readonly platformUrl: string;
  readonly host?: string;
  readonly port?: number;
  /** Address callers are told to use; defaults to `http://host:port`. */
  readonly advertise?: string;
  readonly pollMs?: number;
  readonly defaultDeadlineMs?: number;
  readonly attempts?: number;
  readonly drainMs?: number;
  readonly idleTimeoutMs?: number;
  readonly leaseTtlMs?: number;
}

const defaults = {
  host: "127.0.0.1",
  port: 0,
  pollMs: 500,
  defaultDeadlineMs: 30_000,
  attempts: 2,
  drainMs: 20_000,
  idleTimeoutMs: 5000,
};

/** Builds, starts and stops one entry node. */
export class EntryNode {
  readonly metrics = new EntryMetrics();
  /** Control-plane calls and bytes of this node (platform and engine RPCs). */
  readonly traffic = new Traffic();
  readonly config: ConfigWatcher;
  readonly fleet: Fleet;
  readonly placer: Placer;
  /** The bound port, after `start`. */
  port = 0;
  private readonly options: EntryNodeOptions & typeof defaults;
  private readonly log;
  private readonly store = new DisposableStore();
  private readonly platform: PlatformClient;
  private membership: Membership | undefined;
  private server: EntryServer | undefined;

  constructor(options: EntryNodeOptions) {
    this.options = { ...defaults, ...options };
    this.log = createLog(`entry:${options.id}`);
    this.platform = new PlatformClient({ url: options.platformUrl, traffic: this.traffic });
    this.config = new ConfigWatcher({ platform: this.platform, log: this.log, pollMs: this.options.pollMs });
    this.fleet = new Fleet({
      platform: this.platform,
      log: this.log,
      pollMs: this.options.pollMs,
      traffic: this.traffic,
    });
    this.placer = new Placer({
      platform: this.platform,
      config: this.config,
      fleet: this.fleet,
      metrics: this.metrics,
      log: this.log,
      nodeId: options.id,
      everyMs: this.options.pollMs,
      leaseTtlMs: this.options.leaseTtlMs,
    });
  }

  /** Binds the port, then starts the tasks; resolves with the port. */
  async start(): Promise<number> {
    const proxy = new CompletionProxy({ idleTimeoutMs: this.options.idleTimeoutMs });
    this.store.add(() => {
      proxy.dispose();
    });
    const httpServer = http.createServer();
    this.port = await listen(httpServer, this.options.host, this.options.port);
    const advertise = this.options.advertise ?? `http://${this.options.host}:${this.port}`;
    this.membership = new Membership({
      platform: this.platform,
      log: this.log,
      self: { id: this.options.id, address: advertise, zone: this.options.zone },
    });
    this.server = new EntryServer({
      config: this.config,
      router: new Router({ fleet: this.fleet, log: this.log, zone: this.options.zone }),
      fleet: this.fleet,
      proxy,
      services: new ServiceCaller(new Ledger(this.platform)),
      membership: this.membership,
      metrics: this.metrics,
      log: this.log,
      defaultDeadlineMs: this.options.defaultDeadlineMs,
      attempts: this.options.attempts,
      addressesTtlSeconds: 5,
    });
    httpServer.on("request", this.server.listener);
    this.store.add(() => close(httpServer));
    const tasks = new Supervisor(
      `entry:${this.options.id}`,
      [this.config, this.fleet, this.membership, this.placer],
      this.log,
    );
    await tasks.start();
    this.store.add(tasks);
    this.log.info({ event: "listening", port: this.port, zone: this.options.zone, advertise });
    return this.port;
  }

  /** Graceful stop: unadvertise, refuse new work, wait for in-flight requests (up to `drainMs`), then stop. */
  async drain(): Promise<void> {
    if (this.server !== undefined) this.server.draining = true;
    await this.membership?.drain();
    const until = Date.now() + this.options.drainMs;
    while ((this.server?.inFlight ?? 0) > 0 && Date.now() < until)
      await new Promise((r) => setTimeout(r, 20));
    this.log.info({ event: "drained", leftInFlight: this.server?.inFlight ?? 0 });
    await this.dispose();
  }

  /** Stops at once. */
  async dispose(): Promise<void> {
    await this.store.dispose();
  }
}
