/**
 * Software versions that each service's servers had recently. A stream whose version nobody knows may go on only if
 * there was a single version for as long as a stream can last. A new version is used only once the store has it, so that
 * the store names every version of which there may be streams.
 */
import { Emitter } from "../../common/emitter.ts";

/** Time after a version's first server was seen until every node is expected to have seen it, ms: one read of the store. */
const settleMs = 1_000;

interface Sighting {
  firstMs: number;
  lastMs: number;
  present: boolean;
  /** The store names the version as one that may have servers now. */
  stored: boolean;
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
  /** Fired when a version would be used if it were known to be stored. */
  readonly confirmationWanted = new Emitter<undefined>();
  private readonly services = new Map<string, Map<string, Sighting>>();
  /** From when on no version is missing: of any service as observed, and of one service as recorded in the store. */
  private observedFromMs = Number.POSITIVE_INFINITY;
  private readonly recordedFromMs = new Map<string, number>();

  /** Applies the versions of the servers that are known now. */
  observe(versions: ReadonlyMap<string, ReadonlySet<string>>, nowMs: number): void {
    if (versions.size > 0) this.observedFromMs = Math.min(this.observedFromMs, nowMs);
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
      this.sightingsOf(service).set(version, { firstMs: lastMs, lastMs, present: false, stored: false });
    else known.lastMs = Math.max(known.lastMs, lastMs);
  }

  /** All versions of the service since `fromMs`, and before this node's own observations, were added. */
  markComplete(service: string, fromMs = Number.NEGATIVE_INFINITY): void {
    this.recordedFromMs.set(
      service,
      Math.min(fromMs, this.recordedFromMs.get(service) ?? Number.POSITIVE_INFINITY),
    );
  }

  /** Versions may have come and gone unseen until now, as the known servers were not up to date. */
  recordGap(nowMs: number): void {
    if (this.isObserving) this.observedFromMs = nowMs;
    this.recordedFromMs.clear();
  }

  /** Whether servers with a version were known at any time. */
  get isObserving(): boolean {
    return this.observedFromMs < Number.POSITIVE_INFINITY;
  }

  /** The store names the version as one that may have servers now. */
  markStored(service: string, version: string): void {
    const sighting = this.services.get(service)?.get(version);
    if (sighting?.present === true) sighting.stored = true;
  }

  /** The store may have lost what was marked as stored. */
  forgetStored(): void {
    for (const sightings of this.services.values())
      for (const sighting of sightings.values()) sighting.stored = false;
  }

  /** Services with a version that has servers and isn't known to be stored. */
  get unstoredServices(): readonly string[] {
    return [...this.services]
      .filter(([, sightings]) => [...sightings.values()].some(({ present, stored }) => present && !stored))
      .map(([service]) => service);
  }

  /** Versions of the service within the last `windowMs`; empty if its servers report none. */
  recent(service: string, nowMs: number, windowMs: number): SeenVersion[] {
    return [...(this.services.get(service) ?? [])]
      .filter(([, { present, lastMs }]) => present || nowMs - lastMs < windowMs)
      .map(([version, { present, lastMs }]) => ({ version, lastMs: present ? undefined : lastMs }));
  }

  /** The only version of the service within the last `windowMs`; undefined if there were several, or may have been. */
  onlyVersion(service: string, nowMs: number, windowMs: number): string | undefined {
    if (!this.isComplete(service, nowMs, windowMs)) return undefined;
    const versions = this.recent(service, nowMs, windowMs);
    return versions.length === 1 ? versions[0]?.version : undefined;
  }

  /** Whether no version of the service within the last `windowMs` can be missing. */
  isComplete(service: string, nowMs: number, windowMs: number): boolean {
    const recordedFromMs = this.recordedFromMs.get(service) ?? Number.POSITIVE_INFINITY;
    return nowMs - Math.min(this.observedFromMs, recordedFromMs) >= windowMs;
  }

  /** Whether nodes that may not have seen the version yet would have seen it by now. */
  isSettled(service: string, version: string, nowMs: number): boolean {
    const sightings = this.services.get(service);
    const sighting = sightings?.get(version);
    return sightings?.size === 1 || (sighting !== undefined && nowMs - sighting.firstMs >= settleMs);
  }

  /** Whether the version is known to be stored; fires `confirmationWanted` otherwise. */
  confirmStored(service: string, version: string): boolean {
    const stored = this.services.get(service)?.get(version)?.stored === true;
    if (!stored) this.confirmationWanted.fire(undefined);
    return stored;
  }

  /** Services whose servers report versions. */
  get versionedServices(): readonly string[] {
    return [...this.services.keys()];
  }

  private recordPresence(service: string, version: string, nowMs: number): boolean {
    const sighting = this.sightingsOf(service).get(version);
    if (sighting?.present === true) return false;
    if (sighting === undefined)
      this.sightingsOf(service).set(version, {
        ...{ firstMs: nowMs, lastMs: nowMs },
        ...{ present: true, stored: false },
      });
    else Object.assign(sighting, { present: true, stored: false, firstMs: nowMs });
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
