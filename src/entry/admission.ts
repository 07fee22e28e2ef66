/**
 * Decides at once whether a request can still be served in time. Under overload a request that would
 * miss its deadline anyway is refused when it arrives, with when to retry, instead of taking a place from
 * one that can make it; and a customer over its share of a full engine is refused before one that is not.
 */
import { Failure } from "../common/errors.ts";
import type { Entitlement } from "./configWatcher.ts";
import { estimatedLoad, type Engine } from "./fleet.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** A request to admit. */
export interface Applicant {
  readonly entitlement: Entitlement;
  readonly model: string;
  /** Most tokens it may be answered with. */
  readonly tokens: number;
  readonly requestId: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
}

/** Options of an `Admission`. */
export interface AdmissionOptions {
  readonly times: ServiceTimes;
  /** Off: every request is admitted (the bench's baselines). */
  readonly enabled?: boolean;
}

const defaults = { enabled: true };
/** How far past the time left a request may be expected to go: expectations err both ways. */
const tolerance = 1.1;
/** The same for a customer over its share: what is left goes to the others first. */
const overShareTolerance = 0.85;
/** How far past its share a customer may go while others want the same engine. */
const shareSlack = 1.1;

interface Usage {
  count: number;
  share: number;
}

/** Refuses what cannot be served in time; keeps who uses which engine through this node. */
export class Admission {
  private readonly options: AdmissionOptions & typeof defaults;
  /** Streams of each customer by engine address. */
  private readonly engines = new Map<string, Map<string, Usage>>();

  constructor(options: AdmissionOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Counts a request onto `engine`; call the result once when it is answered. */
  enter(entitlement: Entitlement, engine: Engine): () => void {
    const customers = this.engines.get(engine.address) ?? new Map<string, Usage>();
    this.engines.set(engine.address, customers);
    const usage = customers.get(entitlement.customer) ?? { count: 0, share: entitlement.share };
    usage.count += 1;
    customers.set(entitlement.customer, usage);
    return () => {
      usage.count -= 1;
      if (usage.count === 0) customers.delete(entitlement.customer);
    };
  }

  /** Throws `over-share` or `overloaded` if `engine`, the best there is, cannot serve the request in time. */
  check(applicant: Applicant, engine: Engine): void {
    if (!this.options.enabled) return;
    const crowding = crowdingOf(engine);
    if (crowding <= 1) return;
    const { entitlement, model, tokens, requestId } = applicant;
    const { times } = this.options;
    const expectedMs = times.expected(model, tokens) + (crowding - 1) * times.mean(model);
    const leftMs = applicant.deadline - Date.now();
    const overShare = this.overShare(entitlement, engine);
    if (expectedMs <= leftMs * (overShare ? overShareTolerance : tolerance)) return;
    const expectation = `${model} would take about ${Math.round(expectedMs)} ms of the ${Math.round(leftMs)} left`;
    if (overShare)
      throw new Failure("over-share", `over the share of a full engine; ${expectation}`, requestId);
    throw new Failure("overloaded", `engines are full; ${expectation}`, requestId);
  }

  private overShare(entitlement: Entitlement, engine: Engine): boolean {
    const customers = [...(this.engines.get(engine.address)?.values() ?? [])];
    if (customers.length < 2) return false;
    const shares = customers.reduce((sum, usage) => sum + usage.share, 0);
    const total = customers.reduce((sum, usage) => sum + usage.count, 0);
    const mine = this.engines.get(engine.address)?.get(entitlement.customer)?.count ?? 0;
    return shares > 0 && mine > (entitlement.share / shares) * total * shareSlack;
  }
}

/** How crowded an engine is for one more stream: 1 while it has a place free, 2 when twice full. */
export function crowdingOf(engine: Engine): number {
  return Math.max(1, (estimatedLoad(engine) + 1) / Math.max(1, engine.status?.slots ?? 1));
}
