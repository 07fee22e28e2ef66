import { expect } from "chai";
import {
  likelyActive,
  turnsBeforeActivation,
  turnsBeforeRetirement,
  type ActiveNode,
  type Candidate,
} from "../../src/serving/membership/activeSet.ts";
import { PeerTable, type NodeStatus } from "../../src/serving/membership/peerTable.ts";

const zones = ["a", "b", "c", "d", "e", "f"];

const node = (zone: string, index: number, strength = 0.3): Candidate => ({
  ip: `10.${zones.indexOf(zone) + 1}.0.${index + 100}`,
  zone,
  strength,
});

/** A fleet of `size` hosts over six zones, the first of each zone with the highest CPU capacity. */
const fleetOf = (size: number): Candidate[] =>
  Array.from({ length: size }, (_, i) => node(zones[i % 6] ?? "", Math.floor(i / 6), i < 18 ? 1.3 : 0.3));

const active = (nodes: readonly Candidate[], busy = 0.2): ActiveNode[] => nodes.map((n) => ({ ...n, busy }));

/** Activates nodes one at a time, in the order of their turns, until no more is needed. */
function activateAll(listed: readonly Candidate[], dead: ReadonlySet<string> = new Set()): ActiveNode[] {
  const running = active(listed.filter((n) => !dead.has(n.ip)));
  let chosen: ActiveNode[] = [];
  for (;;) {
    const waiting = running.filter((n) => !chosen.includes(n));
    const next = waiting
      .map((self) => ({ self, turn: turnsBeforeActivation({ self, active: chosen, knownNodes: listed }) }))
      .filter((entry) => entry.turn !== undefined)
      .sort((x, y) => (x.turn ?? 0) - (y.turn ?? 0))[0];
    if (next === undefined) return chosen;
    chosen = [...chosen, next.self];
  }
}

describe("the active set", () => {
  it("should contain every node of a small fleet", () => {
    expect(activateAll(fleetOf(9))).to.have.length(9);
    expect(activateAll(fleetOf(16))).to.have.length(16);
  });

  it("should not grow with the fleet, and contain the nodes with the highest CPU capacity of each zone", () => {
    // 195 hosts all sent each other their loads ten times a second: this alone took more than the whole CPU share and
    // most of the bandwidth of a small host, and nobody was served.
    for (const size of [30, 100, 195, 360]) {
      const chosen = activateAll(fleetOf(size));
      expect(chosen).to.have.length(12);
      expect(new Set(chosen.map((n) => n.zone)).size).to.equal(6);
      expect(chosen.every((n) => n.strength > 1)).to.equal(true);
    }
  });

  it("should be filled up with nodes that are alive, whichever are lost", () => {
    // The strong hosts of a zone are lost at once. The others knew them only from the store, which still lists the
    // dead ones.
    const listed = fleetOf(195);
    const dead = new Set(listed.filter((n) => n.zone === "a" && n.strength > 1).map((n) => n.ip));
    const chosen = activateAll(listed, dead);
    expect(chosen.filter((n) => n.zone === "a")).to.have.length(2);
    expect(chosen.some((n) => dead.has(n.ip))).to.equal(false);
  });

  it("should grow if its nodes are short of CPU time, and not shrink until they have plenty", () => {
    const listed = fleetOf(195);
    const inA = listed.filter((n) => n.zone === "a");
    const self = { ...(inA[2] ?? node("a", 2)), busy: 0 };
    const two = inA.slice(0, 2);
    expect(turnsBeforeActivation({ self, active: active(two, 0.3), knownNodes: listed })).to.equal(undefined);
    expect(turnsBeforeActivation({ self, active: active(two, 0.6), knownNodes: listed })).to.equal(0);
    expect(
      turnsBeforeRetirement({ self: { ...self, busy: 0.4 }, active: active(two, 0.4), knownNodes: listed }),
    ).to.equal(undefined);
    expect(
      turnsBeforeRetirement({ self: { ...self, busy: 0.1 }, active: active(two, 0.1), knownNodes: listed }),
    ).to.equal(0);
  });

  it("should lose only nodes that come after enough others", () => {
    const listed = fleetOf(195);
    const inA = active(listed.filter((n) => n.zone === "a").slice(0, 3), 0);
    const turns = inA.map((self) =>
      turnsBeforeRetirement({ self, active: inA.filter((n) => n !== self), knownNodes: listed }),
    );
    const returningToStandby = inA.filter((_, i) => turns[i] !== undefined);
    expect(returningToStandby).to.deep.equal(inA.slice(2));
  });

  it("should be looked for among the first nodes of each zone, not among all", () => {
    const listed = fleetOf(195);
    expect(likelyActive(node("a", 0), listed)).to.have.length(24);
  });
});

