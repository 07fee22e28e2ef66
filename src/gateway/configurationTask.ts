/** Keeps the configuration in force up to date with the store. */
import { toFailure, type Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import type * as purify from "purify-ts";
import type { Configuration } from "../serving/configuration.ts";
import { RouteTable } from "../serving/routeTable.ts";
import type { Row, Store } from "../serving/store.ts";
import type { ConfigurationInForce } from "./serving.ts";
import type { StoreLink } from "./storeLink.ts";

/**
 * How long one wait for changes lasts, ms. A connection may fall silent for good; the next wait finds out,
 * so this and the store client's own limit bound how late a configuration can be in force.
 */
const waitMs = 3_000;
/** Pause after a failed call, ms. */
const retryMs = 250;

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
  readonly store: Store;
  readonly link: StoreLink;
  readonly log: Log;
  readonly configuration: ConfigurationInForce;
  /** Where the configuration lies. */
  readonly row: { readonly table: string; readonly key: string };
  readonly decode: (text: string) => purify.Either<Failure, Configuration>;
}

/** Reads the configuration, then waits for changes. */
export class ConfigurationTask implements Task {
  readonly name = "configuration";
  private stopped = false;

  constructor(private readonly options: ConfigurationTaskOptions) {}

  start(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    const { store, link, row } = this.options;
    let version: number | undefined;
    while (!this.stopped) {
      try {
        const read = version === undefined ? store.get(row.table, row.key) : store.changes(row.table, version, waitMs);
        const set = await read;
        link.succeeded();
        version = set.version;
        const found = set.rows.find((r) => r.key === row.key);
        if (found !== undefined) this.apply(found);
      } catch (error) {
        const failure = toFailure(error);
        if (failure.kind === "history-lost") version = undefined;
        else link.failed(failure);
        await new Promise((resolve) => setTimeout(resolve, failure.kind === "history-lost" ? 10 : retryMs));
      }
    }
  }

  private apply(row: Row): void {
    const { log, configuration } = this.options;
    this.options.decode(row.value).caseOf({
      // The last good configuration stays in force.
      Left: (failure) => {
        log.error({ event: "configuration-rejected", rowVersion: row.version, detail: failure.message });
      },
      Right: (decoded) => {
        const previous = configuration.current?.version;
        if (!configuration.offer(new RouteTable(decoded))) return;
        log.info({ event: "configuration-applied", version: decoded.version, previous, routes: decoded.routes.length });
      },
    });
  }
}
