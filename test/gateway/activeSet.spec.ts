import { expect } from "chai";
import { answerOk, FakeBackendServer } from "../fixtures/fakeBackendServer.ts";
import {
  configuration,
  directoryOf,
  GatewayCluster,
  holdsLease,
  route,
  statusOf,
  waitUntil,
  type RunningNode,
} from "../fixtures/gateways.ts";

/** Two more than may all be active, so that some are on standby. */
const size = 18;
const activeCount = 12;

/** All addresses in a series of directory responses of the node; each response is a choice by the nodes' spare CPU time. */
async function directoryAddresses(node: Pick<RunningNode, "ip">): Promise<string[]> {
  const responses = await Promise.all(Array.from({ length: 20 }, () => directoryOf(node)));
  return [...new Set(responses.flat())];
}

describe("many gateway nodes", () => {
  let cluster: GatewayCluster;
  let server: FakeBackendServer;

  beforeEach(async () => {
    cluster = new GatewayCluster();
    server = await FakeBackendServer.start("i-0", (arrival) => {
      answerOk(arrival);
    });
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route({ pathPrefix: "/old/" })]));
    for (let i = 0; i < size; i += 1)
      await cluster.startNode(undefined, { strength: i < activeCount ? 1 : 0.3 });
    await waitUntil(async () => (await directoryAddresses(first())).length === activeCount, 12_000);
  });

  afterEach(async () => {
    await cluster.dispose();
    await server.stop();
  });

  const at = (index: number): RunningNode => {
    const node = cluster.nodes[index];
    if (node === undefined) throw new Error(`no node ${index}`);
    return node;
  };
  const first = (): RunningNode => at(0);
  const standby = (): RunningNode => at(cluster.nodes.length - 1);

  it("should direct callers to the nodes with the most CPU capacity, whichever node they query", async () => {
    const strongest = cluster.nodes.slice(0, activeCount).map(({ ip }) => `${ip}:21001`);
    await waitUntil(async () => (await directoryAddresses(standby())).length === activeCount, 3_000);
    expect((await directoryAddresses(standby())).sort()).to.deep.equal(strongest.sort());
    expect((await directoryAddresses(first())).sort()).to.deep.equal(strongest.sort());
  });

  it("should replace a lost node with a standby node", async () => {
    // Regression: active hosts that lost power were not replaced, so callers were directed to fewer nodes with each lost
    // host, and in the end to none.
    const lost = at(3);
    await lost.node.dispose();
    cluster.nodes.splice(3, 1);
    const address = `${lost.ip}:21001`;
    await waitUntil(async () => {
      const addresses = await directoryAddresses(standby());
      return !addresses.includes(address) && addresses.length === activeCount;
    }, 6_000);
  });

  it("should apply a configuration, and stop using a server that shuts down, on standby nodes too", async () => {
    // Callers with an old directory response still use a standby node, which doesn't read the store. Regression: it
    // served them by a replaced configuration, and sent their requests to a server that had left.
    await waitUntil(async () => (await statusOf(standby(), "/old/")) === 200, 3_000);
    cluster.configure(configuration(2, [route({ pathPrefix: "/new/" })]));
    await waitUntil(async () => (await statusOf(standby(), "/new/")) === 200, 1_900);
    expect(await statusOf(standby(), "/old/")).to.equal(404);
    const before = standby().storeClient.calls;
    cluster.register(server.registration("s", { leaving: true }));
    await waitUntil(async () => (await statusOf(standby(), "/new/")) === 503, 1_900);
    expect(standby().storeClient.calls).to.equal(before);
  });
});

describe("a small host that holds the placement lease", () => {
  it("should step down once enough hosts with more CPU capacity are active", async () => {
    // Regression: a small host that started before the others took the lease, and planned placement for hundreds of models
    // on a third of a core for as long as it lived.
    const cluster = new GatewayCluster();
    cluster.configure(configuration(1, [route()]));
    const small = await cluster.startNode(undefined, { strength: 0.3 });
    await waitUntil(async () => holdsLease(small), 5_000);
    for (let i = 1; i < size; i += 1) await cluster.startNode(undefined, { strength: 1 });
    await waitUntil(async () => !(await directoryAddresses(small)).includes(`${small.ip}:21001`), 10_000);
    await waitUntil(async () => {
      const held = await Promise.all(cluster.nodes.map(holdsLease));
      return held.filter(Boolean).length === 1 && held[0] === false;
    }, 6_000);
    await cluster.dispose();
  });
});
