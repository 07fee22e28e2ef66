import { expect } from "chai";
import {
  nextToken,
  StoreClock,
  takeoverDelayMs,
  type LeaseRow,
  type LeaseView,
} from "../../src/serving/leaseRules.ts";

const row: LeaseRow = { holder: "a", ip: "10.0.0.1", token: 3, untilMs: 1_000 };

/** Of an established era, at the store's time. */
const view = (of: LeaseRow | undefined, storeNowMs: number, more: Partial<LeaseView> = {}): LeaseView => ({
  row: of,
  era: 0,
  eraAgeMs: 60_000,
  heldLast: false,
  unchangedMs: 60_000,
  storeNowMs,
  ...more,
});

describe("the lease rules", () => {
  it("should let a successor in only after the holder's last possible order and the distance between holders", () => {
    const other = { host: "b", ip: "10.0.0.2" };
    expect(takeoverDelayMs(view(row, 900), other, 3_000)).to.equal(3_400);
    expect(takeoverDelayMs(view(row, 4_300), other, 3_000)).to.equal(0);
    expect(takeoverDelayMs(view(undefined, 0), other, 3_000)).to.equal(0);
  });

  it("should let the same host back at once, but not another host under its name", () => {
    expect(takeoverDelayMs(view(row, 900), { host: "a", ip: "10.0.0.1" }, 3_000)).to.equal(0);
    expect(takeoverDelayMs(view(row, 900), { host: "a", ip: "10.0.0.9" }, 3_000)).to.be.greaterThan(0);
  });

  it("should let a successor in at once when the holder gave the lease up", () => {
    expect(
      takeoverDelayMs(view({ ...row, ordered: {} }, 900), { host: "b", ip: "10.0.0.2" }, 3_000),
    ).to.equal(0);
  });

  it("should never take the store's clock for earlier than it is", () => {
    // The reading is taken after the call is sent and before its answer: counted from the sending it is at or
    // past the true time, so a lease measured by it never ends later than the store believes.
    const clock = new StoreClock();
    clock.update(5_000, 100);
    expect(clock.at(150)).to.equal(5_050);
    expect(clock.monotonicAt(5_050)).to.equal(150);
  });

  describe("in an era whose row is from a copy", () => {
    const other = { host: "b", ip: "10.0.0.2" };
    const copied = (eraAgeMs: number, more: Partial<LeaseView> = {}): LeaseView =>
      view(row, 90_000, { era: 2, eraAgeMs, ...more });

    it("should let nobody in before a holder that the copy lacks has sent its last order", () => {
      for (const candidate of [other, { host: "a", ip: "10.0.0.1" }]) {
        expect(takeoverDelayMs(copied(0), candidate, 3_000)).to.equal(5_300);
        expect(takeoverDelayMs(copied(5_000), candidate, 3_000)).to.equal(300);
        expect(takeoverDelayMs(copied(5_300), candidate, 3_000)).to.equal(0);
      }
      expect(takeoverDelayMs(copied(0, { row: undefined }), other, 3_000)).to.equal(5_300);
      expect(takeoverDelayMs(copied(0, { row: { ...row, ordered: {}, era: 1 } }), other, 3_000)).to.equal(
        5_300,
      );
    });

    it("should let nobody in while a holder may still write again what a late write of an earlier era replaced", () => {
      expect(takeoverDelayMs(copied(60_000, { unchangedMs: 0 }), other, 3_000)).to.equal(1_600);
      expect(takeoverDelayMs(copied(60_000, { unchangedMs: 1_600 }), other, 3_000)).to.equal(0);
    });

    it("should let the last holder go on at once", () => {
      expect(takeoverDelayMs(copied(0, { heldLast: true }), other, 3_000)).to.equal(0);
    });

    it("should go by the row again once a holder of the era wrote it", () => {
      const written = { ...row, era: 2, untilMs: 91_000 };
      expect(takeoverDelayMs(copied(60_000, { row: written, heldLast: true }), other, 3_000)).to.equal(4_300);
      expect(takeoverDelayMs(copied(0, { row: written }), { host: "a", ip: "10.0.0.1" }, 3_000)).to.equal(0);
    });

    it("should give out tokens above all of earlier eras", () => {
      const first = nextToken(row, 0);
      expect(first).to.equal(4);
      const second = nextToken(row, 1);
      expect(second).to.be.greaterThan(first + 1_000_000);
      expect(nextToken({ ...row, token: second, era: 1 }, 1)).to.equal(second + 1);
      expect(nextToken({ ...row, token: second, era: 1 }, 3)).to.be.greaterThan(nextToken(row, 2));
    });
  });
});
