import { expect } from "chai";
import { PeerTable, type Heartbeat } from "../../../src/serving/membership/peerTable.ts";

const ips = Array.from({ length: 8 }, (_, i) => `10.0.0.${i + 1}`);
const startMs = 1_000;
/** A time after all nodes have been heard. */
const cutMs = 30_000;

const heartbeatOf = (ip: string, more: Partial<Heartbeat> = {}): Heartbeat => ({
  ...{ host: ip, boot: 1, ip, port: 1, zone: "a", strength: 1, callers: `${ip}:2`, ready: true, busy: 0 },
  ...{ version: 1, fleetRevision: 0, active: true, ...more },
});

function tableOf(self: string): PeerTable {
  const table = new PeerTable({ ip: self, zone: "a", strength: 1 });
  hear(table, self, ips, startMs);
  hear(table, self, ips, cutMs);
  return table;
}

function hear(table: PeerTable, self: string, from: readonly string[], nowMs: number): void {
  for (const ip of from) if (ip !== self) table.recordHeartbeat(heartbeatOf(ip), nowMs);
}

describe("the share of quotas that nodes in contact with each other use", () => {
  it("should be all of them while every node is heard", () => {
    expect(tableOf("10.0.0.1").quotaShare(startMs, cutMs + 600)).to.equal(1);
  });

  // For 1.6 s after a cut, until silent peers counted as dead, both sides used the whole quota.
  it("should add up to the whole within two heartbeats of a cut, and again be all after it", () => {
    const sideA = ips.slice(0, 3);
    const sideB = ips.slice(3);
    const shares = [sideA, sideB].map((side) => {
      const [self = ""] = side;
      const table = tableOf(self);
      hear(table, self, side, cutMs + 700);
      const during = table.quotaShare(startMs, cutMs + 750);
      hear(table, self, ips, cutMs + 9_000);
      expect(table.quotaShare(startMs, cutMs + 9_000)).to.equal(1);
      return during;
    });
    expect(shares).to.deep.equal([3 / 8, 5 / 8]);
  });

  it("should not count nodes that stopped, or that are on standby", () => {
    const table = tableOf("10.0.0.1");
    table.recordHeartbeat(heartbeatOf("10.0.0.2", { ready: false }), cutMs);
    table.recordHeartbeat(heartbeatOf("10.0.0.3", { active: false }), cutMs);
    hear(table, "10.0.0.1", ips.slice(3), cutMs + 900);
    expect(table.quotaShare(startMs, cutMs + 900)).to.equal(1);
  });

  it("should be taken from the others by a node that became active after a cut", () => {
    const table = tableOf("10.0.0.1");
    for (const ip of ips.slice(1)) table.recordHeartbeat(heartbeatOf(ip, { quotaShare: 0.4 }), cutMs + 900);
    expect(table.quotaShare(cutMs, cutMs + 900)).to.equal(0.4);
    expect(table.quotaShare(startMs, cutMs + 900)).to.equal(1);
  });

  it("should be the part of a single node on standby", () => {
    expect(tableOf("10.0.0.1").quotaShare(undefined, cutMs)).to.equal(1 / 8);
  });
});
