import { expect } from "chai";
import { PlatformClient } from "../src/common/platformClient.ts";
import { TemplateStore } from "../src/common/templateStore.ts";
import { EngineServer } from "../src/engine/engineServer.ts";
import { EntryNode } from "../src/entry/entryNode.ts";
import { Lease } from "../src/entry/lease.ts";
import { PlatformServer } from "../src/platform/platformServer.ts";
import { Failure } from "../src/common/errors.ts";
import { oneModel } from "./fixtures/cluster.ts";
import { waitUntil } from "./fixtures/processes.ts";

describe("configuration across entry nodes", function () {
  this.timeout(30_000);
  let platform: PlatformServer;
  let client: PlatformClient;
  let entries: EntryNode[];

  beforeEach(async () => {
    platform = new PlatformServer({ hostLagMs: 0 });
    const url = `http://127.0.0.1:${await platform.start()}`;
    client = new PlatformClient({ url });
    await new TemplateStore(client).create(oneModel);
    entries = [0, 1].map((i) => new EntryNode({ id: `entry-${i + 1}`, zone: "zone-a", platformUrl: url }));
    for (const entry of entries) await entry.start();
  });

  afterEach(async () => {
    for (const entry of entries) await entry.dispose();
    await platform.dispose();
  });

  it("should put an accepted change in force on every entry node within seconds", async () => {
    // An operator changes a template. Each entry node must apply it by polling (every 500 ms by default), without
    // a push from the operator, within the required 7 s.
    const version = await new TemplateStore(client).apply({ ...oneModel, share: 0.25 });
    const accepted = Date.now();
    await waitUntil(
      () => Promise.resolve(entries.every((entry) => entry.config.versions()[oneModel.name] === version)),
      7000,
    );
    expect(Date.now() - accepted).to.be.lessThan(7000);
  });

  it("should stop advertising a draining entry node to callers", async () => {
    // An operator stops entry-2 while callers get the address list from entry-1. entry-2 would stay listed until
    // its heartbeat goes stale (5 s), and callers would be sent to a node that rejects them. Draining removes
    // its row, so the next list excludes it.
    const listed = async (): Promise<string[]> => {
      const body = (await (await fetch(`http://127.0.0.1:${entries[0]?.port ?? 0}/v1/addresses`)).json()) as {
        addresses: { address: string }[];
      };
      return body.addresses.map((a) => a.address);
    };
    const second = `http://127.0.0.1:${entries[1]?.port ?? 0}`;
    await waitUntil(async () => (await listed()).includes(second), 3000);
    const drained = Date.now();
    await entries[1]?.drain();
    await waitUntil(async () => !(await listed()).includes(second), 3000);
    expect(Date.now() - drained).to.be.lessThan(3000);
  });

  it("should keep the accepted configuration in force while the table service is down", async () => {
    // The table service becomes unavailable after a change was accepted, and polls fail. A node that dropped its
    // templates would reject every customer; nodes keep the last accepted configuration.
    await client.setFaults({ down: true, slowMs: 0, loseAcks: 0 });
    for (const entry of entries) await entry.config.refresh();
    for (const entry of entries) expect(entry.config.entitlement("andes")?.models.has("m1")).to.equal(true);
    await client.setFaults({ down: false, slowMs: 0, loseAcks: 0 });
  });
});

describe("the placement lease", () => {
  let platform: PlatformServer;
  let client: PlatformClient;
  let engine: EngineServer;

  beforeEach(async () => {
    platform = new PlatformServer();
    client = new PlatformClient({ url: `http://127.0.0.1:${await platform.start()}` });
    engine = new EngineServer({ capacityMb: 40_000 });
    await engine.start();
  });

  afterEach(async () => {
    await engine.dispose();
    await platform.dispose();
  });

  it("should reject an order of a holder that resumes after its lease expired", async () => {
    // Holder A checks its lease and is suspended before it sends an unload. Its lease expires, and B takes the lease
    // and loads a model. A resumes, still considers the lease held, and sends the unload. The lease row's version
    // is the fencing number, so A's order carries a lower number and is rejected.
    const a = new Lease({ platform: client, key: "leases/placement", holder: "a", ttlMs: 200 });
    const b = new Lease({ platform: client, key: "leases/placement", holder: "b", ttlMs: 200 });
    expect(await a.renew()).to.equal(true);
    const staleFencing = a.fencing;
    await new Promise((resolve) => setTimeout(resolve, 250));
    expect(await b.renew()).to.equal(true);
    expect(b.fencing).to.be.greaterThan(staleFencing);
    engine.memory.reserve({ model: "m1", version: "v1", sizeMb: 10_000, adapters: [], fencing: b.fencing });
    expect(() => {
      engine.memory.unload({ model: "m1", fencing: staleFencing });
    })
      .to.throw(Failure)
      .with.property("kind", "stale-fencing");
    expect(engine.memory.list().map((r) => r.model)).to.deep.equal(["m1"]);
  });

  it("should refuse a second holder while the first holder's lease is live", async () => {
    // Two entry nodes start together and both try to take the placement lease. Only one may hold it; for the other
    // it is taken until it expires.
    const a = new Lease({ platform: client, key: "leases/placement", holder: "a", ttlMs: 5000 });
    const b = new Lease({ platform: client, key: "leases/placement", holder: "b", ttlMs: 5000 });
    const results = await Promise.allSettled([a.renew(), b.renew()]);
    const held = results.filter((r) => r.status === "fulfilled" && r.value);
    expect(held).to.have.length(1);
    expect(a.held() !== b.held()).to.equal(true);
  });
});
