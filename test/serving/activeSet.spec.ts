import { expect } from "chai";
import {
  turnsBeforeActivation,
  turnsBeforeRetirement,
  type ActiveNode,
  type Candidate,
} from "../../src/serving/membership/activeSet.ts";

const zones = ["a", "b", "c"];
const maxStrength = 1.35;
const minStrength = 0.32;

/** Hosts over three zones, in descending order of CPU capacity. */
const fleetOf = (size: number): Candidate[] =>
  Array.from({ length: size }, (_, i) => ({
    ip: `10.${(i % 3) + 1}.0.${Math.floor(i / 3) + 100}`,
    zone: zones[i % 3] ?? "",
    strength: maxStrength - ((maxStrength - minStrength) * i) / (size - 1),
  }));

const capacityOf = (nodes: readonly Candidate[]): number =>
  nodes.reduce((sum, { strength }) => sum + strength, 0);

/** The nodes under a load of this many cores, shared in proportion to their CPU capacity. */
const underLoad = (nodes: readonly Candidate[], cores: number): ActiveNode[] =>
  nodes.map((node) => ({ ...node, busy: Math.min(1, cores / capacityOf(nodes)) }));

interface Scenario {
  readonly listed: readonly Candidate[];
  readonly active: readonly ActiveNode[];
  readonly dead?: ReadonlySet<string>;
  /** Turns that pass before the others learn of an activation. */
  readonly turns?: number;
  /** Number of nodes by which a zone may grow in a step; unlimited by default. */
  readonly maxPerStep?: number | undefined;
}

/**
 * The nodes that become active when all standby nodes decide at the same moment, without knowing of each other's
 * decisions.
 */
function activate({
  listed,
  active,
  dead = new Set(),
  turns = 0,
  maxPerStep = Infinity,
}: Scenario): Candidate[] {
  const known = new Set(active.map(({ ip }) => ip));
  return listed.filter((node) => {
    if (known.has(node.ip) || dead.has(node.ip)) return false;
    const turn = turnsBeforeActivation({
      self: { ...node, busy: 0 },
      active,
      knownNodes: listed,
      maxPerStep,
    });
    return turn !== undefined && turn <= turns;
  });
}

describe("scale out of the active set", () => {
  const listed = fleetOf(66);
  const initial = listed.slice(0, 12);

  it("should reach the required size in one decision, without overshoot", () => {
    // 12 of 66 hosts were active under a load for 30, and each zone activated one more per second: until enough nodes
    // were active, requests were served late.
    const cores = 0.45 * capacityOf(listed.slice(0, 30));
    const chosen = [...initial, ...activate({ listed, active: underLoad(initial, cores) })];
    expect(chosen).to.have.length.within(30, 32);
    expect(cores / capacityOf(chosen)).to.be.within(0.4, 0.45);
    expect(activate({ listed, active: underLoad(chosen, cores) })).to.deep.equal([]);
  });

  it("should keep to its limit per step, so that newly active nodes with cold code don't cause further activations", () => {
    const cores = 0.45 * capacityOf(listed.slice(0, 30));
    const chosen = activate({ listed, active: underLoad(initial, cores), maxPerStep: 1 });
    expect(chosen).to.have.length(3);
  });

  it("should activate the nodes with the highest CPU capacity in each zone", () => {
    const cores = 0.45 * capacityOf(listed.slice(0, 30));
    const chosen = new Set([...initial, ...activate({ listed, active: underLoad(initial, cores) })]);
    for (const zone of zones) {
      const inZone = listed.filter((node) => node.zone === zone);
      const size = inZone.filter((node) => chosen.has(node)).length;
      expect(size).to.be.greaterThan(4);
      expect(inZone.slice(0, size).every((node) => chosen.has(node))).to.equal(true);
    }
  });

  it("should at least double the CPU capacity of saturated nodes, whose offered load is unknown", () => {
    const cores = 3 * capacityOf(initial);
    const next = [...initial, ...activate({ listed, active: underLoad(initial, cores) })];
    expect(capacityOf(next)).to.be.at.least(2 * capacityOf(initial));
    const last = [...next, ...activate({ listed, active: underLoad(next, cores) })];
    expect(last).to.have.length(66);
  });

  it("should not wait for reports of nodes that are activated at the same time", () => {
    // All listed nodes are alive; nobody else has a turn before the reports of the newly active nodes have arrived.
    const active = underLoad(initial, 0.6 * capacityOf(initial));
    const chosen = activate({ listed, active });
    expect(chosen.length).to.be.greaterThan(3);
    const after = [...initial, ...chosen];
    expect(activate({ listed, active: underLoad(after, 0.6 * capacityOf(initial)), turns: 6 })).to.deep.equal(
      [],
    );
  });

  it("should be the same in a zone that is partitioned from the others", () => {
    const active = underLoad(initial, capacityOf(initial));
    const together = activate({ listed, active });
    const alone = zones.flatMap((zone) =>
      activate({ listed, active: active.filter((node) => node.zone === zone) }).filter(
        (node) => node.zone === zone,
      ),
    );
    expect(together.length).to.be.greaterThan(12);
    expect(alone).to.have.members(together);
  });

  it("should replace nodes lost at once and their CPU capacity", () => {
    // 24 hosts carry the load; 15 of them are lost at once, and are still listed in the store ahead of those that are
    // alive.
    const cores = 0.45 * capacityOf(listed.slice(0, 24));
    const dead = new Set(listed.slice(0, 15).map(({ ip }) => ip));
    const remaining = listed.slice(15, 24);
    let chosen = remaining;
    for (let turns = 0; turns <= 2; turns += 1)
      chosen = [...chosen, ...activate({ listed, active: underLoad(chosen, cores), dead, turns })];
    expect(cores / capacityOf(chosen)).to.be.below(0.5);
  });
});

