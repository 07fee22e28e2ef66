import { expect } from "chai";
import { GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import { PartitionSoak } from "../fixtures/partitionSoak.ts";

/** For longer manual runs: SOAK_SEEDS=101,102 SOAK_FAULTS=20 npm test. */
const seeds = (process.env.SOAK_SEEDS ?? "1").split(",").map(Number);
const faults = Number(process.env.SOAK_FAULTS ?? "8");

describe("hosts that are cut off from backend servers again and again, with other faults", function () {
  this.timeout(60_000 + faults * 5_000);
  let program: GatewayProgram;

  before(async () => {
    program = await GatewayProgram.build();
  });

  after(() => {
    program.dispose();
  });

  for (const seed of seeds)
    it(`should run requests at most once, refuse truly, relay streams whole and recover (seed ${seed})`, async () => {
      const soak = new PartitionSoak({ program, seed, faults });
      try {
        await soak.run();
      } finally {
        await soak.stop();
      }
      expect(soak.violations, soak.events.join("\n")).to.deep.equal([]);
    });
});
