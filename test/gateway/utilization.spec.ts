import { expect } from "chai";
import { Utilization } from "../../src/gateway/membership/utilization.ts";

describe("utilization", () => {
  let idle: number;
  let active: number;
  let utilization: Utilization;

  /** Advances the time by `ms`, of which the fraction `busyRatio` is busy, and reads every 100 ms. */
  const pass = (ms: number, busyRatio: number): void => {
    for (let i = 0; i < ms; i += 100) {
      active += 100 * busyRatio;
      idle += 100 * (1 - busyRatio);
      expect(utilization.recent).to.be.within(0, 1);
    }
  };

  beforeEach(() => {
    idle = 0;
    active = 0;
    utilization = new Utilization(() => ({ idle, active, utilization: 0 }));
  });

  it("should follow a burst within about half a second", () => {
    // Regression: a mean over 2 s that was updated every 2 s showed a burst up to 4 s late.
    pass(5_000, 0.1);
    expect(utilization.recent).to.equal(0.1);
    pass(700, 1);
    expect(utilization.recent).to.equal(1);
    pass(700, 0.1);
    expect(utilization.recent).to.equal(0.1);
  });

  it("should have a steady value that follows over several seconds", () => {
    pass(8_000, 0.8);
    expect(utilization.steady).to.be.closeTo(0.8, 0.01);
    pass(1_000, 0);
    expect(utilization.steady).to.be.above(0.6);
    pass(5_000, 0);
    expect(utilization.steady).to.equal(0);
  });

  it("should not count the work of starting or of becoming active", () => {
    pass(900, 1);
    pass(1_000, 0.2);
    expect(utilization.recent).to.be.below(0.21);
    utilization.reset();
    pass(900, 1);
    expect(utilization.recent).to.equal(0);
    pass(1_000, 0.2);
    expect(utilization.recent).to.equal(0.2);
    expect(utilization.steady).to.equal(0.2);
  });

  it("should be correct however rarely it is read", () => {
    pass(2_000, 0.2);
    active += 3_000;
    expect(utilization.recent).to.be.within(0, 1);
    active += 700;
    expect(utilization.recent).to.equal(1);
  });
});
