import { expect } from "chai";
import * as purify from "purify-ts";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import { createLog } from "../../src/common/log.ts";
import { FleetTask } from "../../src/gateway/servers/fleetTask.ts";
import { createGatewayContext, type GatewayContext } from "../../src/gateway/gatewayContext.ts";
import { StoreHealth } from "../../src/gateway/store/storeHealth.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { waitUntil } from "../fixtures/gateways.ts";
import { MemoryStore } from "../fixtures/memoryStore.ts";
import { engineWithId } from "../fixtures/registrations.ts";

const engine = (more: Partial<BackendServer> = {}): BackendServer => engineWithId("e1", more);

/** One node's view of the servers, without the rest of the node. */
class Host {
  readonly context: GatewayContext;
  readonly task: FleetTask;
  /** Whether this node is one of the store readers. */
  isStoreReader = true;
  peer: Host | undefined;

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
      callPeer: async (_peer, method, params) => this.peer?.task.handlers[method]?.(params),
      onChange: () => undefined,
      broadcastLeaving: () => undefined,
    });
  }

  async receiveHeartbeatFrom(peer: Host): Promise<void> {
    this.peer = peer;
    const versions = { host: "p", ip: "10.0.0.2", port: 1, boot: 1, version: 1 };
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
});
