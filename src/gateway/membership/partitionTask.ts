/**
 * Tells the other parts of a partitioned fleet through the store that the nodes of this part are alive, and reads which
 * of the lost ones are. One node per part writes, one row every few seconds, and only while nodes are lost without notice.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import { forgetMs, PartitionStatement, type Partition } from "../../serving/membership/partition.ts";
import type { RowSet, Store } from "../../serving/store.ts";
import { memberTable } from "./memberTask.ts";

const table = "parsleynotch_partitions";
/** Period of writes and reads, ms: a few of them fit into the time in which a lost node without a row counts. */
const periodMs = 3_000;
const callTimeoutMs = 2_000;
/** A node that became active within this time, ms, looks for a partition that began before. */
const recentActivationMs = 15_000;
/** A row describes a partition that still exists if it is newer than this, ms. */
const currentRowMs = 4 * periodMs;
/** Consecutive reads in which a member's row is missing: a store restored from a backup lacks rows for 1.5 s. */
const missingReads = 2;

const PartitionRow = Schema.Struct({
  /** Nodes of the writer's part. */
  nodes: Schema.Array(Schema.String),
  statement: PartitionStatement,
  /** On the store's clock. */
  atMs: Schema.Number,
});

/** Options of a `PartitionTask`. */
export interface PartitionTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly ip: string;
  /** The lost peers as of now. */
  readonly partition: (nowMs: number) => Partition;
  /** All input that arrived before this time has been read, ms. */
  readonly readUpToMs: () => number;
  /** Since when this node is active, ms; undefined on standby. */
  readonly activeSinceMs: () => number | undefined;
}

/** Owns the row of this node's part. */
export class PartitionTask extends PeriodicTask {
  private hasRow = false;
  private wasActive = false;
  /** Consecutive reads in which the members' rows were missing. */
  private readonly missing = new Map<string, number>();

  constructor(private readonly options: PartitionTaskOptions) {
    super("partition", periodMs, options.log);
  }

  /** Exchanges evidence with the other parts now. */
  async exchange(): Promise<void> {
    const { activeSinceMs, readUpToMs, partition: partitionAt, log } = this.options;
    const now = readUpToMs();
    const partition = partitionAt(now);
    const sinceMs = activeSinceMs();
    if (sinceMs === undefined || !partition.active) this.missing.clear();
    try {
      if (sinceMs === undefined || !partition.active) {
        if (this.hasRow) await this.removeRow();
        if (sinceMs === undefined || now - sinceMs > recentActivationMs) return;
      }
      if (!partition.writes(now, sinceMs)) return;
      const set = await this.options.store.list(table, { timeoutMs: callTimeoutMs });
      const stale = this.applyRows(set);
      if (partition.active) await this.write(set, stale);
      await this.findDepartures();
    } catch (error) {
      log.info({ event: "partition-not-exchanged", detail: toFailure(error).message });
    } finally {
      this.logChange(partition);
    }
  }

  protected override step(): Promise<void> {
    return this.exchange();
  }

  /** Applies the rows of other parts; returns the keys of rows that are too old to mean anything. */
  private applyRows({ rows, nowMs: storeNowMs }: RowSet): string[] {
    const { ip, log, readUpToMs, partition: partitionAt } = this.options;
    const now = readUpToMs();
    const partition = partitionAt(now);
    const stale: string[] = [];
    for (const row of rows) {
      if (row.key === ip && partition.active) continue;
      decodeEither(PartitionRow, JSON.parse(row.value))
        .ifLeft((failure) => {
          log.warn({ event: "partition-row-rejected", row: row.key, detail: failure.message });
        })
        .ifRight(({ nodes, statement, atMs }) => {
          const ageMs = storeNowMs - atMs;
          // The store's clock starts anew with a restored store; the row is written again then.
          if (ageMs < 0 || ageMs > forgetMs) stale.push(row.key);
          else if (!partition.active && ageMs < currentRowMs) partition.adopt(aged(statement, ageMs), now);
          if (ageMs >= 0) for (const node of nodes) partition.recordAlive(node, now - ageMs);
        });
    }
    return stale;
  }

  private async write({ nowMs: storeNowMs }: RowSet, stale: readonly string[]): Promise<void> {
    const { store, ip, readUpToMs, partition: partitionAt } = this.options;
    const startedMs = readUpToMs();
    const partition = partitionAt(startedMs);
    const statement = partition.statement(startedMs);
    if (statement === undefined) return;
    const value = JSON.stringify({ nodes: partition.part, statement, atMs: Math.round(storeNowMs) });
    this.hasRow = true;
    const removals = stale.filter((key) => key !== ip).map((key) => ({ table, key }));
    await store.commit([{ table, key: ip, value }, ...removals], { timeoutMs: callTimeoutMs });
    // The others see the row at this time or later.
    partition.recordWritten(startedMs);
  }

  /** Lost nodes that removed their rows from the list of nodes have stopped in order. */
  private async findDepartures(): Promise<void> {
    const { store, readUpToMs, partition: partitionAt } = this.options;
    const now = readUpToMs();
    const partition = partitionAt(now);
    // Nodes that another part named lately are alive.
    const unconfirmed = partition.lost(now).filter(({ aliveMs }) => now - aliveMs > periodMs);
    if (unconfirmed.length === 0) return;
    const { rows } = await store.list(memberTable, { timeoutMs: callTimeoutMs });
    const listed = new Set(rows.map(({ key }) => key));
    for (const { ip } of unconfirmed) {
      const reads = listed.has(ip) ? 0 : (this.missing.get(ip) ?? 0) + 1;
      this.missing.set(ip, reads);
      if (reads >= missingReads) partition.recordRemoved(ip, now);
    }
  }

  private async removeRow(): Promise<void> {
    const { store, ip } = this.options;
    await store.commit([{ table, key: ip }], { timeoutMs: callTimeoutMs });
    this.hasRow = false;
  }

  private logChange(partition: Partition): void {
    if (partition.active === this.wasActive) return;
    this.wasActive = partition.active;
    const now = this.options.readUpToMs();
    this.options.log.info({
      event: partition.active ? "peers-lost" : "peers-regained",
      lost: partition.lost(now).map(({ ip, aliveMs }) => `${ip} ${Math.round(now - aliveMs)} ms`),
      share: partition.share(now),
    });
  }
}

function aged({ members }: PartitionStatement, ageMs: number): PartitionStatement {
  const entries = Object.entries(members).map(
    ([ip, state]) => [ip, { ...state, ageMs: state.ageMs + ageMs }] as const,
  );
  return { members: Object.fromEntries(entries) };
}
