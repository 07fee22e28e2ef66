import { expect } from "chai";
import { createFlatLog } from "../../src/common/hostLog.ts";
import { CrashingPool, deadly } from "../fixtures/crashingPool.ts";
import { ask } from "../fixtures/gateways.ts";

/** The log's level for "info", whatever level the tests run with. */
const infoLevel = 3;

describe("a request under which servers end", () => {
  let pool: CrashingPool;

  afterEach(async () => {
    await pool.dispose();
  });

  it("should be told by its content in the log of each node that saw it cut", async () => {
    // Servers ended one after the other. The log named many cut requests at each end, with ids and models that
    // differed from end to end, so nobody could tell that one of them was there each time.
    const lines: string[] = [];
    const sink = { write: (text: string) => void lines.push(text), dropped: () => 0 };
    const log = createFlatLog("test", sink, infoLevel);
    pool = await CrashingPool.start({ servers: 2, nodes: 2, route: { maxAttempts: 1 }, log });
    for (const { ip } of pool.nodes) await ask({ ip, method: "POST", path: "/drafts/7", body: deadly });
    const cuts = lines
      .map((line) => JSON.parse(line) as Record<string, unknown>)
      .filter(({ event }) => event === "request-cut");
    expect(cuts).to.have.length(2);
    expect(new Set(cuts.map(({ requestId }) => requestId)).size).to.equal(2);
    expect(new Set(cuts.map(({ server }) => server)).size).to.equal(2);
    expect(new Set(cuts.map(({ fingerprint }) => fingerprint)).size).to.equal(1);
  });
});
