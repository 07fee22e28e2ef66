/** Keeps the fleet up to date with the servers' registrations in the store. */
import { toFailure, type Failure } from "../common/errors.ts";
import type { Task } from "../common/supervisor.ts";
import type * as purify from "purify-ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { RowSet, Store } from "../serving/store.ts";
import type { Serving } from "./serving.ts";
import type { StoreLink } from "./storeLink.ts";

/**
 * Pause between reads, ms. A server that leaves must get nothing after 2 s, and registrations change with
 * every heartbeat, so a wait for changes would return at once each time; a read in time costs one call.
 */
const periodMs = 650;

/** Options of a `FleetTask`. */
export interface FleetTaskOptions {
  readonly store: Store;
  readonly link: StoreLink;
  readonly serving: Serving;
  readonly table: string;
  readonly decode: (id: string, text: string) => purify.Either<Failure, BackendServer>;
}

/** Reads registrations at a steady pace. */
export class FleetTask implements Task {
  readonly name = "fleet";
  private stopped = false;
  private version: number | undefined;

  constructor(private readonly options: FleetTaskOptions) {
    options.link.returned.on(() => {
      options.serving.fleet.storeReturned(performance.now());
    });
  }

  start(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const startedMs = performance.now();
      await this.readOnce();
      const pause = Math.max(50, periodMs - (performance.now() - startedMs));
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }

  private async readOnce(): Promise<void> {
    const { store, link, table } = this.options;
    const complete = this.version === undefined;
    try {
      const set = await (this.version === undefined
        ? store.list(table)
        : store.changes(table, this.version, 0));
      link.succeeded();
      this.version = set.version;
      this.learn(set, complete);
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind === "history-lost") this.version = undefined;
      else link.failed(failure);
    }
  }

  private learn(set: RowSet, complete: boolean): void {
    const { serving } = this.options;
    const now = performance.now();
    const servers = set.rows.flatMap((row) => {
      const decoded = this.options.decode(row.key, row.value);
      decoded.ifLeft((failure) => {
        serving.log.warn({ event: "registration-rejected", server: row.key, detail: failure.message });
      });
      return decoded.map((server) => [{ server, version: row.version }]).orDefault([]);
    });
    for (const { server } of servers) this.logChange(server);
    serving.fleet.learn(servers, complete, now);
    for (const id of set.removed) {
      serving.log.info({ event: "server-removed", server: id });
      serving.fleet.remove(id, now);
    }
    serving.fleet.expire(now);
    const known = new Set(serving.fleet.all().map((server) => server.id));
    serving.pool.retain(known);
    serving.outliers.retain(known);
    serving.fleetChanged.fire(undefined);
  }

  private logChange(server: BackendServer): void {
    const known = this.options.serving.fleet.get(server.id);
    if (known !== undefined && known.leaving === server.leaving) return;
    this.options.serving.log.info({
      event: server.leaving ? "server-leaving" : "server-found",
      server: server.id,
      service: server.service,
      goneInMs: server.goneInMs,
    });
  }
}
