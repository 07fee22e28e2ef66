/**
 * The entry node's view of the backend engines: addresses from the host list, state from each engine's own
 * status report. An engine that is leaving (by the host list or its own report) or unreachable gets no new work.
 */
import * as Schema from "effect/Schema";
import * as protocol from "../common/engineProtocol.ts";
import type { Log } from "../common/log.ts";
import { Host, type PlatformClient } from "../common/platformClient.ts";
import { RpcClient, type RpcTraffic } from "../common/rpc.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { Peers } from "./peers.ts";

/** One engine as known to this entry node. */
export interface Engine {
  readonly address: string;
  readonly zone: string;
  readonly rpc: RpcClient;
  status: protocol.EngineStatus | undefined;
  /** Marked as leaving in the host list. */
  listedLeaving: boolean;
  /** The engine itself reported that it is draining, in its current boot. */
  reportedDraining: boolean;
  /** Consecutive failed status polls and requests, and the time of the first of them, epoch ms. */
  failures: number;
  failingSince: number;
  /** Requests this entry node has in flight there. */
  inFlight: number;
  /** `inFlight` when the last report arrived: the part of the reported load that came from this node. */
  inFlightAtReport: number;
}

/**
 * Applies an engine's status. The response to a poll sent before an order may arrive after the order's own
 * response and would undo the replica just ordered, so that the model would be placed twice; an older
 * revision of the same boot is therefore ignored.
 */
export function applyStatus(engine: Engine, status: protocol.EngineStatus): void {
  const known = engine.status;
  if (known?.boot === status.boot && known.revision > status.revision) return;
  engine.status = status;
}

function countEngineFailure(engine: Engine): void {
  if (engine.failures === 0) engine.failingSince = Date.now();
  engine.failures += 1;
}

/**
 * Streams running or queued on an engine: the load of its last report plus what this node has sent since.
 * This node's own streams in the report aren't counted twice, and the result is never below its own count.
 */
export function estimatedLoad(engine: Engine): number {
  const since = engine.inFlight - engine.inFlightAtReport;
  return Math.max(engine.inFlight, (engine.status?.load ?? 0) + since);
}

/** Options of a `Fleet`. */
export interface FleetOptions {
  readonly platform: PlatformClient;
  /** Queried while the host list is unavailable. */
  readonly peers?: Peers;
  readonly log: Log;
  readonly pollMs?: number;
  /** Timeout of one status call, in ms; an unresponsive connection counts as a failure after it. */
  readonly statusTimeoutMs?: number;
  /** How long an engine may be failing before its replicas count as lost, in ms. */
  readonly lostAfterMs?: number;
  /** Where status polls are counted. */
  readonly traffic?: RpcTraffic;
}

const defaults = { pollMs: 500, statusTimeoutMs: 1000, lostAfterMs: 3000 };
/** Consecutive failures after which an engine is ejected from routing. */
const failuresToEject = 2;

/** Keeps engines' statuses fresh; owns one RPC client per engine. */
export class Fleet extends PeriodicTask {
  private readonly engines = new Map<string, Engine>();
  private readonly options: FleetOptions & typeof defaults;

  constructor(options: FleetOptions) {
    super("fleet", options.pollMs ?? defaults.pollMs, options.log);
    this.options = { ...defaults, ...options };
  }

  /** Engines that may get new requests: reachable and not leaving. */
  usable(): Engine[] {
    return this.notLeaving().filter((engine) => engine.failures < failuresToEject);
  }

  /**
   * Engines whose replicas placement counts: the usable ones, and those failing for less than `lostAfterMs`. An
   * engine that missed two polls most likely still has its models; placing them elsewhere at once would
   * evict other models for a transient failure.
   */
  present(): Engine[] {
    const failingCutoff = Date.now() - this.options.lostAfterMs;
    return this.notLeaving().filter(
      (engine) => engine.failures < failuresToEject || engine.failingSince > failingCutoff,
    );
  }

