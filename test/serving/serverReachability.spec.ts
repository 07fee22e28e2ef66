import { expect } from "chai";
import { ServerReachability } from "../../src/serving/serverReachability.ts";

describe("server reachability", () => {
  it("should count a server as unreachable from a failed connection until one is established", () => {
    const reachability = new ServerReachability();
    reachability.recordConnectFailure("s-1", 700, 1_000);
    expect(reachability.isReachable("s-1")).to.equal(false);
    reachability.recordConnected("s-1", 1_200);
    expect(reachability.isReachable("s-1")).to.equal(true);
  });

  it("should ignore a failure of an attempt that began before the last connection", () => {
    const reachability = new ServerReachability();
    reachability.recordConnected("s-1", 900);
    reachability.recordConnectFailure("s-1", 700, 1_000);
    expect(reachability.isReachable("s-1")).to.equal(true);
  });

  it("should tell since when no server is reached", () => {
    const reachability = new ServerReachability();
    reachability.recordConnectFailure("s-1", 0, 1_000);
    expect(reachability.summarize(["s-1", "s-2"])).to.deep.equal({
      known: 2,
      reached: 1,
      noneSinceMs: undefined,
    });
    reachability.recordConnectFailure("s-2", 0, 1_300);
    expect(reachability.summarize(["s-1", "s-2"]).noneSinceMs).to.equal(1_300);
    expect(reachability.summarize([]).noneSinceMs).to.equal(undefined);
  });
});
