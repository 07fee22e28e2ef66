/** The planning benchmark: duration of one placement plan by number of engines and models, without I/O. */
import type { Accelerator, Replica, Need, Snapshot } from "../placement/snapshot.ts";
import { planners } from "../placement/planners.ts";
import { seededRandom, type RandomSource } from "./trace.ts";

/** Size of a pool. */
export interface PoolSize {
  readonly engines: number;
  readonly models: number;
}

/** Planning durations at one pool size, in ms. */
export interface PlanTimes extends PoolSize {
  readonly medianMs: number;
  readonly mostMs: number;
}

const modelMb = 20_000;
const capacityMb = 200_000;
const slots = 8;

/** Measures `rounds` plans at each size, on pools with three quarters of their memory in use and one in ten models hot. */
export function runPlanBench(sizes: readonly PoolSize[], rounds: number): PlanTimes[] {
  return sizes.map((size) => {
    const random = seededRandom(1);
    const times = Array.from({ length: rounds }, () => timeOf(poolOf(size, random))).sort((a, b) => a - b);
    const at = (index: number): number => Math.round((times[index] ?? 0) * 100) / 100;
    return { ...size, medianMs: at(Math.floor(times.length / 2)), mostMs: at(times.length - 1) };
  });
}

function timeOf(snapshot: Snapshot): number {
  const started = performance.now();
  planners.demand(snapshot);
  return performance.now() - started;
}

function poolOf(size: PoolSize, random: RandomSource): Snapshot {
  const now = Date.now();
  const replicasPerEngine = Math.floor((capacityMb / modelMb) * 0.75);
  const accelerators = Array.from({ length: size.engines }, (_, e): Accelerator => {
    const replicas = Array.from({ length: replicasPerEngine }, (_unused, c): Replica => ({
      model: `m${(e * replicasPerEngine + c) % size.models}`,
      version: "v1",
      sizeMb: modelMb,
      state: "ready",
      since: 0,
    }));
    return { address: `e${e}`, capacityMb, slots, loadable: true, residents: replicas };
  });
  const meanDemand = (size.engines * slots * 0.6) / size.models;
  const needs = Array.from({ length: size.models }, (_, m): Need => {
    const demand = meanDemand * random() * (random() < 0.1 ? 10 : 1);
    return {
      model: `m${m}`,
      version: "v1",
      sizeMb: modelMb,
      replicas: 1,
      weight: 1,
      moveWeight: 0.2,
      demand,
      usual: meanDemand / 2,
      waiting: 0,
      lastUsed: now,
      unmetSince: 0,
    };
  });
  return { now, accelerators, needs, maxLoads: 5 };
}
