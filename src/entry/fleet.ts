/**
 * The entry node's view of the backend engines: addresses from the host list, state from each engine's
 * own status report. An engine that is leaving (host list) or unreachable is not offered for new work.
 */
import * as protocol from "../common/engineProtocol.ts";
import type { Log } from "../common/log.ts";
import type { Host, PlatformClient } from "../common/platformClient.ts";
import { RpcClient, type Traffic } from "../common/rpc.ts";
import { PeriodicTask } from "../common/supervisor.ts";

/** One engine as this entry node sees it. */
export interface Engine {
  readonly address: string;
  readonly zone: string;
  readonly rpc: RpcClient;
  status: protocol.EngineStatus | undefined;
  /** The host list says it is leaving. */
  listedLeaving: boolean;
  /** The engine itself gave notice to leave, in the boot it is still in. */
  noticed: boolean;
  /** Consecutive failed status polls. */
  failures: number;
  /** Requests this entry node has in flight there. */
  inFlight: number;
  /** The same when its last report arrived: what the report's load already counts of ours. */
  inFlightAtReport: number;
}

/**
 * Streams running or queued on an engine: its lagging report plus what this node sent since. Its own
 * streams in the report are not counted twice, and never fewer than it knows of itself.
 */
export function estimatedLoad(engine: Engine): number {
  const since = engine.inFlight - engine.inFlightAtReport;
  return Math.max(engine.inFlight, (engine.status?.load ?? 0) + since);
}

/** Options of a `Fleet`. */
export interface FleetOptions {
  readonly platform: PlatformClient;
  readonly log: Log;
  readonly pollMs?: number;
  /** Timeout of one status call, in ms: a silent connection counts as a failure after it. */
  readonly statusTimeoutMs?: number;
  /** Where status polls are counted. */
  readonly traffic?: Traffic;
}

const defaults = { pollMs: 500, statusTimeoutMs: 1000 };
/** Failed polls after which an engine is taken out of routing. */
const failuresToEject = 2;

/** Keeps engines' statuses fresh; owns one RPC client per engine. */
export class Fleet extends PeriodicTask {
  private readonly engines = new Map<string, Engine>();
  private readonly options: FleetOptions & typeof defaults;

  constructor(options: FleetOptions) {
    super("fleet", options.pollMs ?? defaults.pollMs, options.log);
    this.options = { ...defaults, ...options };
  }

  /** Engines that may take new work: reachable and not leaving. */
  usable(): Engine[] {
    return [...this.engines.values()].filter(
      (engine) =>
        !engine.listedLeaving &&
        !engine.noticed &&
        engine.failures < failuresToEject &&
        engine.status !== undefined,
    );
  }

  /** Every known engine. */
  all(): Engine[] {
    return [...this.engines.values()];
  }

  /** Marks an engine leaving at once (its own drain notice, or a failed request), before the host list says so. */
  markLeaving(address: string): void {
    const engine = this.engines.get(address);
    if (engine !== undefined) engine.noticed = true;
  }

  /**
   * A request to the engine broke. Guards "requests keep going to a dead engine until the next polls":
   * broken requests count like failed polls, and the next good poll clears them.
   */
  noteFailure(address: string): void {
    const engine = this.engines.get(address);
    if (engine !== undefined) engine.failures += 1;
  }

  protected async step(): Promise<void> {
    let hosts: readonly Host[] | undefined;
    try {
      hosts = await this.options.platform.hosts();
    } catch (error) {
      // The host list is down: keep polling the engines already known.
      this.options.log.warn({ event: "host-list-unavailable", error: String(error) });
    }
    if (hosts !== undefined) this.reconcile(hosts.filter((host) => host.kind === "engine"));
    await Promise.all([...this.engines.values()].map((engine) => this.pollEngine(engine)));
  }

  private reconcile(hosts: readonly Host[]): void {
    const listed = new Set(hosts.map((host) => host.address));
    for (const engine of this.engines.values())
      if (!listed.has(engine.address) && engine.failures >= failuresToEject)
        this.engines.delete(engine.address);
    for (const host of hosts) {
      const known = this.engines.get(host.address);
      if (known !== undefined) {
        known.listedLeaving = host.state === "leaving";
        continue;
      }
      this.engines.set(host.address, {
        address: host.address,
        zone: host.zone,
        rpc: new RpcClient({
          url: host.address,
          timeoutMs: this.options.statusTimeoutMs,
          traffic: this.options.traffic,
        }),
        status: undefined,
        listedLeaving: host.state === "leaving",
        noticed: false,
        failures: 0,
        inFlight: 0,
        inFlightAtReport: 0,
      });
    }
  }

  private async pollEngine(engine: Engine): Promise<void> {
    try {
      const status = await engine.rpc.call("engine.status", {}, protocol.EngineStatus);
      // Guards "a leaving server keeps getting work": the host list lags by seconds, the engine's own
      // drain notice is seen on the next poll (pollMs), so routing stops well inside the 3 s bound.
      // Guards "a restarted server gets no work ever again": notice given ends with the boot that gave it.
      const restarted = engine.status?.boot !== status.boot;
      engine.noticed = status.draining || (engine.noticed && !restarted);
      engine.status = status;
      engine.failures = 0;
      engine.inFlightAtReport = engine.inFlight;
    } catch {
      engine.failures += 1;
    }
  }
}
