import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { GatewayProcesses, GatewayProgram } from "../fixtures/gatewayProcesses.ts";
import { paths } from "../fixtures/recordingServer.ts";
import {
  offerStreams,
  reportOfStreams,
  serveWholeStreams,
  type StreamLoad,
  type StreamReport,
} from "../fixtures/resumingCallers.ts";
import { VersionedServer } from "../fixtures/versionedServer.ts";

/** Load of a run, and its duration, ms. */
const ratePerS = 25;
const runMs = 12_000;
/** Streams that may hold events of two versions. */
const maxMixed = 2;
/** From this number on, resumed streams are judged by how many of them went on. */
const minJudgedResumes = 12;
const minWentOnRatio = 0.5;
const drainMs = 2_000;

interface Fault {
  readonly title: string;
  readonly hosts?: number;
  readonly versions?: readonly string[];
  /** Models that the servers hold; they are engines then. */
  readonly models?: readonly string[];
  readonly load?: Partial<StreamLoad>;
  /** Whether the resumed streams can't be judged, as the nodes lost all memory. */
  readonly forgets?: boolean;
  /** Whether no node is up for a while, so that only attempts that got a response are judged. */
  readonly allDown?: boolean;
  /** Streams that may hold events of two versions; `maxMixed` by default. */
  readonly mixed?: number;
  readonly act?: (processes: GatewayProcesses, servers: readonly VersionedServer[]) => Promise<void>;
}

async function restartAll(
  processes: GatewayProcesses,
  hosts: readonly number[],
  downMs: number,
): Promise<void> {
  for (const host of hosts) processes.kill(host);
  await delay(downMs);
  await Promise.all(hosts.map((host) => processes.restart(host)));
}

/** The servers disappear, one after the other. */
async function removeServers(
  processes: GatewayProcesses,
  servers: readonly VersionedServer[],
  gapMs: number,
): Promise<void> {
  for (const { id } of servers) {
    processes.removeServer(id);
    await delay(gapMs);
  }
}

const allHosts = [0, 1, 2, 3];

/** All hosts are killed, and the servers leave while they are down. */
async function restartAllWithout(
  processes: GatewayProcesses,
  servers: readonly VersionedServer[],
  downMs: number,
): Promise<void> {
  const restarted = restartAll(processes, allHosts, downMs);
  await removeServers(processes, servers, 0);
  await restarted;
}

/** Callers that are still there when the hosts are back. */
const patient = { unansweredPauseMs: 700 };

/** Replaces the servers by new ones of the version, one by one. */
async function release(
  processes: GatewayProcesses,
  servers: readonly VersionedServer[],
  version: string,
): Promise<void> {
  const drained: Promise<void>[] = [];
  for (const [i, server] of servers.entries()) {
    await processes.addServer(new VersionedServer({ id: `new-${version}-${i}`, version }));
    await delay(500);
    drained.push(processes.drainServer(server, drainMs));
    await delay(1_000);
  }
  await Promise.all(drained);
}

