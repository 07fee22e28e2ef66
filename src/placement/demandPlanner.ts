/**
 * The default planner. Every model keeps its configured replicas while they fit; additional replicas follow
 * measured demand, and a replica is moved only if its expected gain over the planning horizon exceeds the
 * cost of the moves. Evicts the replicas with the lowest retention value (long-term demand per MB) rather than
 * the least recently used ones, so that one request for a rare model doesn't evict a model in steady use.
 */
import { Draft, type DraftAccelerator } from "./draft.ts";
import type { Replica, Load, Move, Need, Planner, Snapshot, Unload } from "./snapshot.ts";
import { applyLoad, obsoleteUnloads, replaceOldVersion, unload } from "./upkeep.ts";

/** Tuning of the demand planner; figures in docs/design/002-placement-policy.md. */
export interface DemandPlannerOptions {
  /** Fraction of an engine's slots that expected streams may fill before an additional replica is considered. */
  readonly targetUtilization?: number;
  /** Time over which an additional replica must make up for the cost of its moves, in seconds. */
  readonly horizonSeconds?: number;
  /** Value of serving one waiting request, in stream-seconds. */
  readonly waitingRequestSeconds?: number;
  /**
   * A model without a replica that has been requested for this long is loaded for its next request at any
   * cost, in ms: the value at moveWeight 0 and what a unit of moveWeight adds.
   */
  readonly maxUnmetMs?: number;
  readonly maxUnmetMsPerMoveWeight?: number;
  /** Cost of one move in stream-seconds: the value at moveWeight 0 and what the square of moveWeight adds. */
  readonly moveCost?: number;
  readonly moveCostPerSquaredMoveWeight?: number;
  /** Minimum age of a replica before it may be evicted, in ms. */
  readonly minResidenceMs?: number;
}

const defaults = {
  targetUtilization: 0.75,
  horizonSeconds: 15,
  waitingRequestSeconds: 0.3,
  maxUnmetMs: 15_000,
  maxUnmetMsPerMoveWeight: 90_000,
  moveCost: 0.05,
  moveCostPerSquaredMoveWeight: 6,
  minResidenceMs: 4000,
};
type Options = typeof defaults;

/** What one arriving request adds to the short-term demand average, in streams. */
const requestDemand = 0.15;

/** Most models, and most engines, considered for an additional replica: those with the highest demand and the lowest utilization. */
const maxCandidates = 24;

/** Creates a demand planner. */
export function demandPlanner(options: DemandPlannerOptions = {}): Planner {
  const merged: Options = { ...defaults, ...options };
  return (snapshot) => plan(snapshot, merged);
}

function plan(snapshot: Snapshot, options: Options): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = obsoleteUnloads(draft);
  let remainingLoads = snapshot.maxLoads;
  const applyMove = (load: Load | undefined): boolean => {
    if (load === undefined) return false;
    applyLoad(draft, load);
    moves.push(load);
    remainingLoads -= 1;
    return true;
  };
  const missing = byUrgency(snapshot.needs).filter((need) => draft.replicaCount(need.model) === 0);
  for (const need of missing) {
    if (remainingLoads <= 0) return moves;
    applyMove(loadIntoFreeMemory(draft, need, "first-copy"));
  }
  for (const need of snapshot.needs)
    while (remainingLoads > 0 && draft.currentVersionCount(need) < need.replicas)
      if (!applyMove(loadIntoFreeMemory(draft, need, "keep-replicas") ?? replaceOldVersion(draft, need)))
        break;
  while (remainingLoads > 0 && applyMove(bestReplacement(draft, missing, options)));
  return moves;
}

/** A load that evicts other replicas, and its net gain in weighted stream-seconds. */
interface Replacement {
  readonly load: Load;
  readonly netGain: number;
}

/** The load with the highest net gain: a first replica of a missing model, or an additional one of an overutilized model. */
function bestReplacement(draft: Draft, missing: readonly Need[], options: Options): Load | undefined {
  const replacements = missing
    .filter((need) => draft.replicaCount(need.model) === 0)
    .map((need) => firstReplica(draft, need, options));
  return [...replacements, additionalReplica(draft, options)]
    .flatMap((candidate) => candidate ?? [])
    .reduce<Replacement | undefined>(
      (best, candidate) => (candidate.netGain > (best?.netGain ?? 0) ? candidate : best),
      undefined,
    )?.load;
}

