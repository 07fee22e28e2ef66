import { expect } from "chai";
import { answerLimited, LimitedPool } from "../fixtures/limitedPool.ts";

/** Span in which a server's requests are counted, ms. */
const windowMs = 4_000;
/** From the first naming until all nodes keep to a limit, ms. */
const settleMs = 3_000;

/** Requests that a server with a limit may get in any window. */
function allowed(limitPerS: number): number {
  return (1.5 * limitPerS * windowMs) / 1000 + 5;
}

describe("a backend server that names a rate limit", () => {
  let pool: LimitedPool;

  afterEach(async () => {
    await pool.dispose();
  });

  // Guards against nodes that pass on a server's limit to callers and send to it as if there were none.
  it("should get no more than that from eight nodes together", async () => {
    const limitPerS = 1;
    pool = await LimitedPool.start({ nodes: 8, servers: { "i-1": answerLimited(limitPerS) } });
    const startedMs = performance.now();
    await pool.askFor(settleMs + 2 * windowMs);
    expect(pool.most("i-1", windowMs, startedMs + settleMs)).to.be.at.most(allowed(limitPerS));
    expect(pool.arrivalsAt("i-1", startedMs + settleMs).length).to.be.at.least(windowMs / 1000);
  });
});
