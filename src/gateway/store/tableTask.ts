/** Follows a table of the store while this node is a store reader: reads all rows, then waits for changes. */
import { LoopTask } from "../../common/loopTask.ts";
import { toFailure, type Failure } from "../../common/errors.ts";
import { elapsedMsSince, takeInstant, type Instant } from "../../common/instant.ts";
import { storeRetryMs } from "../../serving/membership/storeReaders.ts";
import type { RowSet, Store } from "../../serving/store.ts";
import type { StorePosition } from "../../serving/storePosition.ts";

/** Pause before all rows are read again because the store no longer has the changes in between, ms. */
const historyLostRetryMs = 10;

/** Options of a `TableTask`. */
export interface TableTaskOptions {
  readonly store: Store;
  /** Whether this node is one of the store readers. */
  readonly shouldReadStore: () => boolean;
  /** Whether this node is active, rather than on standby. */
  readonly active: () => boolean;
  /** Number of nodes that read the store like this one while it answers nobody. */
  readonly retryingNodes: () => number;
}

/** The table to follow, and how. */
export interface FollowedTable {
  readonly name: string;
  readonly table: string;
  /**
   * Duration of one wait for changes, ms. A connection may become unresponsive for good; the next wait detects it, so this
   * and the store client's own timeout bound the delay of a change.
   */
  readonly waitMs: number;
  /** Pause of a node that isn't a store reader, ms, while active and while on standby. */
  readonly idleMs: { readonly active: number; readonly standby: number };
}

/** The read loop; subclasses interpret the rows. */
export abstract class TableTask extends LoopTask {
  constructor(
    private readonly followed: FollowedTable,
    private readonly taskOptions: TableTaskOptions,
  ) {
    super(followed.name);
  }

  protected override async run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!this.stopped) {
      if (!this.taskOptions.shouldReadStore() && !this.hasNoData) {
        // All rows are read anew once this node is a store reader again.
        position = undefined;
        const { active, standby } = this.followed.idleMs;
        await this.pause(this.taskOptions.active() ? active : standby);
        continue;
      }
      position = await this.readOnce(position);
    }
  }

  /** Whether this node has no data yet; it then reads the store even if others do. */
  protected abstract get hasNoData(): boolean;

  /** Reads all followed rows. */
  protected abstract readAll(): Promise<RowSet>;

  /**
   * Applies the rows read: all of them if `complete`, otherwise the changes. Later changes than those of `ageMs` ago may be
   * missing.
   */
  protected abstract applyRows(set: RowSet, complete: boolean, ageMs: number): void;

  /** Records whether the store answered; `failure` is undefined if it did. */
  protected abstract recordResult(failure: Failure | undefined): void;

  /** Returns the position to continue from; undefined if all rows have to be read. */
  private async readOnce(after: StorePosition | undefined): Promise<StorePosition | undefined> {
    const { store } = this.taskOptions;
    const { table, waitMs } = this.followed;
    try {
      const complete = after === undefined;
      const sentAt = takeInstant();
      const set = await (complete ? this.readAll() : store.changes(table, after, waitMs));
      this.recordResult(undefined);
      this.applyRows(set, complete, complete ? elapsedMsSince(sentAt) : this.ageOfChanges(set, sentAt));
      return set.position;
    } catch (error) {
      const failure = toFailure(error);
      const historyLost = failure.kind === "history-lost";
      if (!historyLost) this.recordResult(failure);
      const retryMs = storeRetryMs(this.taskOptions.retryingNodes(), Math.random());
      await this.pause(historyLost ? historyLostRetryMs : retryMs);
      return undefined;
    }
  }

  /** The store knew of no change until the end of the wait if it waited for the whole time and returned none. */
  private ageOfChanges({ rows, removed }: RowSet, sentAt: Instant): number {
    const elapsedMs = elapsedMsSince(sentAt);
    const waitedMs = rows.length + removed.length === 0 ? this.followed.waitMs : 0;
    return elapsedMs >= waitedMs ? elapsedMs - waitedMs : elapsedMs;
  }
}
