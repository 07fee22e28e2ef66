import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Failure } from "../src/common/errors.ts";
import { createLog } from "../src/common/log.ts";
import { PlatformClient } from "../src/common/platformClient.ts";
import { Ledger } from "../src/entry/ledger.ts";
import { Membership } from "../src/entry/membership.ts";
import { ServiceCaller } from "../src/entry/serviceCaller.ts";
import { ServiceServer } from "../src/service/serviceServer.ts";
import { EmbeddedPool, type EmbeddedPoolOptions } from "./fixtures/embeddedPool.ts";
import { waitUntil } from "./fixtures/processes.ts";

describe("while the platform's store is down or slow", function () {
  this.timeout(30_000);
  let pool: EmbeddedPool;

  afterEach(async () => {
    await pool.dispose();
  });

  const start = async (options: EmbeddedPoolOptions = {}): Promise<void> => {
    pool = new EmbeddedPool(options);
    await pool.start();
    await waitUntil(() => Promise.resolve(pool.ready("m1") === 2));
    await waitUntil(async () => (await pool.complete()).status === 200);
  };

  it("should serve callers from an entry node that starts during the outage", async () => {
    // An entry node that starts during an outage cannot read the templates or the host list, and would reject every
    // caller until the outage ends. Its peers have the last known state of both, so it serves after one or two polls.
    await start();
    pool.setFaults({ down: true });
    const peer = `http://127.0.0.1:${pool.entries[0]?.port ?? 0}`;
    const fresh = await pool.addEntry({ peers: [peer] });
    await waitUntil(async () => (await pool.complete(1)).status === 200, 3000);
    expect(fresh.config.versions()).to.deep.equal(pool.entries[0]?.config.versions());
  });

  it("should not take a peer's older configuration for a change", async () => {
    // A node that is partitioned from the store queries a peer. An older version from a peer must not replace the
    // newer version that the node already has.
    await start({ entries: 2 });
    const [ahead, behind] = pool.entries;
    const stale = behind?.config.rowsSince(0).rows ?? [];
    await pool.client.commit(
      stale.map((row) => ({
        key: row.key,
        value: { ...(row.value as object), version: 2 },
        expectVersion: row.version,
      })),
    );
    await waitUntil(() => Promise.resolve(ahead?.config.versions().t1 === 2), 3000);
    pool.setFaults({ down: true });
    const node = await pool.addEntry({ peers: [`http://127.0.0.1:${ahead?.port ?? 0}`] });
    expect(node.config.versions().t1).to.equal(2);
    expect(node.config.rowsSince(0).revision).to.be.greaterThan(stale[0]?.revision ?? 0);
  });

  it("should keep listing entry addresses to callers", async () => {
    // During a long outage no heartbeat is renewed. Measured by the current time, every entry node would go stale
    // and callers would get an empty address list.
    await start();
    const membership = new Membership({
      platform: pool.client,
      log: createLog("test"),
      self: { id: "self", address: "http://127.0.0.1:1", zone: "z" },
      heartbeatMs: 50,
      staleMs: 200,
    });
    await membership.start();
    const listed = (): string[] => membership.addresses("z").map((member) => member.id);
    expect(listed()).to.have.members(["self", "n1"]);
    pool.setFaults({ down: true });
    await sleep(600);
    expect(listed()).to.have.members(["self", "n1"]);
    await membership.dispose();
  });

  it("should serve completions, and send a leaving engine no new work", async () => {
    // The store, and with it the host list, is unavailable when an engine starts draining. Routing must learn it from
    // the engine itself; the other engine serves all callers.
    await start();
    pool.setFaults({ down: true });
    pool.engines[0]?.drain();
    await sleep(500);
    const before = pool.engines[0]?.status().receivedAfterDrain;
    const statuses = await Promise.all(
      Array.from({ length: 10 }, () => pool.complete().then((response) => response.status)),
    );
    expect(statuses).to.deep.equal(Array.from({ length: 10 }, () => 200));
    expect(pool.engines[0]?.status().receivedAfterDrain).to.equal(before);
  });

  it("should finish a stream in flight when an entry node is stopped", async () => {
    // An entry node is stopped during an outage, in the middle of a stream. It cannot remove its address from the
    // store, which must neither prevent it from stopping nor interrupt the stream.
    await start({ engine: { batcher: { tokenMs: 20 } } });
    const text = pool.complete(0, { stream: true, max_tokens: 40 }).then((response) => response.text());
    await sleep(100);
    pool.setFaults({ down: true });
    await pool.entries[0]?.drain();
    expect((await text).trimEnd().endsWith("data: [DONE]")).to.equal(true);
    expect((await text).match(/"content"/g)).to.have.length(40);
  });

  it("should put a change in force within 7 s while every response of the store is late", async () => {
    // Every response of the store is delayed by 1.5 s. Changes must still be applied within the required time.
    await start();
    pool.setFaults({ slowMs: 1500 });
    const rows = pool.entries[0]?.config.rowsSince(0).rows ?? [];
    const changed = rows.map((row) => ({ key: row.key, value: { ...(row.value as object), version: 2 } }));
    const accepted = Date.now();
    await pool.client.commit(changed);
    await waitUntil(() => Promise.resolve(pool.entries[0]?.config.versions().t1 === 2), 7000);
    expect(Date.now() - accepted).to.be.lessThan(7000);
    expect((await pool.complete()).status).to.equal(200);
  });

  it("should fail with not-run when the store's connections are refused", async () => {
    // The store's process is gone, so connections are refused. The caller must get "not-run" rather than an internal
    // error, which doesn't tell whether the call ran.
    await start();
    const unreachable = new PlatformClient({ url: "http://127.0.0.1:1" });
    const failure = await new Ledger({ platform: unreachable, revokeAttempts: 0 })
      .claim("andes", "copy-1", "req-1", Date.now() + 1000)
      .catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(Failure).with.property("kind", "not-run");
  });

  it("should let a reservation be made after its first attempt got not-run from a slow store", async () => {
    // The store is so slow that a claim times out, and the caller correctly gets "not-run". The claim is written late
    // all the same; retries would get "in-progress" and, past the deadline, "outcome-unknown" forever, though the call
    // never ran. The node revokes its claim.
    await start();
    const service = new ServiceServer({ name: "catalog" });
    const servers = [`http://127.0.0.1:${await service.start()}`] as [string];
    const shortTimeoutClient = new PlatformClient({ url: pool.platformUrl, timeoutMs: 100 });
    const ledger = new Ledger({ platform: shortTimeoutClient, revokeRetryMs: 50 });
    const caller = new ServiceCaller(ledger);
    const reserve = (requestId: string): Promise<unknown> =>
      caller
        .run({
          customer: "andes",
          service: { name: "catalog", servers, calls: [] },
          call: { name: "reserve", idempotent: false },
          idempotencyKey: "copy-1",
          requestId,
          body: {},
          deadline: Date.now() + 1000,
        })
        .catch((error: unknown) => (error as { kind: string }).kind);
    try {
      pool.setFaults({ slowMs: 300 });
      expect(await reserve("req-1")).to.equal("not-run");
      expect(service.executions).to.have.length(0);
      await sleep(400);
      pool.setFaults({});
      await waitUntil(async () => typeof (await reserve("req-2")) === "object", 3000);
      expect(service.executions).to.have.length(1);
    } finally {
      ledger.dispose();
      await service.dispose();
    }
  });
});
