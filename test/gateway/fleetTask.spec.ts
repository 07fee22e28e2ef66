import { expect } from "chai";
import * as purify from "purify-ts";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import { createLog } from "../../src/common/log.ts";
import { FleetTask } from "../../src/gateway/servers/fleetTask.ts";
import { createGatewayContext, type GatewayContext } from "../../src/gateway/gatewayContext.ts";
import type { FleetDelta } from "../../src/gateway/servers/fleetDeltas.ts";
import { StoreHealth } from "../../src/gateway/store/storeHealth.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { waitUntil } from "../fixtures/gateways.ts";
import { MemoryStore } from "../fixtures/memoryStore.ts";
import { engineWithId } from "../fixtures/registrations.ts";

const engine = (more: Partial<BackendServer> = {}): BackendServer => engineWithId("e1", more);

const peerIp = "10.0.0.2";

/** One node's view of the servers, without the rest of the node. */
class Host {
  readonly context: GatewayContext;
  readonly task: FleetTask;
  /** Whether this node is one of the store readers. */
  isStoreReader = true;
  peer: Host | undefined;
  /** Changes that this node sent to its peers. */
  readonly sentDeltas: FleetDelta[] = [];
  /** Calls of peers. */
  pullCount = 0;

  constructor(store: MemoryStore) {
    const log = createLog("fleet-test");
    const codec = requestHeaders;
    this.context = createGatewayContext({
      host: "h",
      ip: "127.0.0.1",
      sendingNodes: () => [],
      zone: "a",
      drainMs: 2_000,
      log,
      codec,
      nodeCount: () => 2,
      quotas: { boot: 1, share: () => 1, reportAgeMs: () => 0 },
    });
    this.task = new FleetTask({
      store: store.createClient(),
      storeHealth: new StoreHealth(log, this.context.metrics),
      context: this.context,
      table: "servers",
      decode: (_id, text) => purify.Right(JSON.parse(text) as BackendServer),
      shouldReadStore: () => this.isStoreReader,
      active: () => true,
      retryingNodes: () => 1,
      storeReachableByPeers: () => true,
      isCurrent: () => true,
      callPeer: async (_peer, method, params) => {
        this.pullCount += 1;
        return this.peer?.task.handlers[method]?.(params);
      },
      onChange: () => undefined,
      broadcastLeaving: () => undefined,
      broadcastChanges: (delta) => {
        this.sentDeltas.push({ ip: peerIp, boot: 1, ...delta });
      },
    });
  }

  async receiveHeartbeatFrom(peer: Host, ip = peerIp): Promise<void> {
    this.peer = peer;
    const versions = { host: "p", ip, port: 1, boot: 1, version: 1 };
    await this.task.pullIfNewer({ ...versions, fleetRevision: peer.context.fleet.revision }, "all");
  }
}

