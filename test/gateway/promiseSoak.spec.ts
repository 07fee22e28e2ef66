import { expect } from "chai";
import { GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import { conditions, PromiseSoak, type Condition } from "../fixtures/promiseSoak.ts";

/** Pairs of conditions in a short run; SOAK_SEEDS runs seeds 1 to that number, each with the next pair. */
const shortPairs: readonly (readonly Condition[])[] = [
  ["late-copies", "full"],
  ["works-on", "suspended-nodes"],
  ["resets", "cut-from-servers"],
  ["half-closed", "all-killed"],
];
const pairs = conditions.flatMap((one, i) => conditions.slice(i + 1).map((other) => [one, other]));
const all: readonly (readonly Condition[])[] = [...conditions.map((one) => [one]), ...pairs];
const seedCount = Number(process.env.SOAK_SEEDS ?? 0);
const firstSeed = Number(process.env.SOAK_FIRST ?? 1);
const cases =
  seedCount === 0
    ? shortPairs.map((chosen, i) => ({ chosen, seed: i + 1 }))
    : Array.from({ length: seedCount }, (_, i) => firstSeed + i).map((seed) => ({
        chosen: all[(seed - 1) % all.length] ?? [],
        seed,
      }));

describe("what callers are told", function () {
  this.timeout(60_000);
  let program: GatewayProgram;
  let soak: PromiseSoak;

  before(async () => {
    program = await GatewayProgram.build();
  });

  afterEach(async () => {
    await soak.stop();
  });

  after(() => {
    program.dispose();
  });

  for (const { chosen, seed } of cases)
    // Guards against requests that run twice, run though they were refused, or get events of other runs.
    it(`should agree with what servers ran: ${chosen.join(" and ")}, seed ${seed}`, async () => {
      soak = new PromiseSoak({ program, seed, conditions: chosen });
      const report = await soak.run();
      const text = JSON.stringify(report);
      if (process.env.SOAK_REPORT !== undefined) console.log(`      ${text}`);
      expect({ twice: report.twice, refused: report.refused, order: report.order }, text).to.deep.equal({
        ...{ twice: [], refused: [], order: [] },
      });
      expect(report.served, text).to.be.at.least(report.requests / 4);
    });
});
