/**
 * Selects the engine that loads an adapter, and the adapter to evict for it. Handles callers that ask for
 * many adapters of one model while an engine has few slots: each adapter lives on few engines, and the least
 * recently used one is evicted first.
 */

/** An engine that holds the adapter's model. */
export interface AdapterEngine {
  readonly id: string;
  /** Adapters loaded or being loaded, as MODEL/NAME, for all models together. */
  readonly adapters: readonly string[];
  /** Those of them that may be evicted. */
  readonly evictable: readonly string[];
  /** Expected time to first token, ms, from the prompt tokens and requests in flight. */
  readonly expectedMs: number;
  /** No order is sent to it now: one is in progress, or it is ejected. `AdapterView` leaves such engines out. */
  readonly busy: boolean;
}

/** An adapter load at `engineId`; `evict` is unloaded first if set. */
export interface AdapterMove {
  readonly engineId: string;
  readonly evict: string | undefined;
}

/** Input of the planner. */
export interface AdapterView {
  readonly engines: readonly AdapterEngine[];
  /** Adapter slots per engine. */
  readonly slots: number;
  /** Time of the last request for an adapter, ms; undefined if never. */
  readonly lastUsedMs: (adapter: string) => number | undefined;
  readonly nowMs: number;
}

/** An adapter used within this time is probably still in use, so it is not evicted, ms. */
const inUseMs = 1_500;
/** Cost of evicting an adapter, which has to be loaded again later, as ms of expected wait. */
const evictionCostMs = 40;

/** The best engine for another adapter; undefined if every slot is in use. */
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
    // Prefer the engine with fewer adapters, so that a model's adapters spread over its replicas.
    const cost = engine.expectedMs + engine.adapters.length;
    return { move: { engineId: engine.id, evict: undefined }, cost };
  }
  const victim = leastRecentlyUsed(view, engine.evictable);
  if (victim === undefined) return undefined;
  return { move: { engineId: engine.id, evict: victim }, cost: engine.expectedMs + evictionCostMs };
}

function leastRecentlyUsed(view: AdapterView, adapters: readonly string[]): string | undefined {
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
