/** Copies of the runs of one node: what they occupy, and a timer that checks the engines of the runs. */
import type { Disposable } from "../../common/disposables.ts";
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import { CopyUsage } from "../../serving/runTransfer/copyUsage.ts";
import type { RunCopyClient } from "../../serving/runTransfer/runCopyClient.ts";

/** Period in which the engines of runs are checked, ms: an engine may leave within a second or two. */
const checkPeriodMs = 200;

/** Maximum number of engines of which something is remembered; they are known again after the next call or check. */
const maxEngines = 1_000;

/** A run that another engine could continue. */
export interface WatchedRun {
  readonly requestId: string;
  /** Called periodically while the run goes on. */
  check(nowMs: number): void;
}

/** Options of `RunTransfers`. */
export interface RunTransfersOptions {
  /** Has engines copy runs; undefined if they can't. */
  readonly client: RunCopyClient | undefined;
  /** Number of nodes that send requests to the service. */
  readonly nodeCount: (service: string) => number;
}

/** The watched runs of one node. */
export class RunTransfers {
  readonly usage = new CopyUsage();
  private readonly runs = new Map<string, WatchedRun>();
  private timer: NodeJS.Timeout | undefined;
  /** Incarnations of engines that don't know the calls that copy runs. */
  private readonly unsupported = new Set<string>();
  /** When engines that leave end, by incarnation, ms. */
  private readonly ends = new Map<string, number>();

  constructor(private readonly options: RunTransfersOptions) {}

  nodeCount(service: string): number {
    return Math.max(1, this.options.nodeCount(service));
  }

  /** Whether a run with the id is watched: engines tell copies apart by it, and callers may use an id twice. */
  isWatched(requestId: string): boolean {
    return this.runs.has(requestId);
  }

  /** Checks the run until the result is disposed. */
  watch(run: WatchedRun): Disposable {
    this.runs.set(run.requestId, run);
    this.timer ??= setInterval(() => {
      this.check();
    }, checkPeriodMs).unref();
    return {
      dispose: () => {
        this.runs.delete(run.requestId);
        if (this.runs.size > 0) return;
        clearInterval(this.timer);
        this.timer = undefined;
      },
    };
  }

  /** Calls engines; undefined if none knows the calls. */
  get client(): RunCopyClient | undefined {
    return this.options.client;
  }

  supportsMoves(server: BackendServer): boolean {
    return this.client !== undefined && !this.unsupported.has(incarnationOf(server));
  }

  /** The engine doesn't know the calls: it isn't asked again before its next incarnation. */
  markUnsupported(server: BackendServer): void {
    if (this.unsupported.size >= maxEngines) this.unsupported.clear();
    this.unsupported.add(incarnationOf(server));
  }

  /** The engine states at `nowMs` that it ends in `leftMs`; returns the time left by its earliest statement. */
  recordLeaving(server: BackendServer, leftMs: number, nowMs: number): number {
    const incarnation = incarnationOf(server);
    const known = this.ends.get(incarnation);
    const endMs = Math.min(known ?? Number.POSITIVE_INFINITY, nowMs + leftMs);
    if (known === undefined && this.ends.size >= maxEngines) this.ends.clear();
    this.ends.set(incarnation, endMs);
    return endMs - nowMs;
  }

  dispose(): void {
    clearInterval(this.timer);
    this.options.client?.dispose();
  }

  private check(): void {
    const now = performance.now();
    for (const run of [...this.runs.values()]) run.check(now);
  }
}
