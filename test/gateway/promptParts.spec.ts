import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { GatewayProcesses, GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import { PromptPartLoad, type PromptPartReport, type PromptShape } from "../fixtures/promptPartLoad.ts";

const runMs = 18_000;
const hostCount = 6;
const serverCount = 8;
/** Requests with a bad part that may reach servers once it has to be known. */
const maxReachedLate = 3;
/** Sound requests begin at least this often, relative to before. */
const minBeginRatio = 0.5;

interface Fault {
  readonly title: string;
  readonly seed: number;
  readonly shape: PromptShape;
  readonly withBad?: boolean;
  readonly act?: (processes: GatewayProcesses, load: PromptPartLoad) => Promise<void>;
}

const first = "a0";
const middle = ["b0", "b1", "b2"];
const anyOf = (draw: () => number, parts: readonly string[]): string =>
  parts[Math.floor(draw() * parts.length)] ?? "";

const inTheMiddle: PromptShape = {
  bad: ["bad"],
  soundPrompt: (draw) => [first, anyOf(draw, middle)],
  badPrompt: (draw, part) =>
    draw() < 0.5 ? [first, part, anyOf(draw, middle)] : [first, anyOf(draw, middle), part],
};

async function restart(processes: GatewayProcesses, hosts: readonly number[]): Promise<void> {
  for (const host of hosts) processes.kill(host);
  await delay(1_000);
  await Promise.all(hosts.map((host) => processes.restart(host)));
}

const faults: Fault[] = [
  { title: "second or third in the prompt", seed: 1, shape: inTheMiddle },
  {
    title: "first in the prompt",
    seed: 2,
    shape: { ...inTheMiddle, badPrompt: (draw, part) => [part, anyOf(draw, middle)] },
  },
  {
    title: "always beside the same sound part",
    seed: 3,
    shape: {
      ...inTheMiddle,
      soundPrompt: (draw) => (draw() < 0.1 ? [first, "rare"] : [first, anyOf(draw, middle)]),
      badPrompt: (_draw, part) => [first, "rare", part],
    },
  },
  {
    title: "and so is another part",
    seed: 4,
    shape: { ...inTheMiddle, bad: ["bad", "worse"] },
  },
  {
    title: "and was sound before",
    seed: 5,
    shape: {
      ...inTheMiddle,
      turnsBadAfterMs: 3_000,
      soundPrompt: (draw) => [first, anyOf(draw, middle)],
    },
  },
  {
    title: "while half of the nodes are killed",
    seed: 6,
    shape: inTheMiddle,
    act: async (processes) => {
      await delay(4_000);
      await restart(processes, [0, 1, 2]);
      await delay(3_000);
      await restart(processes, [3, 4, 5]);
    },
  },
  {
    title: "when all nodes are killed at the same moment",
    seed: 7,
    shape: inTheMiddle,
    act: async (processes) => {
      await delay(7_000);
      await restart(processes, [0, 1, 2, 3, 4, 5]);
    },
  },
  {
    title: "while the nodes are cut off from each other",
    seed: 9,
    shape: inTheMiddle,
    act: async (processes) => {
      await delay(1_000);
      processes.cutPeers([0, 1, 2, 3, 4, 5]);
    },
  },
];

describe("a prompt part that crashes servers", () => {
  let program: GatewayProgram;

  before(async () => {
    program = await GatewayProgram.build();
  });

  after(() => {
    program.dispose();
  });

  async function run({ shape, seed, withBad, act }: Fault): Promise<PromptPartReport> {
    const load = new PromptPartLoad(shape, serverCount, seed);
    const processes = new GatewayProcesses({
      program,
      hosts: hostCount,
      servers: 0,
      retryBurst: 1_000,
      otherServers: [...load.servers.values()],
    });
    try {
      await processes.start();
      const [report] = await Promise.all([load.run(processes, runMs, withBad), act?.(processes, load)]);
      console.log(`      ${JSON.stringify(report)}`);
      return report;
    } finally {
      await processes.stop();
      await load.stop();
    }
  }

  function expectSoundServed({
    before: [begunBefore, sentBefore],
    after: [begun, sent],
  }: PromptPartReport): void {
    expect(sent).to.be.at.least(20);
    expect(begun / sent).to.be.at.least(minBeginRatio * (begunBefore / sentBefore));
  }

  for (const fault of faults) {
    // Requests that share a part with nothing else in common crashed one server after the other.
    it(`should be kept from servers if it is ${fault.title}`, async function () {
      this.timeout(60_000);
      const report = await run(fault);
      expect(Math.max(...Object.values(report.reachedLate))).to.be.at.most(maxReachedLate);
      expectSoundServed(report);
    });
  }

  // Connections were reset at servers that lived on, and the parts on them were suspected.
  it("should not be suspected if connections of living servers are reset", async function () {
    this.timeout(60_000);
    const report = await run({
      ...{ title: "", seed: 10, shape: inTheMiddle, withBad: false },
      act: async (_processes, load) => {
        await delay(3_000);
        for (let i = 0; i < 5; i += 1) {
          for (const server of load.servers.values()) {
            server.resetConnections();
            await delay(200);
          }
        }
      },
    });
    expectSoundServed(report);
    const [begun, sent] = report.after;
    expect(begun / sent).to.be.at.least(0.95);
  });

  // Parts that all requests share were on every server that crashed for another reason.
  it("should not be suspected if half of the servers crash for another reason", async function () {
    this.timeout(60_000);
    const report = await run({
      ...{ title: "", seed: 8, shape: inTheMiddle, withBad: false },
      act: async (_processes, load) => {
        await delay(3_000);
        for (let i = 0; i < 4; i += 1) {
          for (const server of [...load.servers.values()].slice(0, serverCount / 2)) server.crash();
          await delay(2_000);
        }
      },
    });
    expectSoundServed(report);
    const [begun, sent] = report.after;
    expect(begun / sent).to.be.at.least(0.95);
  });
});
