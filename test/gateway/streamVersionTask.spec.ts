import { expect } from "chai";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import { createLog } from "../../src/common/log.ts";
import { createGatewayContext, type GatewayContext } from "../../src/gateway/gatewayContext.ts";
import {
  StreamVersionTask,
  type StreamVersionTaskOptions,
} from "../../src/gateway/streams/streamVersionTask.ts";
import type { PeerAddress } from "../../src/serving/membership/peerTable.ts";

interface Notice {
  readonly ip: string;
  readonly streams: readonly { readonly id: string; readonly version: string }[];
}

/** Peers that record what they are told and answer as the test says. */
class FakePeers {
  readonly told: Notice[] = [];
  readonly asked: string[] = [];
  answers: Readonly<Record<string, unknown>> = {};

  handle(): void {
    // The test doesn't call this node.
  }

  notifyOne(_method: string, params: unknown, { ip }: PeerAddress): void {
    this.told.push({ ip, ...(params as Pick<Notice, "streams">) });
  }

  call({ ip }: PeerAddress): Promise<unknown> {
    this.asked.push(ip);
    return ip in this.answers ? Promise.resolve(this.answers[ip]) : Promise.reject(new Error("no answer"));
  }
}

describe("the software version of a stream", () => {
  const addresses = Array.from({ length: 30 }, (_, i) => ({ ip: `10.0.0.${i}`, port: 1 }));
  let context: GatewayContext;
  let peers: FakePeers;
  let historyLoads: number;

  beforeEach(() => {
    const log = createLog("stream-version-test");
    context = createGatewayContext({
      ...{ host: "h", ip: "10.0.1.1", zone: "a", drainMs: 2_000, log, codec: requestHeaders },
      ...{ sendingNodes: () => [], nodeCount: () => 1 },
      quotas: { boot: 1, share: () => 1, reportAgeMs: () => 0 },
    });
    peers = new FakePeers();
    historyLoads = 0;
  });

  async function start(options: Partial<StreamVersionTaskOptions> = {}): Promise<StreamVersionTask> {
    const task = new StreamVersionTask({
      context,
      peers,
      livePeers: () => addresses,
      fleetIsCurrent: () => true,
      loadHistory: () => {
        historyLoads += 1;
        return Promise.resolve();
      },
      publisher: { streamRecorded: () => undefined, read: () => Promise.resolve([]) },
      ...options,
    });
    await task.start();
    return task;
  }

  function register(id: string, softwareVersion?: string): void {
    const server = {
      ...{ id, service: "s", address: "127.0.0.1:1", zone: "a", slots: 1, leaving: false },
      ...{ residents: [], atHand: [], engine: false },
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
    };
    context.fleet.applyRegistration({ server, position: { era: 0, version: 1 } }, performance.now());
    context.fleetChanged.fire(undefined);
  }

  const started = { id: "q", service: "s", version: "v1", timeoutMs: 1_000, isAnnounced: true };

  it("should be unknown while no server is known", async () => {
    // Regression: a node that had just started let streams go on at any version.
    const task = await start();
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "unknown", version: undefined });
  });

  it("should not matter where servers report none", async () => {
    const task = await start();
    register("a");
    expect((await task.findVersion("q", "s")).source).to.equal("unversioned");
    expect(peers.asked).to.deep.equal([]);
  });

  it("should be told to no one while there is one version", async () => {
    const task = await start();
    register("a", "v1");
    task.recordStream(started);
    expect(peers.told).to.deep.equal([]);
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "own", version: "v1" });
  });

  it("should be told to the same few peers, however many there are, and of streams in progress", async () => {
    const task = await start();
    register("a", "v1");
    task.recordStream(started);
    register("b", "v2");
    expect(peers.told).to.have.length(4);
    const toldIps = new Set(peers.told.map(({ ip }) => ip));
    peers.told.length = 0;
    task.recordStream(started);
    expect(new Set(peers.told.map(({ ip }) => ip))).to.deep.equal(toldIps);
    await task.findVersion("other", "s");
    peers.asked.length = 0;
    await task.findVersion("r", "s");
    expect(peers.asked).to.have.length(6);
  });

  it("should be that of the first peer that knows it, though most don't answer", async () => {
    const task = await start();
    register("a", "v1");
    register("b", "v2");
    peers.answers = Object.fromEntries(
      addresses.map(({ ip }, i) => [ip, i % 2 === 0 ? { version: "v2" } : {}]),
    );
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "asked", version: "v2" });
  });

  it("should be the only one that a peer has known for long enough", async () => {
    const task = await start();
    register("a", "v1");
    peers.answers = Object.fromEntries(addresses.map(({ ip }) => [ip, { only: "v1" }]));
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "asked", version: "v1" });
    expect(historyLoads).to.equal(0);
  });

  // Guards against joined streams where one peer has a shorter memory than another one.
  it("should be unknown if a peer names one version and another one knows several", async () => {
    const task = await start();
    register("a", "v2");
    peers.answers = Object.fromEntries(
      addresses.map(({ ip }, i) => [ip, i % 2 === 0 ? { only: "v2" } : { several: true }]),
    );
    expect((await task.findVersion("q", "s")).source).to.equal("unknown");
  });

  // Guards against the same where this node knows another version than its peers.
  it("should be unknown if a peer names one version and this node knows another one", async () => {
    const task = await start();
    register("a", "v2");
    context.versionHistory.add("s", "v1", performance.now());
    peers.answers = Object.fromEntries(addresses.map(({ ip }) => [ip, { only: "v2" }]));
    expect((await task.findVersion("q", "s")).source).to.equal("unknown");
  });

  // Guards against streams that go on anywhere once servers report no version any more.
  it("should be looked up in the store where servers report none, as others did before", async () => {
    const task = await start({
      loadHistory: () => {
        context.versionHistory.add("s", "v1", performance.now());
        return Promise.resolve();
      },
    });
    register("a");
    expect((await task.findVersion("q", "s")).source).to.equal("unknown");
  });

  it("should be unknown, not the only one known, on a node whose view of the servers is old", async () => {
    // Regression: a node cut off from store and peers would have missed a second version.
    const task = await start({ fleetIsCurrent: () => false });
    register("a", "v1");
    context.versionHistory.markComplete("s");
    expect((await task.findVersion("q", "s")).source).to.equal("unknown");
  });

  it("should be found in the store by nodes that lost all memory", async () => {
    const task = await start({
      loadHistory: () => {
        context.versionHistory.markComplete("s");
        return Promise.resolve();
      },
    });
    register("a", "v1");
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "single", version: "v1" });
  });

  it("should be read from what cut-off nodes published", async () => {
    const streams = [{ id: "q", service: "s", version: "v2" }];
    const task = await start({
      publisher: { streamRecorded: () => undefined, read: () => Promise.resolve(streams) },
    });
    register("a", "v1");
    register("b", "v2");
    expect(await task.findVersion("q", "s")).to.deep.equal({ source: "published", version: "v2" });
  });

  it("should not be remembered for ids of any length", async () => {
    const task = await start();
    task.recordStream({ ...started, id: "q".repeat(16_000) });
    expect(context.streamVersions.size).to.equal(0);
  });
});