const faults: Fault[] = [
  { title: "while servers of two versions serve" },
  {
    title: "while hosts are killed",
    act: async (processes) => {
      await delay(0.3 * runMs);
      await restartAll(processes, [0], 1_000);
      await delay(0.65 * runMs - 0.3 * runMs - 1_500);
      await restartAll(processes, [1], 1_000);
    },
  },
  {
    title: "while half of the hosts are killed at the same moment",
    hosts: 6,
    act: async (processes) => {
      await delay(0.4 * runMs);
      await restartAll(processes, [0, 1, 2], 1_000);
    },
  },
  {
    title: "while the servers of a version are replaced",
    act: async (processes, servers) => {
      await delay(1_000);
      await release(processes, servers.slice(0, 3), "v1.2");
    },
  },
  {
    title: "while a release begins and is rolled back",
    versions: ["v1", "v1", "v1", "v1"],
    act: async (processes) => {
      await delay(2_000);
      const canary = new VersionedServer({ id: "canary", version: "v2" });
      await processes.addServer(canary);
      await delay(3_000);
      await processes.drainServer(canary, drainMs);
      await processes.addServer(new VersionedServer({ id: "again", version: "v1" }));
    },
  },
  { title: "while servers of three versions serve", versions: ["v1", "v1", "v1.1", "v1.1", "v1.2", "v1.2"] },
  { title: "while callers leave and come back elsewhere", load: { leaveRatio: 0.5 } },
  {
    title: "while the nodes are cut off from each other",
    act: async (processes) => {
      await delay(0.25 * runMs);
      processes.cutPeers([0, 1, 2, 3]);
    },
  },
  {
    title: "when all hosts are killed at the same moment",
    forgets: true,
    act: async (processes) => {
      await delay(0.4 * runMs);
      await restartAll(processes, [0, 1, 2, 3], 1_000);
    },
  },
  {
    title: "when all hosts are killed at the same moment while there is one version",
    versions: ["v1", "v1", "v1"],
    allDown: true,
    act: async (processes) => {
      await delay(0.4 * runMs);
      await restartAll(processes, [0, 1, 2, 3], 1_000);
    },
  },
  // Guards against refusing what is safe: with one version all along, nothing can be joined.
  {
    title:
      "when all hosts are killed at the same moment while there is one version and callers wait for them",
    versions: ["v1", "v1", "v1"],
    allDown: true,
    load: patient,
    act: async (processes) => {
      await delay(0.4 * runMs);
      await restartAll(processes, allHosts, 1_000);
    },
  },
  // Guards against streams of a version that nobody remembers, as its servers left while all nodes were down.
  {
    title: "when all hosts are killed at the same moment and the servers of a version leave meanwhile",
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes, servers) => {
      await delay(0.4 * runMs);
      await restartAllWithout(processes, servers.slice(0, 3), 1_000);
    },
  },
  // Guards against the same where the last nodes saw the version leave just before they were killed.
  {
    title: "when all hosts are killed just after the last server of a version left",
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes, servers) => {
      await delay(0.3 * runMs);
      await removeServers(processes, servers.slice(0, 3), 300);
      await restartAll(processes, allHosts, 1_000);
    },
  },
  // Guards against a record of the versions that nodes without memory write over.
  {
    title: "when all hosts are killed twice and the servers of a version leave meanwhile",
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes, servers) => {
      await delay(0.3 * runMs);
      await restartAllWithout(processes, servers.slice(0, 3), 500);
      await delay(700);
      await restartAll(processes, allHosts, 500);
    },
  },
  // Guards against an empty read that is taken for proof before the first record was written.
  {
    title: "when all hosts are killed soon after they started and the servers of a version leave meanwhile",
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes, servers) => {
      await delay(500);
      await restartAllWithout(processes, servers.slice(0, 3), 500);
    },
  },
  // Guards against streams of a version that the store didn't name yet when all memory was lost.
  {
    title: "when all hosts are killed soon after a version appeared and its server leaves meanwhile",
    versions: ["v1", "v1", "v1", "v1"],
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes) => {
      await delay(0.3 * runMs);
      const canary = new VersionedServer({ id: "canary", version: "v2" });
      await processes.addServer(canary);
      await delay(1_500);
      await restartAllWithout(processes, [canary], 1_000);
    },
  },
  // Guards against nodes that resume streams before they could read what the store remembers.
  {
    title:
      "when all hosts are killed, the servers of a version leave meanwhile and the store is away at first",
    forgets: true,
    mixed: 0,
    load: patient,
    act: async (processes, servers) => {
      await delay(0.3 * runMs);
      for (const host of allHosts) processes.kill(host);
      processes.storeAway(true);
      await removeServers(processes, servers.slice(0, 3), 0);
      const restarted = Promise.all(allHosts.map((host) => processes.restart(host)));
      await delay(1_500);
      processes.storeAway(false);
      await restarted;
    },
  },
  {
    title: "while the store is away and hosts are killed",
    act: async (processes) => {
      await delay(0.2 * runMs);
      processes.storeAway(true);
      await delay(0.1 * runMs);
      await restartAll(processes, [0], 1_000);
      await delay(0.2 * runMs);
      processes.storeAway(false);
    },
  },
  { title: "on twelve hosts", hosts: 12 },
  {
    title: "while hosts are cut off from the servers",
    act: async (processes, servers) => {
      await delay(0.2 * runMs);
      processes.cut([0, 1], "reset", servers);
      await delay(0.6 * runMs);
      processes.heal([0, 1]);
    },
  },
  {
    title: "on engines that hold its model",
    models: ["m"],
    load: { headers: { "x-model": "m", "x-token-count": "10,10" } },
  },
];

describe("a resumed stream", function () {
  this.timeout(60_000);
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

  async function reportOf(fault: Fault): Promise<StreamReport> {
    const { hosts = 4, versions = defaultVersions, models, load, act } = fault;
    const engines = models !== undefined;
    const servers = versions.map(
      (version, i) => new VersionedServer({ id: `s-${i}`, version, ...(engines ? { models } : {}) }),
    );
    processes = new GatewayProcesses({ program, hosts, servers: 0, engines, otherServers: servers });
    await processes.start();
    await delay(500);
    const target = { endpoints: () => processes.endpoints, path: paths.resumable };
    await serveWholeStreams({ ...target, headers: load?.headers });
    const streams = offerStreams({
      ...target,
      ...{ ratePerS, forMs: runMs, seed: 5 },
      ...load,
    });
    await Promise.all([streams, act?.(processes, servers)]);
    return reportOfStreams(await streams);
  }

  for (const fault of faults) {
    it(`should go on only at the version that began it ${fault.title}`, async () => {
      const report = await reportOf(fault);
      const { asked, begun, mixed, disordered, resumed, wentOn, answered } = report;
      const judged = fault.allDown === true ? answered : resumed;
      const text = JSON.stringify(report);
      if (process.env.STREAM_REPORT !== undefined) console.log(`      ${text}`);
      expect(disordered, text).to.equal(0);
      expect(mixed, text).to.be.at.most(fault.mixed ?? maxMixed);
      expect(begun, text).to.be.at.least(asked / 2);
      if (fault.forgets === true || judged < minJudgedResumes) return;
      expect(wentOn / judged, text).to.be.at.least((minWentOnRatio * begun) / asked);
    });
  }
});

const defaultVersions = ["v1", "v1", "v1", "v1.2", "v1.2"];
