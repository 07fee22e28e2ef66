/**
 * Admission control. Under overload, a request that would miss its deadline is rejected on arrival with a
 * retry hint, instead of taking a slot from one that can meet its deadline. A customer over its share of a
 * saturated engine is rejected before one that is within its share.
 */
import { Failure } from "../common/errors.ts";
import type { Entitlement } from "./configWatcher.ts";
import { estimatedLoad, type Engine } from "./fleet.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** A request to admit. */
export interface AdmissionRequest {
  readonly entitlement: Entitlement;
  readonly model: string;
  /** Token limit of the completion. */
  readonly tokens: number;
  readonly requestId: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
}

/** Options of an `Admission`. */
export interface AdmissionOptions {
  readonly times: ServiceTimes;
  /** Off: every request is admitted (the baselines of the benchmark). */
  readonly enabled?: boolean;
}

const defaults = { enabled: true };
/** Expected time may exceed the time left by this factor, as estimates err in both directions. */
const deadlineToleranceRatio = 1.1;
/** The same for a customer over its share: remaining capacity goes to the other customers first. */
const overShareToleranceRatio = 0.85;
/** Factor by which a customer may exceed its share while other customers use the same engine. */
const shareSlackRatio = 1.1;

interface Usage {
  count: number;
  share: number;
}

/** Rejects requests that cannot be served in time; tracks each customer's use of each engine through this node. */
export class Admission {
  private readonly options: AdmissionOptions & typeof defaults;
  /** Streams in flight by engine address and customer. */
  private readonly usageByEngine = new Map<string, Map<string, Usage>>();

  constructor(options: AdmissionOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Counts a request as in flight on `engine`; call the returned function once when it completes. */
  trackRequest(entitlement: Entitlement, engine: Engine): () => void {
    const customers = this.usageByEngine.get(engine.address) ?? new Map<string, Usage>();
    this.usageByEngine.set(engine.address, customers);
    const usage = customers.get(entitlement.customer) ?? { count: 0, share: entitlement.share };
    usage.count += 1;
    customers.set(entitlement.customer, usage);
    return () => {
      usage.count -= 1;
      if (usage.count === 0) customers.delete(entitlement.customer);
    };
  }

  /** Throws `over-share` or `overloaded` if `engine`, the best candidate, cannot serve the request in time. */
  check(request: AdmissionRequest, engine: Engine): void {
    if (!this.options.enabled) return;
    const overutilization = overutilizationOf(engine);
    if (overutilization <= 1) return;
    const { entitlement, model, tokens, requestId } = request;
    const { times } = this.options;
    const expectedMs = times.expectedMs(model, tokens) + (overutilization - 1) * times.meanMs(model);
    const leftMs = request.deadline - Date.now();
    const overShare = this.overShare(entitlement, engine);
    if (expectedMs <= leftMs * (overShare ? overShareToleranceRatio : deadlineToleranceRatio)) return;
    const expectation = `${model} would take about ${Math.round(expectedMs)} ms of the ${Math.round(leftMs)} left`;
    if (overShare)
      throw new Failure(
        "over-share",
        `customer is over its share of a saturated engine; ${expectation}`,
        requestId,
      );
    throw new Failure("overloaded", `engines are saturated; ${expectation}`, requestId);
  }

  private overShare(entitlement: Entitlement, engine: Engine): boolean {
    const customers = [...(this.usageByEngine.get(engine.address)?.values() ?? [])];
    if (customers.length < 2) return false;
    const shares = customers.reduce((sum, usage) => sum + usage.share, 0);
    const total = customers.reduce((sum, usage) => sum + usage.count, 0);
    const own = this.usageByEngine.get(engine.address)?.get(entitlement.customer)?.count ?? 0;
    return shares > 0 && own > (entitlement.share / shares) * total * shareSlackRatio;
  }
}

/** Overutilization level of an engine with one more stream: 1 while it has a free slot, 2 at twice its slots. */
export function overutilizationOf(engine: Engine): number {
  return Math.max(1, (estimatedLoad(engine) + 1) / Math.max(1, engine.status?.slots ?? 1));
}