describe("scale in of the active set", () => {
  const listed = fleetOf(66);

  /**
   * The nodes that return to standby in one turn when all decide at the same moment, without knowing of each other's
   * decisions.
   */
  const returningToStandby = (active: readonly ActiveNode[], turns = 0): ActiveNode[] =>
    active.filter((self) => {
      const others = active.filter((node) => node !== self);
      const turn = turnsBeforeRetirement({ self, active: others, knownNodes: listed });
      return turn !== undefined && turn <= turns;
    });

  /** Lets nodes return to standby turn by turn until none does; returns the sizes. */
  function scaleIn(size: number, cores: number): number[] {
    const sizes = [size];
    for (let chosen = listed.slice(0, size); ; sizes.push(chosen.length)) {
      const returned = new Set(returningToStandby(underLoad(chosen, cores)).map(({ ip }) => ip));
      if (returned.size === 0) return sizes;
      chosen = chosen.filter(({ ip }) => !returned.has(ip));
    }
  }

  it("should remove one node per zone at a time, the last in order first", () => {
    const active = underLoad(listed.slice(0, 30), 0);
    expect(returningToStandby(active)).to.deep.equal(active.slice(27));
  });

  it("should stop at twelve nodes when the load ends", () => {
    expect(scaleIn(30, 0)).to.deep.equal([30, 27, 24, 21, 18, 15, 12]);
  });

  it("should stop before more nodes would be needed again", () => {
    const cores = 0.2 * capacityOf(listed.slice(0, 24));
    const size = scaleIn(45, cores).at(-1) ?? 0;
    expect(size).to.be.within(18, 24);
    expect(cores / capacityOf(listed.slice(0, size))).to.be.below(0.26);
    expect(activate({ listed, active: underLoad(listed.slice(0, size), cores) })).to.deep.equal([]);
  });

  it("should leave enough nodes even if all that may return to standby did so together", () => {
    const cores = 0.2 * capacityOf(listed.slice(0, 24));
    const active = underLoad(listed.slice(0, 45), cores);
    const remainingCount = active.length - returningToStandby(active, 66).length;
    expect(cores / capacityOf(active.slice(0, remainingCount))).to.be.below(0.26);
  });

  it("should not react to a pause between bursts", () => {
    // One-second bursts came every few seconds. Nodes returned to standby in each pause and became active in each
    // burst.
    const paused = underLoad(listed.slice(0, 30), 0).map((node) => ({ ...node, steadyBusy: 0.3 }));
    expect(returningToStandby(paused)).to.deep.equal([]);
    const bursting = underLoad(listed.slice(0, 30), 0.3 * capacityOf(listed.slice(0, 30)));
    expect(returningToStandby(bursting.map((node) => ({ ...node, steadyBusy: 0.1 })))).to.deep.equal([]);
  });
});
