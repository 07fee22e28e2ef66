import { expect } from "chai";
import * as fc from "fast-check";
import { quotaCost, urgencyOf, type Quota } from "../../../src/serving/customers/customer.ts";
import { QuotaBucket } from "../../../src/serving/customers/quotaBucket.ts";
import { Quotas, type QuotaCharge, type QuotaRequest } from "../../../src/serving/customers/quotas.ts";
import { QuotaSimulation, type QuotaSimulationOptions } from "../../fixtures/quotaSimulation.ts";

const quota: Quota = { unit: "tokens", perS: 1_000, burst: 1_000, plainTokens: 200 };
const size = (promptTokens: number, route = "r", priority = 0): QuotaRequest => ({
  ...{ promptTokens, outputTokens: 0, route, priority },
});

/** Excess over the limit of a window that the operators tolerate: a part of it, and a few requests. */
const overage = 0.1;
const slack = 110_000;

function quotasOf(current: Quota = quota, overrides: { share?: () => number; nodes?: number } = {}): Quotas {
  const { share = (): number => 1, nodes = 1 } = overrides;
  const quotas = new Quotas({ boot: 1, share, nodeCount: () => nodes, reportAgeMs: () => 0 });
  quotas.apply([{ name: "c", keyHashes: [], quota: current }], 0);
  return quotas;
}

function admits(quotas: Quotas, tokens: number, nowMs: number, route?: string, priority?: number): boolean {
  return quotas.admit("c", size(tokens, route, priority), nowMs).kind === "admitted";
}

describe("a request's size and rank", () => {
  it("should count tokens in and out, or what a request without that statement counts as", () => {
    expect(quotaCost(quota, { promptTokens: 30, outputTokens: 12 })).to.equal(42);
    expect(quotaCost(quota, { promptTokens: 0, outputTokens: 0 })).to.equal(200);
    expect(quotaCost({ ...quota, unit: "requests" }, { promptTokens: 30, outputTokens: 12 })).to.equal(1);
  });

  it("should rank by the customer's priority, and among those of the same by the route's", () => {
    const of = (route: number, priority?: number): number =>
      urgencyOf(
        { priority: route },
        { name: "c", keyHashes: [], ...(priority === undefined ? {} : { priority }) },
        3,
      ).rank;
    expect([of(0, 0), of(2, 0), of(0, 1), of(2, 1)]).to.deep.equal([0, 2, 3, 5]);
    expect(of(2)).to.equal(2);
    expect(urgencyOf({ priority: 2 }, undefined, 3)).to.deep.equal({ priority: 2, rank: 2 });
    expect(urgencyOf({ priority: 0 }, { name: "c", keyHashes: [], priority: 1 }, 3).priority).to.equal(1);
  });
});

