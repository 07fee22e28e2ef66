/** Keeps the configuration in force up to date: read from the store, or told by a peer that has a newer one. */
import * as Schema from "effect/Schema";
import type * as purify from "purify-ts";
import { decode } from "../common/decode.ts";
import { toFailure, type Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Handler } from "../common/rpc.ts";
import { LoopTask } from "../common/loopTask.ts";
import type { Configuration } from "../serving/configuration.ts";
import { RouteTable } from "../serving/routeTable.ts";
import type { Store } from "../serving/store.ts";
import type { PeerNews } from "./peerCalls.ts";
import type { ConfigurationInForce } from "./serving.ts";
import type { StoreLink } from "./storeLink.ts";

/**
 * How long one wait for changes lasts, ms. A connection may fall silent for good; the next wait finds out,
 * so this and the store client's own limit bound how late a configuration can be in force.
 */
const waitMs = 3_000;
/** Pause after a failed call, or while others read, ms. */
const retryMs = 250;

/** The pause of a node that stands by, ms: hundreds that wake for nothing take their hosts' processor time. */
const standbyMs = 1_000;

/** The configuration as it was stored. */
const StoredConfiguration = Schema.Struct({ text: Schema.String });

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
  readonly store: Store;
  readonly link: StoreLink;
  readonly log: Log;
  readonly configuration: ConfigurationInForce;
  /** Where the configuration lies. */
  readonly row: { readonly table: string; readonly key: string };
  readonly decode: (text: string) => purify.Either<Failure, Configuration>;
  /** Is it on this node to read? */
  readonly reads: () => boolean;
  /** Does this node take callers, rather than stand by? */
  readonly active: () => boolean;
  /** Calls a peer. */
  readonly ask: (peer: PeerNews, method: string, params: unknown) => Promise<unknown>;
}

/** Reads the configuration, then waits for changes. */
export class ConfigurationTask extends LoopTask {
  private text: string | undefined;
  private pulling = false;

  constructor(private readonly options: ConfigurationTaskOptions) {
    super("configuration");
  }

  /** Methods for peers. */
  get handlers(): Record<string, Handler> {
    return { "configuration.get": () => Promise.resolve({ text: this.text ?? "" }) };
  }

  /** A peer may have a newer configuration. */
  async hear(peer: PeerNews): Promise<void> {
    const { configuration, log } = this.options;
    if (peer.version <= (configuration.current?.version ?? 0) || this.pulling) return;
    this.pulling = true;
    try {
      const { text } = decode(StoredConfiguration, await this.options.ask(peer, "configuration.get", {}));
      if (text !== "") this.apply(text, peer.host);
    } catch (error) {
      log.debug({ event: "configuration-not-pulled", peer: peer.host, detail: toFailure(error).message });
    } finally {
      this.pulling = false;
    }
  }

  protected override async follow(): Promise<void> {
    const { store, link, row } = this.options;
    let version: number | undefined;
    while (!this.stopped) {
      if (!this.options.reads() && !this.lacksConfiguration) {
        // What changed meanwhile is read whole when it is on this node again.
        version = undefined;
        await this.pause(this.options.active() ? retryMs : standbyMs);
        continue;
      }
      try {
        const read =
          version === undefined ? store.get(row.table, row.key) : store.changes(row.table, version, waitMs);
        const set = await read;
        link.succeeded();
        version = set.version;
        const found = set.rows.find((r) => r.key === row.key);
        if (found !== undefined) this.apply(found.value, "store");
      } catch (error) {
        const failure = toFailure(error);
        version = undefined;
        if (failure.kind !== "history-lost") link.failed(failure);
        await this.pause(failure.kind === "history-lost" ? 10 : retryMs);
      }
    }
  }

  /** An active node without a configuration refuses its callers: it doesn't wait for a peer's word. */
  private get lacksConfiguration(): boolean {
    return this.options.active() && this.options.configuration.current === undefined;
  }

  private apply(text: string, from: string): void {
    if (text === this.text) return;
    const { log, configuration } = this.options;
    this.options.decode(text).caseOf({
      // The last good configuration stays in force.
      Left: (failure) => {
        log.error({ event: "configuration-rejected", from, detail: failure.message });
      },
      Right: (decoded) => {
        const previous = configuration.current?.version;
        const table = new RouteTable(decoded);
        if (previous !== undefined && previous >= table.version) return;
        this.text = text;
        configuration.offer(table);
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
