/** Registers this node in the store's list of gateway nodes, and reads the others from it. */
import { decodeEither } from "../../common/decode.ts";
import type { Disposable } from "../../common/disposables.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import { Member, type PeerTable } from "../../serving/membership/peerTable.ts";
import type { RowChange, Store } from "../../serving/store.ts";

/** The list of gateway nodes. */
export const memberTable = "parsleynotch_nodes";
/** Pause between attempts until the node is registered, ms. */
const retryPeriodMs = 500;

/** A node that couldn't read the list for this long relies on its peers' messages, ms. */
const listTimeoutMs = 2_000;

/**
 * Range of the random delay, ms, after which store readers check the list once the store was restored from a backup: one
 * writes the missing rows, and the others find them.
 */
const maxRestoreDelayMs = 1_500;
/** Maximum number of rows written in one commit. */
const maxRowsPerCommit = 50;

/** Options of a `MemberTask`. */
export interface MemberTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly peers: PeerTable;
  readonly self: Member;
  /** Whether this node is one of the store readers. */
  readonly shouldReadStore: () => boolean;
}

/**
 * Writes this node's row first and then reads the others', once: of two nodes that start together at least one sees the
 * other, and sends it a heartbeat.
 */
export class MemberTask extends PeriodicTask {
  private registered = false;
  private listed = false;
  private readonly startedMs = performance.now();
  /** When to check for rows that the store lost, ms. */
  private restoreAtMs = Number.POSITIVE_INFINITY;
  private readonly eraSubscription: Disposable;

  constructor(private readonly options: MemberTaskOptions) {
    super("member", retryPeriodMs, options.log);
    this.eraSubscription = options.store.eras.changed.on(({ from }) => {
      if (from === undefined || !this.listed) return;
      this.restoreAtMs = performance.now() + Math.random() * maxRestoreDelayMs;
      void this.resume();
    });
  }

  /** Whether the other nodes are known, or the list couldn't be read for so long that this node decides without it. */
  get membershipKnown(): boolean {
    return this.listed || performance.now() - this.startedMs > listTimeoutMs;
  }

  /** Removes this node's row; a row that stays behind does no harm, as the node sends no heartbeats. */
  async leave(): Promise<void> {
    await this.eraSubscription.dispose();
    try {
      await this.options.store.commit([{ table: memberTable, key: this.options.self.ip }]);
    } catch (error) {
      this.options.log.info({ event: "member-row-left", detail: toFailure(error).message });
    }
  }

  override async dispose(): Promise<void> {
    await this.eraSubscription.dispose();
    await super.dispose();
  }

  protected override async step(): Promise<void> {
    if (this.listed) await this.restore();
    else await this.register();
  }

  /** Writes the rows that are missing from the restored store, on behalf of all nodes. */
  private async restore(): Promise<void> {
    const { store, peers, log, shouldReadStore } = this.options;
    if (performance.now() < this.restoreAtMs) return;
    if (shouldReadStore()) {
      const present = new Set((await store.list(memberTable)).rows.map(({ key }) => key));
      const missing = peers.memberRows(this.options.self).filter(({ ip }) => !present.has(ip));
      for (let i = 0; i < missing.length; i += maxRowsPerCommit)
        await store.commit(missing.slice(i, i + maxRowsPerCommit).map((member) => rowOf(member)));
      log.info({ event: "members-restored", nodes: missing.length });
    }
    this.restoreAtMs = Number.POSITIVE_INFINITY;
    this.pause();
  }

  private async register(): Promise<void> {
    const { store, self, log, peers } = this.options;
    if (!this.registered) {
      await store.commit([rowOf(self)]);
      this.registered = true;
    }
    const { rows } = await store.list(memberTable);
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
  return { table: memberTable, key: ip, value: JSON.stringify({ ip, port, zone, strength }) };
}