describe("the quota of a customer", () => {
  it("should admit the burst at once and then what refills, and state when there is room again", () => {
    const quotas = quotasOf();
    for (let i = 0; i < 10; i += 1) expect(admits(quotas, 100, 1_000)).to.equal(true);
    const refused = quotas.admit("c", size(100), 1_000);
    expect(refused).to.include({ kind: "refused", retryAfterMs: 0 });
    expect(admits(quotas, 100, 1_001)).to.equal(true);
    expect(quotas.admit("c", size(100), 1_001)).to.deep.include({ kind: "refused" });
    expect(admits(quotas, 100, 1_101)).to.equal(true);
  });

  it("should spread the return of refused requests over the time in which the quota refills", () => {
    const quotas = quotasOf();
    expect(admits(quotas, 1_000, 1_000)).to.equal(true);
    const waits = Array.from({ length: 5 }, () => quotas.admit("c", size(100), 1_000));
    expect(waits.map((wait) => (wait.kind === "refused" ? Math.round(wait.retryAfterMs) : -1))).to.deep.equal(
      [0, 100, 200, 300, 400],
    );
  });

  it("should admit a request larger than the burst, and repay it before the next", () => {
    const quotas = quotasOf();
    expect(admits(quotas, 3_000, 1_000)).to.equal(true);
    expect(admits(quotas, 1, 2_999)).to.equal(false);
    expect(admits(quotas, 1, 3_001)).to.equal(true);
  });

  // A customer asked for 2.6 times its quota; one in five of its most urgent and smallest requests was refused.
  it("should go to the many small requests first while it is exhausted, and to a route's large ones as to its small ones", () => {
    const current = { ...quota, perS: 248_000, burst: 248_000 };
    const quotas = quotasOf(current);
    const routes = [
      { route: "draft", tokens: 9_200, everyMs: 22, priority: 1 },
      { route: "redraft", tokens: 9_200, everyMs: 88, priority: 2 },
      { route: "question", tokens: 1_100, everyMs: 20, priority: 0 },
      { route: "call", tokens: 200, everyMs: 20, priority: 2 },
    ];
    const asked = new Map<string, number>();
    const served = new Map<string, number>();
    const count = (counts: Map<string, number>, key: string): void => {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    };
    let used = 0;
    for (let nowMs = 1_000; nowMs < 9_000; nowMs += 1)
      for (const { route, tokens, everyMs, priority } of routes) {
        if (nowMs % everyMs !== 0) continue;
        // One in four requests of a route is six times as large as the others.
        const isLarge = (nowMs / everyMs) % 4 === 0;
        const amount = Math.round((tokens / 2.25) * (isLarge ? 6 : 1));
        for (const key of [route, `${route} ${isLarge ? "large" : "small"}`]) count(asked, key);
        if (!admits(quotas, amount, nowMs, route, priority)) continue;
        for (const key of [route, `${route} ${isLarge ? "large" : "small"}`]) count(served, key);
        used += amount;
      }
    const ratio = (key: string): number => (served.get(key) ?? 0) / (asked.get(key) ?? 1);
    expect(ratio("question")).to.be.at.least(0.99);
    expect(ratio("call")).to.be.at.least(0.99);
    expect(ratio("draft")).to.be.at.least(ratio("redraft"));
    expect(ratio("draft large")).to.be.at.least(0.7 * ratio("draft small"));
    expect(used).to.be.within(0.95 * 9 * current.perS, 1.1 * 9 * current.perS);
  });

  it("should not limit a customer without a quota", () => {
    const quotas = quotasOf();
    expect(quotas.admit("other", size(1_000_000), 0)).to.deep.equal({ kind: "admitted" });
  });

  it("should apply a lowered quota without debt, and a raised burst at once", () => {
    const quotas = quotasOf();
    expect(admits(quotas, 1_000, 1_000)).to.equal(true);
    quotas.apply([{ name: "c", keyHashes: [], quota: { ...quota, perS: 100, burst: 100 } }], 1_000);
    expect(admits(quotas, 1, 1_000)).to.equal(false);
    expect(admits(quotas, 10, 1_050)).to.equal(true);
    quotas.apply([{ name: "c", keyHashes: [], quota: { ...quota, perS: 100, burst: 5_000 } }], 1_050);
    expect(quotas.balance("c", 1_050)).to.be.closeTo(4_895, 1);
  });

  it("should return the tokens of a request that was not run once, and none that had refilled anyway", () => {
    const quotas = quotasOf();
    const decision = quotas.admit("c", size(1_000), 1_000);
    const charge = (decision as { charge: QuotaCharge }).charge;
    quotas.refund(charge, 1_200);
    expect(quotas.balance("c", 1_200)).to.equal(1_000);
    const later = (quotas.admit("c", size(500), 1_200) as { charge: QuotaCharge }).charge;
    // The bucket is full again, as if the request had never come.
    expect(quotas.balance("c", 2_000)).to.equal(1_000);
    expect(admits(quotas, 900, 2_000)).to.equal(true);
    quotas.refund(later, 2_000);
    expect(quotas.balance("c", 2_000)).to.equal(100);
  });

  it("should count what other nodes report once, however often it is repeated", () => {
    const [here, there] = [quotasOf(), quotasOf()];
    for (let i = 0; i < 3; i += 1) {
      expect(admits(there, 200, 1_000)).to.equal(true);
      const report = there.nextReport();
      if (report === undefined) throw new Error("nothing reported");
      // The second report is lost.
      if (i !== 1) here.applyReport("n", report, 1_000);
      if (i === 2) here.applyReport("n", report, 1_000);
    }
    expect(here.balance("c", 1_000)).to.equal(400);
    for (let i = 0; i < 9; i += 1) there.nextReport();
    expect(there.nextReport()).to.equal(undefined);
  });

  it("should count what a restarted node uses, and not what it used before", () => {
    const here = quotasOf();
    here.applyReport("n", { boot: 1, used: { c: [9_000, 100] } }, 1_000);
    expect(here.balance("c", 1_000)).to.equal(900);
    here.applyReport("n", { boot: 2, used: { c: [300, 300] } }, 1_000);
    expect(here.balance("c", 1_000)).to.equal(600);
    here.applyReport("n", { boot: 1, used: { c: [9_900, 900] } }, 1_000);
    expect(here.balance("c", 1_000)).to.equal(600);
  });

  // With the clock set back, what the started node used would never have counted.
  it("should count what a node uses that was started again after its clock was set back", () => {
    const here = quotasOf();
    here.applyReport("n", { boot: 5, used: { c: [100, 100] } }, 1_000);
    here.applyReport("n", { boot: 3, used: { c: [300, 300] } }, 1_500);
    expect(here.balance("c", 1_500)).to.equal(1_000);
    here.applyReport("n", { boot: 3, used: { c: [400, 400] } }, 3_000);
    expect(here.balance("c", 3_000)).to.equal(600);
  });

  it("should count a peer's use during a partition to the peer's share", () => {
    const here = quotasOf();
    here.applyReport("n", { boot: 1, used: { c: [100, 100] } }, 1_000);
    here.applyReport("n", { boot: 1, used: { c: [9_000, 200] } }, 9_000);
    expect(here.balance("c", 9_000)).to.equal(800);
  });

  it("should count half of the burst as used after a suspension, as what others used is unknown", () => {
    const quotas = quotasOf();
    expect(quotas.balance("c", 5_000)).to.equal(1_000);
    quotas.reset(5_000);
    expect(quotas.balance("c", 5_000)).to.equal(500);
    expect(admits(quotas, 900, 5_000)).to.equal(true);
    quotas.reset(5_000);
    expect(quotas.balance("c", 5_000)).to.equal(-400);
  });

  it("should use its share while peers are lost, and the whole again once they are back", () => {
    const bucket = new QuotaBucket(quota, 0);
    expect(bucket.balance(0, 0)).to.equal(500);
    bucket.setShare(0.4, 0);
    expect(bucket.balance(0, 0)).to.equal(200);
    expect(bucket.balance(250, 0)).to.be.closeTo(300, 0.01);
    bucket.setShare(1, 250);
    expect(bucket.balance(250, 0)).to.be.closeTo(750, 0.01);
  });
});