/** Models by descending demand value, waiting requests included. */
function byUrgency(needs: readonly Need[]): Need[] {
  const urgency = (need: Need): number => demandValue(need) + need.weight * need.waiting;
  return [...needs].sort((a, b) => urgency(b) - urgency(a));
}

/** A first replica of a model, evicting the replicas that cost least to replace. */
function firstReplica(draft: Draft, need: Need, options: Options): Replacement | undefined {
  const gain =
    demandValue(need) * options.horizonSeconds + need.weight * need.waiting * options.waitingRequestSeconds;
  const overdue = isOverdue(draft, need, options);
  if (gain <= movesCost(need, 2, options) && !overdue) return undefined;
  const choices = draft
    .loadable(need)
    .map((accelerator) => ({ accelerator, evicted: victims(draft, accelerator, need, options, true) }))
    .flatMap(({ accelerator, evicted }) => (evicted === undefined ? [] : [{ accelerator, evicted }]))
    .map((choice) => ({ ...choice, cost: replacementCost(draft, need, choice.evicted, options) }))
    .sort((a, b) => a.cost - b.cost);
  const best = choices[0];
  if (best === undefined) return undefined;
  const load = loadReplacing(best.accelerator, need, best.evicted, "first-copy");
  return { load, netGain: overdue ? Number.POSITIVE_INFINITY : gain - best.cost };
}

/**
 * Whether a model without a replica has been requested for too long. By its demand alone a rare model is never
 * worth the moves and would stay unreachable, so its next request gets it loaded at any cost.
 */
function isOverdue(draft: Draft, need: Need, options: Options): boolean {
  const maxUnmetMs = options.maxUnmetMs + options.maxUnmetMsPerMoveWeight * need.moveWeight;
  const unmetMs = need.unmetSince > 0 ? draft.snapshot.now - need.unmetSince : 0;
  return need.waiting > 0 && unmetMs >= maxUnmetMs;
}

/** A load on the engine with the lowest expected utilization among those with enough free memory. */
function loadIntoFreeMemory(draft: Draft, need: Need, reason: string): Load | undefined {
  const withRoom = draft.loadable(need).filter((accelerator) => draft.freeMb(accelerator) >= need.sizeMb);
  if (withRoom.length === 0) return undefined;
  const expectedStreams = draft.expectedStreams();
  const fits = withRoom.sort(
    (a, b) =>
      utilization(a, expectedStreams) - utilization(b, expectedStreams) || draft.freeMb(b) - draft.freeMb(a),
  );
  return fits[0] === undefined ? undefined : loadReplacing(fits[0], need, [], reason);
}

/** An additional replica of a model with an engine above the target utilization, on an engine below it. */
function additionalReplica(draft: Draft, options: Options): Replacement | undefined {
  const expectedStreams = draft.expectedStreams();
  // While the pool can hold every model, last replicas are never evicted for an additional replica, which would
  // make another model unreachable. If it cannot, models share the pool over time by their demand value.
  const allowRequested = draft.overcommitted;
  let best: Replacement | undefined;
  const overutilized = draft.snapshot.needs
    .filter((need) =>
      draft.holders(need.model).some((h) => utilization(h, expectedStreams) >= options.targetUtilization),
    )
    .sort((a, b) => b.weight * b.demand - a.weight * a.demand)
    .slice(0, maxCandidates);
  const free = draft.accelerators
    .filter(
      (accelerator) =>
        accelerator.loadable && utilization(accelerator, expectedStreams) < options.targetUtilization,
    )
    .sort((a, b) => utilization(a, expectedStreams) - utilization(b, expectedStreams))
    .slice(0, maxCandidates);
  for (const need of overutilized) {
    for (const accelerator of free) {
      if (accelerator.residents.some((replica) => replica.model === need.model)) continue;
      const evicted = victims(draft, accelerator, need, options, allowRequested);
      if (evicted === undefined) continue;
      const load = loadReplacing(accelerator, need, evicted, "demand");
      const gain = need.weight * excessReduction(draft, expectedStreams, accelerator, need, evicted, options);
      const netGain = gain * options.horizonSeconds - replacementCost(draft, need, evicted, options);
      if (netGain > (best?.netGain ?? 0)) best = { load, netGain };
    }
  }
  return best;
}

