/**
 * How fast each model runs, learned from first bytes. Larger models read and make tokens several times more
 * slowly, and nobody says by how much; a model taken for faster than it is gets too few copies, and engines
 * that hold it look less busy than they are.
 */

/** Weight of the newest observation in the moving average. */
const newest = 0.1;
/** Before anything was observed, and the bounds that keep a few odd answers from deciding. */
const initial = 0.7;
const lowest = 0.25;
const highest = 3;

/** Pace per model: time taken over time expected of the fastest, 1 for the reference speed. */
export class ModelPaces {
  private readonly paces = new Map<string, number>();

  /** The pace of a model; a middling one before it is known. */
  pace(model: string | undefined): number {
    return model === undefined ? 1 : (this.paces.get(model) ?? initial);
  }

  /** A request that had an engine to itself got its first byte after `observedMs`, `referenceMs` at pace 1. */
  learn(model: string, observedMs: number, referenceMs: number): void {
    const ratio = Math.min(highest, Math.max(lowest, observedMs / Math.max(1, referenceMs)));
    const known = this.pace(model);
    this.paces.set(model, known + (ratio - known) * newest);
  }
}
