import { expect } from "chai";
import { answerOk } from "../fixtures/backends.ts";
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

  // Guards against a limit that outlives the need of the server that named it.
  it("should be sent to freely again once it names none", async () => {
    const limited = answerLimited(1);
    let isLimited = true;
    pool = await LimitedPool.start({
      servers: {
        "i-1": (arrival) => {
          if (isLimited) limited(arrival);
          else answerOk(arrival);
        },
      },
    });
    await pool.askFor(2_000);
    isLimited = false;
    const liftedMs = performance.now();
    await pool.askFor(4_000);
    expect(pool.arrivalsAt("i-1", liftedMs).length).to.be.at.least(50);
  });

  // Guards against a limited server that idles because others could serve its requests too.
  it("should be used up to its limit beside a server without one, and nobody be refused", async () => {
    const limitPerS = 4;
    pool = await LimitedPool.start({ servers: { "i-1": answerLimited(limitPerS), "i-2": answerOk } });
    const startedMs = performance.now();
    const forMs = settleMs + windowMs;
    const replies = await pool.askFor(forMs, 2);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    expect(pool.most("i-1", windowMs, startedMs + settleMs)).to.be.at.most(allowed(limitPerS));
    const taken = pool.arrivalsAt("i-1", startedMs + settleMs).length;
    expect(taken).to.be.at.least(0.7 * limitPerS * (windowMs / 1000));
  });

  // Guards against callers that are held until their time is over though their turn was never going to come.
  it("should have callers refused at once, with a time to return, where their turn would come too late", async () => {
    pool = await LimitedPool.start({ servers: { "i-1": answerLimited(0.5) } });
    const replies = await pool.askFor(6_000, 6);
    const refused = replies.filter(({ status }) => status === 503);
    const atOnce = refused.filter(({ tookMs }) => tookMs < 100);
    expect(atOnce.length).to.be.greaterThan(refused.length / 2);
    for (const { headers } of refused) expect(Number(headers["retry-after"])).to.be.greaterThan(0);
  });
});
