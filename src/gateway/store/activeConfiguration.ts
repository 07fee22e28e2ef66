/** The active configuration of a node, and how recently it was confirmed to be the newest one. */
import { Emitter } from "../../common/emitter.ts";
import { elapsedMsSince, takeInstant, type Instant } from "../../common/instant.ts";
import type { RouteTable } from "../../serving/routeTable.ts";

/** A confirmation: every version acknowledged before it is contained in the active configuration. */
interface Confirmation {
  readonly at: Instant;
  /** The store, or the host of the peer that knew. */
  readonly source: string;
}

/** Routes in force on this node. */
export class ActiveConfiguration {
  private table: RouteTable | undefined;
  private confirmation: Confirmation | undefined;
  private newestAnnounced = 0;
  readonly changed = new Emitter<RouteTable>();

  /** The active routes; undefined until a first configuration is loaded. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** Version of the active routes; 0 without any. */
  get version(): number {
    return this.table?.version ?? 0;
  }

  /** Time since which a newer version may have been acknowledged without this node knowing, ms; infinite if unknown. */
  get ageMs(): number {
    return this.confirmation === undefined ? Number.POSITIVE_INFINITY : elapsedMsSince(this.confirmation.at);
  }

  /** What the latest confirmation rests on. */
  get source(): string | undefined {
    return this.confirmation?.source;
  }

  /** Whether a newer version is known to exist. */
  get outdated(): boolean {
    return this.newestAnnounced > this.version;
  }

  /** A peer has this version. */
  announce(version: number): void {
    this.newestAnnounced = Math.max(this.newestAnnounced, version);
  }

  /** Activates a configuration if it is newer than the active one; returns whether it did. */
  applyIfNewer(table: RouteTable): boolean {
    if (this.table !== undefined && table.version <= this.table.version) return false;
    this.table = table;
    this.changed.fire(table);
    return true;
  }

  /** No version newer than the active one had been acknowledged `ageMs` ago. */
  confirm(ageMs: number, source: string): void {
    if (this.table === undefined || ageMs >= this.ageMs) return;
    this.confirmation = { at: takeInstant(ageMs), source };
  }
}
