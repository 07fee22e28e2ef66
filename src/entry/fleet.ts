/**
 * The entry node's view of the backend engines: addresses from the host list, state from each engine's
 * own status report. An engine that is leaving (host list) or unreachable is not offered for new work.
 */
import * as Schema from "effect/Schema";
import * as protocol from "../common/engineProtocol.ts";
import type { Log } from "../common/log.ts";
import { Host, type PlatformClient } from "../common/platformClient.ts";
import { RpcClient, type RpcTraffic } from "../common/rpc.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { Peers } from "./peers.ts";

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
  /** Consecutive failed status polls and requests, and when the first of them was, epoch ms. */
  failures: number;
  failingSince: number;
  /** Requests this entry node has in flight there. */
  inFlight: number;
  /** The same when its last report arrived: what the report's load already counts of ours. */
  inFlightAtReport: number;
}

/**
 * Takes a status an engine gave. Guards "a model is placed twice": the answer to a poll sent before an
 * order may arrive after the order's own and would take back the copy just ordered, so an older
 * revision of the same boot is passed over.
 */
export function learnStatus(engine: Engine, status: protocol.EngineStatus): void {
  const known = engine.status;
  if (known?.boot === status.boot && known.revision > status.revision) return;
  engine.status = status;
}

function countFailure(engine: Engine): void {
  if (engine.failures === 0) engine.failingSince = Date.now();
  engine.failures += 1;
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
  /** Asked while the host list cannot be. */
  readonly peers?: Peers;
  readonly log: Log;
  readonly pollMs?: number;
  /** Timeout of one status call, in ms: a silent connection counts as a failure after it. */
  readonly statusTimeoutMs?: number;
  /** How long an engine may fail before its copies count as lost, in ms. */
  readonly lostMs?: number;
  /** Where status polls are counted. */
  readonly traffic?: RpcTraffic;
}

const defaults = { pollMs: 500, statusTimeoutMs: 1000, lostMs: 3000 };
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
    return this.staying().filter((engine) => engine.failures < failuresToEject);
  }

  /**
   * Engines whose copies placement counts on: those usable, and those that have failed only for a moment.
   * Guards "a hiccup sets off a wave of moves": an engine not heard from for two polls most likely still
   * has its models; placing them elsewhere at once pushes out others' models for nothing.
   */
  present(): Engine[] {
    const horizon = Date.now() - this.options.lostMs;
    return this.staying().filter(
      (engine) => engine.failures < failuresToEject || engine.failingSince > horizon,
    );
  }

  /** Every known engine. */
  all(): Engine[] {
    return [...this.engines.values()];
  }

  /** The engine hosts known, for a peer that cannot reach the host list. */
  known(): Host[] {
    return this.all().map(({ address, zone, listedLeaving }) => ({
      address,
      zone,
      kind: "engine",
      state: listedLeaving ? "leaving" : "live",
    }));
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
    if (engine !== undefined) countFailure(engine);
  }

  /**
   * The engine cut an answer off, so its process may have ended. It gets nothing until it reports again: what is known of
   * it, its boot above all, is of the process before.
   */
  noteCut(address: string): void {
    const engine = this.engines.get(address);
    while (engine !== undefined && engine.failures < failuresToEject) countFailure(engine);
  }

  /** An engine says it no longer has `model`; not routed there again until it reports so. */
  forgetCopy(address: string, model: string): void {
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
  private staying(): Engine[] {
    return this.all().filter(
      (engine) => !engine.listedLeaving && !engine.noticed && engine.status !== undefined,
    );
  }

  /** The host list; a peer's copy of it if this node knows no host yet; undefined to keep what is known. */
  private async hosts(): Promise<readonly Host[] | undefined> {
    const { platform, peers, log } = this.options;
    try {
      return await platform.hosts();
    } catch (error) {
      log.warn({ event: "host-list-unavailable", error: String(error) });
      if (peers === undefined || this.engines.size > 0) return undefined;
      return peers.ask("hosts.known", {}, Schema.Array(Host)).catch(() => undefined);
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
        noticed: false,
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
      if (report.status !== undefined) learnStatus(engine, report.status);
      if (engine.status !== undefined) engine.status = { ...engine.status, load: report.load };
      // Guards "a leaving server keeps getting work": the host list lags by seconds, the engine's own
      // drain notice is seen on the next poll (pollMs), so routing stops well inside the 3 s bound.
      // Guards "a restarted server gets no work ever again": notice given ends with the boot that gave it.
      engine.noticed = report.draining || (engine.noticed && !restarted);
      engine.failures = 0;
      engine.inFlightAtReport = engine.inFlight;
    } catch {
      countFailure(engine);
    }
  }
}
