import { expect } from "chai";
import { DisposableStore } from "../../src/common/disposables.ts";
import { createLog } from "../../src/common/log.ts";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.ts";
import { QuarantineTask } from "../../src/gateway/quarantine/quarantineTask.ts";
import { Quarantine } from "../../src/serving/quarantine/quarantine.ts";
import { waitUntil } from "../fixtures/gateways.ts";
import { MemoryStore, type MemoryStoreClient } from "../fixtures/memoryStore.ts";

const table = "parsleynotch_quarantine";
/** One node's quarantine, without the rest of the node. */
class Host {
  readonly quarantine = new Quarantine();
  readonly task: QuarantineTask;
  /** Whether this node is one of the store readers. */
  isStoreReader = false;
  /** Nodes that this one can call. */
  readonly peers = new Map<string, Host>();

  constructor(
    readonly name: string,
    readonly storeClient: MemoryStoreClient,
  ) {
    const log = createLog("quarantine-test");
    const metrics = new GatewayMetrics();
    this.task = new QuarantineTask({
      store: storeClient,
      log,
      metrics,
      quarantine: this.quarantine,
      shouldReadStore: () => this.isStoreReader,
      active: () => true,
      retryingNodes: () => 1,
      callPeer: async (peer, method, params) => this.peers.get(peer.host)?.task.handlers[method]?.(params),
    });
  }

  /** Three servers crash while running the request. */
  quarantineRequest(fingerprint: string): void {
    for (const id of ["i-1", "i-2", "i-3"])
      this.quarantine.recordConnectionLoss(fingerprint, id, performance.now());
  }

  isQuarantined(fingerprint: string): boolean {
    return this.quarantine.timeLeftMs(fingerprint, performance.now()) > 0;
  }

  /** Receives a heartbeat of the peer. */
  async receiveHeartbeatFrom(peer: Host): Promise<void> {
    this.peers.set(peer.name, peer);
    const versions = { host: peer.name, ip: "10.0.0.2", port: 1, boot: 1, version: 1, fleetRevision: 1 };
    await this.task.pullIfNewer({ ...versions, quarantinePosition: peer.task.position });
  }
}

