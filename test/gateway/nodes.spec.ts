import { expect } from "chai";
import * as dgram from "node:dgram";
import { createFlatLog } from "../../src/common/hostLog.ts";
import { answerOk, FakeBackendServer, beginStream, event } from "../fixtures/fakeBackendServer.ts";
import {
  sendRequest,
  sendAndDisconnect,
  configuration,
  directoryOf,
  engineService,
  GatewayCluster,
  holdsLease,
  metricsOf,
  route,
  statusOf,
  waitUntil,
} from "../fixtures/gateways.ts";

/** The log's level for "info", whatever level the tests run with. */
const infoLevel = 3;

const engines = engineService({ adapters: 0, adapterMb: 0 });

describe("gateway nodes together", () => {
  let world: GatewayCluster;
  let server: FakeBackendServer;

  beforeEach(async () => {
    world = new GatewayCluster();
    server = await FakeBackendServer.start("i-0", (arrival) => {
      answerOk(arrival);
    });
  });

  afterEach(async () => {
    await world.dispose();
    await server.stop();
  });

  it("should put a configuration in force on a node that the store turns away", async () => {
    // The store refuses one node and serves the others. A configuration is accepted meanwhile: callers of the cut
    // node were still answered by the old one, seconds after it was replaced.
    world.register(server.registration("s"));
    world.configure(configuration(1, [route({ pathPrefix: "/old/" })]));
    const [a, b] = [await world.startNode(), await world.startNode()];
    await waitUntil(async () => (await statusOf(b, "/old/")) === 200 && (await statusOf(a, "/old/")) === 200);
    b.storeClient.disconnected = true;
    world.configure(configuration(2, [route({ pathPrefix: "/new/" })]));
    await waitUntil(async () => (await statusOf(b, "/new/")) === 200, 1_500);
    expect(await statusOf(b, "/old/")).to.equal(404);
  });

  it("should log an entry that names no server once, and serve from the others", async () => {
    // Another program's entries lie among the servers' own. They were logged at each read, twice a second.
    const lines: string[] = [];
    const log = createFlatLog("gateway", { write: (line) => lines.push(line), dropped: () => 0 }, infoLevel);
    world.store.put("servers", "foreign", "\ufffd{");
    world.register(server.registration("s"));
    world.configure(configuration(1, [route()]));
    const node = await world.startNode(log);
    await waitUntil(async () => (await statusOf(node)) === 200);
    world.store.put("servers", "foreign", "\ufffd{");
    await new Promise((resolve) => setTimeout(resolve, 700));
    world.store.put("servers", "foreign", "\ufffd{");
    await new Promise((resolve) => setTimeout(resolve, 700));
    expect(lines.filter((line) => line.includes("registration-rejected"))).to.have.length(1);
    expect(await statusOf(node)).to.equal(200);
  });

  it("should send where its peers have less in flight, not only itself", async () => {
    // Every node counted its own requests alone. Each saw a sixth of the load, all chose the same engine, and one had
    // 150 requests in 64 slots beside one with three.
    const held = await FakeBackendServer.start("i-1", () => undefined);
    world.register(held.registration("s"));
    world.configure(configuration(1, [route({ kind: "non-idempotent" })]));
    const [a, b] = [await world.startNode(), await world.startNode()];
    const leave: (() => void)[] = [];
    await waitUntil(() => {
      if (held.arrivals.length < 3) leave.push(sendAndDisconnect({ ip: a.ip, method: "POST" }));
      return held.arrivals.length >= 3;
    });
    world.register(server.registration("s"));
    await new Promise((resolve) => setTimeout(resolve, 700));
    const before = held.arrivals.length;
    const answers = [await statusOf(b), await statusOf(b), await statusOf(b)];
    const after = held.arrivals.length;
    for (const end of leave) end();
    await held.stop();
    expect(answers).to.deep.equal([200, 200, 200]);
    expect(after).to.equal(before);
  });

  it("should send nothing to a leaving server from a node that the store turns away", async () => {
    world.register(server.registration("s"));
    world.configure(configuration(1, [route()]));
    const [a, b] = [await world.startNode(), await world.startNode()];
    await waitUntil(async () => (await statusOf(b)) === 200 && (await statusOf(a)) === 200);
    b.storeClient.disconnected = true;
    world.register(server.registration("s", { leaving: true }));
    await waitUntil(async () => (await statusOf(b)) === 503, 2_000);
  });

  it("should send nothing to a server that is removed right after the store serves the node again", async () => {
    // The store had turned away this node alone, so that no registration can have lapsed for want of a store.
    const other = await FakeBackendServer.start("i-1", answerOk);
    for (const each of [server, other]) world.register(each.registration("s"));
    world.configure(configuration(1, [route()]));
    const [a, b] = [await world.startNode(), await world.startNode()];
    await waitUntil(async () => (await statusOf(a)) === 200 && (await statusOf(b)) === 200);
    b.storeClient.disconnected = true;
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    b.storeClient.disconnected = false;
    const reachable = /^parsleynotch_store_reachable 1$/m;
    await waitUntil(async () => reachable.test(await metricsOf(b)), 4_000);
    world.store.remove("servers", "i-0");
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const before = server.arrivals.length;
    for (let i = 0; i < 40; i += 1) await statusOf(b);
    expect(server.arrivals.length - before).to.equal(0);
    await other.stop();
  });

  it("should start with what its peers know while the store is away", async () => {
    // Every process is restarted during an outage of the store: a node without a configuration refuses everybody.
    world.register(server.registration("s"));
    world.configure(configuration(1, [route()]));
    const first = await world.startNode();
    await waitUntil(async () => (await statusOf(first)) === 200);
    const second = await world.startNode();
    second.storeClient.disconnected = true;
    await waitUntil(async () => (await statusOf(second)) === 200, 3_000);
  });

  it("should tell callers of all ready nodes, and no more of one that stops", async () => {
    world.configure(configuration(1, [route()]));
    const [a, b] = [await world.startNode(), await world.startNode()];
    await waitUntil(async () => (await directoryOf(a)).length === 2);
    const stopped = b.node.stop();
    await waitUntil(async () => (await directoryOf(a)).length === 1, 1_000);
    expect(await directoryOf(b)).to.deep.equal([`${a.ip}:21001`]);
    expect((await sendRequest({ ip: b.ip, port: "readiness", path: "/ready" })).status).to.equal(503);
    await stopped;
  });

  it("should finish a stream in flight and answer new requests while it stops", async () => {
    const slow = await FakeBackendServer.start("i-1", (arrival) => {
      beginStream(arrival);
      arrival.res.write(event(1));
      setTimeout(() => arrival.res.end(event(2)), 1_500);
    });
    world.register(server.registration("s"));
    world.register(slow.registration("t"));
    const stream = route({
      name: "t",
      pathPrefix: "/t/",
      kind: "stream",
      shares: [{ service: "t", weight: 1 }],
    });
    const services = [
      { name: "s", maxConnections: 10 },
      { name: "t", maxConnections: 10 },
    ];
    world.configure(configuration(1, [route(), stream], { services }));
    const node = await world.startNode();
    await waitUntil(async () => (await statusOf(node)) === 200);
    const streamed = sendRequest({
      ip: node.ip,
      path: "/t/",
      method: "POST",
      body: "x",
      headers: { "x-deadline-ms": "5000" },
    });
    await waitUntil(() => slow.arrivals.length === 1);
    const stopped = node.node.stop();
    const reply = await sendRequest({ ip: node.ip });
    expect(reply.status).to.equal(200);
    expect(reply.headers.connection).to.equal("close");
    expect(await streamed).to.include({ complete: true, body: event(1) + event(2) });
    await stopped;
    await slow.stop();
  });

  it("should answer every request that still waits before it ends", async () => {
    // A node gets SIGTERM while a call is at a server that doesn't answer. At the end of the grace period the process
    // ended with the request: its caller got neither an answer nor a refusal.
    const silent = await FakeBackendServer.start("i-1", () => undefined);
    world.register(silent.registration("s"));
    world.configure(configuration(1, [route({ kind: "non-idempotent", timeoutMs: 20_000 })]));
    const node = await world.startNode();
    await waitUntil(
      async () => (await sendRequest({ ip: node.ip, port: "readiness", path: "/ready" })).status === 200,
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    const headers = { "x-deadline-ms": "20000" };
    const waiting = sendRequest({ ip: node.ip, method: "POST", body: "x", headers });
    await waitUntil(() => silent.arrivals.length === 1);
    const stopped = node.node.stop();
    expect((await waiting).status).to.equal(504);
    await stopped;
    await silent.stop();
  });

  it("should read the store on two nodes only", async () => {
    world.configure(configuration(1, [route()]));
    const nodes = [];
    for (let i = 0; i < 4; i += 1) nodes.push(await world.startNode());
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    const before = nodes.map(({ storeClient: link }) => link.calls);
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    const made = nodes.map(({ storeClient: link }, i) => link.calls - (before[i] ?? 0));
    expect(made.filter((calls) => calls === 0)).to.have.length(2);
  });

  it("should hand the lease over within two seconds when its holder is cut off from the store", async () => {
    // The holder can't reach the store and so can't renew. Without a word from it a successor has to wait until
    // the lease ran out and for the distance between two holders: five seconds in which nothing is placed.
    world.configure(configuration(1, [route({ kind: "stream" })], { services: [engines] }));
    const nodes = [await world.startNode(), await world.startNode()];
    world.register(server.registration("s", { engine: true }));
    await waitUntil(() => world.engines.orders.length === 1, 6_000);
    const first = world.engines.orders[0]?.order.holder;
    const holder = nodes.find(({ ip }) => `host-${ip}` === first);
    const successor = nodes.find(({ ip }) => `host-${ip}` !== first);
    if (holder === undefined || successor === undefined) throw new Error("no holder");
    holder.storeClient.disconnected = true;
    await waitUntil(async () => holdsLease(successor), 2_000);
    const other = await FakeBackendServer.start("i-1", answerOk);
    world.register(other.registration("s", { engine: true }));
    await waitUntil(() => world.engines.orders.some(({ order }) => order.holder !== first), 2_000);
    const [before, after] = [world.engines.orders[0], world.engines.orders.at(-1)];
    expect(after?.target.serverId).to.equal("i-1");
    expect(after?.order.fencingToken).to.be.greaterThan(before?.order.fencingToken ?? 0);
    await other.stop();
  });

  it("should keep its distance at an engine that the holder before had just ordered", async () => {
    // Two holders that order one engine within the bound break its rule, whoever holds the lease row. A handover
    // without a wait must not shorten that.
    world.configure(configuration(1, [route({ kind: "stream" })], { services: [engines] }));
    const nodes = [await world.startNode(), await world.startNode()];
    world.register(server.registration("s", { engine: true }));
    await waitUntil(() => world.engines.orders.length === 1, 6_000);
    const holder = nodes.find(({ ip }) => `host-${ip}` === world.engines.orders[0]?.order.holder);
    if (holder === undefined) throw new Error("no holder");
    await holder.node.stop();
    world.register(server.registration("s", { engine: true, residents: [] }));
    await waitUntil(() => world.engines.orders.length > 1, 8_000);
    const [first, second] = world.engines.orders;
    expect(second?.order.holder).to.not.equal(first?.order.holder);
    expect((second?.atMs ?? 0) - (first?.atMs ?? 0)).to.be.greaterThan(3_000);
  });

  it("should live on when anything at all arrives on its peer port", async () => {
    world.register(server.registration("s"));
    world.configure(configuration(1, [route()]));
    const node = await world.startNode();
    const socket = dgram.createSocket("udp4");
    for (const message of [
      "",
      "null",
      "{",
      "[]",
      '{"jsonrpc":"2.0","method":"pulse","params":{}}',
      '{"id":1}',
    ]) {
      socket.send(message, 21004, node.ip);
    }
    await waitUntil(async () => (await statusOf(node)) === 200);
    socket.close();
  });
});