describe("the quota of a customer over many nodes", () => {
  const perS = 260_000;
  const large: Quota = { unit: "tokens", perS, burst: perS, plainTokens: 0 };
  const small: Quota = { ...large, perS: 29_000, burst: 29_000 };

  function run(
    options: Partial<QuotaSimulationOptions> & { quota: Quota },
  ): ReturnType<QuotaSimulation["run"]> {
    const { perS: rate } = options.quota;
    const tolerance = { windowS: 8, overage, slack };
    return new QuotaSimulation({ nodes: 8, demandPerS: () => 2.2 * rate, tolerance, ...options }).run();
  }

  function expectKept(options: Partial<QuotaSimulationOptions> & { quota: Quota }): void {
    const { mostOfLimit, excess } = run(options);
    const { perS: rate, burst } = options.quota;
    const tolerated = overage * (8 * rate + burst) + slack;
    expect(excess, `${mostOfLimit.toFixed(2)} of the limit`).to.be.below(tolerated);
  }

  for (const nodes of [8, 86, 195])
    for (const [name, current] of Object.entries({ large, small })) {
      it(`should be kept on ${nodes} nodes by a ${name} customer that asks for several times as much`, () => {
        const burst = (nowMs: number): number =>
          (nowMs > 10_000 && nowMs < 20_000 ? 4.2 : 0.55) * current.perS;
        expectKept({ nodes, quota: current, demandPerS: burst });
      });

      it(`should hardly refuse anything on ${nodes} nodes to a ${name} customer that asks for less`, () => {
        const demandPerS = (nowMs: number): number => (nowMs < 1_500 ? 0 : 0.55 * current.perS);
        const { refusedRatio } = run({ nodes, quota: current, demandPerS });
        expect(refusedRatio).to.be.below(0.03);
      });
    }

  // On a quiet day 1.7 % of the requests were refused, though no window came near its limit.
  it("should refuse next to nothing to a small customer whose requests come in bunches below the limit of a window", () => {
    const current = { ...small, perS: 68_900, burst: 68_900 };
    const bunches = (nowMs: number): number =>
      nowMs < 1_500 ? 0 : (nowMs % 4_000 < 1_200 ? 1.8 : 0.02) * current.perS;
    const { refusedRatio, excess } = run({ nodes: 12, quota: current, demandPerS: bunches });
    expect(refusedRatio).to.be.below(0.005);
    expect(excess).to.be.below(0);
  });

  it("should be used up, wherever the requests arrive", () => {
    for (const target of [
      (): number => 0,
      (_: number, nowMs: number): number => Math.floor(nowMs / 1_000) % 8,
    ]) {
      const { admitted } = run({ quota: large, target });
      expect(admitted / (30 * perS)).to.be.within(0.93, 1.1);
    }
  });

  it("should be kept while the nodes are cut in halves, each of which uses a part", () => {
    const isCut = (nowMs: number): boolean => nowMs > 8_000 && nowMs < 20_000;
    const sideOf = (node: number): boolean => node < 3;
    const options = {
      quota: large,
      connected: (from: number, to: number, nowMs: number) => !isCut(nowMs) || sideOf(from) === sideOf(to),
      // Peers count as lost once they were silent for some time.
      share: (node: number, nowMs: number) =>
        nowMs > 9_600 && nowMs < 20_300 ? (sideOf(node) ? 3 / 8 : 5 / 8) : 1,
    };
    expectKept(options);
    expect(run({ ...options, demandPerS: () => 0.55 * perS }).refusedRatio).to.be.below(0.05);
  });

  it("should be kept while half of the nodes are killed again and again, and all at once", () => {
    const restartsMs = (node: number): number[] => [...(node < 4 ? [9_000, 11_000, 13_000] : []), 18_000];
    expectKept({ quota: large, restartsMs });
  });

  // Callers of customers far below their quotas were refused for a second after all hosts had lost power.
  it("should refuse few of the callers that return when all nodes have been started again", () => {
    const current = { ...small, perS: 68_900, burst: 68_900 };
    const { perS: rate } = current;
    // In the first second they come twice as often.
    const demandPerS = (nowMs: number): number =>
      nowMs < 10_000 ? 0 : nowMs < 11_000 ? 1.1 * rate : 0.55 * rate;
    const restartsMs = (): number[] => [9_900];
    const ratios = [1, 2, 3, 4, 5].map(
      (seed) =>
        run({ nodes: 12, seed, quota: current, demandPerS, restartsMs, durationMs: 12_000 }).refusedRatio,
    );
    expect(ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length).to.be.below(0.03);
  });

  it("should be kept with nodes that are suspended for 2.8 s", () => {
    const frozen = (node: number, nowMs: number): boolean => node < 3 && nowMs > 9_000 && nowMs < 11_800;
    expectKept({ quota: large, frozen });
  });

  it("should be kept whatever is lost and restarted", () => {
    const restarts = fc.array(fc.integer({ min: 0, max: 30_000 }), { maxLength: 3 });
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.integer({ min: 1, max: 1_000_000 }),
          nodes: fc.integer({ min: 1, max: 24 }),
          loss: fc.double({ min: 0, max: 0.3, noNaN: true }),
          times: fc.double({ min: 0.5, max: 6, noNaN: true }),
          restarts: fc.array(restarts, { minLength: 24, maxLength: 24 }),
          large: fc.boolean(),
        }),
        ({ seed, nodes, loss, times, restarts: restartTimes, large: isLarge }) => {
          const current = isLarge ? large : small;
          expectKept({
            ...{ seed, nodes, loss, quota: current, demandPerS: () => times * current.perS },
            restartsMs: (node) => [...(restartTimes[node] ?? [])].sort((a, b) => a - b),
          });
        },
      ),
      { numRuns: 25, seed: 48 },
    );
  });

  it("should never admit more than the bucket holds, whatever the order of charges and refunds", () => {
    const step = fc.record({
      waitMs: fc.integer({ min: 0, max: 400 }),
      tokens: fc.integer({ min: 1, max: 900 }),
      refund: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const quotas = quotasOf();
        let nowMs = 0;
        let ran: { atMs: number; tokens: number }[] = [];
        let last: { charge: QuotaCharge; tokens: number } | undefined;
        for (const { waitMs, tokens, refund } of steps) {
          nowMs += waitMs;
          if (refund && last !== undefined) {
            quotas.refund(last.charge, nowMs);
            ran = ran.filter((run) => run.atMs !== last?.charge.atMs || run.tokens !== last.tokens);
            last = undefined;
            continue;
          }
          const decision = quotas.admit("c", size(tokens), nowMs);
          if (decision.kind !== "admitted" || decision.charge === undefined) continue;
          last = { charge: decision.charge, tokens };
          ran.push({ atMs: nowMs, tokens });
          const recent = ran.filter(({ atMs }) => atMs > nowMs - 8_000);
          const sum = recent.reduce((total, run) => total + run.tokens, 0);
          // The last request may be larger than what was left.
          expect(sum).to.be.at.most(quota.burst + 8 * quota.perS + 900);
        }
      }),
      { seed: 48 },
    );
  });
});