/** Cost of a load: its moves, and the retention value of the evicted replicas over the horizon. */
function replacementCost(draft: Draft, need: Need, evicted: readonly Replica[], options: Options): number {
  const lostValue = sum(evicted, (replica) => retentionValue(draft, replica));
  return movesCost(need, 1 + evicted.length, options) + lostValue * options.horizonSeconds;
}

/**
 * Replicas to evict from an engine so that `need` fits, lowest retention value per MB first; undefined if that
 * isn't possible. Replicas that templates request are evicted only if `allowRequested` is true.
 */
function victims(
  draft: Draft,
  accelerator: DraftAccelerator,
  need: Need,
  options: Options,
  allowRequested: boolean,
): Replica[] | undefined {
  const candidates = accelerator.residents
    .filter(
      (replica) => replica.state === "ready" && draft.snapshot.now - replica.since >= options.minResidenceMs,
    )
    .filter((replica) => allowRequested || isSpare(draft, replica))
    .sort((a, b) => retentionValue(draft, a) / a.sizeMb - retentionValue(draft, b) / b.sizeMb);
  return draft.selectEvictions(accelerator, need, candidates);
}

/** Whether the model keeps the replicas that templates request without this one. */
function isSpare(draft: Draft, replica: Replica): boolean {
  const need = draft.need(replica.model);
  return need === undefined || draft.replicaCount(replica.model) > need.replicas;
}

/** Value of keeping this replica, in weighted concurrent streams. */
function retentionValue(draft: Draft, replica: Replica): number {
  const need = draft.need(replica.model);
  if (need === undefined) return 0;
  const replicas = draft.replicaCount(replica.model);
  return replicas > 1 ? demandValue(need) / (replicas * replicas) : demandValue(need);
}

/**
 * Value of serving a model, in weighted concurrent streams. One request raises the short-term average as if
 * many had arrived; subtracting the spread of random arrivals leaves only the demand confirmed by several requests.
 */
function demandValue(need: Need): number {
  const confirmed = need.demand - Math.sqrt(need.demand * requestDemand);
  return need.weight * Math.max(confirmed, need.usual);
}

function movesCost(need: Need, moves: number, options: Options): number {
  return moves * (options.moveCost + options.moveCostPerSquaredMoveWeight * need.moveWeight ** 2);
}

/** Streams above an engine's target utilization, which wait or slow down the others. */
function excessStreams(accelerator: DraftAccelerator, streams: number, options: Options): number {
  return Math.max(0, streams - options.targetUtilization * accelerator.slots);
}

/**
 * Reduction of streams above the targets with one more replica of `need` on `accelerator` in place of `evicted`.
 * Evaluates only engines whose expected streams change, so the cost doesn't grow with the pool.
 */
function excessReduction(
  draft: Draft,
  expectedStreams: ReadonlyMap<DraftAccelerator, number>,
  accelerator: DraftAccelerator,
  need: Need,
  evicted: readonly Replica[],
  options: Options,
): number {
  const loadChanges = new Map<DraftAccelerator, number>();
  const addLoad = (on: DraftAccelerator, streams: number): void =>
    void loadChanges.set(on, (loadChanges.get(on) ?? 0) + streams);
  const replicas = draft.replicaCount(need.model);
  const share = need.demand / (replicas + 1);
  addLoad(accelerator, share);
  for (const holder of draft.holders(need.model)) addLoad(holder, share - need.demand / replicas);
  for (const replica of evicted) {
    const demand = draft.need(replica.model)?.demand ?? 0;
    const before = draft.replicaCount(replica.model);
    addLoad(accelerator, -demand / before);
    for (const holder of draft.holders(replica.model))
      if (holder !== accelerator) addLoad(holder, demand / (before - 1) - demand / before);
  }
  return sum([...loadChanges], ([on, change]) => {
    const current = expectedStreams.get(on) ?? 0;
    return excessStreams(on, current, options) - excessStreams(on, current + change, options);
  });
}

function utilization(
  accelerator: DraftAccelerator,
  expectedStreams: ReadonlyMap<DraftAccelerator, number>,
): number {
  return (expectedStreams.get(accelerator) ?? 0) / accelerator.slots;
}

function loadReplacing(
  accelerator: DraftAccelerator,
  need: Need,
  evicted: readonly Replica[],
  reason: string,
): Load {
  const evict: Unload[] = evicted.map((replica) => unload(accelerator, replica, `make-room:${reason}`));
  return { kind: "load", address: accelerator.address, need, evict, reason };
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