describe("quarantine entries in the store", () => {
  let store: MemoryStore;
  let running: DisposableStore;

  beforeEach(() => {
    store = new MemoryStore();
    running = new DisposableStore();
  });

  afterEach(async () => {
    await running.dispose();
  });

  async function start(name: string): Promise<Host> {
    const host = new Host(name, store.createClient());
    running.add(host.task);
    await host.task.start();
    return host;
  }

  it("should reach a node without peers within the bound for trusting it again", async () => {
    // A host is cut off from the other nodes but not from the store. Callers still reach it, and it forwarded a request that
    // all others had quarantined. Once it receives no heartbeats, it reads the store itself.
    const [a, b] = [await start("a"), await start("b")];
    b.isStoreReader = true;
    a.quarantineRequest("p");
    await waitUntil(() => b.isQuarantined("p"), 1_400);
  });

  it("should be written once the store is available again", async () => {
    const [a, b] = [await start("a"), await start("b")];
    a.storeClient.disconnected = true;
    a.quarantineRequest("p");
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    expect(store.row(table, "p")).to.equal(undefined);
    a.storeClient.disconnected = false;
    await waitUntil(() => store.row(table, "p") !== undefined, 2_500);
    await b.receiveHeartbeatFrom(a);
    expect(b.isQuarantined("p")).to.equal(true);
  });

  it("should be written by another node if the one that created them is lost", async () => {
    const [a, b] = [await start("a"), await start("b")];
    a.storeClient.disconnected = true;
    a.quarantineRequest("p");
    const update = a.quarantine.takeUpdate();
    if (update === undefined) throw new Error("no update for a new entry");
    b.quarantine.applyUpdate(update, false, performance.now());
    await a.task.dispose();
    await waitUntil(() => store.row(table, "p") !== undefined, 4_500);
  });

  it("should not be lost if two nodes write different ones", async () => {
    // Two nodes each quarantine a request at about the same time. The second writer took the store version of its own row
    // as the newest known one and never read the first entry, so its callers' retries crashed servers again. A third node
    // that pulled from it dropped the first entry as well.
    const [a, b, c] = [await start("a"), await start("b"), await start("c")];
    a.quarantineRequest("p");
    await waitUntil(() => store.row(table, "p") !== undefined);
    await c.receiveHeartbeatFrom(a);
    b.quarantineRequest("q");
    await waitUntil(() => store.row(table, "q") !== undefined);
    await waitUntil(() => b.task.position.version > 0);
    await b.receiveHeartbeatFrom(a);
    await c.receiveHeartbeatFrom(b);
    expect([
      b.isQuarantined("p"),
      b.isQuarantined("q"),
      c.isQuarantined("p"),
      c.isQuarantined("q"),
    ]).to.deep.equal([true, true, true, true]);
  });

  it("should not be removed while unsaved because the row of the earlier watch entry is gone", async () => {
    // Another node dropped the watch entry; this node has learned of the quarantine entry meanwhile.
    const [a, b] = [await start("a"), await start("b")];
    a.quarantine.applyEntry("p", { untilMs: 0, forMs: 300_000 }, { era: 0, version: 1 }, performance.now());
    const entry = { untilMs: performance.now() + 600_000, forMs: 600_000 };
    a.quarantine.applyEntry("p", entry, undefined, performance.now());
    store.put("other", "row", "");
    b.quarantineRequest("q");
    await waitUntil(() => b.task.position.version > 0);
    await a.receiveHeartbeatFrom(b);
    expect([a.isQuarantined("p"), a.isQuarantined("q")]).to.deep.equal([true, true]);
  });

  it("should be removed when an operator removes the row", async () => {
    const [a, b] = [await start("a"), await start("b")];
    b.isStoreReader = true;
    a.quarantineRequest("p");
    await waitUntil(() => b.isQuarantined("p"), 1_400);
    store.remove(table, "p");
    await waitUntil(() => !b.isQuarantined("p"), 1_000);
    await a.receiveHeartbeatFrom(b);
    expect(a.isQuarantined("p")).to.equal(false);
  });

  it("should be removed from the store when the request is served after all", async () => {
    const a = await start("a");
    a.quarantineRequest("p");
    await waitUntil(() => store.row(table, "p") !== undefined);
    await waitUntil(() => a.task.position.version > 0);
    a.quarantine.recordSuccess("p", performance.now());
    await waitUntil(() => store.row(table, "p") === undefined, 1_500);
  });

  it("should be saved although other rows can't be decoded", async () => {
    store.put(table, "bad", "{");
    store.put(table, "worse", JSON.stringify({ untilMs: "soon" }));
    const a = await start("a");
    a.quarantineRequest("p");
    await waitUntil(() => store.row(table, "p") !== undefined);
    expect(a.isQuarantined("bad")).to.equal(false);
  });

  describe("after the store was restored from a backup", () => {
    /** Starts hosts of which the first two are store readers, all with an entry that is in the store. */
    async function startWithEntry(count: number): Promise<Host[]> {
      const hosts = await Promise.all(Array.from({ length: count }, (_, i) => start(`h${i}`)));
      for (const host of hosts.slice(0, 2)) host.isStoreReader = true;
      await waitUntil(() => hosts.slice(0, 2).every(({ storeClient }) => storeClient.calls > 0), 2_000);
      hosts[0]?.quarantineRequest("p");
      await waitUntil(() =>
        hosts.slice(0, 2).every((host) => host.isQuarantined("p") && host.task.position.version > 0),
      );
      await receiveHeartbeats(hosts);
      return hosts;
    }

    async function receiveHeartbeats(hosts: readonly Host[]): Promise<void> {
      const [reader] = hosts;
      if (reader !== undefined) for (const host of hosts) await host.receiveHeartbeatFrom(reader);
    }

    for (const count of [1, 8, 60])
      it(`should still be active, and be written again once, with ${count} nodes`, async () => {
        const backup = store.createBackup();
        const hosts = await startWithEntry(count);
        store.restore(backup);
        for (const host of hosts) host.storeClient.eras.observe(store.era);
        const before = hosts.reduce((sum, { storeClient }) => sum + storeClient.commits, 0);
        await waitUntil(() => store.row(table, "p") !== undefined, 3_000);
        await receiveHeartbeats(hosts);
        await new Promise((resolve) => setTimeout(resolve, 2_500));
        await receiveHeartbeats(hosts);
        const commits = hosts.reduce((sum, { storeClient }) => sum + storeClient.commits, 0) - before;
        expect(commits).to.be.at.most(2);
        expect(hosts.filter((host) => !host.isQuarantined("p"))).to.deep.equal([]);
        expect(hosts.filter(({ task }) => task.position.era !== store.era)).to.deep.equal([]);
      });

    it("should be written again although the store readers are lost", async () => {
      const backup = store.createBackup();
      const [first, second, third] = await startWithEntry(3);
      if (first === undefined || second === undefined || third === undefined) expect.fail();
      store.restore(backup);
      await Promise.all([first.task.dispose(), second.task.dispose()]);
      third.isStoreReader = true;
      await waitUntil(() => store.row(table, "p") !== undefined, 4_000);
      expect(third.isQuarantined("p")).to.equal(true);
    });

    it("should be removed again if the backup contains the entry of a request that was served after all", async () => {
      const [host] = await startWithEntry(1);
      if (host === undefined) expect.fail();
      const backup = store.createBackup();
      host.quarantine.recordSuccess("p", performance.now());
      await waitUntil(() => store.row(table, "p") === undefined, 3_000);
      store.restore(backup);
      await waitUntil(
        () => store.era === host.storeClient.eras.current && store.row(table, "p") === undefined,
        6_000,
      );
      expect(host.isQuarantined("p")).to.equal(false);
    });
  });
});
