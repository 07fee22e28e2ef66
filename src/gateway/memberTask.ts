/** Enters this node in the store's list of gateway nodes, and learns the others from it. */
import { decodeEither } from "../common/decode.ts";
import type { Disposable } from "../common/disposables.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { Member, type PeerTable } from "../serving/membership/peerTable.ts";
import type { RowChange, Store } from "../serving/store.ts";

const table = "parsleynotch_nodes";
/** Pause between tries until the node is entered, ms. */
const periodMs = 500;

/** A node that couldn't read the list for this long goes by what it hears from peers, ms. */
const unlistedMs = 2_000;

/**
 * Nodes that look after the list once the store came back from a copy do so within this time, ms, so that one writes what is
 * missing and the others find it.
 */
const spreadMs = 1_500;
/** Rows written in one commit. */
const mostRows = 50;

/** Options of a `MemberTask`. */
export interface MemberTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly peers: PeerTable;
  readonly self: Member;
  /** Is it on this node to read the store for all? */
  readonly shouldReadStore: () => boolean;
}

/**
 * Writes its row first and reads the others' after it, once: of two nodes that start together at least one
 * sees the other and tells it of itself.
 */
export class MemberTask extends PeriodicTask {
  private entered = false;
  private listed = false;
  private readonly startedMs = performance.now();
  /** When to look for rows that the store lost, ms. */
  private restoreAtMs = Number.POSITIVE_INFINITY;
  private readonly listening: Disposable;

  constructor(private readonly options: MemberTaskOptions) {
    super("member", periodMs, options.log);
    this.listening = options.store.eras.changed.on(({ from }) => {
      if (from === undefined || !this.listed) return;
      this.restoreAtMs = performance.now() + Math.random() * spreadMs;
      void this.resume();
    });
  }

  /** Are the other nodes known, or is the store out of reach for so long that this one decides without? */
  get membershipKnown(): boolean {
    return this.listed || performance.now() - this.startedMs > unlistedMs;
  }

  /** Leaves the list; a row that stays behind does no harm, as nobody hears the node. */
  async leave(): Promise<void> {
    await this.listening.dispose();
    try {
      await this.options.store.commit([{ table, key: this.options.self.ip }]);
    } catch (error) {
      this.options.log.info({ event: "member-row-left", detail: toFailure(error).message });
    }
  }

  override async dispose(): Promise<void> {
    await this.listening.dispose();
    await super.dispose();
  }

  protected override async step(): Promise<void> {
    if (this.listed) await this.restore();
    else await this.enter();
  }

  /** Writes the rows of nodes that a copy of the store lacks, for all nodes. */
  private async restore(): Promise<void> {
    const { store, peers, log, shouldReadStore: reads } = this.options;
    if (performance.now() < this.restoreAtMs) return;
    if (reads()) {
      const present = new Set((await store.list(table)).rows.map(({ key }) => key));
      const lost = peers.memberRows(this.options.self).filter(({ ip }) => !present.has(ip));
      for (let i = 0; i < lost.length; i += mostRows)
        await store.commit(lost.slice(i, i + mostRows).map((member) => rowOf(member)));
      log.info({ event: "members-restored", nodes: lost.length });
    }
    this.restoreAtMs = Number.POSITIVE_INFINITY;
    this.pause();
  }

  private async enter(): Promise<void> {
    const { store, self, log, peers } = this.options;
    if (!this.entered) {
      await store.commit([rowOf(self)]);
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
    peers.addListedNodes(members, performance.now());
    log.info({ event: "member-entered", nodes: rows.length });
  }
}

function rowOf({ ip, port, zone, strength }: Member): RowChange {
  return { table, key: ip, value: JSON.stringify({ ip, port, zone, strength }) };
}
