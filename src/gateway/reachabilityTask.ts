/** Reports how many backend servers this node can connect to, in its metrics and its log. */
import type { Task } from "../common/supervisor.ts";
import type { GatewayContext } from "./gatewayContext.ts";

/** Minimum interval between two log lines, ms; a line covers all changes since the last one. */
const logIntervalMs = 500;

/** Owns the log timer. */
export class ReachabilityTask implements Task {
  readonly name = "reachability";
  private logTimer: NodeJS.Timeout | undefined;
  private lastReported = "";
  private stopped = false;

  constructor(private readonly context: GatewayContext) {
    context.reachability.changed.on(() => {
      this.scheduleLog();
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.logTimer);
    return Promise.resolve();
  }

  /** Sets the gauges to their current values. */
  updateMetrics(): void {
    const { metrics } = this.context;
    const { known, reached, noneSinceMs } = this.summary;
    metrics.serversKnown.set(known);
    metrics.serversReached.set(reached);
    metrics.noServerReachedFor.set(noneSinceMs === undefined ? 0 : (performance.now() - noneSinceMs) / 1000);
  }

  private get summary(): ReturnType<GatewayContext["reachability"]["summarize"]> {
    return this.context.reachability.summarize(this.context.fleet.all().map(({ id }) => id));
  }

  private scheduleLog(): void {
    if (this.stopped || this.logTimer !== undefined) return;
    this.logTimer = setTimeout(() => {
      this.logTimer = undefined;
      this.logChange();
    }, logIntervalMs);
    this.logTimer.unref();
  }

  private logChange(): void {
    const { known, reached, noneSinceMs } = this.summary;
    const reported = `${reached}/${known}`;
    if (reported === this.lastReported) return;
    this.lastReported = reported;
    this.context.log.warn({
      event: "servers-reached",
      reached,
      known,
      ...(noneSinceMs === undefined ? {} : { noneForMs: Math.round(performance.now() - noneSinceMs) }),
    });
  }
}
