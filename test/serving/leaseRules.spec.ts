import { expect } from "chai";
import { StoreClock, waitToTake, type LeaseRow } from "../../src/serving/leaseRules.ts";

const row: LeaseRow = { holder: "a", ip: "10.0.0.1", token: 3, untilMs: 1_000 };

describe("the lease rules", () => {
  it("should let a successor in only after the holder's last possible order and the distance between holders", () => {
    const other = { host: "b", ip: "10.0.0.2" };
    expect(waitToTake(row, other, 900, 3_000)).to.equal(3_400);
    expect(waitToTake(row, other, 4_300, 3_000)).to.equal(0);
    expect(waitToTake(undefined, other, 0, 3_000)).to.equal(0);
  });

  it("should let the same host back at once, but not another host under its name", () => {
    expect(waitToTake(row, { host: "a", ip: "10.0.0.1" }, 900, 3_000)).to.equal(0);
    expect(waitToTake(row, { host: "a", ip: "10.0.0.9" }, 900, 3_000)).to.be.greaterThan(0);
  });

  it("should let a successor in at once when the holder gave the lease up", () => {
    expect(waitToTake({ ...row, ordered: {} }, { host: "b", ip: "10.0.0.2" }, 900, 3_000)).to.equal(0);
  });

  it("should never take the store's clock for earlier than it is", () => {
    // The reading is taken after the call is sent and before its answer: counted from the sending it is at or
    // past the true time, so a lease measured by it never ends later than the store believes.
    const clock = new StoreClock();
    clock.learn(5_000, 100);
    expect(clock.at(150)).to.equal(5_050);
    expect(clock.steadyAt(5_050)).to.equal(150);
  });
});
