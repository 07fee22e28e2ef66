import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { offerLoad, type Call } from "../fixtures/disconnectingCallers.ts";
import { waitUntil } from "../fixtures/gateways.ts";
import { GatewayProcesses, GatewayProgram, ports, routeTimeoutMs } from "../fixtures/gatewayProcesses.ts";
import { paths } from "../fixtures/recordingServer.ts";
import type { CutKind } from "../fixtures/serverLinks.ts";

/** Time from the start of a cut until its hosts have to serve again, ms. */
const stableMs = 3_000;
/** Duration of the load after that, ms. */
const judgedMs = 4_000;
/** Callers of each run, as they ask all nodes in turn. */
const load = { ratePerS: 120, streamRatio: 0.1, nonIdempotentRatio: 0.3, responseTimeoutMs: 2_000 };

interface Cut {
  readonly title: string;
  readonly hosts: number;
  readonly cut: readonly number[];
  readonly kind: CutKind;
}

const cuts: Cut[] = [
  { title: "2 of 6 lose all bytes", hosts: 6, cut: [0, 1], kind: "silent" },
  { title: "5 of 6 are reset", hosts: 6, cut: [0, 1, 2, 3, 4], kind: "reset" },
  { title: "2 of 6 get no new connections", hosts: 6, cut: [0, 1], kind: "refuse" },
];

function isServed({ status, complete, disconnectedMs }: Call): boolean {
  return status === 200 && complete === true && disconnectedMs === undefined;
}

