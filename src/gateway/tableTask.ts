/** Follows rows of the store while it is on this node to read them: reads them whole, then waits for changes. */
import { LoopTask } from "../common/loopTask.ts";
import { toFailure, type Failure } from "../common/errors.ts";
import type { RowSet, Store } from "../serving/store.ts";
import type { StorePosition } from "../serving/storePosition.ts";

/** Pause after a failed call, ms. */
const retryMs = 250;
/** Pause before rows are read whole where the store dropped the changes in between, ms. */
const lostHistoryMs = 10;

/** Options of a `TableTask`. */
export interface TableTaskOptions {
  readonly store: Store;
  /** Is it on this node to read? */
  readonly shouldReadStore: () => boolean;
  /** Does this node take callers, rather than stand by? */
  readonly active: () => boolean;
}

/** What is followed. */
export interface Followed {
  readonly name: string;
  readonly table: string;
  /**
   * How long one wait for changes lasts, ms. A connection may fall silent for good; the next wait finds out, so this and
   * the store client's own limit bound how late a change is known.
   */
  readonly waitMs: number;
  /** Pause of a node that leaves reading to others, ms, while it takes callers and while it stands by. */
  readonly idleMs: { readonly active: number; readonly standby: number };
}

/** The loop; what the rows mean is the subclass's. */
export abstract class TableTask extends LoopTask {
  constructor(
    private readonly follows: Followed,
    private readonly reading: TableTaskOptions,
  ) {
    super(follows.name);
  }

  protected override async run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!this.stopped) {
      if (!this.reading.shouldReadStore() && !this.lacking) {
        // What changed meanwhile is read whole when it is on this node again.
        position = undefined;
        const { active, standby } = this.follows.idleMs;
        await this.pause(this.reading.active() ? active : standby);
        continue;
      }
      position = await this.readOnce(position);
    }
  }

  /** Does the node have nothing yet to go by? Then it reads though others do. */
  protected abstract get lacking(): boolean;

  /** Reads all that is followed. */
  protected abstract readWhole(): Promise<RowSet>;

  /** Takes what was read: all of it, or what changed. */
  protected abstract take(set: RowSet, whole: boolean): void;

  /** The store answered, or didn't. */
  protected abstract noteCall(failure: Failure | undefined): void;

  /** Gives back the position to go on from. */
  private async readOnce(after: StorePosition | undefined): Promise<StorePosition | undefined> {
    const { store } = this.reading;
    const { table, waitMs } = this.follows;
    try {
      const whole = after === undefined;
      const set = await (whole ? this.readWhole() : store.changes(table, after, waitMs));
      this.noteCall(undefined);
      this.take(set, whole);
      return set.position;
    } catch (error) {
      const failure = toFailure(error);
      const lost = failure.kind === "history-lost";
      if (!lost) this.noteCall(failure);
      await this.pause(lost ? lostHistoryMs : retryMs);
      return undefined;
    }
  }
}
