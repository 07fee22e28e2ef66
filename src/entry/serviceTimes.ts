/** Service times of completions on an engine with a free slot, estimated from this node's responses. */

/** Weight of the newest sample in the moving averages. */
const smoothingFactor = 0.1;
/** Cost of the prompt's prefill, in generated tokens. */
const prefillCostTokens = 4;

/** Moving averages of one model's service time. */
interface ServiceTimeAverage {
  /** Per token of a request's limit, prefill cost included, in ms. */
  perTokenMs: number;
  /** Per request of any length, in ms. */
  requestMs: number;
}

/** Records and predicts service times by model; for a model without samples the average over all models is used. */
export class ServiceTimes {
  private readonly models = new Map<string, ServiceTimeAverage>();
  private overall: ServiceTimeAverage | undefined;

  /** Records that a response of up to `tokens` tokens took `elapsedMs` on an engine with a free slot. */
  record(model: string, tokens: number, elapsedMs: number): void {
    const newest = { perTokenMs: elapsedMs / (tokens + prefillCostTokens), requestMs: elapsedMs };
    this.models.set(model, averaged(this.models.get(model), newest));
    this.overall = averaged(this.overall, newest);
  }

  /** Mean time of a request for `model`, in ms; 0 if nothing is known. */
  meanMs(model: string): number {
    return (this.models.get(model) ?? this.overall)?.requestMs ?? 0;
  }

  /** Expected time of a request for up to `tokens` tokens of `model`, in ms; 0 if nothing is known. */
  expectedMs(model: string, tokens: number): number {
    return ((this.models.get(model) ?? this.overall)?.perTokenMs ?? 0) * (tokens + prefillCostTokens);
  }
}

function averaged(known: ServiceTimeAverage | undefined, newest: ServiceTimeAverage): ServiceTimeAverage {
  if (known === undefined) return newest;
  const interpolated = (from: number, to: number): number => from + smoothingFactor * (to - from);
  return {
    perTokenMs: interpolated(known.perTokenMs, newest.perTokenMs),
    requestMs: interpolated(known.requestMs, newest.requestMs),
  };
}
