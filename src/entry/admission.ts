/**
 * Decides at once whether a request can still be served in time. Under overload a request that would
 * miss its deadline anyway is refused when it arrives, with when to retry, instead of taking a place from
 * one that can make it; and a customer over its share of the pool is refused before one that is not.
 */
import { Failure } from "../common/errors.ts";
import type { Entitlement } from "./configWatcher.ts";
import { estimatedLoad, type Engine } from "./fleet.ts";

/** A request to admit. */
export interface Applicant {
  readonly entitlement: Entitlement;
  readonly model: string;
  readonly requestId: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
}

/** Options of an `Admission`. */
export interface AdmissionOptions {
  /** Off: every request is admitted (the bench's baselines). */
  readonly enabled?: boolean;
}

const defaults = { enabled: true };
/** Weight of the newest answer in a model's average service time. */
const newestWeight = 0.1;
/** How far past its share a customer may go while others want the same engines. */
const shareSlack = 1.1;

/** Learns service times from answers and refuses what cannot be served in time. */
export class Admission {
  private readonly enabled: boolean;
  /** Average service time by model on an engine with a place free, in ms. */
  private readonly serviceMs = new Map<string, number>();
  private readonly inFlight = new Map<string, { count: number; share: number }>();
  private total = 0;

  constructor(options: AdmissionOptions = {}) {
    this.enabled = options.enabled ?? defaults.enabled;
  }

  /** Counts a request of a customer in; call the result once when it is answered. */
  enter(entitlement: Entitlement): () => void {
    const customer = this.inFlight.get(entitlement.customer) ?? { count: 0, share: 0 };
    customer.count += 1;
    customer.share = entitlement.share;
    this.inFlight.set(entitlement.customer, customer);
    this.total += 1;
    return () => {
      customer.count -= 1;
      this.total -= 1;
      if (customer.count === 0) this.inFlight.delete(entitlement.customer);
    };
  }

  /** Throws `over-share` or `overloaded` if `engine`, the best there is, cannot serve the request in time. */
  check(applicant: Applicant, engine: Engine): void {
    if (!this.enabled) return;
    const crowding = crowdingOf(engine);
    if (crowding <= 1) return;
    if (this.overShare(applicant.entitlement)) {
      const message = `${applicant.entitlement.customer} is over its share of a busy pool; retry shortly`;
      throw new Failure("over-share", message, applicant.requestId);
    }
    const expectedMs = (this.serviceMs.get(applicant.model) ?? 0) * crowding;
    if (expectedMs > applicant.deadline - Date.now()) {
      const message = `${applicant.model} would take about ${Math.round(expectedMs)} ms, past the deadline`;
      throw new Failure("overloaded", message, applicant.requestId);
    }
  }

  /** Learns from an answer that took `elapsedMs` on an engine that was `crowding` full when it began. */
  learn(model: string, elapsedMs: number, crowding: number): void {
    const alone = elapsedMs / crowding;
    const known = this.serviceMs.get(model);
    this.serviceMs.set(model, known === undefined ? alone : known + newestWeight * (alone - known));
  }

  /** The time a request for `model` takes when a place is free, in ms (0 if not known yet). */
  expectedMs(model: string): number {
    return this.serviceMs.get(model) ?? 0;
  }

  private overShare(entitlement: Entitlement): boolean {
    if (this.inFlight.size < 2) return false;
    const shares = [...this.inFlight.values()].reduce((sum, customer) => sum + customer.share, 0);
    const mine = this.inFlight.get(entitlement.customer)?.count ?? 0;
    if (shares === 0) return false;
    return mine > (entitlement.share / shares) * this.total * shareSlack;
  }
}

/** How crowded an engine is for one more stream: 1 while it has a place free, 2 when twice full. */
export function crowdingOf(engine: Engine): number {
  return Math.max(1, (estimatedLoad(engine) + 1) / Math.max(1, engine.status?.slots ?? 1));
}
