import { expect } from "chai";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { ConcurrencyLimiter } from "../../src/serving/concurrencyLimiter.ts";
import { SlotQueue } from "../../src/gateway/requests/slotQueue.ts";

const nodes = ["n-1", "n-2", "n-3", "n-4", "n-5"];

function server(id: string, slots = 6): BackendServer {
  const address = "127.0.0.1:1";
  return {
    id,
    service: "s",
    address,
    zone: "a",
    slots,
    leaving: false,
    residents: [],
    atHand: [],
    engine: false,
  };
}

const servers = ["i-1", "i-2", "i-3"].map((id) => server(id));

function limiterOf(self: string, nodeIps: readonly string[] = nodes): ConcurrencyLimiter {
  return new ConcurrencyLimiter({ self, nodes: () => nodeIps, servers: () => servers });
}

describe("the limit of requests in flight at brittle servers", () => {
  it("should share out exactly the slots of each server, and give all nodes about the same number", () => {
    const limiter = limiterOf("n-1");
    const totals = nodes.map((node) =>
      servers.reduce((sum, { id }) => sum + limiter.shareOf(server(id), node, 0), 0),
    );
    for (const { id } of servers) {
      const shares = nodes.map((node) => limiter.shareOf(server(id), node, 0));
      expect(shares.reduce((sum, share) => sum + share, 0)).to.equal(6);
    }
    expect(Math.max(...totals) - Math.min(...totals)).to.be.at.most(1);
  });

  it("should give no share to a node that doesn't send", () => {
    const limiter = limiterOf("n-9");
    limiter.recordResponse(server("i-1"), 8, 0, 10);
    expect(limiter.admits(server("i-1"), 20)).to.equal(false);
  });

  it("should hold for all servers of the service from the first response that says so", () => {
    const limiter = limiterOf("n-1", ["n-1"]);
    expect(limiter.isLimited(server("i-2"), 0)).to.equal(false);
    limiter.recordResponse(server("i-1"), 8, 0, 10);
    expect(limiter.isLimited(server("i-2"), 20)).to.equal(true);
    for (let i = 0; i < 6; i += 1) limiter.start(server("i-2"));
    expect(limiter.admits(server("i-2"), 20)).to.equal(false);
    limiter.end(server("i-2"), 50);
    expect(limiter.admits(server("i-2"), 20)).to.equal(true);
  });

  it("should end with a response that no longer says so, unless its request was sent before the last that did", () => {
    const limiter = limiterOf("n-1");
    limiter.recordResponse(server("i-1"), 8, 0, 100);
    limiter.recordResponse(server("i-1"), undefined, 50, 110);
    expect(limiter.isLimited(server("i-1"), 120)).to.equal(true);
    limiter.recordResponse(server("i-1"), undefined, 105, 130);
    expect(limiter.isLimited(server("i-1"), 140)).to.equal(false);
  });

  it("should hold on a node that was told by a peer, and end there if no server confirms it", () => {
    const limiter = limiterOf("n-1");
    limiter.applyPeerStatement({ incarnation: "i-1", service: "s", rejectionsPerS: 8 }, 0);
    expect(limiter.isLimited(server("i-3"), 1_000)).to.equal(true);
    expect(limiter.isLimited(server("i-3"), 31_000)).to.equal(false);
  });
});

describe("the queue for slots of limited servers", () => {
  it("should wake the most urgent request first, then the one that arrived first", async () => {
    const queue = new SlotQueue();
    const woken: string[] = [];
    const wait = async (name: string, priority: number, arrivedMs: number): Promise<void> => {
      if (await queue.wait("s", "", { priority, arrivedMs }, 1_000)) woken.push(name);
    };
    const waits = [wait("late", 1, 20), wait("early", 1, 10), wait("urgent", 0, 30)];
    expect(queue.ahead("s", "", { priority: 1, arrivedMs: 15 })).to.equal(2);
    for (let i = 0; i < 3; i += 1) {
      queue.release("s");
      await Promise.resolve();
    }
    await Promise.all(waits);
    expect(woken).to.deep.equal(["urgent", "early", "late"]);
  });

  it("should give up a request's turn after its time", async () => {
    const queue = new SlotQueue();
    expect(await queue.wait("s", "", { priority: 0, arrivedMs: 0 }, 5)).to.equal(false);
    expect(queue.ahead("s", "", { priority: 1, arrivedMs: 0 })).to.equal(0);
  });
});
