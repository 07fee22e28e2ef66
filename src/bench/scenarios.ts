/** Lookup table of load scenarios: pools, models and traffic patterns of the target deployments, scaled down. */

/** One kind of a customer's requests. */
export interface RequestKind {
  readonly name: string;
  /** Fraction of the customer's requests that are of this kind. */
  readonly fraction: number;
  readonly tokens: number;
  readonly deadlineMs: number;
  /** Number of distinct prompt prefixes; requests with the same prefix can share a cache entry. */
  readonly prefixes: number;
}

/** A customer of a scenario. */
export interface Customer {
  readonly name: string;
  readonly share: number;
  readonly priority: "high" | "normal" | "low";
  readonly models: number;
  readonly kinds: readonly RequestKind[];
}

/** A pool and its traffic. */
export interface Scenario {
  readonly description: string;
  readonly engines: number;
  readonly capacityMb: number;
  readonly slots: number;
  readonly tokenMs: number;
  readonly prefillTicks: number;
  /** Smallest and largest model size, in MB. */
  readonly modelMb: readonly [number, number];
  /** The weight store's transfer rate and limits. */
  readonly mbPerSecond: number;
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  readonly customers: readonly Customer[];
  /** Requests per second with no hot model, and the upper bound while there are some. */
  readonly rate: number;
  readonly peakRate: number;
  /** Every `phaseMs`, `hotModels` other models become `burst` times as popular, and the previous ones return to normal. */
  readonly phaseMs: number;
  readonly hotModels: number;
  readonly burst: number;
  /** Zipf exponent of the model popularity. */
  readonly skew: number;
}

const andesKinds: readonly RequestKind[] = [
  { name: "syllabus-plan", fraction: 0.4, tokens: 24, deadlineMs: 2500, prefixes: 4 },
  { name: "counter-ask", fraction: 0.6, tokens: 12, deadlineMs: 1500, prefixes: 2 },
];
const ovasekerKinds: readonly RequestKind[] = [
  { name: "dispute-draft", fraction: 0.4, tokens: 24, deadlineMs: 2000, prefixes: 4 },
  { name: "coop-summary", fraction: 0.1, tokens: 40, deadlineMs: 4000, prefixes: 8 },
  { name: "clerk-assist", fraction: 0.5, tokens: 12, deadlineMs: 1500, prefixes: 2 },
];

const engineShape = { slots: 8, tokenMs: 20, prefillTicks: 8 };
const todayPool = {
  engines: 6,
  capacityMb: 200_000,
  modelMb: [34_300, 72_700],
  mbPerSecond: 100_000,
  loadsPerSecond: 1.1,
  hotModels: 2,
} as const;
const trafficShape = { phaseMs: 10_000, burst: 10, skew: 0.9 };

/** Scenario name → scenario. Time is compressed: one hour of production traffic corresponds to a phase of 10 s. */
export const scenarios = {
  andes: {
    description: "Andes today: 13 models on 6 engines, every model fits, demand moves tenfold between them",
    ...todayPool,
    ...engineShape,
    ...trafficShape,
    loadsAtOnce: 5,
    customers: [{ name: "andes", share: 1, priority: "normal", models: 13, kinds: andesKinds }],
    rate: 45,
    peakRate: 90,
  },
  ovaseker: {
    description: "Ovaşeker today: 13 models on 6 engines, two loads at once",
    ...todayPool,
    ...engineShape,
    ...trafficShape,
    loadsAtOnce: 2,
    customers: [{ name: "ovaseker", share: 1, priority: "high", models: 13, kinds: ovasekerKinds }],
    rate: 40,
    peakRate: 80,
  },
  hundreds: {
    description: "Both customers, 200 models on 12 engines that hold about 110 of them at once",
    engines: 12,
    capacityMb: 200_000,
    ...engineShape,
    tokenMs: 40,
    ...trafficShape,
    modelMb: [10_000, 32_000],
    mbPerSecond: 80_000,
    loadsPerSecond: 4,
    loadsAtOnce: 5,
    customers: [
      { name: "andes", share: 0.5, priority: "normal", models: 100, kinds: andesKinds },
      { name: "ovaseker", share: 0.5, priority: "normal", models: 100, kinds: ovasekerKinds },
    ],
    rate: 60,
    peakRate: 100,
    hotModels: 6,
  },
} as const satisfies Readonly<Record<string, Scenario>>;

/** A scenario's name. */
export type ScenarioName = keyof typeof scenarios;
