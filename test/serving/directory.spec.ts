import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseAddresses, type DirectoryNode } from "../../src/serving/membership/directory.ts";

const responses = 4_000;

describe("the directory", () => {
  let draw: () => number;

  beforeEach(() => {
    const generator = xoroshiro128plus(7);
    draw = () => uniformFloat64(generator);
  });

  /** Ratio of the callers that each node gets if each caller picks one of the addresses in its response. */
  function shares(nodes: readonly DirectoryNode[]): number[] {
    const counts = new Map<string, number>();
    for (let i = 0; i < responses; i += 1) {
      const addresses = chooseAddresses(nodes, draw);
      for (const address of addresses)
        counts.set(address, (counts.get(address) ?? 0) + 1 / addresses.length / responses);
    }
    return nodes.map(({ callers }) => counts.get(callers) ?? 0);
  }

  const node = (callers: string, strength = 1, busy = 0.2): DirectoryNode => ({ callers, strength, busy });

  it("should give every caller all nodes while they are alike", () => {
    const nodes = ["a", "b", "c", "d"].map((name, i) => node(name, 0.7, i / 10));
    expect(chooseAddresses(nodes, draw)).to.deep.equal(["a", "b", "c", "d"]);
  });

  it("should not overload a weak node while strong ones are idle", () => {
    const nodes = "abcdef"
      .split("")
      .map((name) => node(name, 1.35))
      .concat("uvwxyz".split("").map((name) => node(name, 0.324)));
    const [strong = 0] = shares(nodes);
    const weak = shares(nodes).at(-1) ?? 0;
    expect(strong / weak).to.be.within(3, 6);
  });

  it("should direct callers away from a node that uses all of its CPU time", () => {
    const nodes = [node("late", 1, 1), ..."abcdefgh".split("").map((name) => node(name))];
    expect(shares(nodes)[0]).to.be.below(1 / nodes.length / 5);
  });

  it("should return nodes even if all of them are saturated, or one is left", () => {
    const nodes = "abcd".split("").map((name) => node(name, 1, 1));
    expect(chooseAddresses(nodes, draw)).to.have.length(4);
    expect(chooseAddresses([node("only", 0.3, 1)], draw)).to.deep.equal(["only"]);
    expect(chooseAddresses([], draw)).to.deep.equal([]);
  });

  it("should return more than one node though one is far stronger than the others", () => {
    const nodes = [node("strong", 8), ..."abcd".split("").map((name) => node(name, 0.1))];
    for (let i = 0; i < 100; i += 1) expect(chooseAddresses(nodes, draw)).to.have.length.at.least(3);
  });
});
