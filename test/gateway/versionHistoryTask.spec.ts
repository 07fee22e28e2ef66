import { expect } from "chai";
import { createLog } from "../../src/common/log.ts";
import { VersionHistoryTask } from "../../src/gateway/streams/versionHistoryTask.ts";
import { VersionHistory } from "../../src/serving/streams/versionHistory.ts";
import { MemoryStore, type MemoryStoreClient } from "../fixtures/memoryStore.ts";
import { waitUntil } from "../fixtures/gateways.ts";

const table = "parsleynotch_version_history";
const lifetimeMs = 60_000;

/** One node's part in the record of versions. */
class Recorder {
  readonly history = new VersionHistory();
  readonly client: MemoryStoreClient;
  readonly task: VersionHistoryTask;
  holdsLease = false;

  constructor(store: MemoryStore) {
    this.client = store.createClient();
    this.task = new VersionHistoryTask({
      ...{ store: this.client, history: this.history, log: createLog("version-history-test") },
      lifetimeMs: () => lifetimeMs,
      holdsLease: () => this.holdsLease,
    });
  }

  see(...versions: string[]): void {
    this.history.observe(new Map([["s", new Set(versions)]]), performance.now());
  }

  takeLease(): void {
    this.holdsLease = true;
    this.task.applyLease();
  }

  /** The only version of the service's streams, as far as the node knows after a read. */
  async only(): Promise<string | undefined> {
    await this.task.load();
    return this.history.onlyVersion("s", performance.now(), lifetimeMs);
  }
}

describe("the record of software versions", () => {
  let store: MemoryStore;
  let recorders: Recorder[];

  beforeEach(() => {
    store = new MemoryStore();
    recorders = [];
  });

  afterEach(async () => {
    for (const { task } of recorders) await task.dispose();
  });

  async function startNode(...versions: string[]): Promise<Recorder> {
    const recorder = new Recorder(store);
    recorders.push(recorder);
    await recorder.task.start();
    if (versions.length > 0) recorder.see(...versions);
    return recorder;
  }

  async function startHolder(...versions: string[]): Promise<Recorder> {
    const holder = await startNode(...versions);
    holder.takeLease();
    await waitUntil(() => versions.every((version) => recorded()?.[version] === null));
    return holder;
  }

  function recorded(): Record<string, number | null> | undefined {
    const row = store.row(table, "s");
    return row === undefined
      ? undefined
      : (JSON.parse(row.value) as { versions: Record<string, number | null> }).versions;
  }

  // Guards against joined streams after all nodes were killed: the new holder removed what it didn't know.
  it("should keep a version that the lease holder has never seen", async () => {
    await (await startHolder("v1", "v2")).task.dispose();
    await startHolder("v2");
    await waitUntil(() => typeof recorded()?.v1 === "number");
    expect(recorded()?.v2).to.equal(null);
    const node = await startNode("v2");
    expect(await node.only()).to.equal(undefined);
  });

  // Guards against an empty read that is taken for proof that there was one version.
  it("should prove nothing while there is none", async () => {
    const node = await startNode("v2");
    expect(await node.only()).to.equal(undefined);
  });

  // Guards against refusing what is safe.
  it("should name a version that was the only one all along", async () => {
    await (await startHolder("v1")).task.dispose();
    const node = await startNode("v1");
    expect(await node.only()).to.equal("v1");
  });

  // Guards against a read that is too early to know of a later version.
  it("should be read again after a read that proved nothing", async () => {
    const node = await startNode("v1");
    expect(await node.only()).to.equal(undefined);
    await startHolder("v1");
    await waitUntil(async () => (await node.only()) === "v1");
  });

  // Guards against a version that is missing because the store came back from a copy while all nodes were down.
  it("should prove nothing if the store was restored and all nodes had lost their memory", async () => {
    const first = await startHolder("v1");
    const backup = store.createBackup();
    first.see("v1", "v2");
    await waitUntil(() => recorded()?.v2 === null);
    await first.task.dispose();
    store.restore(backup);
    const node = await startNode("v1");
    expect(await node.only()).to.equal(undefined);
    await startHolder("v1");
    await node.only();
    expect(await node.only()).to.equal(undefined);
  });

  // Guards against a version that is lost with a restored store while nodes remember it.
  it("should be written again by nodes that remember it after the store was restored", async () => {
    const holder = await startHolder("v1");
    const backup = store.createBackup();
    holder.see("v1", "v2");
    await waitUntil(() => recorded()?.v2 === null);
    store.restore(backup);
    await holder.client.list(table);
    await waitUntil(() => recorded()?.v2 === null);
    const node = await startNode("v1");
    expect(await node.only()).to.equal(undefined);
  });

  // Guards against streams of a version that the store doesn't know, while no node holds the lease.
  it("should get a version from any node that would use it", async () => {
    const holder = await startHolder("v1");
    holder.holdsLease = false;
    const node = await startNode("v1", "v2");
    expect(node.history.confirmStored("s", "v2")).to.equal(false);
    await waitUntil(() => recorded()?.v2 === null);
    await waitUntil(() => node.history.confirmStored("s", "v2"));
    expect(recorded()?.v1).to.equal(null);
  });

  // Guards against a former holder that writes over what others added.
  it("should not be written from an older state of the row", async () => {
    const holder = await startHolder("v1");
    const node = await startNode("v2");
    node.history.confirmStored("s", "v2");
    await waitUntil(() => recorded()?.v2 === null);
    holder.see("v1", "v3");
    await waitUntil(() => recorded()?.v3 === null, 8_000);
    expect(recorded()).to.have.property("v2");
  });

  // Guards against versions that came and went while a node didn't see the servers.
  it("should be read again by a node whose view of the servers was old", async () => {
    const node = await startNode("v1");
    await startHolder("v1");
    await waitUntil(async () => (await node.only()) === "v1");
    node.history.recordGap(performance.now());
    expect(node.history.onlyVersion("s", performance.now(), lifetimeMs)).to.equal(undefined);
    await waitUntil(async () => (await node.only()) === "v1");
  });
});
