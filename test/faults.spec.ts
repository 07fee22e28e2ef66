import { expect } from "chai";
import { EngineStatus } from "../src/common/engineProtocol.ts";
import { Failure } from "../src/common/errors.ts";
import { PlatformClient } from "../src/common/platformClient.ts";
import { RpcClient } from "../src/common/rpc.ts";
import { createLog } from "../src/common/log.ts";
import { andes } from "../src/cli/sampleTemplates.ts";
import { TemplateStore } from "../src/common/templateStore.ts";
import { EngineServer } from "../src/engine/engineServer.ts";
import { Memory } from "../src/engine/memory.ts";
import { ConfigWatcher } from "../src/entry/configWatcher.ts";
import { Ledger } from "../src/entry/ledger.ts";
import { ServiceCaller } from "../src/entry/serviceCaller.ts";
import { PlatformServer } from "../src/platform/platformServer.ts";
import { ServiceServer } from "../src/service/serviceServer.ts";

import { waitUntil } from "./fixtures/processes.ts";

const order = { model: "m", version: "v1", sizeMb: 10_000, adapters: [], fencing: 5 };

describe("entry node under platform and service failures", () => {
  let platform: PlatformServer;
  let client: PlatformClient;
  let service: ServiceServer;
  let serviceUrl: string;

  beforeEach(async () => {
    platform = new PlatformServer({ hostLagMs: 0 });
    client = new PlatformClient({ url: `http://127.0.0.1:${await platform.start()}` });
    service = new ServiceServer({ name: "slips" });
    serviceUrl = `http://127.0.0.1:${await service.start()}`;
  });

  afterEach(async () => {
    await platform.dispose();
    await service.dispose();
  });

  const slipCall = (requestId: string) => ({
    customer: "ovaseker",
    service: { name: "slips", servers: [serviceUrl] as [string], calls: [] },
    call: { name: "sugar-slip", idempotent: false },
    idempotencyKey: "slip-1",
    requestId,
    body: { delivery: "D-1" },
    deadline: Date.now() + 5000,
  });

  it("should print a sugar-content slip once when the ledger's write acknowledgement is lost", async () => {
    // The ledger claim is written but its response is lost. If the entry node reported a failure, the caller's
    // retry would run the call a second time. It reads the row back, finds its own claim and continues: one
    // execution, one result.
    await client.setFaults({ down: false, slowMs: 0, loseAcks: 1 });
    const caller = new ServiceCaller(new Ledger({ platform: client }));
    const first = await caller.run(slipCall("req-1"));
    const retry = await caller.run(slipCall("req-2"));
    expect(retry).to.deep.equal(first);
    expect(service.executions).to.have.length(1);
  });

  it("should fail with not-run at once, and run nothing, while the table service is down", async () => {
    // The table service is unavailable, so the key cannot be claimed and the call isn't dispatched. The caller
    // gets "not-run" with a retry hint instead of waiting for a timeout.
    await client.setFaults({ down: true, slowMs: 0, loseAcks: 0 });
    const caller = new ServiceCaller(new Ledger({ platform: client }));
    const started = Date.now();
    const error = await caller.run(slipCall("req-1")).catch((e: unknown) => e);
    expect(error).to.be.instanceOf(Failure);
    expect((error as Failure).kind).to.equal("not-run");
    expect((error as Failure).response.retryAfterSeconds).to.be.greaterThan(0);
    expect(Date.now() - started).to.be.lessThan(1000);
    expect(service.executions).to.have.length(0);
  });

  it("should fail with outcome-unknown, never not-run, when a slip call times out after it was sent", async () => {
    // The service is slow: the entry node times out at the caller's deadline while the call is still running.
    // "not-run" would invite a second execution. The caller gets "outcome-unknown"; a retry with the same key gets
    // the same and runs nothing.
    await service.dispose();
    service = new ServiceServer({ name: "slips", callMs: 300, port: Number(new URL(serviceUrl).port) });
    await service.start();
    const caller = new ServiceCaller(new Ledger({ platform: client }));
    const first = await caller
      .run({ ...slipCall("req-1"), deadline: Date.now() + 100 })
      .catch((e: unknown) => e);
    expect((first as Failure).kind).to.equal("outcome-unknown");
    await new Promise((resolve) => setTimeout(resolve, 400));
    const retry = await caller.run(slipCall("req-2")).catch((e: unknown) => e);
    expect((retry as Failure).kind).to.equal("outcome-unknown");
    expect(service.executions).to.have.length(1);
  });

  it("should give one racing operator a conflict instead of a silent overwrite", async () => {
    // Two operators change the same template at once, both based on version 1. Without conditional writes the
    // later change would silently overwrite the earlier one; with them, one succeeds and the other conflicts.
    const templates = new TemplateStore(client);
    const template = andes({ catalog: "http://a", weighbridge: "http://b", slips: "http://c" });
    await templates.create(template);
    const results = await Promise.allSettled([
      templates.apply({ ...template, share: 0.3 }, 1),
      templates.apply({ ...template, share: 0.7 }, 1),
    ]);
    expect(results.filter((r) => r.status === "fulfilled")).to.have.length(1);
    const rejected = results.find((r) => r.status === "rejected");
    expect((rejected?.reason as Failure).kind).to.equal("conflict");
  });

  it("should confirm an operator's change whose acknowledgement was lost", async () => {
    // The table service writes an operator's change but the response is lost. If it were reported as failed, a
    // second attempt would conflict with the operator's own write. The row is read back and the own write
    // recognized, so the change is reported as applied.
    const templates = new TemplateStore(client);
    const template = andes({ catalog: "http://a", weighbridge: "http://b", slips: "http://c" });
    await templates.create(template);
    await client.setFaults({ down: false, slowMs: 0, loseAcks: 1 });
    const version = await templates.apply({ ...template, share: 0.4 });
    expect(version).to.equal(2);
    const [stored] = await templates.list();
    expect(stored?.version).to.equal(2);
    expect(stored?.template.share).to.equal(0.4);
  });

  it("should keep the newer configuration when an older version is read afterwards", async () => {
    // An entry node has applied version 2 when a late or replayed row carries version 1. The node must not revert
    // to version 1; the newer version stays in force.
    const template = andes({ catalog: "http://a", weighbridge: "http://b", slips: "http://c" });
    const key = `templates/${template.name}`;
    await client.commit([
      { key, value: { template: { ...template, share: 0.9 }, version: 2, retired: false } },
    ]);
    const watcher = new ConfigWatcher({ platform: client, log: createLog("test"), pollMs: 60_000 });
    await watcher.start();
    await client.commit([{ key, value: { template, version: 1, retired: false } }]);
    await watcher.refresh();
    expect(watcher.versions()[template.name]).to.equal(2);
    expect(watcher.live()[0]?.share).to.equal(0.9);
    await watcher.dispose();
  });
});

