import { expect } from "chai";
import { PlatformClient } from "../src/common/platformClient.ts";
import { TemplateStore } from "../src/common/templateStore.ts";
import { EngineServer } from "../src/engine/engineServer.ts";
import { EntryNode } from "../src/entry/entryNode.ts";
import { PlatformServer } from "../src/platform/platformServer.ts";
import { oneModel } from "./fixtures/cluster.ts";
import { waitUntil } from "./fixtures/processes.ts";

describe("rolling a model to a new version", function () {
  this.timeout(30_000);
  let platform: PlatformServer;
  let engines: EngineServer[];
  let entry: EntryNode;
  let client: PlatformClient;

  beforeEach(async () => {
    platform = new PlatformServer({ hostLagMs: 0, weights: { loadsPerSecond: 100, concurrent: 10 } });
    const url = `http://127.0.0.1:${await platform.start()}`;
    client = new PlatformClient({ url });
    engines = [1, 2, 3].map((i) => new EngineServer({ id: `e${i}`, capacityMb: 25_000, loadMs: 100 }));
    for (const engine of engines) {
      await client.setHost({
        address: `http://127.0.0.1:${await engine.start()}`,
        zone: "z",
        kind: "engine",
        state: "live",
      });
    }
    await new TemplateStore(client).create(oneModel);
    entry = new EntryNode({ id: "n1", zone: "z", platformUrl: url, pollMs: 100 });
    await entry.start();
    await waitUntil(() => Promise.resolve(readyReplicas("v1") === 2));
  });

  afterEach(async () => {
    await entry.dispose();
    for (const engine of engines) await engine.dispose();
    await platform.dispose();
  });

  const readyReplicas = (version: string): number =>
    engines
      .flatMap((engine) => engine.memory.list())
      .filter((r) => r.version === version && r.state === "ready").length;

  it("should finish a rollout with every replica on the new version, never over capacity, model always reachable", async () => {
    // m1 (2 replicas) is rolled from v1 to v2 on three engines, one of them free; an engine holds at most one
    // replica of a model. Without in-place replacement the rollout would stall at one v2 replica, as the remaining
    // engines have v1. Callers must reach m1 throughout, and no engine may exceed its capacity.
    await new TemplateStore(client).apply({
      ...oneModel,
      models: oneModel.models.map((model) => ({ ...model, version: "v2" })),
    });
    const failures: number[] = [];
    let overCapacity = 0;
    const deadline = Date.now() + 10_000;
    while (readyReplicas("v2") < 2 || readyReplicas("v1") > 0) {
      if (Date.now() > deadline) break;
      overCapacity += engines.filter((engine) => engine.memory.usedMb > engine.memory.capacityMb).length;
      const response = await fetch(`http://127.0.0.1:${entry.port}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", "x-customer": "andes" },
        body: JSON.stringify({ model: "m1", prompt: "x", max_tokens: 1 }),
      });
      if (response.status !== 200) failures.push(response.status);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    expect(readyReplicas("v2"), "ready v2 replicas").to.equal(2);
    expect(readyReplicas("v1"), "v1 replicas left").to.equal(0);
    expect(overCapacity).to.equal(0);
    expect(failures).to.deep.equal([]);
  });
});

describe("placement with lost orders", function () {
  this.timeout(30_000);

  it("should place a model elsewhere when every order to one engine is lost", async () => {
    // One engine loses every order, so that they time out. It has the most free memory; without a back-off, placement
    // would choose it again every round and the model would never be placed.
    const platform = new PlatformServer({ hostLagMs: 0, weights: { loadsPerSecond: 100, concurrent: 10 } });
    const url = `http://127.0.0.1:${await platform.start()}`;
    const client = new PlatformClient({ url });
    const engines = [30_000, 25_000, 25_000].map(
      (capacityMb, i) => new EngineServer({ id: `e${i + 1}`, capacityMb, loadMs: 10 }),
    );
    for (const engine of engines) {
      const port = await engine.start();
      await client.setHost({ address: `http://127.0.0.1:${port}`, zone: "z", kind: "engine", state: "live" });
    }
    const lossyEngine = engines[0];
    await fetch(`http://127.0.0.1:${lossyEngine?.port ?? 0}/rpc`, {
      method: "POST",
      body: JSON.stringify({
        jsonrpc: "2.0",
        id: 1,
        method: "engine.faults",
        params: { lateOrders: 1000, delayMs: 1500, lose: true },
      }),
    });
    await new TemplateStore(client).create(oneModel);
    const entry = new EntryNode({ id: "n1", zone: "z", platformUrl: url, pollMs: 100 });
    try {
      await entry.start();
      const readyReplicas = (): number =>
        engines.filter((engine) => engine.memory.ready("m1") !== undefined).length;
      await waitUntil(() => Promise.resolve(readyReplicas() >= 2), 8000).catch(() => undefined);
      expect(readyReplicas(), "ready replicas of m1 within 8 s").to.equal(2);
    } finally {
      await entry.dispose();
      for (const engine of engines) await engine.dispose();
      await platform.dispose();
    }
  });
});
