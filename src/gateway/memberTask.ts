/** Enters this node in the store's list of gateway nodes, and learns the others from it. */
import { decodeEither } from "../common/decode.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { Endpoint } from "../serving/hostSettings.ts";
import type { PeerTable } from "../serving/peerTable.ts";
import type { Store } from "../serving/store.ts";

const table = "parsleynotch_nodes";
/** Pause between tries until the node is entered, ms. */
const periodMs = 500;

/** Options of a `MemberTask`. */
export interface MemberTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly peers: PeerTable;
  readonly endpoint: Endpoint;
}

/**
 * Writes its row first and reads the others' after it, once: of two nodes that start together at least one
 * sees the other and tells it of itself.
 */
export class MemberTask extends PeriodicTask {
  private entered = false;
  private listed = false;

  constructor(private readonly options: MemberTaskOptions) {
    super("member", periodMs, options.log);
  }

  /** Leaves the list; a row that stays behind does no harm, as nobody hears the node. */
  async leave(): Promise<void> {
    try {
      await this.options.store.commit([{ table, key: this.options.endpoint.ip }]);
    } catch (error) {
      this.options.log.info({ event: "member-row-left", detail: toFailure(error).message });
    }
  }

  protected override async step(): Promise<void> {
    const { store, endpoint, log } = this.options;
    if (this.listed) return;
    if (!this.entered) {
      await store.commit([{ table, key: endpoint.ip, value: JSON.stringify(endpoint) }]);
      this.entered = true;
    }
    const { rows } = await store.list(table);
    this.listed = true;
    for (const row of rows) {
      decodeEither(Endpoint, JSON.parse(row.value))
        .ifLeft((failure) => log.warn({ event: "member-rejected", row: row.key, detail: failure.message }))
        .ifRight((address) => {
          this.options.peers.list(address, performance.now());
        });
    }
    log.info({ event: "member-entered", nodes: rows.length });
  }
}
