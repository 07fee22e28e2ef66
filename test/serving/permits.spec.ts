import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Disposable } from "../../src/common/disposables.ts";
import type { ServerNotice } from "../../src/serving/exchange.ts";
import { ownerOf } from "../../src/serving/membership/owner.ts";
import { PermitIssuer } from "../../src/serving/permits/permitIssuer.ts";
import { Permits } from "../../src/serving/permits/permits.ts";
import { ServerNotices } from "../../src/serving/serverNotices.ts";

const server = { id: "i-1" };
/** Window in which a server's requests are counted, ms. */
const windowMs = 4_000;
/** Time until all nodes keep to a limit after it was first stated, ms. */
const settleMs = 3_000;
/** A node repeats its permit requests after this time, ms. */
const requestPeriodMs = 100;
/** The same if the number of permits that it needs has changed, ms. */
const urgentRequestMs = 30;
/** One-way delay of a message, ms. */
const messageDelayMs = 5;
/** A waiting request is given up after this time, ms. */
const waitTimeoutMs = 3_000;

/** Maximum number of requests that a server with a limit may receive in any window. */
function maxArrivals(limitPerS: number): number {
  return (1.5 * limitPerS * windowMs) / 1000 + 5;
}

/** Options of a `Simulation`. */
interface SimulationOptions {
  readonly nodes: number;
  readonly limitPerS: number;
  /** Requests per second at each node. */
  readonly arrivalsPerS: number;
  /** The nodes that a node receives heartbeats from at a time, itself included; all running ones by default. */
  readonly reachable?: (node: number, nowMs: number) => readonly number[];
  /** Whether the node is running at this time. */
  readonly isRunning?: (node: number, nowMs: number) => boolean;
}

/** A node: its permits, the permits that it issues, and its waiting requests, the longest wait first. */
class SimulatedNode {
  readonly notices = new ServerNotices();
  readonly permits = new Permits(this.notices);
  readonly issuer = new PermitIssuer();
  nextRequestMs = 0;
  readonly waiting: { readonly sinceMs: number; readonly handle: Disposable }[] = [];
}

/** Nodes with callers in front of one server that states a rate limit, simulated in steps of a millisecond. */
class Simulation {
  readonly arrivals: number[] = [];
  private readonly nodes: SimulatedNode[];
  private nowMs = 0;
  private readonly rng = xoroshiro128plus(7);
  /** Messages in transit by delivery time. */
  private readonly messages = new Map<number, ((nowMs: number) => void)[]>();

  constructor(private readonly options: SimulationOptions) {
    this.nodes = Array.from({ length: options.nodes }, () => new SimulatedNode());
    const notice: ServerNotice = {
      limitPerS: options.limitPerS,
      leaving: false,
      rejectionsPerS: undefined,
      retryAfterMs: undefined,
    };
    for (const node of this.nodes) {
      node.notices.recordNotice(server, notice, 0, 0);
      node.permits.demandChanged.on(
        () => (node.nextRequestMs = Math.min(node.nextRequestMs, this.nowMs + urgentRequestMs)),
      );
    }
  }

  run(ms: number): void {
    for (let nowMs = 1; nowMs <= ms; nowMs += 1) {
      this.nowMs = nowMs;
      for (const deliver of this.messages.get(nowMs) ?? []) deliver(nowMs);
      this.messages.delete(nowMs);
      this.nodes.forEach((node, index) => {
        if (this.isRunning(index, nowMs)) this.step(node, index, nowMs);
      });
    }
  }

  /** Maximum number of arrivals in any window once the limit is in force. */
  get peakArrivals(): number {
    const times = this.arrivals.filter((atMs) => atMs >= settleMs);
    return Math.max(0, ...times.map((t) => times.filter((u) => u >= t && u < t + windowMs).length));
  }

  private step(node: SimulatedNode, index: number, nowMs: number): void {
    if (
      this.random() < this.options.arrivalsPerS / 1000 &&
      node.permits.expectedWaitMs(server, nowMs) < waitTimeoutMs
    )
      node.waiting.push({ sinceMs: nowMs, handle: node.permits.wait([server], nowMs) });
    while (node.waiting[0] !== undefined && nowMs - node.waiting[0].sinceMs > waitTimeoutMs)
      this.finishWait(node);
    while (node.waiting.length > 0 && node.permits.admits(server, nowMs)) {
      node.permits.consume(server);
      this.finishWait(node);
      this.arrivals.push(nowMs);
    }
    if (nowMs >= node.nextRequestMs) this.requestPermits(node, index, nowMs);
    this.issue(node, nowMs);
  }

  private finishWait(node: SimulatedNode): void {
    void node.waiting.shift()?.handle.dispose();
  }

  private requestPermits(node: SimulatedNode, index: number, nowMs: number): void {
    node.nextRequestMs = nowMs + requestPeriodMs;
    const reachableNodes = this.options.reachable?.(index, nowMs) ?? [...this.nodes.keys()];
    const running = reachableNodes.filter((other) => this.isRunning(other, nowMs)).map(String);
    const issuer = this.nodes[Number(ownerOf(server.id, running))];
    for (const request of node.permits.collectRequests(nowMs))
      this.send(nowMs, (at) =>
        issuer?.issuer.recordRequest(String(index), request, this.options.limitPerS, at),
      );
  }