describe("a node's view of the servers", () => {
  it("should include changes that peers leave out, once the node is a store reader again", async () => {
    // Peers leave out changes of cached weights. The node took over their store position and never read these changes.
    const store = new MemoryStore();
    const [reader, other] = [new Host(store), new Host(store)];
    const write = (server: BackendServer): void => {
      store.put("servers", server.id, JSON.stringify(server));
    };
    write(engine());
    for (const host of [reader, other]) await host.task.start();
    await waitUntil(() => other.context.fleet.get("e1") !== undefined);
    other.isStoreReader = false;
    await other.receiveHeartbeatFrom(reader);
    write(engine({ atHand: ["m"] }));
    write(engine({ id: "e2" }));
    await waitUntil(() => reader.context.fleet.get("e2") !== undefined);
    await other.receiveHeartbeatFrom(reader);
    expect(other.context.fleet.get("e2")?.id).to.equal("e2");
    other.isStoreReader = true;
    await waitUntil(() => other.context.fleet.get("e1")?.atHand.includes("m") ?? false, 2_000);
    for (const host of [reader, other]) await host.task.dispose();
  });

  describe("that gets the changes which a store reader sends", () => {
    let store: MemoryStore;
    let reader: Host;
    let other: Host;

    beforeEach(async () => {
      store = new MemoryStore();
      [reader, other] = [new Host(store), new Host(store)];
      other.isStoreReader = false;
      write(engine());
      for (const host of [reader, other]) await host.task.start();
      await waitUntil(() => reader.context.fleet.get("e1") !== undefined);
      await other.receiveHeartbeatFrom(reader);
      reader.sentDeltas.length = 0;
      other.pullCount = 0;
    });

    afterEach(async () => {
      for (const host of [reader, other]) await host.task.dispose();
    });

    function write(server: BackendServer): void {
      store.put("servers", server.id, JSON.stringify(server));
    }

    async function readChange(server: BackendServer): Promise<FleetDelta | undefined> {
      const count = reader.sentDeltas.length;
      write(server);
      await waitUntil(() => reader.sentDeltas.length > count);
      return reader.sentDeltas.at(-1);
    }

    it("should have them without a call, and not call for them afterwards", async () => {
      other.task.onDelta(await readChange(engine({ id: "e2" })));
      expect(other.context.fleet.get("e2")?.id).to.equal("e2");
      store.remove("servers", "e1");
      await waitUntil(() => reader.context.fleet.get("e1") === undefined);
      other.task.onDelta(reader.sentDeltas.at(-1));
      expect(other.context.fleet.get("e1")).to.equal(undefined);
      await other.receiveHeartbeatFrom(reader);
      expect(other.pullCount).to.equal(0);
    });

    // Guards against a change that stays unknown after its message was lost, though a later one arrives.
    it("should call for them after a message was lost", async () => {
      await readChange(engine({ id: "e2" }));
      other.task.onDelta(await readChange(engine({ id: "e3" })));
      expect(other.context.fleet.get("e3")).to.equal(undefined);
      await other.receiveHeartbeatFrom(reader);
      expect(other.pullCount).to.equal(1);
      expect(["e2", "e3"].map((id) => other.context.fleet.get(id)?.id)).to.deep.equal(["e2", "e3"]);
    });

    describe("while two nodes read the store", () => {
      const secondIp = "127.0.0.9";
      let second: Host;

      beforeEach(async () => {
        second = new Host(store);
        await second.task.start();
        await waitUntil(() => second.context.fleet.get("e1") !== undefined);
        await other.receiveHeartbeatFrom(second, secondIp);
        second.sentDeltas.length = 0;
        other.pullCount = 0;
      });

      afterEach(() => second.task.dispose());

      /** The change as the second reader sends it after it received what the first one sent. */
      async function repeatedChange(
        server: BackendServer,
      ): Promise<{ first: FleetDelta; repeated: FleetDelta }> {
        second.isStoreReader = false;
        const first = await readChange(server);
        second.task.onDelta(first);
        second.isStoreReader = true;
        await waitUntil(() => second.sentDeltas.length > 0);
        const repeated = second.sentDeltas.at(-1);
        if (first === undefined || repeated === undefined) throw new Error("no change was sent");
        return { first, repeated: { ...repeated, ip: secondIp } };
      }

      it("should get each change once, and call for none", async () => {
        const { first, repeated } = await repeatedChange(engine({ id: "e2" }));
        expect(first.registrations).to.have.length(1);
        expect(repeated.registrations).to.have.length(0);
        for (const delta of [first, repeated]) other.task.onDelta(delta);
        expect(other.context.fleet.get("e2")?.id).to.equal("e2");
        await other.receiveHeartbeatFrom(second, secondIp);
        expect(other.pullCount).to.equal(0);
      });

      // Guards against a server that keeps getting requests while it shuts down, as the reader whose message was lost died.
      it("should call the second one if the message of the first one was lost", async () => {
        const { repeated } = await repeatedChange(engine({ id: "e2" }));
        other.task.onDelta(repeated);
        expect(other.context.fleet.get("e2")).to.equal(undefined);
        await other.receiveHeartbeatFrom(second, secondIp);
        expect(other.pullCount).to.equal(1);
        expect(other.context.fleet.get("e2")?.id).to.equal("e2");
      });
    });

    // Guards against changes of an earlier start of the reader, whose revisions mean something else.
    it("should ignore those of another start of the reader, and malformed ones", async () => {
      const delta = await readChange(engine({ id: "e2" }));
      other.task.onDelta({ ...delta, boot: 0 });
      other.task.onDelta({ ...delta, registrations: "none" });
      other.task.onDelta(undefined);
      expect(other.context.fleet.get("e2")).to.equal(undefined);
      other.task.onDelta(delta);
      expect(other.context.fleet.get("e2")?.id).to.equal("e2");
    });
  });
});
