import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { Failure } from "../../src/common/errors.ts";
import { TableTask } from "../../src/gateway/store/tableTask.ts";
import { storeRetryMs } from "../../src/serving/membership/storeReaders.ts";
import type { RowSet, Store } from "../../src/serving/store.ts";

/** Follows a table of a store that refuses every call. */
class RefusedTable extends TableTask {
  reads = 0;

  constructor(nodes: number) {
    const options = { shouldReadStore: () => true, active: () => false, retryingNodes: () => nodes };
    super(
      { name: "refused", table: "t", waitMs: 1_000, idleMs: { active: 250, standby: 1_000 } },
      { store: {} as Store, ...options },
    );
  }

  protected override get hasNoData(): boolean {
    return false;
  }

  protected override readAll(): Promise<RowSet> {
    this.reads += 1;
    return Promise.reject(new Failure("platform-unavailable", "busy"));
  }

  protected override applyRows(): void {
    throw new Error("nothing was read");
  }

  protected override recordResult(): void {
    // Not observed here.
  }
}

describe("reads of a store that answers nobody", () => {
  it("should be repeated by each node less often the more nodes there are", () => {
    expect(storeRetryMs(1, 0.5)).to.equal(250);
    expect(storeRetryMs(10, 0)).to.equal(250);
    expect(storeRetryMs(74, 0.5)).to.equal(1_850);
    expect(storeRetryMs(74, 0)).to.equal(925);
    expect(storeRetryMs(1_000, 1)).to.equal(3_000);
  });

  // 86 nodes read the configuration 350 times a second while the store was away for 4.5 s.
  it("should stay bounded over all nodes of a large fleet", async () => {
    const nodes = 74;
    const tasks = Array.from({ length: nodes }, () => new RefusedTable(nodes));
    await Promise.all(tasks.map((task) => task.start()));
    await delay(3_000);
    await Promise.all(tasks.map((task) => task.dispose()));
    const reads = tasks.reduce((sum, task) => sum + task.reads, 0);
    // The first read of each, and 40 a second after it.
    expect(reads).to.be.within(nodes, nodes + 3 * 60);
  });
});
