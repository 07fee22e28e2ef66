/** Keeps the active configuration up to date, read from the store or pulled from a peer that has a newer one. */
import * as Schema from "effect/Schema";
import type * as purify from "purify-ts";
import { decode } from "../common/decode.ts";
import { toFailure, type Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Handler } from "../common/rpc.ts";
import type { Configuration } from "../serving/configuration.ts";
import { RouteTable } from "../serving/routeTable.ts";
import type { RowSet } from "../serving/store.ts";
import type { PeerVersions } from "./peerCalls.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import type { StoreHealth } from "./storeHealth.ts";
import { TableTask, type TableTaskOptions } from "./tableTask.ts";

/** Duration of one wait for changes, ms: an unresponsive connection delays a configuration by no more. */
const waitMs = 3_000;
/** Pause of a node that isn't a store reader, ms: hundreds of standby nodes would use up CPU time if they woke often. */
const idleMs = { active: 250, standby: 1_000 };

/** The configuration as it was stored. */
const StoredConfiguration = Schema.Struct({ text: Schema.String });

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions extends TableTaskOptions {
  readonly storeHealth: StoreHealth;
  readonly log: Log;
  readonly configuration: ActiveConfiguration;
  /** The row that holds the configuration. */
  readonly row: { readonly table: string; readonly key: string };
  readonly decode: (text: string) => purify.Either<Failure, Configuration>;
  /** Calls a peer. */
  readonly callPeer: (peer: PeerVersions, method: string, params: unknown) => Promise<unknown>;
  /** Longest time for which a message that is read now may have been unread, ms. */
  readonly unreadMs: () => number;
}

/** Reads the configuration, then waits for changes. */
export class ConfigurationTask extends TableTask {
  private text: string | undefined;
  private pulling = false;

  constructor(private readonly options: ConfigurationTaskOptions) {
    super({ name: "configuration", table: options.row.table, waitMs, idleMs }, options);
  }

  /** RPC methods for peers. */
  get handlers(): Record<string, Handler> {
    return { "configuration.get": () => Promise.resolve({ text: this.text ?? "" }) };
  }

  /** Applies a peer's message: its confirmation of a version that this node has, or its configuration if that is newer. */
  async applyPeerVersion(peer: PeerVersions): Promise<void> {
    const { configuration, unreadMs } = this.options;
    if (peer.version > configuration.version) await this.pull(peer);
    else if (peer.configurationAgeMs !== undefined)
      configuration.confirm(peer.configurationAgeMs + unreadMs(), peer.host);
  }

  private async pull(peer: PeerVersions): Promise<void> {
    const { log } = this.options;
    if (this.pulling) return;
    this.pulling = true;
    try {
      const { text } = decode(
        StoredConfiguration,
        await this.options.callPeer(peer, "configuration.get", {}),
      );
      if (text !== "") this.applyText(text, peer.host);
    } catch (error) {
      log.debug({ event: "configuration-not-pulled", peer: peer.host, detail: toFailure(error).message });
    } finally {
      this.pulling = false;
    }
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
