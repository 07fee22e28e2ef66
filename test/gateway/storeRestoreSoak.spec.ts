import { expect } from "chai";
import { StoreRestoreSoak } from "../fixtures/storeRestoreSoak.ts";

/** For longer manual runs: SOAK_SEEDS=101,102 SOAK_CYCLES=10 npm test. */
const seeds = (process.env.SOAK_SEEDS ?? "1").split(",").map(Number);
const cycles = Number(process.env.SOAK_CYCLES ?? "2");

describe("a store that is restored from backups, with other faults", function () {
  this.timeout(60_000 + cycles * 30_000);

  for (const seed of seeds)
    it(`should violate no rule of draining, configuration, adapter slots and lease holders (seed ${seed})`, async () => {
      const soak = new StoreRestoreSoak({ seed });
      await soak.start();
      for (let i = 0; i < cycles; i += 1) await soak.cycle();
      await soak.stop();
      expect(soak.violations, soak.eventLog.join("\n")).to.deep.equal([]);
    });
});
