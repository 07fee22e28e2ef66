import { expect } from "chai";
import { offerLoad, offerClosedLoop, type Load, type Report } from "../fixtures/disconnectingCallers.ts";
import { GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import { StarvedHosts, type Starvation } from "../fixtures/starvedHosts.ts";

/** Tolerated number of requests or runs. */
const tolerance = 5;
const fifth: Starvation = { share: 0.2, onMs: 20 };
const tenth: Starvation = { share: 0.1, onMs: 10 };
const thirteenthInBursts: Starvation = { share: 0.075, onMs: 30 };
/** Maximum offered rate, so that refusing all calls takes at most half of a tenth of a core. */
const maxRatePerS = 300;
/**
 * Number of closed-loop callers: enough to keep a node busy whose every response takes two of its run
 * periods.
 */
const closedLoopCallers = 32;

describe("nodes with less processor time than their load needs", function () {
  this.timeout(30_000);
  let program: GatewayProgram;
  let cluster: StarvedHosts;

  before(async () => {
    program = await GatewayProgram.build();
  });

  afterEach(async () => {
    await cluster.stop();
  });

  after(() => {
    program.dispose();
  });

  /** Starts nodes and sends them some calls at full speed. */
  async function start(hosts: number, warmupMs = 2_000): Promise<void> {
    cluster = new StarvedHosts({ program, hosts });
    await cluster.start();
    await offerLoad({ endpoints: cluster.endpoints, ratePerS: 50 * hosts, forMs: warmupMs, seed: 1 });
  }

  async function offerTo(load: Omit<Load, "endpoints">): Promise<Report> {
    return cluster.report(await offerLoad({ endpoints: cluster.endpoints, ...load }));
  }

  /** The figures for the assertion messages; `PARSLEYNOTCH_FIGURES=1` prints them for passing tests too. */
  function figures(report: Report): string {
    const text = JSON.stringify({ ...report, ...cluster.conditions });
    if (process.env.PARSLEYNOTCH_FIGURES !== undefined) console.log(`      ${text}`);
    return text;
  }

  it("should not forward requests of disconnected callers, with a fifth of its CPU time", async () => {
    // Regression: two of three requests sent on had callers that were gone, many for more than half a second.
    await start(1);
    cluster.starve(fifth);
    const report = await offerTo({ ratePerS: 400, forMs: 6_000, seed: 2, keepAliveRatio: 0.1 });
    expect(report.sentLongAfterDisconnect, figures(report)).to.be.at.most(tolerance);
  });

  it("should not forward requests of disconnected callers, with a tenth of its CPU time", async () => {
    // Regression: requests were sent on up to seven seconds after their callers had disconnected.
    await start(1);
    cluster.starve(tenth);
    const report = await offerTo({ ratePerS: 250, forMs: 6_000, seed: 3, keepAliveRatio: 0.1 });
    expect(report.sentLongAfterDisconnect, figures(report)).to.be.at.most(tolerance);
  });

  it("should not forward requests of disconnected callers, three nodes with a tenth each", async () => {
    // Regression: all nodes were late and none refused requests, so callers found no node with spare
    // capacity.
    await start(3);
    cluster.starve(tenth);
    const report = await offerTo({ ratePerS: 600, forMs: 6_000, seed: 4, keepAliveRatio: 0.1 });
    expect(report.sentLongAfterDisconnect, figures(report)).to.be.at.most(tolerance);
  });

  it("should cancel streams of callers that disconnect, with a thirteenth of its CPU time in bursts", async () => {
    // Regression: streams in progress ran to their end, as the node read their callers' disconnects a second
    // late.
    await start(1, 500);
    const streams = { ratePerS: 250, streamRatio: 0.8, maxDurationMs: 1_000 };
    const offered = offerLoad({ endpoints: cluster.endpoints, forMs: 5_000, seed: 5, ...streams });
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    const starvedMs = performance.now();
    cluster.starve(thirteenthInBursts);
    const report = await cluster.report(
      (await offered).filter(({ disconnectedMs = 0 }) => disconnectedMs > starvedMs),
    );
    const text = figures(report);
    expect(report.abandonedRuns, text).to.be.above(tolerance);
    expect(report.continuedRuns, text).to.be.at.most(report.abandonedRuns / 4);
  });

  for (const loadFactor of [2, 5])
    it(`should serve near its capacity at ${loadFactor} times the load that it can carry, and refuse the rest`, async () => {
      // Regression: a node served less than half of its capacity and refused nothing, so callers timed out.
      await start(1, 1_000);
      cluster.starve(tenth);
      const atCapacity = await offerClosedLoop({
        endpoints: cluster.endpoints,
        callers: closedLoopCallers,
        forMs: 3_000,
      });
      const served = atCapacity.filter(
        (call) => call.status === 200 && call.disconnectedMs === undefined,
      ).length;
      const capacityPerS = Math.min(served / 3, maxRatePerS / loadFactor);
      const report = await offerTo({ ratePerS: loadFactor * capacityPerS, forMs: 4_000, seed: 6 });
      const text = `measured ${served / 3} a second, taken ${capacityPerS}; ${figures(report)}`;
      expect(report.served / 4, text).to.be.at.least(0.6 * capacityPerS);
      const beyond = report.requestCount - report.served;
      expect(report.refused - report.refusedWithoutRetryAfter, text).to.be.at.least(0.75 * beyond);
    });
});
