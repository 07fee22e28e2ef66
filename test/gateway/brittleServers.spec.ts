import { expect } from "chai";
import { offerLoad, type Call } from "../fixtures/disconnectingCallers.ts";
import { GatewayProcesses, GatewayProgram } from "../fixtures/gatewayProcesses.ts";

/** Requests per second that four servers carry, with 4 slots each and 45 ms a request. */
const capacityPerS = 355;
const load = { streamRatio: 0.3, nonIdempotentRatio: 0.2, responseTimeoutMs: 2_000 };

describe("brittle backend servers", function () {
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

  /** Offers the load to four nodes before and after their four servers become brittle; returns the calls after it. */
  async function offerAround(ratePerS: number): Promise<Call[]> {
    processes = new GatewayProcesses({ program, hosts: 4, servers: 0, brittleServers: 4 });
    await processes.start();
    const { endpoints } = processes;
    await offerLoad({ endpoints, ...load, ratePerS, forMs: 2_000, seed: 1 });
    for (const server of processes.brittleServers) server.becomeBrittle();
    return offerLoad({ endpoints, ...load, ratePerS, forMs: 8_000, seed: 2 });
  }

  function served(calls: readonly Call[]): number {
    return calls.filter(
      ({ status, complete, disconnectedMs }) => status === 200 && complete && !disconnectedMs,
    ).length;
  }

  /** The figures for the assertion messages; `PARSLEYNOTCH_FIGURES=1` prints them for passing tests too. */
  function outcomesOf(calls: readonly Call[]): string {
    const statuses = new Map<string, number>();
    for (const { status = 0 } of calls) statuses.set(String(status), (statuses.get(String(status)) ?? 0) + 1);
    const falls = processes.brittleServers.map(({ fallsMs }) => fallsMs.length);
    const rejections = processes.brittleServers.map((server) => server.rejections);
    const outcomes = { calls: calls.length, ...Object.fromEntries(statuses), falls, rejections };
    const text = JSON.stringify(outcomes);
    if (process.env.PARSLEYNOTCH_FIGURES !== undefined) console.log(`      ${text}`);
    return text;
  }

  function falls(): number {
    return processes.brittleServers.reduce((sum, { fallsMs }) => sum + fallsMs.length, 0);
  }

  for (const ratePerS of [450, 600]) {
    it(`should hardly fall over, and serve near their capacity, under ${ratePerS} requests a second`, async () => {
      // Regression: nodes learned that a server is full from its rejections; all servers fell over again and again.
      const calls = await offerAround(ratePerS);
      expect(falls(), outcomesOf(calls)).to.be.at.most(2);
      expect(served(calls), outcomesOf(calls)).to.be.at.least(0.8 * 8 * capacityPerS);
      const unanswered = calls.filter(({ status }) => status === undefined).length;
      expect(unanswered, outcomesOf(calls)).to.be.at.most(calls.length / 50);
    });
  }

  it("should serve all requests of a load that they carry", async () => {
    const calls = await offerAround(250);
    expect(falls(), outcomesOf(calls)).to.equal(0);
    expect(served(calls), outcomesOf(calls)).to.be.at.least(0.98 * calls.length);
  });
});
