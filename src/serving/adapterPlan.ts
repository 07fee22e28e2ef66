/**
 * Chooses the engine that takes an adapter, and the adapter that makes way. Answers callers who ask for
 * many adapters of one model while an engine has few places: each adapter lives on few engines, and the
 * one longest unused goes first.
 */

/** An engine that holds the model an adapter is wanted for. */
export interface AdapterEngine {
  readonly id: string;
  /** Adapters there or on their way, as MODEL/NAME, all models together. */
  readonly adapters: readonly string[];
  /** Those of them that may be told to make way. */
  readonly evictable: readonly string[];
  /** Prompt tokens and requests in flight, as expected ms to a first token. */
  readonly expectedMs: number;
  readonly busy: boolean;
}

/** What to do: load at `engineId`, after `evict` has made way. */
export interface AdapterMove {
  readonly engineId: string;
  readonly evict: string | undefined;
}

/** What decides. */
export interface AdapterView {
  readonly engines: readonly AdapterEngine[];
  /** Places for adapters of one engine. */
  readonly slots: number;
  /** When an adapter was last asked for, ms; never: undefined. */
  readonly lastUsedMs: (adapter: string) => number | undefined;
  readonly nowMs: number;
}

/** An adapter used within this time is probably still at work, so it doesn't make way for another, ms. */
const inUseMs = 1_500;
/** Taking the place of another adapter means loading that one again later, ms of expected wait. */
const evictionMs = 40;

/** The best engine for one more adapter; undefined if every place is in use. */
export function planAdapter(view: AdapterView): AdapterMove | undefined {
  let chosen: { move: AdapterMove; cost: number } | undefined;
  for (const engine of view.engines) {
    const option = optionAt(view, engine);
    if (option === undefined) continue;
    if (chosen === undefined || option.cost < chosen.cost) chosen = option;
  }
  return chosen?.move;
}

function optionAt(view: AdapterView, engine: AdapterEngine): { move: AdapterMove; cost: number } | undefined {
  if (engine.adapters.length < view.slots) {
    // The emptier engine first, so that a model's adapters spread over its copies.
    const cost = engine.expectedMs + engine.adapters.length;
    return { move: { engineId: engine.id, evict: undefined }, cost };
  }
  const victim = longestUnused(view, engine.evictable);
  if (victim === undefined) return undefined;
  return { move: { engineId: engine.id, evict: victim }, cost: engine.expectedMs + evictionMs };
}

function longestUnused(view: AdapterView, adapters: readonly string[]): string | undefined {
  let victim: string | undefined;
  let oldest = view.nowMs - inUseMs;
  for (const adapter of adapters) {
    const used = view.lastUsedMs(adapter) ?? Number.NEGATIVE_INFINITY;
    if (used >= oldest) continue;
    oldest = used;
    victim = adapter;
  }
  return victim;
}