  private issue({ issuer }: SimulatedNode, nowMs: number): void {
    for (const { node, permits } of issuer.issue(server.id, nowMs)) {
      const backlog = issuer.backlog(server.id, nowMs);
      this.send(nowMs, (at) => this.nodes[Number(node)]?.permits.addGranted(server.id, permits, backlog, at));
    }
  }

  private send(nowMs: number, deliver: (nowMs: number) => void): void {
    const atMs = nowMs + messageDelayMs;
    this.messages.set(atMs, [...(this.messages.get(atMs) ?? []), deliver]);
  }

  private isRunning(node: number, nowMs: number): boolean {
    return this.options.isRunning?.(node, nowMs) ?? true;
  }

  private random(): number {
    return uniformFloat64(this.rng);
  }
}

describe("permits for a server with a rate limit", () => {
  const sizes = [
    { nodes: 1, limitPerS: 0.5 },
    { nodes: 1, limitPerS: 20 },
    { nodes: 8, limitPerS: 0.5 },
    { nodes: 8, limitPerS: 1.4 },
    { nodes: 8, limitPerS: 20 },
    { nodes: 60, limitPerS: 0.5 },
    { nodes: 60, limitPerS: 5 },
  ];

  for (const { nodes, limitPerS } of sizes) {
    // Two failures: shares rounded up at each node exceed the limit, and unused shares leave the server idle below
    // it.
    it(`should add up to the limit over ${nodes} nodes, at ${limitPerS} requests per second`, () => {
      const simulation = new Simulation({ nodes, limitPerS, arrivalsPerS: (3 * limitPerS) / nodes });
      const forMs = 40_000;
      simulation.run(forMs);
      expect(simulation.peakArrivals).to.be.at.most(maxArrivals(limitPerS));
      const taken = simulation.arrivals.filter((atMs) => atMs >= settleMs).length;
      expect(taken).to.be.at.least(0.85 * limitPerS * ((forMs - settleMs) / 1000));
    });
  }

  // Dividing the limit between all nodes would waste the shares of nodes without callers.
  it("should all be granted to the only node that has callers", () => {
    const simulation = new Simulation({
      nodes: 60,
      limitPerS: 1,
      arrivalsPerS: 2,
      isRunning: (node) => node === 3,
      reachable: () => [3],
    });
    simulation.run(30_000);
    expect(simulation.arrivals.length).to.be.at.least(24);
  });

  // A new issuer must not grant again what its predecessor has already granted.
  it("should keep to the limit while nodes stop, are suspended and restart one after the other", () => {
    const limitPerS = 1;
    const downMs = 1_500;
    const simulation = new Simulation({
      nodes: 8,
      limitPerS,
      arrivalsPerS: 1,
      isRunning: (node, nowMs) => Math.floor(nowMs / downMs) % 8 !== node,
    });
    simulation.run(40_000);
    expect(simulation.peakArrivals).to.be.at.most(maxArrivals(limitPerS));
  });

  // In a partition each side has an issuer of its own; together they could exceed the limit.
  it("should keep to a low limit if half of the nodes are partitioned from the others", () => {
    const limitPerS = 1;
    const simulation = new Simulation({
      nodes: 8,
      limitPerS,
      arrivalsPerS: 2,
      reachable: (node) => [...Array(8).keys()].filter((other) => other % 2 === node % 2),
    });
    simulation.run(40_000);
    expect(simulation.peakArrivals).to.be.at.most(maxArrivals(limitPerS));
  });

  it("should not be usable after their expiry", () => {
    const notices = new ServerNotices();
    notices.recordNotice(
      server,
      { limitPerS: 1, leaving: false, rejectionsPerS: undefined, retryAfterMs: undefined },
      0,
      0,
    );
    const permits = new Permits(notices);
    permits.addGranted(server.id, 1, 0, 0);
    expect(permits.admits(server, 900)).to.equal(true);
    expect(permits.admits(server, 1_000)).to.equal(false);
  });

  it("should predict how long a request that starts to wait will wait", () => {
    const notices = new ServerNotices();
    notices.recordNotice(
      server,
      { limitPerS: 2, leaving: false, rejectionsPerS: undefined, retryAfterMs: undefined },
      0,
      0,
    );
    const permits = new Permits(notices);
    expect(permits.expectedWaitMs(server, 10)).to.equal(0);
    permits.addGranted(server.id, 0, 8, 10);
    expect(permits.expectedWaitMs(server, 20)).to.equal(4_000);
  });

  // Callers must not be told to retry after a time that isn't a number.
  it("should predict the wait for a server that accepts no requests at all", () => {
    const notices = new ServerNotices();
    notices.recordNotice(
      server,
      { limitPerS: 0, leaving: false, rejectionsPerS: undefined, retryAfterMs: undefined },
      0,
      0,
    );
    const permits = new Permits(notices);
    expect(permits.expectedWaitMs(server, 10)).to.equal(0);
    permits.addGranted(server.id, 0, 1, 10);
    expect(permits.expectedWaitMs(server, 20)).to.equal(10_000);
  });
});
