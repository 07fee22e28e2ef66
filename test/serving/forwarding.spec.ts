import { expect } from "chai";
import {
  choosePeer,
  confirmationMs,
  isPartitionedFrom,
  reachesAny,
  type ForwardTarget,
  type PeerChoice,
} from "../../src/serving/forwarding.ts";
import { chooseAddresses } from "../../src/serving/membership/directory.ts";

function peer(
  ip: string,
  overrides: Partial<ForwardTarget> = {},
): PeerChoice<ForwardTarget>["peers"][number] {
  const status = {
    ip,
    port: 1,
    zone: "a",
    ready: true,
    forwarding: true,
    strength: 1,
    busy: 0,
    version: 1,
    ...overrides,
  };
  return { status, lastHeardMs: 0 };
}

function choice(overrides: Partial<PeerChoice<ForwardTarget>> = {}): PeerChoice<ForwardTarget> {
  return {
    peers: [],
    servers: [{ id: "s-1", failingSinceMs: 0 }],
    reachesNone: true,
    zone: "a",
    version: 1,
    tried: new Set(),
    draw: 0.5,
    ...overrides,
  };
}

describe("the peer that a request is passed on to", () => {
  it("should be one that is ready, reaches a server, has the configuration and was not tried", () => {
    const peers = [
      peer("1", { ready: false }),
      peer("2", { unreachable: ["s-1"] }),
      peer("3", { version: 0 }),
      peer("6", { forwarding: false }),
      peer("4"),
      peer("5"),
    ];
    expect(choosePeer(choice({ peers, tried: new Set(["4"]) }))?.ip).to.equal("5");
    expect(choosePeer(choice({ peers, tried: new Set(["4", "5"]) }))).to.equal(undefined);
  });

  it("should be in the same zone unless all peers there are busy", () => {
    const other = peer("2", { zone: "b" });
    expect(choosePeer(choice({ peers: [peer("1", { busy: 0.7 }), other], draw: 0.99 }))?.ip).to.equal("1");
    expect(choosePeer(choice({ peers: [peer("1", { busy: 0.95 }), other], draw: 0.99 }))?.ip).to.equal("2");
  });

  it("should be chosen in proportion to spare capacity, so that the reachable peers aren't overrun", () => {
    const peers = [peer("1", { strength: 3 }), peer("2"), peer("3", { busy: 1 })];
    const counts = { "1": 0, "2": 0, "3": 0 };
    for (let i = 0; i < 1_000; i += 1)
      counts[(choosePeer(choice({ peers, zone: "b", draw: (i + 0.5) / 1_000 }))?.ip ?? "1") as "1"] += 1;
    expect(counts["1"]).to.be.closeTo(3 * counts["2"], 10);
    expect(counts["3"]).to.be.at.most(0.11 * counts["2"]);
  });

  it("should not be chosen for a server that may have crashed, until the peer has had time to notice", () => {
    const peers = [peer("1")];
    const servers = [{ id: "s-1", failingSinceMs: -confirmationMs + 1 }];
    expect(choosePeer(choice({ peers, servers, reachesNone: false }))).to.equal(undefined);
    const longAgo = [{ id: "s-1", failingSinceMs: -confirmationMs }];
    expect(choosePeer(choice({ peers, servers: longAgo, reachesNone: false }))?.ip).to.equal("1");
  });
});

describe("a node that can send to a service", () => {
  it("should be one that reaches any of its servers, whatever it reaches of other services", () => {
    // Regression: while each node was cut off from some service, no node got a share of a brittle server's slots.
    expect(reachesAny({ unreachable: ["t-1", "t-2"] }, ["s-1"])).to.equal(true);
    expect(reachesAny({ unreachable: ["s-1", "t-1"] }, ["s-1", "s-2"])).to.equal(true);
    expect(reachesAny({ unreachable: ["s-1"] }, ["s-1"])).to.equal(false);
  });
});

describe("a partitioned node", () => {
  it("should be one that reaches none of the servers that a peer reaches", () => {
    const unreachable = new Set(["s-1", "s-2"]);
    expect(isPartitionedFrom(["s-1", "s-2"], unreachable, [{ unreachable: ["s-1"] }])).to.equal(true);
    expect(isPartitionedFrom(["s-1", "s-3"], unreachable, [{}])).to.equal(false);
    expect(isPartitionedFrom([], unreachable, [{}])).to.equal(false);
  });

  it("should not be one whose peers reach none of the servers either", () => {
    const unreachable = new Set(["s-1"]);
    expect(isPartitionedFrom(["s-1"], unreachable, [{ unreachable: ["s-1"] }])).to.equal(false);
    expect(isPartitionedFrom(["s-1"], unreachable, [])).to.equal(false);
  });

  it("should be listed for callers only to reach the minimum number of addresses", () => {
    const node = (callers: string, partitioned?: boolean): Parameters<typeof chooseAddresses>[0][number] => ({
      ...{ callers, strength: 1, busy: 0 },
      ...(partitioned === undefined ? {} : { partitioned }),
    });
    const draw = (): number => 0.5;
    const connected = ["1", "2", "3"].map((callers) => node(callers));
    const cut = ["4", "5"].map((callers) => node(callers, true));
    expect(chooseAddresses([...cut, ...connected], draw)).to.have.members(["1", "2", "3"]);
    expect(chooseAddresses([...cut, ...connected.slice(0, 2)], draw))
      .to.include.members(["1", "2"])
      .and.lengthOf(3);
    expect(chooseAddresses(cut, draw)).to.have.members(["4", "5"]);
  });
});
