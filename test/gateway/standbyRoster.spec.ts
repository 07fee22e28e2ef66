import { expect } from "chai";
import { Emitter } from "../../src/common/emitter.ts";
import { createLog } from "../../src/common/log.ts";
import { ActivationTask } from "../../src/gateway/membership/activationTask.ts";
import { PeerTable, type Heartbeat, type Roster } from "../../src/serving/membership/peerTable.ts";
import { initialPosition } from "../../src/serving/storePosition.ts";

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

function heartbeat(i: number, busy: number): Heartbeat {
  return {
    ...{ host: `n${i}`, boot: 1, ip: `10.0.0.${i}`, port: 1, zone: "a", callers: `10.0.0.${i}:2` },
    ...{ ready: true, strength: 1, busy, version: 1, fleetRevision: 1, active: true },
  };
}

describe("rosters for standby nodes", () => {
  it("should include a single saturated node, as standby nodes serve the directory to callers", async () => {
    // The zone's mean utilization is low, so its overutilization level doesn't change. Without an update, standby nodes went
    // on directing callers to the saturated node.
    const self = { ip: "10.0.0.1", port: 1, zone: "a", strength: 1 };
    const table = new PeerTable(self);
    const listed = Array.from({ length: 20 }, (_, i) => ({ ...self, ip: `10.0.0.${i + 1}` }));
    table.addListedNodes(listed, performance.now());
    const heartbeatReceived = new Emitter<Heartbeat>();
    const handlers = new Map<string, (params: unknown) => unknown>();
    const sentRosters: Roster[] = [];
    const task = new ActivationTask({
      log: createLog("activation-test"),
      table,
      readUpToMs: () => performance.now(),
      peers: {
        heartbeatReceived,
        handle: (method, handler) => handlers.set(method, handler),
        notifyOne: (method, params) => {
          if (method === "roster") sentRosters.push(params as Roster);
        },
        broadcastHeartbeat: () => undefined,
      },
      nodeStatus: () => heartbeat(1, 0.2),
      presenceRevision: () => 0,
      quarantinePosition: () => initialPosition,
      readAgeMs: () => 0,
      holdsLease: () => false,
      stepDown: () => Promise.resolve(),
      membershipKnown: () => true,
    });
    const cpuUtilization = new Map([2, 3, 4].map((i) => [i, 0.2]));
    const timer = setInterval(() => {
      for (const [i, utilization] of cpuUtilization) {
        table.recordHeartbeat(heartbeat(i, utilization), performance.now());
        heartbeatReceived.fire(heartbeat(i, utilization));
      }
    }, 100);
    await task.start();
    await sleep(800);
    expect(task.active).to.equal(true);
    handlers.get("roster.ask")?.({ node: listed[19], digest: "" });
    cpuUtilization.set(3, 1);
    await sleep(2_000);
    clearInterval(timer);
    await task.dispose();
    const last = sentRosters
      .flatMap(({ entries = [] }) => entries)
      .filter(({ standing }) => standing.host === "n3")
      .at(-1);
    expect(last?.standing.busy).to.equal(1);
  });
});
