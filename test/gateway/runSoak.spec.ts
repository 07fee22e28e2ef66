import { expect } from "chai";
import { RunSoak } from "../fixtures/runSoak.ts";

/** Seeds of a short run; SOAK_SEEDS runs that many. */
const seedCount = Number(process.env.SOAK_SEEDS ?? 3);

describe("runs of engines that fail, leave or lose connections", function () {
  this.timeout(60_000);
  let soak: RunSoak;

  afterEach(async () => {
    await soak.stop();
  });

  for (let seed = 1; seed <= seedCount; seed += 1)
    // Guards against two engines that work on a run, and against events that are missing or come twice.
    it(`should be worked on by one engine at a time, with all events in order, seed ${seed}`, async () => {
      soak = new RunSoak(seed);
      const report = await soak.run();
      const text = JSON.stringify(report);
      if (process.env.SOAK_REPORT !== undefined) console.log(`      ${text}`);
      const { twice, shared, refused, order } = report;
      expect({ twice, shared, refused, order }, text).to.deep.equal({
        ...{ twice: [], shared: [], refused: [], order: [] },
      });
      expect(report.whole, text).to.be.at.least(5);
    });
});
