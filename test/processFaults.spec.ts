import { expect } from "chai";
import { Cluster } from "./fixtures/cluster.ts";

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe("guarantees under process faults", function () {
  this.timeout(60_000);
  let cluster: Cluster;

  afterEach(() => {
    cluster.stop();
  });

  it("should send a leaving engine no new work 3 s after its notice, though the host list lags", async () => {
    // An engine starts draining while the host list still shows it as live (as if its lag outlasted the test), and
    // callers keep sending requests. By the host list alone, the entry node would keep choosing it. The engine's
    // own drain flag ends routing to it within a poll.
    cluster = new Cluster();
    await cluster.start();
    const leaving = cluster.engines[0];
    if (leaving === undefined) throw new Error("no engine");
    await cluster.callEngine(leaving, "engine.drain");
    const noticeAt = Date.now();
    let afterThreeSeconds = -1;
    const statuses: number[] = [];
    while (Date.now() - noticeAt < 4000) {
      if (afterThreeSeconds < 0 && Date.now() - noticeAt >= 3000)
        afterThreeSeconds = (await cluster.status(leaving)).receivedAfterDrain;
      statuses.push((await cluster.complete(0, {})).status);
      await sleep(20);
    }
    const received = (await cluster.status(leaving)).receivedAfterDrain;
    expect(received - afterThreeSeconds, "requests received between 3 s and 4 s after notice").to.equal(0);
    expect(statuses.every((status) => status === 200)).to.equal(true);
  });

  it("should finish a stream in flight when its entry node gets SIGTERM, and refuse new work at once", async () => {
    // An entry node is stopped in the middle of a long stream. Without a graceful drain the stream would be
    // interrupted; the node rejects new requests at once (draining, Retry-After), completes the stream, then exits.
    cluster = new Cluster({ entryArgs: ["--drain-ms", "10000"], engineArgs: ["--token-ms", "10"] });
    await cluster.start();
    const entry = cluster.entries[0];
    if (entry === undefined) throw new Error("no entry");
    const stream = cluster.complete(0, { stream: true, max_tokens: 150, prompt: "w" }).then((r) => r.text());
    await sleep(300);
    entry.process.kill("SIGTERM");
    await sleep(100);
    const started = Date.now();
    const refused = await cluster.complete(0, {});
    expect(refused.status).to.equal(503);
    expect(refused.headers.get("retry-after")).to.equal("1");
    expect(Date.now() - started).to.be.lessThan(500);
    const text = await stream;
    const tokens = text.split("\n\n").filter((event) => event.includes('"content":"'));
    expect(tokens).to.have.length(150);
    expect(text.trimEnd().endsWith("data: [DONE]")).to.equal(true);
  });

  it("should keep a model reachable when one engine holding it is killed", async () => {
    // One of the two engines with a model is killed (SIGKILL) between polls, so the entry node still routes to it.
    // Requests that fail before any byte was sent to the caller are retried on the surviving replica.
    cluster = new Cluster();
    await cluster.start();
    cluster.engines[0]?.process.kill("SIGKILL");
    const statuses = await Promise.all(
      Array.from({ length: 10 }, () => cluster.complete(0, {}).then((r) => r.status)),
    );
    expect(statuses).to.deep.equal(Array.from({ length: 10 }, () => 200));
  });

  it("should abort requests to suspended engines after the idle timeout and respond at once", async () => {
    // Both engines are suspended (SIGSTOP): their connections stay open without any data. Without an idle timeout
    // the caller would wait until its own deadline; with it, each attempt ends after the timeout.
    cluster = new Cluster({ entryArgs: ["--idle-timeout-ms", "500"] });
    await cluster.start();
    cluster.engines[0]?.process.kill("SIGSTOP");
    cluster.engines[1]?.process.kill("SIGSTOP");
    const started = Date.now();
    const response = await cluster.complete(0, {});
    const waited = Date.now() - started;
    expect(response.status).to.be.oneOf([502, 503]);
    expect(response.headers.get("retry-after")).to.not.equal(null);
    expect(waited).to.be.lessThan(3000);
    cluster.engines[0]?.process.kill("SIGCONT");
    cluster.engines[1]?.process.kill("SIGCONT");
  });

  it("should report outcome-unknown for a slip call whose entry node was killed while it ran, and run it once", async () => {
    // entry-1 is killed (SIGKILL) while a call through it is running, and the caller retries through entry-2 with
    // the same key. The claim row stays "started" with no one to finish it. Retries must not get "in-progress"
    // forever: past the call's deadline they get "outcome-unknown" with the request id, and the call runs once.
    cluster = new Cluster({ entries: 2, slipsCallMs: 600 });
    await cluster.start();
    const first = cluster.slip(0, "slip-k1", 400).catch((error: unknown) => error);
    await sleep(200);
    cluster.entries[0]?.process.kill("SIGKILL");
    expect(await first).to.be.instanceOf(Error);
    const during = await cluster.slip(1, "slip-k1");
    expect(during.status).to.equal(409);
    await sleep(600);
    const after = await cluster.slip(1, "slip-k1");
    const body = (await after.json()) as { error: { kind: string; requestId?: string } };
    expect(after.status).to.equal(504);
    expect(body.error.kind).to.equal("outcome-unknown");
    expect(body.error.requestId).to.be.a("string");
    expect(await cluster.slipExecutions()).to.equal(1);
  });
});
