/** Seeded request traces: the same scenario and seed give the same models and the same requests at the same times. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Customer, RequestKind, Scenario } from "./scenarios.ts";

/** A model of a trace. */
export interface TraceModel {
  readonly name: string;
  readonly customer: string;
  readonly sizeMb: number;
}

/** One request of a trace. */
export interface Arrival {
  /** Time from the start of traffic, in ms. */
  readonly atMs: number;
  readonly customer: string;
  readonly model: string;
  readonly kind: RequestKind;
  readonly prompt: string;
}

/** Models and requests of one run. */
export interface Trace {
  readonly models: readonly TraceModel[];
  readonly arrivals: readonly Arrival[];
}

/** Returns random numbers in [0, 1). */
export type RandomSource = () => number;

/** Creates a seeded source of random numbers in [0, 1). */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Generates the trace of `scenario` over `durationMs`. */
export function traceOf(scenario: Scenario, durationMs: number, seed: number): Trace {
  const random = seededRandom(seed);
  const models = scenario.customers.flatMap((customer) => modelsOf(scenario, customer, random));
  const base = popularityWeights(models.length, scenario.skew, random);
  const mean = scenario.rate / base.reduce((sum, weight) => sum + weight, 0);
  const arrivals: Arrival[] = [];
  let hot = new Set<number>();
  for (let phase = 0; phase * scenario.phaseMs < durationMs; phase += 1) {
    hot = chooseHotModels(scenario, models.length, hot, random);
    const weights = base.map((weight, i) => (hot.has(i) ? weight * scenario.burst : weight));
    const until = Math.min(durationMs, (phase + 1) * scenario.phaseMs);
    const rate = Math.min(scenario.peakRate, mean * sum(weights));
    for (
      let atMs = phase * scenario.phaseMs + interArrivalMs(rate, random);
      atMs < until;
      atMs += interArrivalMs(rate, random)
    ) {
      const model = models[weightedIndex(weights, random)];
      if (model !== undefined) arrivals.push(arrivalOf(scenario, model, atMs, random));
    }
  }
  return { models, arrivals };
}

function modelsOf(scenario: Scenario, customer: Customer, random: RandomSource): TraceModel[] {
  const [least, most] = scenario.modelMb;
  return Array.from({ length: customer.models }, (_, i) => ({
    name: `${customer.name}-m${i + 1}`,
    customer: customer.name,
    sizeMb: Math.round(least + random() * (most - least)),
  }));
}

/** Zipf weights in random order, so that a model's popularity is independent of its position in the template. */
function popularityWeights(count: number, skew: number, random: RandomSource): number[] {
  return Array.from({ length: count }, (_, rank) => ({ weight: 1 / (rank + 1) ** skew, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ weight }) => weight);
}

function chooseHotModels(
  scenario: Scenario,
  count: number,
  before: ReadonlySet<number>,
  random: RandomSource,
): Set<number> {
  const hot = new Set<number>();
  while (hot.size < Math.min(scenario.hotModels, count - before.size)) {
    const model = Math.floor(random() * count);
    if (!before.has(model)) hot.add(model);
  }
  return hot;
}

function arrivalOf(scenario: Scenario, model: TraceModel, atMs: number, random: RandomSource): Arrival {
  const kinds = scenario.customers.find((customer) => customer.name === model.customer)?.kinds ?? [];
  const kind =
    kinds[
      weightedIndex(
        kinds.map((k) => k.fraction),
        random,
      )
    ] ?? kinds[0];
  if (kind === undefined) throw new Error(`customer ${model.customer} has no request kinds`);
  const prefix = `${kind.name} ${Math.floor(random() * kind.prefixes)} `.padEnd(64, "shared prefix ");
  return { atMs, customer: model.customer, model: model.name, kind, prompt: `${prefix} ${Math.floor(atMs)}` };
}

function weightedIndex(weights: readonly number[], random: RandomSource): number {
  let left = random() * sum(weights);
  for (const [i, weight] of weights.entries()) {
    left -= weight;
    if (left <= 0) return i;
  }
  return weights.length - 1;
}

function interArrivalMs(perSecond: number, random: RandomSource): number {
  return (-Math.log(1 - random()) / perSecond) * 1000;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
