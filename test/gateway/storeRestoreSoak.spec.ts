import { expect } from "chai";
import { StoreCopySoak } from "../fixtures/storeRestoreSoak.ts";

/** Longer by hand: SOAK_SEEDS=101,102 SOAK_CYCLES=10 npm test. */
const seeds = (process.env.SOAK_SEEDS ?? "1").split(",").map(Number);
const cycles = Number(process.env.SOAK_CYCLES ?? "2");

describe("a store that comes back from copies, beside other faults", function () {
  this.timeout(60_000 + cycles * 30_000);

  for (const seed of seeds)
    it(`should break no rule of draining, configuration, places and holders (seed ${seed})`, async () => {
      const soak = new StoreCopySoak({ seed });
      await soak.start();
      for (let i = 0; i < cycles; i += 1) await soak.cycle();
      await soak.stop();
      expect(soak.broken, soak.story.join("\n")).to.deep.equal([]);
    });
});
