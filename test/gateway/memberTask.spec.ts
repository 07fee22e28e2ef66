import { expect } from "chai";
import { createLog } from "../../src/common/log.ts";
import { MemberTask } from "../../src/gateway/membership/memberTask.ts";
import { PeerTable, type Member } from "../../src/serving/membership/peerTable.ts";
import { waitUntil } from "../fixtures/gateways.ts";
import { MemoryStore } from "../fixtures/memoryStore.ts";

const table = "parsleynotch_nodes";

describe("the list of nodes, when the store is restored from a backup", () => {
  for (const count of [1, 8, 60])
    it(`should be completed by the store readers, with ${count} nodes`, async () => {
      const store = new MemoryStore();
      const emptyBackup = store.createBackup();
      const members = Array.from({ length: count }, (_, i): Member => ({
        ip: `10.0.0.${i}`,
        port: 1,
        zone: "a",
        strength: 1,
      }));
      const nodes = members.map((self, i) => {
        const peers = new PeerTable(self);
        const storeClient = store.createClient();
        const log = createLog("member-test");
        return {
          peers,
          storeClient,
          task: new MemberTask({ store: storeClient, log, peers, self, shouldReadStore: () => i < 2 }),
        };
      });
      for (const { task } of nodes) await task.start();
      for (const { peers } of nodes) peers.addListedNodes(members, performance.now());
      const commits = (): number => nodes.reduce((sum, { storeClient }) => sum + storeClient.commits, 0);
      const before = commits();
      store.restore(emptyBackup);
      for (const { storeClient } of nodes) storeClient.eras.observe(store.era);
      await waitUntil(() => members.every(({ ip }) => store.row(table, ip) !== undefined), 4_000);
      await new Promise((resolve) => setTimeout(resolve, 2_200));
      expect(commits() - before).to.be.at.most(2 * Math.ceil(count / 50));
      for (const { task } of nodes) await task.dispose();
    });
});
