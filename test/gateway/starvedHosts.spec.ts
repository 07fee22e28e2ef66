import { expect } from "chai";
import { offer, type Report } from "../fixtures/leavingCallers.ts";
import { StarvedHosts } from "../fixtures/starvedHosts.ts";

/** "A few" requests that reach a server long after their callers have left. */
const fewLateSends = 5;

describe("hosts with less processor time than their load needs", function () {
  this.timeout(30_000);
  let world: StarvedHosts;

  afterEach(async () => {
    await world.stop();
  });

  /** Shows the figures beside a verdict: `PARSLEYNOTCH_FIGURES=1`. */
  function show(name: string, report: Report): string {
    const text = `${name} ${JSON.stringify({ ...report, shareGiven: world.shareGiven.toFixed(3) })}`;
    if (process.env.PARSLEYNOTCH_FIGURES !== undefined) console.log(`      ${text}`);
    return text;
  }

  it("should not send requests on whose callers have left, with a fifth of its processor time", async () => {
    // Two in three sends were for callers that had gone, a third of them by more than half a second.
    world = new StarvedHosts({ hosts: 1 });
    await world.start();
    await offer({ fronts: world.fronts, ratePerS: 50, forMs: 2_000, seed: 1 });
    world.starve({ share: 0.2, onMs: 20 });
    const calls = await offer({ fronts: world.fronts, ratePerS: 250, forMs: 6_000, seed: 2, keptPart: 0.1 });
    const report = await world.report(calls);
    expect(report.sentLongAfter, show("fifth", report)).to.be.at.most(fewLateSends);
  });
});