describe("accelerator memory", () => {
  it("should keep a reservation's load going through a weight store outage and a newer fencing number", async () => {
    // The weight store is unavailable when a load starts, and a new lease holder's order arrives in the meantime.
    // If the load failed, its clean-up would be rejected as stale: its memory would stay reserved forever and the
    // model would never be ready. The load is retried until the weights are fetched.
    const platform = new PlatformServer();
    const url = `http://127.0.0.1:${await platform.start()}`;
    const engine = new EngineServer({ platformUrl: url, loadMs: 1 });
    const rpc = new RpcClient({ url: `http://127.0.0.1:${await engine.start()}` });
    try {
      platform.faults = { down: true, slowMs: 0, loseAcks: 0 };
      await rpc.call("engine.load", order, EngineStatus);
      await rpc.call("engine.unload", { model: "other", fencing: 9 }, EngineStatus);
      platform.faults = { down: false, slowMs: 0, loseAcks: 0 };
      await waitUntil(() => Promise.resolve(engine.memory.ready("m") !== undefined), 3000);
      expect(engine.memory.usedMb).to.equal(10_000);
      expect(platform.weights.fetches).to.equal(1);
    } finally {
      await engine.dispose();
      await platform.dispose();
    }
  });

  it("should refuse a load that would commit memory beyond capacity", () => {
    // Placement works on stale free memory and orders a model onto a full engine. The engine's own check rejects
    // the order; without it the accelerator would be over-committed.
    const memory = new Memory(15_000, "refuse");
    memory.reserve(order);
    expect(() => memory.reserve({ ...order, model: "other" }))
      .to.throw(Failure)
      .with.property("kind", "over-capacity");
    expect(memory.usedMb).to.equal(10_000);
  });

  it("should refuse an order from a lease holder whose lease expired while it was suspended", () => {
    // A lease holder is suspended past its lease; another node takes the lease (fencing 6) and orders a load. The
    // old holder resumes and sends an order with fencing 5, which an engine with policy "refuse" rejects.
    const memory = new Memory(80_000, "refuse");
    memory.reserve({ ...order, fencing: 6 });
    expect(() => {
      memory.unload({ model: "m", fencing: 5 });
    })
      .to.throw(Failure)
      .with.property("kind", "stale-fencing");
    expect(memory.list()).to.have.length(1);
  });

  it("should count a model's memory until the streams on it have ended", () => {
    // Placement replaces a model while a stream is still running on it. If the memory were freed at the order, the
    // next load would over-commit memory still in use. It is freed when the last stream ends; until then the load
    // is rejected, and the model accepts no new stream.
    const memory = new Memory(15_000, "refuse");
    memory.reserve(order);
    memory.markReady("m");
    memory.acquireUse("m");
    memory.unload({ model: "m", fencing: 5 });
    expect(memory.ready("m")).to.equal(undefined);
    expect(() => memory.reserve({ ...order, model: "other" }))
      .to.throw(Failure)
      .with.property("kind", "over-capacity");
    memory.releaseUse("m");
    expect(memory.reserve({ ...order, model: "other" })).to.equal(true);
    expect(memory.usedMb).to.equal(10_000);
  });

  it("should count a model's memory until its weights have arrived, though it was unloaded meanwhile", () => {
    // A model is unloaded while its weights are still being transferred. If its memory were freed at the order,
    // the next load would over-commit the accelerator.
    const memory = new Memory(15_000, "refuse");
    memory.reserve(order);
    memory.unload({ model: "m", fencing: 5 });
    expect(memory.isLoading("m")).to.equal(false);
    expect(memory.usedMb).to.equal(10_000);
    memory.markReady("m");
    expect(memory.usedMb).to.equal(0);
  });

  it("should refuse a new version while the memory of the old one is still reserved", () => {
    // A new version is ordered onto an engine that has the old one. Counting the old one's memory as free in the
    // same step would over-commit while its streams run, so it has to be unloaded first.
    const memory = new Memory(80_000, "refuse");
    memory.reserve(order);
    expect(() => memory.reserve({ ...order, version: "v2" }))
      .to.throw(Failure)
      .with.property("kind", "conflict");
  });

  it("should never over-commit an engine that ignores fencing numbers, even by a stale lease holder", () => {
    // The same stale order reaches an engine with policy "ignore". Its fencing number isn't checked, but the
    // capacity is, so the accelerator's memory is never over-committed.
    const memory = new Memory(15_000, "ignore");
    memory.reserve({ ...order, fencing: 6 });
    expect(() => memory.reserve({ ...order, model: "other", fencing: 5 }))
      .to.throw(Failure)
      .with.property("kind", "over-capacity");
  });
});