describe("the peer table of a standby node", () => {
  const nodeStatus = (ip: string, more: Partial<NodeStatus> = {}): NodeStatus => ({
    ...{ host: ip, boot: 1, ip, port: 1, zone: "a", callers: `${ip}:80`, ready: true },
    ...{ strength: 1, busy: 0, version: 1, fleetRevision: 0 },
    ...more,
  });
  const entry = (
    ip: string,
    lastHeardMs: number,
    more: Partial<NodeStatus> = {},
  ): { status: NodeStatus; lastHeardMs: number } => ({
    status: nodeStatus(ip, more),
    lastHeardMs,
  });
  const aliveIps = (table: PeerTable, nowMs: number): string[] =>
    table.alive(nowMs).map(({ status }) => status.ip);

  it("should list the active nodes for as long as another node reports them", () => {
    const table = new PeerTable({ ip: "10.0.0.9", zone: "a", strength: 1 });
    table.applyRoster("10.0.0.1", [entry("10.0.0.1", 0), entry("10.0.0.2", 0)]);
    table.confirmRoster("10.0.0.1", 1_500);
    expect(aliveIps(table, 2_000)).to.deep.equal(["10.0.0.1", "10.0.0.2"]);
    expect(aliveIps(table, 8_000)).to.deep.equal([]);
    table.markDead("10.0.0.1");
    expect(aliveIps(table, 2_000)).to.deep.equal(["10.0.0.2"]);
  });

  it("should drop a lost node as soon as the node that reported it does", () => {
    // An active node dies. The node that reported it noticed after 1.6 s, and a standby node directed callers to the
    // dead one for as long again.
    const table = new PeerTable({ ip: "10.0.0.9", zone: "a", strength: 1 });
    table.applyRoster("10.0.0.1", [entry("10.0.0.1", 0), entry("10.0.0.2", 0)]);
    table.confirmRoster("10.0.0.1", 1_500);
    table.applyRoster("10.0.0.1", [entry("10.0.0.1", 1_900)]);
    expect(aliveIps(table, 2_000)).to.deep.equal(["10.0.0.1"]);
  });

  it("should not be overwritten by an older status, or by one from before a restart", () => {
    const table = new PeerTable({ ip: "10.0.0.9", zone: "a", strength: 1 });
    table.applyRoster("10.0.0.1", [entry("10.0.0.2", 1_000, { boot: 2, ready: false })]);
    table.applyRoster("10.0.0.3", [entry("10.0.0.2", 1_200, { boot: 1 })]);
    table.applyRoster("10.0.0.4", [entry("10.0.0.2", 900, { boot: 2 })]);
    expect(table.alive(1_300)[0]?.status).to.include({ boot: 2, ready: false });
  });

  it("should fall back to the contacts from startup once all other nodes are forgotten", () => {
    // A host was partitioned for minutes. It had declared every node dead and forgotten them, polled nobody any more,
    // and stayed alone after the partition had healed.
    const table = new PeerTable({ ip: "10.0.0.9", zone: "a", strength: 1 });
    table.addContact({ ip: "10.0.0.3", port: 1 }, 0);
    table.applyRoster("10.0.0.1", [entry("10.0.0.1", 0)]);
    table.markDead("10.0.0.1");
    expect(table.recipients(300_000, true).map(({ ip }) => ip)).to.deep.equal(["10.0.0.3"]);
  });

  it("should prefer roster sources in its own zone", () => {
    const table = new PeerTable({ ip: "10.0.0.9", zone: "b", strength: 1 });
    table.applyRoster("10.0.0.1", [entry("10.0.0.1", 0), entry("10.0.0.2", 0, { zone: "b" })]);
    expect(table.rosterSources(100)[0]?.ip).to.equal("10.0.0.2");
  });

  it("should have a digest that changes with the set of active nodes and their status, not with the age of the reports", () => {
    const table = new PeerTable({ ip: "10.0.0.9", zone: "a", strength: 1 });
    table.applyRoster("10.0.0.1", [entry("10.0.0.2", 0)]);
    const first = table.digest(100);
    table.applyRoster("10.0.0.1", [entry("10.0.0.2", 300, { version: 9, fleetRevision: 7 })]);
    expect(table.digest(400)).to.equal(first);
    table.applyRoster("10.0.0.1", [entry("10.0.0.2", 500, { ready: false })]);
    expect(table.digest(600)).to.not.equal(first);
  });

  // Standby nodes must not take as large a share of a fleet-wide limit as active nodes.
  it("should know how many nodes share a fleet-wide limit, so that the shares add up to it", () => {
    const listed = fleetOf(195);
    const chosen = new Set(activateAll(listed).map(({ ip }) => ip));
    const shareOf = (self: Candidate): number => {
      const table = new PeerTable(self);
      table.addListedNodes(
        listed.map((n) => ({ ...n, port: 1 })),
        0,
      );
      const others = [...chosen].filter((ip) => ip !== self.ip);
      table.applyRoster(
        "10.0.0.1",
        others.map((ip) => entry(ip, 0)),
      );
      const { count, fraction } = table.budgetShare(chosen.has(self.ip), 1);
      return fraction / count;
    };
    const sum = listed.reduce((total, self) => total + shareOf(self), 0);
    expect(sum).to.be.closeTo(1, 0.001);
  });
});
