import { expect } from "chai";
import { offer, offerInTurns, type Load, type Report } from "../fixtures/leavingCallers.ts";
import { GatewayProgram, StarvedHosts, type Starvation } from "../fixtures/starvedHosts.ts";

/** "A few" requests or runs. */
const few = 5;
const fifth: Starvation = { share: 0.2, onMs: 20 };
const tenth: Starvation = { share: 0.1, onMs: 10 };
const thirteenthInBursts: Starvation = { share: 0.075, onMs: 30 };
/** Most calls offered in a second, so that refusing all of them would use half of a tenth of a core at most. */
const mostPerS = 300;
/** Callers that ask in turns; enough to keep a node busy that answers each after two of its turns. */
const busyCallers = 32;

describe("nodes with less processor time than their load needs", function () {
  this.timeout(30_000);
  let program: GatewayProgram;
  let world: StarvedHosts;

  before(async () => {
    program = await GatewayProgram.build();
  });

  afterEach(async () => {
    await world.stop();
  });

  after(() => {
    program.dispose();
  });

  /** Starts nodes and gives them some calls at full speed. */
  async function start(hosts: number, calmMs = 2_000): Promise<void> {
    world = new StarvedHosts({ program, hosts });
    await world.start();
    await offer({ fronts: world.fronts, ratePerS: 50 * hosts, forMs: calmMs, seed: 1 });
  }

  async function offerTo(load: Omit<Load, "fronts">): Promise<Report> {
    return world.report(await offer({ fronts: world.fronts, ...load }));
  }

  /** The figures that belong to a verdict; `PARSLEYNOTCH_FIGURES=1` prints them also if it is good. */
  function figures(report: Report): string {
    const text = JSON.stringify({ ...report, ...world.conditions });
    if (process.env.PARSLEYNOTCH_FIGURES !== undefined) console.log(`      ${text}`);
    return text;
  }

  it("should not send requests on whose callers have left, with a fifth of its processor time", async () => {
    // Two sends in three were for callers that had left, many of them more than half a second before.
    await start(1);
    world.starve(fifth);
    const report = await offerTo({ ratePerS: 400, forMs: 6_000, seed: 2, keptPart: 0.1 });
    expect(report.sentLongAfter, figures(report)).to.be.at.most(few);
  });

  it("should not send requests on whose callers have left, with a tenth of its processor time", async () => {
    // Requests were sent on up to seven seconds after their callers had left.
    await start(1);
    world.starve(tenth);
    const report = await offerTo({ ratePerS: 250, forMs: 6_000, seed: 3, keptPart: 0.1 });
    expect(report.sentLongAfter, figures(report)).to.be.at.most(few);
  });

  it("should not send requests on whose callers have left, three nodes with a tenth each", async () => {
    // All nodes were late and none refused, so that no caller found one with time to spare.
    await start(3);
    world.starve(tenth);
    const report = await offerTo({ ratePerS: 600, forMs: 6_000, seed: 4, keptPart: 0.1 });
    expect(report.sentLongAfter, figures(report)).to.be.at.most(few);
  });

  it("should cancel the runs of streams whose callers leave, with a thirteenth of its processor time in bursts", async () => {
    // Streams under way were run to their end, as the node read a second late that their callers had left.
    await start(1, 500);
    const streams = { ratePerS: 250, streamPart: 0.8, stayMs: 1_000 };
    const offered = offer({ fronts: world.fronts, forMs: 5_000, seed: 5, ...streams });
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    const starvedMs = performance.now();
    world.starve(thirteenthInBursts);
    const report = await world.report((await offered).filter(({ leftMs = 0 }) => leftMs > starvedMs));
    const text = figures(report);
    expect(report.runsLeft, text).to.be.above(few);
    expect(report.runsGoingOn, text).to.be.at.most(report.runsLeft / 4);
  });

  for (const times of [2, 5])
    it(`should serve near its capacity at ${times} times the load that it can carry, and refuse the rest`, async () => {
      // A node served less than half of what it can, and nobody was refused: callers timed out.
      await start(1, 1_000);
      world.starve(tenth);
      const atCapacity = await offerInTurns({ fronts: world.fronts, callers: busyCallers, forMs: 3_000 });
      const served = atCapacity.filter((call) => call.status === 200 && call.leftMs === undefined).length;
      const capacityPerS = Math.min(served / 3, mostPerS / times);
      const report = await offerTo({ ratePerS: times * capacityPerS, forMs: 4_000, seed: 6 });
      const text = `measured ${served / 3} a second, taken ${capacityPerS}; ${figures(report)}`;
      expect(report.served / 4, text).to.be.at.least(0.6 * capacityPerS);
      const beyond = report.asked - report.served;
      expect(report.refused - report.refusedSilently, text).to.be.at.least(0.75 * beyond);
    });
});
