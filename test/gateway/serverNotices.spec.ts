import { expect } from "chai";
import { answerOk, refuseUnexecuted, type Arrival } from "../fixtures/fakeBackendServer.ts";
import { directoryOf, waitUntil } from "../fixtures/gateways.ts";
import { answerLimited, LoadedCluster } from "../fixtures/loadedCluster.ts";

/** Window in which the requests to a server are counted, ms. */
const windowMs = 4_000;
/** Time from the first response with a limit until all nodes comply with it, ms. */
const settleMs = 3_000;

/** Maximum number of requests in any window to a server with a rate limit. */
function allowed(limitPerS: number): number {
  return (1.5 * limitPerS * windowMs) / 1000 + 5;
}

describe("a backend server that states a rate limit", () => {
  let cluster: LoadedCluster;

  afterEach(async () => {
    await cluster.dispose();
  });

  // Regression: nodes relayed a server's limit to callers but did not comply with it themselves.
  it("should not get more requests than that from eight nodes together", async () => {
    const limitPerS = 1;
    cluster = await LoadedCluster.start({ nodes: 8, servers: { "i-1": answerLimited(limitPerS) } });
    const startedMs = performance.now();
    await cluster.sendFor(settleMs + 2 * windowMs);
    expect(cluster.maxArrivals("i-1", windowMs, startedMs + settleMs)).to.be.at.most(allowed(limitPerS));
    expect(cluster.arrivalsAt("i-1", startedMs + settleMs).length).to.be.at.least(windowMs / 1000);
  });

  // Standby nodes, and nodes that start or stop, must not each use the whole limit.
  it("should not get more although most callers use standby nodes and a node is lost", async () => {
    const limitPerS = 1;
    cluster = await LoadedCluster.start({
      nodes: 12,
      smallNodes: 6,
      servers: { "i-1": answerLimited(limitPerS) },
    });
    const active = cluster.nodes[0] ?? { ip: "" };
    await waitUntil(async () => (await directoryOf(active)).length === 12, 12_000);
    const startedMs = performance.now();
    const sending = cluster.sendFor(settleMs + windowMs + 1_000);
    await new Promise((resolve) => setTimeout(resolve, settleMs));
    await Promise.all([cluster.startNode(), cluster.nodes[1]?.node.dispose()]);
    await sending;
    expect(cluster.maxArrivals("i-1", windowMs, startedMs + settleMs)).to.be.at.most(allowed(limitPerS));
    expect(cluster.arrivalsAt("i-1", startedMs + settleMs).length).to.be.at.least(1);
  });

  // A limit must not outlive the responses that state it.
  it("should get requests without a limit again once it states none", async () => {
    const limited = answerLimited(1);
    let isLimited = true;
    cluster = await LoadedCluster.start({
      servers: {
        "i-1": (arrival) => {
          if (isLimited) limited(arrival);
          else answerOk(arrival);
        },
      },
    });
    await cluster.sendFor(2_000);
    isLimited = false;
    const liftedMs = performance.now();
    await cluster.sendFor(4_000);
    expect(cluster.arrivalsAt("i-1", liftedMs).length).to.be.at.least(50);
  });

  // A rate-limited server must not idle because other servers could serve its requests too.
  it("should be used up to its limit beside a server without one, with no request refused", async () => {
    const limitPerS = 4;
    cluster = await LoadedCluster.start({ servers: { "i-1": answerLimited(limitPerS), "i-2": answerOk } });
    const startedMs = performance.now();
    const forMs = settleMs + windowMs;
    const replies = await cluster.sendFor(forMs, 2);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    expect(cluster.maxArrivals("i-1", windowMs, startedMs + settleMs)).to.be.at.most(allowed(limitPerS));
    const taken = cluster.arrivalsAt("i-1", startedMs + settleMs).length;
    expect(taken).to.be.at.least(0.7 * limitPerS * (windowMs / 1000));
  });

  // Regression: callers waited until their deadline although no permit could be granted in time.
  it("should have callers refused immediately with Retry-After if their permit would come too late", async () => {
    cluster = await LoadedCluster.start({ servers: { "i-1": answerLimited(0.5) } });
    const replies = await cluster.sendFor(6_000, 6);
    const refused = replies.filter(({ status }) => status === 503);
    const atOnce = refused.filter(({ tookMs }) => tookMs < 100);
    expect(atOnce.length).to.be.greaterThan(refused.length / 2);
    for (const { headers } of refused) expect(Number(headers["retry-after"])).to.be.greaterThan(0);
  });
});

/** Requests may still be sent to a server for this long after it announced its shutdown, ms. */
const drainMs = 2_000;

function answerLeaving(arrival: Arrival): void {
  answerOk(arrival, "whole", { "Server-Leaving": "1" });
}

