/**
 * Tracks which requests and prompt parts were on servers when these crashed, and how often. A crash makes suspects of all
 * requests that ran on the server, of which only one may be the cause; that one is running again when the next server
 * crashes.
 *
 * Many requests share a part, so several servers may crash at the same moment with the same parts on them. Such crashes
 * count as one round: only a request that was sent after a crash, and crashes another server, is further evidence.
 */

/** A suspicion is dropped if no further crash is added for this long, ms: callers that retry do so within minutes. */
const suspicionTtlMs = 600_000;
/**
 * Maximum number of requests: as many as run on about thirty servers of sixty slots. Beyond it the oldest are
 * dropped.
 */
const maxSuspects = 2_000;

/** Requests whose connection was lost when one incarnation of a server crashed, or seemed to. */
interface Crash {
  /** Time of the latest connection loss, ms. */
  atMs: number;
  readonly keys: Set<string>;
}

/** How a crash counts against a suspect. */
export interface CrashEvidence {
  /** The latest round that the sender knew of when it sent the request, plus one; each crash counts without it. */
  readonly round?: number;
  /** The suspect was served a short time before. */
  readonly proven?: boolean;
}

interface Suspicion extends CrashEvidence {
  readonly atMs: number;
}

/** Suspected requests by fingerprint, and parts by key, with the incarnations that crashed while running them. */
export class Suspects {
  /** In order of their latest crash. */
  private readonly crashesByKey = new Map<string, Map<string, Suspicion>>();
  private readonly crashes = new Map<string, Crash>();

  get size(): number {
    return this.crashesByKey.size;
  }

  has(key: string): boolean {
    return this.crashesByKey.has(key);
  }

  /** Number of crashes that count against the suspect. */
  crashCount(key: string): number {
    const rounds = [...(this.crashesByKey.get(key) ?? [])].map(
      ([incarnation, { round }]) => round ?? incarnation,
    );
    return new Set(rounds).size;
  }

  /** The latest round of crashes known against the suspect; 0 without any. */
  latestRound(key: string): number {
    return Math.max(0, ...[...(this.crashesByKey.get(key)?.values() ?? [])].map(({ round }) => round ?? 0));
  }

  /** Whether the suspect was served a short time before one of the crashes. */
  isProven(key: string): boolean {
    return [...(this.crashesByKey.get(key)?.values() ?? [])].some(({ proven }) => proven === true);
  }

  /** The incarnations that crashed while running the suspect, one of each round, in order. */
  crashedIncarnations(key: string): readonly string[] {
    const byRound = new Map<number | string, string>();
    for (const [incarnation, { round }] of this.crashesByKey.get(key) ?? [])
      if (!byRound.has(round ?? incarnation)) byRound.set(round ?? incarnation, incarnation);
    return [...byRound]
      .sort(([a], [b]) => (typeof a === "number" && typeof b === "number" ? a - b : 0))
      .map(([, incarnation]) => incarnation);
  }

  /** Whether the suspect is suspected of having crashed the incarnation. */
  isSuspectedOf(key: string, incarnation: string): boolean {
    return this.crashesByKey.get(key)?.has(incarnation) ?? false;
  }

  /** An incarnation crashed while running the suspect. Returns the number of crashes that count. */
  add(key: string, incarnation: string, nowMs: number, evidence: CrashEvidence = {}): number {
    const incarnations = this.crashesByKey.get(key) ?? new Map<string, Suspicion>();
    incarnations.set(incarnation, { ...mergeEvidence(evidence, incarnations.get(incarnation)), atMs: nowMs });
    this.crashesByKey.delete(key);
    this.crashesByKey.set(key, incarnations);
    const crash = this.crashes.get(incarnation) ?? { atMs: nowMs, keys: new Set() };
    crash.atMs = nowMs;
    crash.keys.add(key);
    this.crashes.set(incarnation, crash);
    if (this.crashesByKey.size > maxSuspects) this.dropOldest();
    return this.crashCount(key);
  }

  /** When a connection to the incarnation was last lost, ms; undefined if none was. */
  crashedAtMs(incarnation: string): number | undefined {
    return this.crashes.get(incarnation)?.atMs;
  }

  /** The incarnation is alive, so its connection losses weren't crashes. Returns the suspects concerned. */
  clearCrash(incarnation: string): readonly string[] {
    const keys = [...(this.crashes.get(incarnation)?.keys ?? [])];
    this.crashes.delete(incarnation);
    for (const key of keys) {
      const incarnations = this.crashesByKey.get(key);
      incarnations?.delete(incarnation);
      if (incarnations?.size === 0) this.crashesByKey.delete(key);
    }
    return keys;
  }

  /** Drops the suspect. */
  clear(key: string): void {
    for (const incarnation of this.crashesByKey.get(key)?.keys() ?? []) {
      const crash = this.crashes.get(incarnation);
      crash?.keys.delete(key);
      if (crash?.keys.size === 0) this.crashes.delete(incarnation);
    }
    this.crashesByKey.delete(key);
  }

  /** Drops suspicions that are too old. */
  expire(nowMs: number): void {
    for (const [key, incarnations] of this.crashesByKey) {
      if (nowMs - Math.max(...[...incarnations.values()].map(({ atMs }) => atMs)) < suspicionTtlMs) return;
      this.clear(key);
    }
  }

  private dropOldest(): void {
    const [oldest] = this.crashesByKey.keys();
    if (oldest !== undefined) this.clear(oldest);
  }
}

/** The evidence of two requests that one server crashed under. */
function mergeEvidence(one: CrashEvidence, other: CrashEvidence = {}): CrashEvidence {
  if (one.round === undefined || other.round === undefined) return one;
  return { round: Math.max(one.round, other.round), proven: one.proven === true || other.proven === true };
}
