/** Enters this node in the store's list of gateway nodes, and learns the others from it. */
import { decodeEither } from "../common/decode.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { Member, type PeerTable } from "../serving/membership/peerTable.ts";
import type { Store } from "../serving/store.ts";

const table = "parsleynotch_nodes";
/** Pause between tries until the node is entered, ms. */
const periodMs = 500;

/** A node that couldn't read the list for this long goes by what it hears from peers, ms. */
const unlistedMs = 2_000;

/** Options of a `MemberTask`. */
export interface MemberTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly peers: PeerTable;
  readonly self: Member;
}

/**
 * Writes its row first and reads the others' after it, once: of two nodes that start together at least one
 * sees the other and tells it of itself.
 */
export class MemberTask extends PeriodicTask {
  private entered = false;
  private listed = false;
  private readonly startedMs = performance.now();

  constructor(private readonly options: MemberTaskOptions) {
    super("member", periodMs, options.log);
  }

  /** Are the other nodes known, or is the store out of reach for so long that this one decides without? */
  get listKnown(): boolean {
    return this.listed || performance.now() - this.startedMs > unlistedMs;
  }

  /** Leaves the list; a row that stays behind does no harm, as nobody hears the node. */
  async leave(): Promise<void> {
    try {
      await this.options.store.commit([{ table, key: this.options.self.ip }]);
    } catch (error) {
      this.options.log.info({ event: "member-row-left", detail: toFailure(error).message });
    }
  }

  protected override async step(): Promise<void> {
    const { store, self, log, peers } = this.options;
    if (!this.entered) {
      const { ip, port, zone, strength } = self;
      await store.commit([{ table, key: ip, value: JSON.stringify({ ip, port, zone, strength }) }]);
      this.entered = true;
    }
    const { rows } = await store.list(table);
    this.listed = true;
    this.pause();
    const members = rows.flatMap((row) =>
      decodeEither(Member, JSON.parse(row.value))
        .ifLeft((failure) => log.warn({ event: "member-rejected", row: row.key, detail: failure.message }))
        .map((member) => [member])
        .orDefault([]),
    );
    peers.list(members, performance.now());
    log.info({ event: "member-entered", nodes: rows.length });
  }
}