describe("a backend server that announces its shutdown in its responses", () => {
  let cluster: LoadedCluster;

  afterEach(async () => {
    await cluster.dispose();
  });

  // Nodes must not depend on the store to learn of the shutdown, as it may accept no registrations at that time.
  it("should get no more requests although it is still registered as ready, with no request refused", async () => {
    cluster = await LoadedCluster.start({ servers: { "i-1": answerLeaving, "i-2": answerOk } });
    const startedMs = performance.now();
    const replies = await cluster.sendFor(4_000);
    expect(cluster.arrivalsAt("i-1", startedMs).length).to.be.greaterThan(0);
    expect(cluster.arrivalsAt("i-1", startedMs + drainMs + 500).length).to.equal(0);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
  });

  // Regression: callers were refused while the only server that could serve them shut down and its replacement was starting.
  it("should still be used at first if it is the only one, its replacement serving waiting requests", async () => {
    cluster = await LoadedCluster.start({ servers: { "i-1": answerLeaving }, route: { timeoutMs: 5_000 } });
    const startedMs = performance.now();
    const sending = cluster.sendFor(5_500);
    await new Promise((resolve) => setTimeout(resolve, drainMs + 1_000));
    await cluster.startServer("i-2", answerOk);
    const replies = await sending;
    expect(cluster.arrivalsAt("i-1", startedMs + 500).length).to.be.greaterThan(0);
    expect(cluster.arrivalsAt("i-1", startedMs + drainMs + 200).length).to.equal(0);
    expect(replies.filter(({ status }) => status !== 200).length).to.equal(0);
  });
});

describe("a backend server that requests a back-off", () => {
  /** The limit applies from this long after the response, ms. */
  const graceMs = 500;
  /** Maximum number of requests during the back-off. */
  const maxArrivalsDuringBackoff = 2;
  let cluster: LoadedCluster;

  afterEach(async () => {
    await cluster.dispose();
  });

  // Regression: nodes retried a server after their own back-off, earlier than the server had requested.
  it("should get no requests for that long", async () => {
    const backoffMs = 4_000;
    cluster = await LoadedCluster.start({
      nodes: 1,
      servers: {
        "i-1": (arrival) => {
          refuseUnexecuted(arrival, { "Retry-After": String(backoffMs / 1000) });
        },
        "i-2": answerOk,
      },
    });
    const startedMs = performance.now();
    const replies = await cluster.sendFor(backoffMs + 500, 3);
    const first = cluster.arrivalsAt("i-1", startedMs)[0]?.atMs ?? 0;
    const meanwhile = cluster.arrivalsAt("i-1", first + graceMs, first + backoffMs);
    expect(meanwhile.length).to.be.at.most(maxArrivalsDuringBackoff);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
  });

  // All waiting requests must not overload the server as soon as its back-off ends.
  it("should get a single request after the back-off, and the others once it accepted that one", async () => {
    const backoffMs = 1_000;
    const workMs = 150;
    let firstRefusalMs: number | undefined;
    cluster = await LoadedCluster.start({
      nodes: 1,
      route: { timeoutMs: 5_000 },
      servers: {
        "i-1": (arrival) => {
          firstRefusalMs ??= performance.now();
          if (performance.now() - firstRefusalMs < backoffMs / 2)
            refuseUnexecuted(arrival, { "Retry-After": "1" });
          else
            setTimeout(() => {
              answerOk(arrival);
            }, workMs);
        },
      },
    });
    const replies = await cluster.sendFor(2_500, 8);
    const backoffEndMs = (firstRefusalMs ?? 0) + backoffMs - 50;
    const [first] = cluster.arrivalsAt("i-1", backoffEndMs);
    expect(cluster.arrivalsAt("i-1", backoffEndMs, (first?.atMs ?? 0) + workMs).length).to.equal(1);
    expect(cluster.arrivalsAt("i-1", backoffEndMs).length).to.be.greaterThan(16);
    expect(replies.filter(({ status }) => status !== 200).length).to.equal(0);
  });

  // Regression: callers waited until their deadline although no server could accept them before it.
  it("should have callers refused immediately with its Retry-After if that is past their deadline", async () => {
    cluster = await LoadedCluster.start({
      nodes: 1,
      servers: {
        "i-1": (arrival) => {
          refuseUnexecuted(arrival, { "Retry-After": "8" });
        },
      },
    });
    const replies = await cluster.sendFor(1_000);
    const later = replies.slice(1);
    expect(later.length).to.be.greaterThan(5);
    for (const { status, tookMs, headers } of later) {
      expect(status).to.equal(503);
      expect(tookMs).to.be.lessThan(100);
      expect(Number(headers["retry-after"])).to.be.within(6, 8);
    }
  });

  // A server that states a Retry-After of 0 must not be retried in a tight loop.
  it("should get no requests for a short time although it states a Retry-After of 0", async () => {
    cluster = await LoadedCluster.start({
      nodes: 1,
      servers: {
        "i-1": (arrival) => {
          refuseUnexecuted(arrival, { "Retry-After": "0" });
        },
        "i-2": answerOk,
      },
    });
    const startedMs = performance.now();
    await cluster.sendFor(1_500, 4);
    expect(cluster.arrivalsAt("i-1", startedMs).length).to.be.at.most(12);
  });
});
