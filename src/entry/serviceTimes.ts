/** How long completions take on an engine with a place free, learnt from the answers of this node. */

/** Weight of the newest answer in an average. */
const newestWeight = 0.1;
/** What reading the prompt counts, in tokens written. */
const promptTokens = 4;

/** Averages of one model. */
interface Average {
  /** Per token of a request's limit (and its prompt), in ms. */
  perTokenMs: number;
  /** Per request, whatever its length, in ms. */
  requestMs: number;
}

/** Learns and foretells service times by model; a model not seen yet is taken for an average one. */
export class ServiceTimes {
  private readonly models = new Map<string, Average>();
  private any: Average | undefined;

  /** An answer of up to `tokens` tokens took `elapsedMs` on an engine with a place free for it. */
  learn(model: string, tokens: number, elapsedMs: number): void {
    const newest = { perTokenMs: elapsedMs / (tokens + promptTokens), requestMs: elapsedMs };
    this.models.set(model, averaged(this.models.get(model), newest));
    this.any = averaged(this.any, newest);
  }

  /** Mean time of a request for `model`, in ms; 0 if nothing is known. */
  mean(model: string): number {
    return (this.models.get(model) ?? this.any)?.requestMs ?? 0;
  }

  /** Expected time of a request for up to `tokens` tokens of `model`, in ms; 0 if nothing is known. */
  expected(model: string, tokens: number): number {
    return ((this.models.get(model) ?? this.any)?.perTokenMs ?? 0) * (tokens + promptTokens);
  }
}

function averaged(known: Average | undefined, newest: Average): Average {
  if (known === undefined) return newest;
  const mixed = (from: number, to: number): number => from + newestWeight * (to - from);
  return {
    perTokenMs: mixed(known.perTokenMs, newest.perTokenMs),
    requestMs: mixed(known.requestMs, newest.requestMs),
  };
}
