import { expect } from "chai";
import { shouldShed, OverloadDetector } from "../../src/serving/overload.ts";

describe("the overload detector", () => {
  /** Records iterations of the same length for a while; returns when the state first changed, ms. */
  function run(
    detector: OverloadDetector,
    tookMs: number,
    fromMs: number,
    forMs: number,
  ): number | undefined {
    let changedMs: number | undefined;
    for (let now = fromMs; now <= fromMs + forMs; now += Math.max(25, tookMs)) {
      if (detector.recordIteration(tookMs, now)) changedMs ??= now - fromMs;
    }
    return changedMs;
  }

  it("should not take one long stall for overload", () => {
    const detector = new OverloadDetector();
    run(detector, 2, 0, 2_000);
    detector.recordIteration(3_000, 5_000);
    expect(detector.overloaded).to.equal(false);
  });

  it("should detect iterations that stay long within a second, and their end within another", () => {
    const detector = new OverloadDetector();
    run(detector, 2, 0, 2_000);
    expect(run(detector, 120, 2_100, 3_000)).to.be.at.most(1_000);
    expect(detector.overloaded).to.equal(true);
    expect(run(detector, 5, 5_200, 3_000)).to.be.at.most(1_000);
    expect(detector.overloaded).to.equal(false);
  });

  it("should not change its state at every iteration if long and short ones alternate", () => {
    const detector = new OverloadDetector();
    let changes = 0;
    for (let i = 0, now = 0; i < 200; i += 1) {
      const tookMs = i % 2 === 0 ? 60 : 5;
      now += Math.max(25, tookMs);
      if (detector.recordIteration(tookMs, now)) changes += 1;
    }
    expect(changes).to.be.at.most(1);
  });
});

describe("load shedding", () => {
  const view = { ageMs: 0, callerTimeoutMs: 2_000, targetMs: 300, overloaded: false };

  it("should start requests that are in time, but none whose caller's timeout has nearly expired", () => {
    expect(shouldShed({ ...view, ageMs: 400 })).to.equal(false);
    expect(shouldShed({ ...view, ageMs: 1_000 })).to.equal(true);
  });

  it("should reserve an overloaded node for requests that can still be served in time", () => {
    const overloaded = { ...view, overloaded: true };
    expect(shouldShed({ ...overloaded, ageMs: 90 })).to.equal(false);
    expect(shouldShed({ ...overloaded, ageMs: 250 })).to.equal(true);
    expect(shouldShed({ ...overloaded, ageMs: 250, targetMs: 1_200 })).to.equal(false);
  });

  it("should shed nothing on a node that keeps up, even if the caller's timeout is short: the age is only an upper bound", () => {
    expect(shouldShed({ ageMs: 27, callerTimeoutMs: 80, targetMs: 60, overloaded: false })).to.equal(false);
  });
});
