import { expect } from "chai";
import type { ServerNotice } from "../../src/serving/exchange.ts";
import { ServerNotices } from "../../src/serving/serverNotices.ts";

const none: ServerNotice = {
  limitPerS: undefined,
  leaving: false,
  rejectionsPerS: undefined,
  retryAfterMs: undefined,
};
const server = { id: "i-1" };

describe("a server's notices", () => {
  it("should apply a lower limit immediately, and lift it with the response to a later request", () => {
    const notices = new ServerNotices();
    notices.recordNotice(server, { ...none, limitPerS: 3 }, 0, 10);
    notices.recordNotice(server, { ...none, limitPerS: 1 }, 5, 20);
    expect(notices.limitPerS(server)).to.equal(1);
    notices.recordNotice(server, none, 21, 30);
    expect(notices.limitPerS(server)).to.equal(undefined);
  });

  it("should not lift a limit because the response to an earlier request arrives late", () => {
    const notices = new ServerNotices();
    notices.recordNotice(server, { ...none, limitPerS: 1 }, 0, 20);
    notices.recordNotice(server, none, 10, 30);
    expect(notices.limitPerS(server)).to.equal(1);
  });

  it("should apply only to the incarnation that gave them", () => {
    const notices = new ServerNotices();
    notices.recordNotice({ id: "i-1", startedAtMs: 100 }, { ...none, limitPerS: 1 }, 0, 10);
    expect(notices.limitPerS({ id: "i-1", startedAtMs: 200 })).to.equal(undefined);
    notices.retain([{ id: "i-1", startedAtMs: 200 }], 60_010);
    expect(notices.limitPerS({ id: "i-1", startedAtMs: 100 })).to.equal(undefined);
  });

  it("should be reported as changed once, not with each response", () => {
    const notices = new ServerNotices();
    let changes = 0;
    notices.changed.on(() => (changes += 1));
    for (let i = 0; i < 3; i += 1)
      notices.recordNotice(server, { ...none, limitPerS: 2, leaving: true }, i, i + 1);
    notices.recordNotice(server, { ...none, limitPerS: 2, retryAfterMs: 500 }, 4, 5);
    notices.recordNotice(server, { ...none, limitPerS: 2, retryAfterMs: 500 }, 5, 6);
    expect(changes).to.equal(2);
  });

  it("should be kept for a while after the registration expired", () => {
    const notices = new ServerNotices();
    notices.recordNotice(server, { ...none, leaving: true }, 0, 10);
    notices.retain([], 5_000);
    expect(notices.leavingSinceMs(server)).to.equal(10);
  });

  it("should count a server as shutting down from the first report on, including a peer's", () => {
    const notices = new ServerNotices();
    notices.applyPeerLeaving("i-1", 10);
    notices.recordNotice(server, { ...none, leaving: true }, 0, 20);
    notices.recordNotice(server, none, 21, 30);
    expect(notices.leavingSinceMs(server)).to.equal(10);
  });

  it("should block a server until its back-off is over, even if the response to an earlier request arrives", () => {
    const notices = new ServerNotices();
    notices.recordNotice(server, { ...none, retryAfterMs: 1_000 }, 0, 10);
    notices.recordNotice(server, none, 5, 20);
    expect(notices.acceptsRequests(server, 1_009)).to.equal(false);
    expect(notices.backoffRemainingMs(server, 510)).to.equal(500);
    expect(notices.acceptsRequests(server, 1_010)).to.equal(true);
  });

  it("should allow one request after a back-off, and another if that gets no response", () => {
    const notices = new ServerNotices();
    notices.recordNotice(server, { ...none, retryAfterMs: 1_000 }, 0, 10);
    notices.recordSend(server, 1_020);
    expect(notices.acceptsRequests(server, 1_030)).to.equal(false);
    expect(notices.acceptsRequests(server, 2_020)).to.equal(true);
    notices.recordNotice(server, none, 1_020, 2_030);
    notices.recordSend(server, 2_040);
    expect(notices.acceptsRequests(server, 2_050)).to.equal(true);
  });

  it("should be recorded from the response to an order, but not be lifted by one that states nothing", () => {
    const notices = new ServerNotices();
    notices.recordPartialNotice(server, { ...none, limitPerS: 2, leaving: true }, 10);
    notices.recordPartialNotice(server, none, 20);
    expect(notices.limitPerS(server)).to.equal(2);
    expect(notices.leavingSinceMs(server)).to.equal(10);
  });
});
