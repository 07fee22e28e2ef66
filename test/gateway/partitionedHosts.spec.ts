import { expect } from "chai";
import { offerLoad, type Call } from "../fixtures/disconnectingCallers.ts";
import { GatewayProcesses, GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import type { CutKind } from "../fixtures/serverLinks.ts";

/** Time from the start of a cut until its hosts have to serve again, ms. */
const stableMs = 3_000;
/** Duration of the load after that, ms. */
const judgedMs = 4_000;
/** Callers of each run, as they ask all nodes in turn. */
const load = { ratePerS: 120, streamRatio: 0.1, nonIdempotentRatio: 0.3, responseTimeoutMs: 2_000 };

interface Cut {
  readonly title: string;
  readonly hosts: number;
  readonly cut: readonly number[];
  readonly kind: CutKind;
}

const cuts: Cut[] = [
  { title: "2 of 6 lose all bytes", hosts: 6, cut: [0, 1], kind: "silent" },
  { title: "5 of 6 are reset", hosts: 6, cut: [0, 1, 2, 3, 4], kind: "reset" },
  { title: "2 of 6 get no new connections", hosts: 6, cut: [0, 1], kind: "refuse" },
];

function isServed({ status, complete, disconnectedMs }: Call): boolean {
  return status === 200 && complete === true && disconnectedMs === undefined;
}

/** How often each status was received on each path, for assertion messages. */
function outcomesOf(calls: readonly Call[]): string {
  const counts = new Map<string, number>();
  for (const { path, status } of calls) {
    const outcome = `${path} ${status ?? "none"}`;
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return [...counts].map(([outcome, count]) => `${outcome}: ${count}`).join(", ");
}

describe("hosts partitioned from all backend servers", function () {
  this.timeout(40_000);
  let program: GatewayProgram;
  let processes: GatewayProcesses;

  before(async () => {
    program = await GatewayProgram.build();
  });

  afterEach(async () => {
    await processes.stop();
  });

  after(() => {
    program.dispose();
  });

  for (const { title, hosts, cut, kind } of cuts) {
    it(`should serve callers by way of their peers while ${title}`, async () => {
      // Regression: a host without a path to any server refused nearly all requests, though its peers reached the servers.
      processes = new GatewayProcesses({ program, hosts });
      await processes.start();
      const { endpoints } = processes;
      await offerLoad({ endpoints, ...load, forMs: 1_500, seed: 1 });
      processes.cut(cut, kind);
      await offerLoad({ endpoints, ...load, forMs: stableMs, seed: 2 });
      const calls = await offerLoad({ endpoints, ...load, forMs: judgedMs, seed: 3 });
      const cutIps = new Set(cut.map((index) => endpoints[index]?.ip));
      const failedAtCut = calls.filter((call) => cutIps.has(call.ip) && !isServed(call));
      expect(failedAtCut.length, outcomesOf(failedAtCut)).to.be.at.most(10 + calls.length / 50);
    });
  }
});
