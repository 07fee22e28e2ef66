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

/** Numeric log level of "info", independent of the level that the tests run with. */
const infoLevel = 3;

const engines = engineService({ adapters: 0, adapterMb: 0 });

describe("a cluster of gateway nodes", () => {
  let cluster: GatewayCluster;
  let server: FakeBackendServer;

  beforeEach(async () => {
    cluster = new GatewayCluster();
    server = await FakeBackendServer.start("i-0", (arrival) => {
      answerOk(arrival);
    });
  });

  afterEach(async () => {
    await cluster.dispose();
    await server.stop();
  });

  it("should activate a configuration on a node that the store refuses", async () => {
    // The store refuses one node and serves the others while a new configuration is committed. The refused node still
    // served callers with the old one seconds after it was replaced.
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route({ pathPrefix: "/old/" })]));
    const [a, b] = [await cluster.startNode(), await cluster.startNode()];
    await waitUntil(async () => (await statusOf(b, "/old/")) === 200 && (await statusOf(a, "/old/")) === 200);
    b.storeClient.disconnected = true;
    cluster.configure(configuration(2, [route({ pathPrefix: "/new/" })]));
    await waitUntil(async () => (await statusOf(b, "/new/")) === 200, 1_500);
    expect(await statusOf(b, "/old/")).to.equal(404);
  });

  // Routes are denied only by a configuration that is known to be in force.
  it("should go on with the routes that it knows while the store is away, and deny none", async () => {
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route({ pathPrefix: "/known/" })]));
    const nodes = [await cluster.startNode(), await cluster.startNode()];
    for (const node of nodes) {
      await waitUntil(async () => (await statusOf(node, "/known/")) === 200);
      expect(await statusOf(node, "/other/")).to.equal(404);
    }
    for (const { storeClient } of nodes) storeClient.disconnected = true;
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    for (const node of nodes) {
      expect(await statusOf(node, "/known/")).to.equal(200);
      expect(await statusOf(node, "/other/")).to.equal(503);
    }
    for (const { storeClient } of nodes) storeClient.disconnected = false;
    for (const node of nodes) await waitUntil(async () => (await statusOf(node, "/other/")) === 404, 2_000);
  });

  it("should log an invalid registration once and use the other servers", async () => {
    // The table contains rows of another program, which were logged at each read, twice a second.
    const lines: string[] = [];
    const log = createFlatLog("gateway", { write: (line) => lines.push(line), dropped: () => 0 }, infoLevel);
    cluster.store.put("servers", "foreign", "\ufffd{");
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route()]));
    const node = await cluster.startNode(log);
    await waitUntil(async () => (await statusOf(node)) === 200);
    cluster.store.put("servers", "foreign", "\ufffd{");
    await new Promise((resolve) => setTimeout(resolve, 700));
    cluster.store.put("servers", "foreign", "\ufffd{");
    await new Promise((resolve) => setTimeout(resolve, 700));
    expect(lines.filter((line) => line.includes("registration-rejected"))).to.have.length(1);
    expect(await statusOf(node)).to.equal(200);
  });

  it("should select servers by the requests in flight of all nodes, not only its own", async () => {
    // Regression: every node counted only its own requests. Each saw a sixth of the load, all selected the same engine,
    // and it had 150 requests for 64 slots while another one had three.
    const unresponsive = await FakeBackendServer.start("i-1", () => undefined);
    cluster.register(unresponsive.registration("s"));
    cluster.configure(configuration(1, [route({ kind: "non-idempotent" })]));
    const [a, b] = [await cluster.startNode(), await cluster.startNode()];
    const disconnects: (() => void)[] = [];
    await waitUntil(() => {
      if (unresponsive.arrivals.length < 3) disconnects.push(sendAndDisconnect({ ip: a.ip, method: "POST" }));
      return unresponsive.arrivals.length >= 3;
    });
    cluster.register(server.registration("s"));
    await new Promise((resolve) => setTimeout(resolve, 700));
    const before = unresponsive.arrivals.length;
    const statuses = [await statusOf(b), await statusOf(b), await statusOf(b)];
    const after = unresponsive.arrivals.length;
    for (const end of disconnects) end();
    await unresponsive.stop();
    expect(statuses).to.deep.equal([200, 200, 200]);
    expect(after).to.equal(before);
  });

  it("should send nothing to a server that is shutting down from a node that the store refuses", async () => {
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route()]));
    const [a, b] = [await cluster.startNode(), await cluster.startNode()];
    await waitUntil(async () => (await statusOf(b)) === 200 && (await statusOf(a)) === 200);
    b.storeClient.disconnected = true;
    cluster.register(server.registration("s", { leaving: true }));
    await waitUntil(async () => (await statusOf(b)) === 503, 2_000);
  });

  it("should send nothing to a server that is removed right after the store accepts the node again", async () => {
    // The store refused only this node, so no registration can have expired because of a store outage.
    const other = await FakeBackendServer.start("i-1", answerOk);
    for (const each of [server, other]) cluster.register(each.registration("s"));
    cluster.configure(configuration(1, [route()]));
    const [a, b] = [await cluster.startNode(), await cluster.startNode()];
    await waitUntil(async () => (await statusOf(a)) === 200 && (await statusOf(b)) === 200);
    b.storeClient.disconnected = true;
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    b.storeClient.disconnected = false;
    const reachable = /^parsleynotch_store_reachable 1$/m;
    await waitUntil(async () => reachable.test(await metricsOf(b)), 4_000);
    cluster.store.remove("servers", "i-0");
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    const before = server.arrivals.length;
    for (let i = 0; i < 40; i += 1) await statusOf(b);
    expect(server.arrivals.length - before).to.equal(0);
    await other.stop();
  });

  it("should start with the state of its peers while the store is unavailable", async () => {
    // All processes are restarted during a store outage; a node without a configuration refuses all requests.
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route()]));
    const first = await cluster.startNode();
    await waitUntil(async () => (await statusOf(first)) === 200);
    const second = await cluster.startNode();
    second.storeClient.disconnected = true;
    await waitUntil(async () => (await statusOf(second)) === 200, 3_000);
  });

  it("should list all ready nodes in the directory, but none that is stopping", async () => {
    cluster.configure(configuration(1, [route()]));
    const [a, b] = [await cluster.startNode(), await cluster.startNode()];
    await waitUntil(async () => (await directoryOf(a)).length === 2);
    const stopped = b.node.stop();
    await waitUntil(async () => (await directoryOf(a)).length === 1, 1_000);
    expect(await directoryOf(b)).to.deep.equal([`${a.ip}:21001`]);
    expect((await sendRequest({ ip: b.ip, port: "readiness", path: "/ready" })).status).to.equal(503);
    await stopped;
  });

  it("should finish a stream in flight and serve new requests while it stops", async () => {
    const slow = await FakeBackendServer.start("i-1", (arrival) => {
      beginStream(arrival);
      arrival.res.write(event(1));
      setTimeout(() => arrival.res.end(event(2)), 1_500);
    });
    cluster.register(server.registration("s"));
    cluster.register(slow.registration("t"));
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
    cluster.configure(configuration(1, [route(), stream], { services }));
    const node = await cluster.startNode();
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

  it("should respond to every waiting request before it exits", async () => {
    // A node gets SIGTERM while a server does not respond to a call. The process exited at the end of the grace period
    // and the caller got neither a response nor a refusal.
    const unresponsive = await FakeBackendServer.start("i-1", () => undefined);
    cluster.register(unresponsive.registration("s"));
    cluster.configure(configuration(1, [route({ kind: "non-idempotent", timeoutMs: 20_000 })]));
    const node = await cluster.startNode();
    await waitUntil(
      async () => (await sendRequest({ ip: node.ip, port: "readiness", path: "/ready" })).status === 200,
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    const headers = { "x-deadline-ms": "20000" };
    const waiting = sendRequest({ ip: node.ip, method: "POST", body: "x", headers });
    await waitUntil(() => unresponsive.arrivals.length === 1);
    const stopped = node.node.stop();
    expect((await waiting).status).to.equal(504);
    await stopped;
    await unresponsive.stop();
  });

  it("should read the store from only two nodes", async () => {
    cluster.configure(configuration(1, [route()]));
    const nodes = [];
    for (let i = 0; i < 4; i += 1) nodes.push(await cluster.startNode());
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    const before = nodes.map(({ storeClient }) => storeClient.calls);
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    const callCounts = nodes.map(({ storeClient }, i) => storeClient.calls - (before[i] ?? 0));
    expect(callCounts.filter((calls) => calls === 0)).to.have.length(2);
  });

  it("should transfer the lease within two seconds when its holder is disconnected from the store", async () => {
    // The lease holder can't reach the store and can't renew the lease. Unless it yields, a successor has to wait for
    // the lease to expire and for the handover delay: five seconds without placement.
    cluster.configure(configuration(1, [route({ kind: "stream" })], { services: [engines] }));
    const nodes = [await cluster.startNode(), await cluster.startNode()];
    cluster.register(server.registration("s", { engine: true }));
    await waitUntil(() => cluster.engines.orders.length === 1, 6_000);
    const first = cluster.engines.orders[0]?.order.holder;
    const holder = nodes.find(({ ip }) => `host-${ip}` === first);
    const successor = nodes.find(({ ip }) => `host-${ip}` !== first);
    if (holder === undefined || successor === undefined) throw new Error("no holder");
    holder.storeClient.disconnected = true;
    await waitUntil(async () => holdsLease(successor), 2_000);
    const other = await FakeBackendServer.start("i-1", answerOk);
    cluster.register(other.registration("s", { engine: true }));
    await waitUntil(() => cluster.engines.orders.some(({ order }) => order.holder !== first), 2_000);
    const [before, after] = [cluster.engines.orders[0], cluster.engines.orders.at(-1)];
    expect(after?.target.serverId).to.equal("i-1");
    expect(after?.order.fencingToken).to.be.greaterThan(before?.order.fencingToken ?? 0);
    await other.stop();
  });

  it("should wait for the handover delay at an engine that the previous holder has just ordered", async () => {
    // An engine must not get orders from two lease holders within the handover delay, whoever holds the lease row. A
    // handover without waiting for the lease to expire must not shorten it.
    cluster.configure(configuration(1, [route({ kind: "stream" })], { services: [engines] }));
    const nodes = [await cluster.startNode(), await cluster.startNode()];
    cluster.register(server.registration("s", { engine: true }));
    await waitUntil(() => cluster.engines.orders.length === 1, 6_000);
    const holder = nodes.find(({ ip }) => `host-${ip}` === cluster.engines.orders[0]?.order.holder);
    if (holder === undefined) throw new Error("no holder");
    await holder.node.stop();
    cluster.register(server.registration("s", { engine: true, residents: [] }));
    await waitUntil(() => cluster.engines.orders.length > 1, 8_000);
    const [first, second] = cluster.engines.orders;
    expect(second?.order.holder).to.not.equal(first?.order.holder);
    expect((second?.atMs ?? 0) - (first?.atMs ?? 0)).to.be.greaterThan(3_000);
  });

  it("should survive arbitrary data on its peer port", async () => {
    cluster.register(server.registration("s"));
    cluster.configure(configuration(1, [route()]));
    const node = await cluster.startNode();
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
