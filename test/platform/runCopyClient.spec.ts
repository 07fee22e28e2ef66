import { expect } from "chai";
import { RunCopyClient } from "../../platform/runCopyClient.ts";
import { Failure } from "../../src/common/errors.ts";
import type { OrderTarget } from "../../src/serving/orders.ts";
import { FakeBackendServer, type Arrival } from "../fixtures/fakeBackendServer.ts";

describe("the client of calls that copy runs", () => {
  let engine: FakeBackendServer;
  let client: RunCopyClient;
  let answer: { status: number; text: string };
  let source: OrderTarget;
  const order = { requestId: "r1", destination: "10.0.0.2:80", stop: true, timeoutMs: 300 };

  beforeEach(async () => {
    engine = await FakeBackendServer.start("e1", ({ res }: Arrival) => {
      if (answer.status > 0) res.writeHead(answer.status).end(answer.text);
    });
    client = new RunCopyClient();
    source = { serverId: "e1", address: engine.address };
  });

  afterEach(async () => {
    client.dispose();
    await engine.stop();
  });

  async function copyWith(status: number, text = ""): Promise<unknown> {
    answer = { status, text };
    return client.copy(source, order).catch((error: unknown) => (error as Failure).kind);
  }

  it("should name the run, the destination and the incarnation that may answer", async () => {
    const reply = await copyWith(200, '{"handle":"h7","createRevision":12}');
    expect(reply).to.deep.equal({ kind: "copied", handle: "h7", events: 12 });
    const [call] = engine.arrivals;
    expect(call?.req).to.include({ method: "POST", url: "/kv-move" });
    expect(call?.req.headers["x-expected-instance"]).to.equal("e1");
    expect(JSON.parse(call?.body ?? "")).to.deep.equal({ id: "r1", target: "10.0.0.2:80", last: true });
  });

  // Guards against a run that goes on from another run's memory, after a late copy of an earlier answer.
  it("should not take a second copy of an earlier answer for the answer to a call", async () => {
    const text = '{"handle":"h1","createRevision":1}';
    await copyWith(200, text);
    const [first] = engine.arrivals;
    first?.req.socket.on("data", () => {
      first.req.socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
    });
    const reply = await copyWith(200, '{"handle":"h2","createRevision":2}');
    expect(reply).to.deep.equal({ kind: "copied", handle: "h2", events: 2 });
  });

  it("should tell the refusals of a copy apart", async () => {
    // A stopped run can be continued at its engine only with the handle of the refusal.
    expect(await copyWith(503, '{"handle":"h8"}')).to.deep.equal({ kind: "refused", handle: "h8" });
    expect(await copyWith(503, "no room")).to.deep.equal({ kind: "refused", handle: undefined });
    const kinds = { 404: "absent", 405: "unsupported", 409: "busy", 421: "wrong-server", 501: "unsupported" };
    for (const [status, kind] of Object.entries(kinds))
      expect(await copyWith(Number(status))).to.deep.equal({ kind });
  });

  it("should fail on an answer that it can't use, and without one", async () => {
    // A handle becomes part of a header of the next request, so characters that end a header must not pass.
    expect(await copyWith(200, '{"handle":"h\\r\\nX-Own: 1","createRevision":1}')).to.equal(
      "upstream-failed",
    );
    expect(await copyWith(200, "{}")).to.equal("upstream-failed");
    expect(await copyWith(500)).to.equal("upstream-failed");
    expect(await copyWith(0)).to.equal("deadline-exceeded");
    await engine.stop();
    expect(await copyWith(200)).to.equal("not-run");
  });

  it("should free a copy at the engine that made it", async () => {
    answer = { status: 200, text: "" };
    await client.release(source, "h7");
    const [call] = engine.arrivals;
    expect(call?.req).to.include({ method: "DELETE", url: "/kv-handle/h7" });
    expect(call?.req.headers["x-expected-instance"]).to.equal("e1");
  });
});