  /** Every known engine. */
  all(): Engine[] {
    return [...this.engines.values()];
  }

  /** The known engine hosts, for a peer that cannot reach the host list. */
  known(): Host[] {
    return this.all().map(({ address, zone, listedLeaving }) => ({
      address,
      zone,
      kind: "engine",
      state: listedLeaving ? "leaving" : "live",
    }));
  }

  /** Marks an engine as leaving at once (it rejected a request as draining), before the host list shows it. */
  markLeaving(address: string): void {
    const engine = this.engines.get(address);
    if (engine !== undefined) engine.reportedDraining = true;
  }

  /**
   * Records a failed request to the engine. Failed requests count like failed polls, so that a dead engine gets
   * no more requests before the next polls; the next successful poll clears them.
   */
  recordFailure(address: string): void {
    const engine = this.engines.get(address);
    if (engine !== undefined) countEngineFailure(engine);
  }

  /**
   * Records a connection that the engine closed before the response was complete, as its process may have crashed.
   * It gets no requests until it reports again: its last status, above all its boot id, may be of the previous process.
   */
  recordConnectionLoss(address: string): void {
    const engine = this.engines.get(address);
    while (engine !== undefined && engine.failures < failuresToEject) countEngineFailure(engine);
  }

  /** Records that an engine no longer has `model`; requests for it aren't routed there until the engine reports it again. */
  forgetReplica(address: string, model: string): void {
    const engine = this.engines.get(address);
    if (engine?.status === undefined) return;
    const residents = engine.status.residents.filter((resident) => resident.model !== model);
    engine.status = { ...engine.status, residents, revision: -1 };
  }

  protected async step(): Promise<void> {
    const hosts = await this.hosts();
    if (hosts !== undefined) this.reconcile(hosts.filter((host) => host.kind === "engine"));
    await Promise.all([...this.engines.values()].map((engine) => this.pollEngine(engine)));
  }

  /** Engines that have reported and are not leaving, failing ones included. */
  private notLeaving(): Engine[] {
    return this.all().filter(
      (engine) => !engine.listedLeaving && !engine.reportedDraining && engine.status !== undefined,
    );
  }

  /** The host list; if unavailable and no host is known yet, a peer's; undefined to keep the known hosts. */
  private async hosts(): Promise<readonly Host[] | undefined> {
    const { platform, peers, log } = this.options;
    try {
      return await platform.hosts();
    } catch (error) {
      log.warn({ event: "host-list-unavailable", error: String(error) });
      if (peers === undefined || this.engines.size > 0) return undefined;
      return peers.callAny("hosts.known", {}, Schema.Array(Host)).catch(() => undefined);
    }
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
        reportedDraining: false,
        failures: 0,
        failingSince: 0,
        inFlight: 0,
        inFlightAtReport: 0,
      });
    }
  }

  private async report(engine: Engine): Promise<protocol.EngineReport> {
    const { boot, revision } = engine.status ?? {};
    const known = boot === undefined ? {} : { boot, revision };
    return engine.rpc.call("engine.report", known, protocol.EngineReport);
  }

  private async pollEngine(engine: Engine): Promise<void> {
    try {
      const report = await this.report(engine);
      const restarted = report.status !== undefined && report.status.boot !== engine.status?.boot;
      if (report.status !== undefined) applyStatus(engine, report.status);
      if (engine.status !== undefined) engine.status = { ...engine.status, load: report.load };
      // The host list lags by seconds, but the engine's own drain notice arrives with the next poll (pollMs), so
      // routing to a leaving engine stops well within the 3 s bound. The notice is valid only for the boot that
      // gave it; otherwise a restarted engine would never get requests again.
      engine.reportedDraining = report.draining || (engine.reportedDraining && !restarted);
      engine.failures = 0;
      engine.inFlightAtReport = engine.inFlight;
    } catch {
      countEngineFailure(engine);
    }
  }
}
