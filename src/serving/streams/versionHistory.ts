/**
 * Software versions that each service's servers had recently. A stream whose version nobody knows may go on only if
 * there was a single version for as long as a stream can last.
 */
import { Emitter } from "../../common/emitter.ts";

/** Time after a version's first server was seen until every node is expected to have seen it, ms: one read of the store. */
const settleMs = 1_000;

interface Sighting {
  firstMs: number;
  lastMs: number;
  present: boolean;
}

/** A version and when a server of it was last known to exist, ms; undefined for one that has servers now. */
export interface SeenVersion {
  readonly version: string;
  readonly lastMs: number | undefined;
}

/** What one node knows of the versions; times are of `performance.now()`. */
export class VersionHistory {
  /** Fired when a service gets or loses a version. */
  readonly changed = new Emitter<undefined>();
  private readonly services = new Map<string, Map<string, Sighting>>();
  /** From when on no version is missing. */
  private completeFromMs = Number.POSITIVE_INFINITY;

  /** Applies the versions of the servers that are known now. */
  observe(versions: ReadonlyMap<string, ReadonlySet<string>>, nowMs: number): void {
    if (versions.size > 0) this.completeFromMs = Math.min(this.completeFromMs, nowMs);
    let changed = false;
    for (const [service, present] of versions)
      for (const version of present) changed = this.recordPresence(service, version, nowMs) || changed;
    for (const [service, sightings] of this.services)
      for (const [version, sighting] of sightings) {
        if (!sighting.present) continue;
        sighting.lastMs = nowMs;
        if (versions.get(service)?.has(version) === true) continue;
        sighting.present = false;
        changed = true;
      }
    if (changed) this.changed.fire(undefined);
  }

  /** Adds a version that another node, or this one before a restart, saw until `lastMs`. */
  add(service: string, version: string, lastMs: number): void {
    const known = this.sightingsOf(service).get(version);
    if (known === undefined)
      this.sightingsOf(service).set(version, { firstMs: lastMs, lastMs, present: false });
    else known.lastMs = Math.max(known.lastMs, lastMs);
  }

  /** Everything from before this node's own observations was added. */
  markComplete(): void {
    this.completeFromMs = Number.NEGATIVE_INFINITY;
  }

  /** Versions of the service within the last `windowMs`; empty if its servers report none. */
  recent(service: string, nowMs: number, windowMs: number): SeenVersion[] {
    return [...(this.services.get(service) ?? [])]
      .filter(([, { present, lastMs }]) => present || nowMs - lastMs < windowMs)
      .map(([version, { present, lastMs }]) => ({ version, lastMs: present ? undefined : lastMs }));
  }

  /** The only version of the service within the last `windowMs`; undefined if there were several, or may have been. */
  onlyVersion(service: string, nowMs: number, windowMs: number): string | undefined {
    if (!this.isComplete(nowMs, windowMs)) return undefined;
    const versions = this.recent(service, nowMs, windowMs);
    return versions.length === 1 ? versions[0]?.version : undefined;
  }

  /** Whether no version within the last `windowMs` can be missing. */
  isComplete(nowMs: number, windowMs: number): boolean {
    return nowMs - this.completeFromMs >= windowMs;
  }

  /** Whether nodes that may not have seen the version yet would have seen it by now. */
  isSettled(service: string, version: string, nowMs: number): boolean {
    const sightings = this.services.get(service);
    const sighting = sightings?.get(version);
    return sightings?.size === 1 || (sighting !== undefined && nowMs - sighting.firstMs >= settleMs);
  }

  /** Services whose servers report versions. */
  get versionedServices(): readonly string[] {
    return [...this.services.keys()];
  }

  private recordPresence(service: string, version: string, nowMs: number): boolean {
    const sighting = this.sightingsOf(service).get(version);
    if (sighting?.present === true) return false;
    if (sighting === undefined)
      this.sightingsOf(service).set(version, { firstMs: nowMs, lastMs: nowMs, present: true });
    else Object.assign(sighting, { present: true, firstMs: nowMs });
    return true;
  }

  private sightingsOf(service: string): Map<string, Sighting> {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const sightings = new Map<string, Sighting>();
    this.services.set(service, sightings);
    return sightings;
  }
}
