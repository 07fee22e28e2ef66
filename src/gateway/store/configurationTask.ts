/** Keeps the active configuration up to date, read from the store or pulled from a peer that has a newer one. */
import * as Schema from "effect/Schema";
import type * as purify from "purify-ts";
import { decode } from "../../common/decode.ts";
import { toFailure, type Failure } from "../../common/errors.ts";
import { elapsedMsSince, takeInstant } from "../../common/instant.ts";
import type { Log } from "../../common/log.ts";
import type { Handler } from "../../common/rpc.ts";
import type { Configuration } from "../../serving/configuration.ts";
import type { ConfigurationAgeLimits } from "../../serving/configurationAge.ts";
import { RouteTable } from "../../serving/routeTable.ts";
import type { RowSet } from "../../serving/store.ts";
import type { PeerCalls, PeerVersions } from "../membership/peerCalls.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import { ConfigurationRefresh, type ConfigurationSource } from "./configurationRefresh.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import type { StoreHealth } from "./storeHealth.ts";
import { TableTask, type TableTaskOptions } from "./tableTask.ts";

/** Pause of a node that isn't a store reader, ms: hundreds of standby nodes would use up CPU time if they woke often. */
const idleMs = { active: 250, standby: 1_000 };

/** Timeout of a read of the store that decisions wait for, ms: a store that is sixty times slower responds in 240 ms. */
const refreshReadTimeoutMs = 300;
/** Maximum number of peers asked in one refresh. */
const maxPeersAsked = 2;

/** A peer's request for a configuration newer than a version. */
const ConfigurationParams = Schema.Struct({ after: Schema.optionalKey(Schema.Number) });

/** A peer's configuration; absent fields are those of an earlier build. */
const PeerConfiguration = Schema.Struct({
  /** As it was stored; empty if it isn't newer. */
  text: Schema.String,
  version: Schema.optionalKey(Schema.Number),
  /** Time since which a newer version may have been acknowledged, ms; absent if unknown. */
  ageMs: Schema.optionalKey(Schema.Number),
});

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions extends TableTaskOptions {
  readonly storeHealth: StoreHealth;
  readonly log: Log;
  readonly configuration: ActiveConfiguration;
  /** The row that holds the configuration. */
  readonly row: { readonly table: string; readonly key: string };
  readonly decode: (text: string) => purify.Either<Failure, Configuration>;
  readonly metrics: GatewayMetrics;
  readonly limits: ConfigurationAgeLimits;
  /** Calls a peer. */
  readonly callPeer: PeerCalls["call"];
  /** Peers that may know whether the configuration is current, best first. */
  readonly informedPeers: () => readonly PeerVersions[];
  /** Longest time for which a message that is read now may have been unread, ms. */
  readonly unreadMs: () => number;
}

/** Reads the configuration, then waits for changes. */
export class ConfigurationTask extends TableTask {
  private text: string | undefined;
  private pulling = false;
  /** Confirms the configuration when decisions need it. */
  readonly refresh: ConfigurationRefresh;

  constructor(private readonly options: ConfigurationTaskOptions) {
    const { waitMs } = options.limits;
    super({ name: "configuration", table: options.row.table, waitMs, idleMs }, options);
    this.refresh = new ConfigurationRefresh({ ...options, sources: () => this.sources() });
  }

  /** RPC methods for peers. */
  get handlers(): Record<string, Handler> {
    return { "configuration.get": (params) => Promise.resolve(this.newerThan(params)) };
  }

  /** Applies a peer's message: its confirmation of a version that this node has, or its configuration if that is newer. */
  async applyPeerVersion(peer: PeerVersions): Promise<void> {
    const { configuration, unreadMs } = this.options;
    if (peer.version > configuration.version) {
      configuration.announce(peer.version);
      await this.pullAnnounced(peer);
    } else if (peer.configurationAgeMs !== undefined && peer.configurationAgeMs < configuration.ageMs)
      // `unreadMs` takes much of the time of a heartbeat, and most peers confirm nothing new.
      configuration.confirm(peer.configurationAgeMs + unreadMs(), peer.host);
  }

  private async pullAnnounced(peer: PeerVersions): Promise<void> {
    if (this.pulling) return;
    this.pulling = true;
    try {
      await this.pull(peer);
    } catch (error) {
      const detail = toFailure(error).message;
      this.options.log.debug({ event: "configuration-not-pulled", peer: peer.host, detail });
      void this.refresh.refresh();
    } finally {
      this.pulling = false;
    }
  }

  private async pull(peer: PeerVersions, newConnection = false): Promise<void> {
    const { configuration, callPeer } = this.options;
    const sentAt = takeInstant();
    const params = { after: configuration.version };
    const reply = await callPeer(peer, "configuration.get", params, { newConnection });
    const { text, version, ageMs } = decode(PeerConfiguration, reply);
    if (text !== "") this.applyText(text, peer.host);
    if (ageMs !== undefined && version !== undefined && version <= configuration.version)
      configuration.confirm(ageMs + elapsedMsSince(sentAt), peer.host);
  }

  private newerThan(params: unknown): typeof PeerConfiguration.Type {
    const { after = 0 } = decode(ConfigurationParams, params);
    const { version, ageMs } = this.options.configuration;
    const age = Number.isFinite(ageMs) ? { ageMs: Math.ceil(ageMs) } : {};
    return { text: version > after ? (this.text ?? "") : "", version, ...age };
  }

  /** Pooled connections may all be dead after a network failure, so all sources but the first use new ones. */
  private sources(): ConfigurationSource[] {
    const peers = this.options.informedPeers().slice(0, maxPeersAsked);
    return [...peers.map((peer, i) => () => this.pull(peer, i > 0)), () => this.confirmByStore()];
  }

  private async confirmByStore(): Promise<void> {
    const { store, row } = this.options;
    const sentAt = takeInstant();
    const options = { timeoutMs: refreshReadTimeoutMs, newConnection: true };
    const rows = await store.get(row.table, row.key, options);
    this.applyRows(rows, true, elapsedMsSince(sentAt));
  }

  /** An active node without a configuration refuses its callers, so it reads the store without waiting for a peer. */
  protected override get hasNoData(): boolean {
    return this.options.active() && this.options.configuration.current === undefined;
  }

  protected override readAll(): Promise<RowSet> {
    const { table, key } = this.options.row;
    return this.options.store.get(table, key);
  }

  protected override applyRows({ rows }: RowSet, _complete: boolean, ageMs: number): void {
    const found = rows.find(({ key }) => key === this.options.row.key);
    if (found !== undefined) this.applyText(found.value, "store");
    this.options.configuration.confirm(ageMs, "store");
  }

  protected override recordResult(failure: Failure | undefined): void {
    const { storeHealth } = this.options;
    if (failure === undefined) storeHealth.recordSuccess();
    else storeHealth.recordFailure(failure);
  }

  private applyText(text: string, from: string): void {
    if (text === this.text) return;
    const { log, configuration } = this.options;
    this.options.decode(text).caseOf({
      // The last valid configuration stays active.
      Left: (failure) => {
        log.error({ event: "configuration-rejected", from, detail: failure.message });
      },
      Right: (decoded) => {
        const previous = configuration.current?.version;
        const table = new RouteTable(decoded);
        if (previous !== undefined && previous >= table.version) return;
        this.text = text;
        configuration.applyIfNewer(table);
        log.info({
          event: "configuration-applied",
          version: decoded.version,
          previous,
          from,
          routes: decoded.routes.length,
        });
      },
    });
  }
}
