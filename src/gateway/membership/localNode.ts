/** This node as peers and callers know it, and the nodes with which it serves callers. */
import type { HostSettings } from "../../serving/hostSettings.ts";
import { formatEndpoint } from "../../serving/hostSettings.ts";
import { reachesAny } from "../../serving/forwarding.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import { chooseAddresses } from "../../serving/membership/directory.ts";
import type { Member, NodeStatus, Peer, PeerAddress, PeerTable } from "../../serving/membership/peerTable.ts";
import { messageDictionary } from "../../serving/zones/messageCompression.ts";
import { ReaderAssignment, type ReaderNode } from "../caches/readerAssignment.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** CPU utilization of the node, from 0 to 1, over a short and a long time. */
export interface NodeUtilization {
  readonly recent: number;
  readonly steady: number;
}

/** The nodes that may read caches are determined again after this time, ms: a part of the period of assignments. */
const readersTtlMs = 50;

/** Options of a `LocalNode`. */
export interface LocalNodeOptions {
  readonly settings: HostSettings;
  /** Increases with each start of the process. */
  readonly boot: number;
  readonly context: () => GatewayContext;
  readonly table: PeerTable;
  readonly utilization: () => NodeUtilization;
  readonly active: () => boolean;
  /** Fencing token of the placement lease while this node holds it. */
  readonly leaseToken: () => number | undefined;
  /** Time since the last read of the registrations from the store, ms. */
  readonly readAgeMs: () => number;
  readonly reachability: () => { readonly unreachable: readonly string[]; readonly partitioned: boolean };
  readonly storeEra: () => number | undefined;
}

/** State of this node. */
export class LocalNode {
  private stopping = false;
  private readonly readers = new ReaderAssignment();
  private readersUpdatedMs = Number.NEGATIVE_INFINITY;
  /** When it last became active or returned to standby, ms. */
  private stateChangedMs = performance.now();

  constructor(private readonly options: LocalNodeOptions) {}

  /** The node has begun to stop. */
  recordStop(): void {
    this.stopping = true;
  }

  /** The node became active or returned to standby. */
  recordActivation(): void {
    this.stateChangedMs = performance.now();
  }

  /** Whether it accepts callers. */
  get ready(): boolean {
    return !this.stopping && this.context.configuration.current !== undefined;
  }

  /** Everything that arrived before this time has been read, ms; reference time for the liveness of peers. */
  get readUpToMs(): number {
    return this.context.watermark.readUpToMs;
  }

  /** Live peers that accept callers. */
  get readyPeers(): Peer[] {
    return this.options.table.alive(this.readUpToMs).filter(({ status }) => status.ready);
  }

  /** Number of active nodes: this one and the live peers. */
  get activeNodeCount(): number {
    return this.options.table.alive(this.readUpToMs).length + 1;
  }

  /** Since when it is active, ms; undefined on standby. */
  get activeSinceMs(): number | undefined {
    return this.options.active() ? this.stateChangedMs : undefined;
  }

  /** Share of customers' quotas for this node and those in contact with it. */
  get quotaShare(): number {
    return this.options.table.quotaShare(this.activeSinceMs, this.readUpToMs);
  }

  /** IPs of the active nodes that can connect to a server of the service. */
  sendingNodes(service: string): string[] {
    const servers = this.context.fleet.available(service).map(({ id }) => id);
    const nodes = this.readyPeers.map(({ status }) => status);
    if (this.ready && this.options.active()) nodes.push(this.status());
    return nodes.filter((node) => reachesAny(node, servers)).map(({ ip }) => ip);
  }

  /** Addresses of nodes that accept callers, for a caller in the zone if it stated one. */
  addresses(callerZone?: string): string[] {
    const nodes = this.readyPeers.map(({ status }) => status);
    if ((this.ready && this.options.active()) || nodes.length === 0) nodes.push(this.status());
    return chooseAddresses(nodes, Math.random, callerZone);
  }

  /** The node that owns a key: grants the permits of a server, or the run lock of a request fingerprint. */
  ownerOf(key: string): PeerAddress {
    const { table, settings, active } = this.options;
    return table.owner(key, settings.peers, this.ready && active(), this.readUpToMs);
  }

  /**
   * The node that reads what the engine has cached: an active one that can connect to it, in its zone if there is any.
   * Undefined if this node knows of none.
   */
  cacheReaderOf(server: Pick<BackendServer, "id" | "zone">): string | undefined {
    const now = performance.now();
    if (now - this.readersUpdatedMs >= readersTtlMs) {
      this.readersUpdatedMs = now;
      this.readers.update(this.readerNodes());
    }
    return this.readers.ownerOf(server);
  }

  private readerNodes(): ReaderNode[] {
    const { settings, active, reachability } = this.options;
    const nodes: ReaderNode[] = this.readyPeers.map(({ status }) => status);
    if (!this.ready || !active()) return nodes;
    const { ip, zone } = settings;
    return [...nodes, { ip, zone, unreachable: reachability().unreachable }];
  }

  status(): NodeStatus {
    const { settings, boot, storeEra, leaseToken } = this.options;
    const { context, quotaShare } = this;
    const utilization = this.options.utilization();
    const token = leaseToken();
    const readAgeMs = this.options.readAgeMs();
    const { ageMs: configurationAgeMs } = context.configuration;
    const { unreachable, partitioned } = this.options.reachability();
    const era = storeEra();
    return {
      ...memberOf(settings),
      host: settings.host,
      boot,
      callers: formatEndpoint(settings.callers),
      ready: this.ready,
      // An overloaded node has no spare CPU time, whatever its measured utilization.
      busy: context.overloadDetector.overloaded ? 1 : utilization.recent,
      steadyBusy: utilization.steady,
      version: context.configuration.version,
      ...(Number.isFinite(configurationAgeMs) ? { configurationAgeMs: Math.round(configurationAgeMs) } : {}),
      ...(Number.isFinite(readAgeMs) ? { readAgeMs: Math.round(readAgeMs) } : {}),
      fleetRevision: context.fleet.revision,
      ...(token === undefined ? {} : { token }),
      ...(unreachable.length === 0 ? {} : { unreachable }),
      ...(partitioned ? { partitioned } : {}),
      forwarding: true,
      streamVersions: true,
      customers: true,
      compactMessages: true,
      messageDictionary,
      combinedMessages: true,
      ...(quotaShare < 1 ? { quotaShare } : {}),
      ...(era === undefined ? {} : { storeEra: era }),
    };
  }

  private get context(): GatewayContext {
    return this.options.context();
  }
}

/** The host as a member of the fleet. */
export function memberOf({ peers, zone, strength }: HostSettings): Member {
  return { ...peers, zone, strength };
}