/** How often each status was received on each path, for assertion messages. */
function outcomesOf(calls: readonly Call[]): string {
  const counts = new Map<string, number>();
  for (const { path, status } of calls) {
    const outcome = `${path} ${status ?? "none"}`;
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return [...counts].map(([outcome, count]) => `${outcome}: ${count}`).join(", ");
}

describe("hosts partitioned from all backend servers", function () {
  this.timeout(40_000);
  let program: GatewayProgram;
  let processes: GatewayProcesses;

  before(async () => {
    program = await GatewayProgram.build();
  });

  afterEach(async () => {
    await processes.stop();
  });

  after(() => {
    program.dispose();
  });

  for (const { title, hosts, cut, kind } of cuts) {
    it(`should serve callers by way of their peers while ${title}`, async () => {
      // Regression: a host without a path to any server refused nearly all requests, though its peers reached the servers.
      await start(hosts);
      const { endpoints } = processes;
      processes.cut(cut, kind);
      await offerLoad({ endpoints, ...load, forMs: stableMs, seed: 2 });
      const calls = await offerLoad({ endpoints, ...load, forMs: judgedMs, seed: 3 });
      const cutIps = new Set(cut.map((index) => endpoints[index]?.ip));
      const failedAtCut = calls.filter((call) => cutIps.has(call.ip) && !isServed(call));
      const headerNames = processes.servers.flatMap(({ runs }) => runs.flatMap((run) => run.headerNames));
      expect(headerNames.filter((name) => name.startsWith("parsleynotch-"))).to.deep.equal([]);
      expect(failedAtCut.length, outcomesOf(failedAtCut)).to.be.at.most(10 + calls.length / 50);
    });
  }

  /** The sum of a counter over its labels. */
  function counterOf(metrics: string, name: string): number {
    const values = [...metrics.matchAll(new RegExp(`^parsleynotch_${name}(?:{.*})? (\\S+)$`, "gm"))];
    return values.reduce((sum, [, value]) => sum + Number(value), 0);
  }

  async function forwardedBy(host: number): Promise<number> {
    return counterOf(await processes.metrics(host), "forwarded_requests_total");
  }

  /** Requests that may run at most once and ran more often. */
  function repeatedOrders(calls: readonly Call[]): string[] {
    const orders = new Set(
      calls.filter(({ path }) => path === paths.order).map(({ requestId }) => requestId),
    );
    const runs = processes.servers.flatMap((server) => server.runs.map(({ requestId }) => requestId));
    return runs.filter((id, i) => orders.has(id) && runs.indexOf(id) !== i);
  }

  /** Starts the hosts and offers some load at full speed. */
  async function start(hosts: number, engines = false): Promise<void> {
    processes = new GatewayProcesses({ program, hosts, engines });
    await processes.start();
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 1_500, seed: 1 });
  }

  it("should serve directly within a second after the cut", async () => {
    await start(4);
    processes.cut([0, 1], "silent");
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 4_000, seed: 2 });
    processes.heal([0, 1]);
    await delay(1_000);
    const before = await forwardedBy(0);
    const calls = await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 1_500, seed: 3 });
    expect(await forwardedBy(0)).to.equal(before);
    expect(calls.filter((call) => !isServed(call)).length, outcomesOf(calls)).to.equal(0);
  });

  it("should run each request at most once, also when a peer that serves for them is killed", async () => {
    await start(5);
    processes.cut([0, 1], "reset");
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 1_500, seed: 2 });
    const cutEndpoints = processes.endpoints.slice(0, 2);
    const judged = offerLoad({ endpoints: cutEndpoints, ...load, forMs: 4_000, seed: 3 });
    await delay(1_000);
    processes.kill(4);
    const calls = await judged;
    expect(repeatedOrders(calls)).to.deep.equal([]);
    const failed = calls.filter((call) => !isServed(call));
    // At the peer that was killed: the requests in progress, among them streams of two seconds.
    expect(failed.length, outcomesOf(failed)).to.be.at.most(10 + calls.length / 50);
  });

  it("should cancel the work at the server when a caller of a cut host leaves", async () => {
    await start(3);
    processes.cut([0], "reset");
    const endpoints = processes.endpoints.slice(0, 1);
    await offerLoad({ endpoints, ...load, forMs: 2_000, seed: 2 });
    const streams = { ratePerS: 20, streamRatio: 1, maxDurationMs: 700, forMs: 2_000, seed: 3 };
    const report = await processes.report(await offerLoad({ endpoints, ...streams }));
    expect(report.abandonedRuns).to.be.above(20);
    expect(report.continuedRuns, JSON.stringify(report)).to.equal(0);
  });

  it("should serve callers while cuts of several hosts overlap", async () => {
    await start(6);
    const { endpoints } = processes;
    processes.cut([0, 1, 2], "silent");
    await offerLoad({ endpoints, ...load, forMs: 1_500, seed: 2 });
    processes.cut([3, 4], "reset");
    await offerLoad({ endpoints, ...load, forMs: stableMs, seed: 3 });
    const calls = await offerLoad({ endpoints, ...load, forMs: 2_000, seed: 4 });
    const failed = calls.filter((call) => !isServed(call));
    expect(failed.length, outcomesOf(failed)).to.be.at.most(calls.length / 50);
  });

  it("should reach each server the way that works while only some servers are cut off", async () => {
    await start(4);
    const { endpoints, servers } = processes;
    processes.cut([0], "silent", servers.slice(0, 3));
    await offerLoad({ endpoints, ...load, forMs: stableMs, seed: 2 });
    const before = await forwardedBy(0);
    const calls = await offerLoad({ endpoints, ...load, forMs: 2_000, seed: 3 });
    expect(calls.filter((call) => !isServed(call)).length, outcomesOf(calls)).to.equal(0);
    // One server is still reached directly and can serve any request.
    expect(await forwardedBy(0)).to.equal(before);
  });

  it("should not tear up streams of a server that is silent for a second", async () => {
    await start(4);
    const { endpoints, servers } = processes;
    const streams = offerLoad({ endpoints, ...load, streamRatio: 1, ratePerS: 20, forMs: 2_500, seed: 2 });
    await delay(1_000);
    const silentMs = performance.now();
    processes.cut([0, 1, 2, 3], "silent", servers.slice(0, 1));
    await delay(1_100);
    processes.heal([0, 1, 2, 3]);
    const audibleMs = performance.now();
    const calls = await streams;
    // A stream that the server gets only after its silence may exceed the time limit of its route.
    const isOutOfTime = ({ startMs, endedMs = 0 }: Call): boolean =>
      startMs > silentMs - 100 && startMs < audibleMs && endedMs - startMs > routeTimeoutMs - 200;
    const failed = calls.filter((call) => !isServed(call) && !isOutOfTime(call));
    expect(failed.length, outcomesOf(failed)).to.equal(0);
  });

  it("should not pass requests on because a server has crashed", async () => {
    await start(4);
    const [crashed] = processes.servers;
    await crashed?.stop();
    const calls = await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 3_000, seed: 2 });
    const forwarded = await Promise.all([0, 1, 2, 3].map((host) => forwardedBy(host)));
    expect(forwarded).to.deep.equal([0, 0, 0, 0]);
    const failed = calls.filter((call) => !isServed(call));
    expect(failed.length, outcomesOf(failed)).to.be.at.most(3);
  });

  it("should not pass requests on for long when all servers have crashed", async () => {
    await start(4);
    await Promise.all(processes.servers.map((server) => server.stop()));
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 1_500, seed: 2 });
    const before = await Promise.all([0, 1, 2, 3].map((host) => forwardedBy(host)));
    const calls = await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 1_000, seed: 3 });
    expect(calls.filter(isServed)).to.have.lengthOf(0);
    expect(await Promise.all([0, 1, 2, 3].map((host) => forwardedBy(host)))).to.deep.equal(before);
  });

  it("should be left out of the directory during the cut, and be listed again after it", async () => {
    await start(5);
    const cutAddress = `${processes.endpoints[0]?.ip ?? ""}:${ports.front}`;
    processes.cut([0], "silent");
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 2_500, seed: 2 });
    for (const host of [0, 1, 4]) {
      const addresses = await processes.directory(host);
      expect(addresses).to.have.lengthOf(4);
      expect(addresses).to.not.include(cutAddress);
    }
    processes.heal([0]);
    await delay(1_500);
    for (const host of [0, 1, 4]) expect(await processes.directory(host)).to.include(cutAddress);
  });

  it("should give up the placement lease to a host that reaches the engines", async () => {
    await start(4, true);
    const holds = async (host: number): Promise<boolean> =>
      counterOf(await processes.metrics(host), "lease_held") === 1;
    const holders = async (): Promise<number[]> => {
      const held = await Promise.all([0, 1, 2, 3].map(holds));
      return [0, 1, 2, 3].filter((host) => held[host] === true);
    };
    await waitUntil(async () => (await holders()).length === 1);
    const [first = 0] = await holders();
    processes.cut([first], "silent");
    await offerLoad({ endpoints: processes.endpoints, ...load, forMs: 4_000, seed: 2 });
    const after = await holders();
    expect(after).to.have.lengthOf(1);
    expect(after).to.not.include(first);
  });
});
