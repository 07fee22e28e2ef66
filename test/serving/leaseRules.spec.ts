import { expect } from "chai";
import {
  nextToken,
  StoreClock,
  takeoverDelayMs,
  type LeaseRow,
  type LeaseView,
} from "../../src/serving/leaseRules.ts";

const row: LeaseRow = { holder: "a", ip: "10.0.0.1", token: 3, untilMs: 1_000 };

/** A view in an established era, at the given time of the store. */
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
  it("should let a successor take the lease only after the holder's last possible order and the handover delay", () => {
    const other = { host: "b", ip: "10.0.0.2" };
    expect(takeoverDelayMs(view(row, 900), other, 3_000)).to.equal(3_400);
    expect(takeoverDelayMs(view(row, 4_300), other, 3_000)).to.equal(0);
    expect(takeoverDelayMs(view(undefined, 0), other, 3_000)).to.equal(0);
  });

  it("should let the same host retake the lease at once, but not another host with its name", () => {
    expect(takeoverDelayMs(view(row, 900), { host: "a", ip: "10.0.0.1" }, 3_000)).to.equal(0);
    expect(takeoverDelayMs(view(row, 900), { host: "a", ip: "10.0.0.9" }, 3_000)).to.be.greaterThan(0);
  });

  it("should let a successor take a released lease at once", () => {
    expect(
      takeoverDelayMs(view({ ...row, ordered: {} }, 900), { host: "b", ip: "10.0.0.2" }, 3_000),
    ).to.equal(0);
  });

  it("should never estimate the store's clock as earlier than it is", () => {
    // The reading is taken between sending the call and its response. Counted from the send it is at or past
    // the true time, so a lease measured by it never ends later than by the store's own clock.
    const clock = new StoreClock();
    clock.update(5_000, 100);
    expect(clock.at(150)).to.equal(5_050);
    expect(clock.monotonicAt(5_050)).to.equal(150);
  });

  describe("in an era whose row is from a backup", () => {
    const other = { host: "b", ip: "10.0.0.2" };
    const restoredView = (eraAgeMs: number, more: Partial<LeaseView> = {}): LeaseView =>
      view(row, 90_000, { era: 2, eraAgeMs, ...more });

    it("should let nobody take the lease before a holder that the backup lacks has sent its last order", () => {
      for (const candidate of [other, { host: "a", ip: "10.0.0.1" }]) {
        expect(takeoverDelayMs(restoredView(0), candidate, 3_000)).to.equal(5_300);
        expect(takeoverDelayMs(restoredView(5_000), candidate, 3_000)).to.equal(300);
        expect(takeoverDelayMs(restoredView(5_300), candidate, 3_000)).to.equal(0);
      }
      expect(takeoverDelayMs(restoredView(0, { row: undefined }), other, 3_000)).to.equal(5_300);
      expect(
        takeoverDelayMs(restoredView(0, { row: { ...row, ordered: {}, era: 1 } }), other, 3_000),
      ).to.equal(5_300);
    });

    it("should let nobody take the lease while a holder may still restore a row replaced by a delayed write of an earlier era", () => {
      expect(takeoverDelayMs(restoredView(60_000, { unchangedMs: 0 }), other, 3_000)).to.equal(1_600);
      expect(takeoverDelayMs(restoredView(60_000, { unchangedMs: 1_600 }), other, 3_000)).to.equal(0);
    });

    it("should let the last holder continue at once", () => {
      expect(takeoverDelayMs(restoredView(0, { heldLast: true }), other, 3_000)).to.equal(0);
    });

    it("should rely on the row again after a holder of the era has written it", () => {
      const written = { ...row, era: 2, untilMs: 91_000 };
      expect(takeoverDelayMs(restoredView(60_000, { row: written, heldLast: true }), other, 3_000)).to.equal(
        4_300,
      );
      expect(
        takeoverDelayMs(restoredView(0, { row: written }), { host: "a", ip: "10.0.0.1" }, 3_000),
      ).to.equal(0);
    });

    it("should issue tokens above those of all earlier eras", () => {
      const first = nextToken(row, 0);
      expect(first).to.equal(4);
      const second = nextToken(row, 1);
      expect(second).to.be.greaterThan(first + 1_000_000);
      expect(nextToken({ ...row, token: second, era: 1 }, 1)).to.equal(second + 1);
      expect(nextToken({ ...row, token: second, era: 1 }, 3)).to.be.greaterThan(nextToken(row, 2));
    });
  });
});
