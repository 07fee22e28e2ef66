/**
 * Tracks which requests were running when servers crashed, and on how many. A crash makes suspects of all requests
 * that ran on the server, of which only one may be the cause; that one is running again when the next server crashes.
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
  readonly fingerprints: Set<string>;
}

/** Suspected requests by fingerprint, with the incarnations that crashed while running them. */
export class Suspects {
  /** In order of their latest crash. */
  private readonly crashesByRequest = new Map<string, Map<string, number>>();
  private readonly crashes = new Map<string, Crash>();

  get size(): number {
    return this.crashesByRequest.size;
  }

  has(fingerprint: string): boolean {
    return this.crashesByRequest.has(fingerprint);
  }

  /** Number of incarnations that crashed while running the request. */
  crashCount(fingerprint: string): number {
    return this.crashesByRequest.get(fingerprint)?.size ?? 0;
  }

  /** The incarnations that crashed while running the request. */
  crashedIncarnations(fingerprint: string): readonly string[] {
    return [...(this.crashesByRequest.get(fingerprint)?.keys() ?? [])];
  }

  /** Whether the request is suspected of having crashed the incarnation. */
  isSuspectedOf(fingerprint: string, incarnation: string): boolean {
    return this.crashesByRequest.get(fingerprint)?.has(incarnation) ?? false;
  }

  /** An incarnation crashed while running the request. Returns the number of incarnations that have. */
  add(fingerprint: string, incarnation: string, nowMs: number): number {
    const incarnations = this.crashesByRequest.get(fingerprint) ?? new Map<string, number>();
    incarnations.set(incarnation, nowMs);
    this.crashesByRequest.delete(fingerprint);
    this.crashesByRequest.set(fingerprint, incarnations);
    const crash = this.crashes.get(incarnation) ?? { atMs: nowMs, fingerprints: new Set() };
    crash.atMs = nowMs;
    crash.fingerprints.add(fingerprint);
    this.crashes.set(incarnation, crash);
    if (this.crashesByRequest.size > maxSuspects) this.dropOldest();
    return incarnations.size;
  }

  /** When a connection to the incarnation was last lost, ms; undefined if none was. */
  crashedAtMs(incarnation: string): number | undefined {
    return this.crashes.get(incarnation)?.atMs;
  }

  /** The incarnation is alive, so its connection losses weren't crashes. Returns the requests concerned. */
  clearCrash(incarnation: string): readonly string[] {
    const fingerprints = [...(this.crashes.get(incarnation)?.fingerprints ?? [])];
    this.crashes.delete(incarnation);
    for (const fingerprint of fingerprints) {
      const incarnations = this.crashesByRequest.get(fingerprint);
      incarnations?.delete(incarnation);
      if (incarnations?.size === 0) this.crashesByRequest.delete(fingerprint);
    }
    return fingerprints;
  }

  /** Drops the request from suspicion. */
  clear(fingerprint: string): void {
    for (const incarnation of this.crashesByRequest.get(fingerprint)?.keys() ?? []) {
      const crash = this.crashes.get(incarnation);
      crash?.fingerprints.delete(fingerprint);
      if (crash?.fingerprints.size === 0) this.crashes.delete(incarnation);
    }
    this.crashesByRequest.delete(fingerprint);
  }

  /** Drops suspicions that are too old. */
  expire(nowMs: number): void {
    for (const [fingerprint, incarnations] of this.crashesByRequest) {
      if (nowMs - Math.max(...incarnations.values()) < suspicionTtlMs) return;
      this.clear(fingerprint);
    }
  }

  private dropOldest(): void {
    const [oldest] = this.crashesByRequest.keys();
    if (oldest !== undefined) this.clear(oldest);
  }
}
