import { expect } from "chai";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { StoreClient } from "../../platform/storeClient.ts";
import type { Failure } from "../../src/common/errors.ts";
import { EraTracker } from "../../src/serving/eraTracker.ts";
import { EraScopedStore } from "../../src/serving/eraScopedStore.ts";
import { at } from "../fixtures/positions.ts";

describe("the store client", () => {
  let server: http.Server;
  let client: StoreClient;
  let eras: EraTracker;
  let respond: (req: http.IncomingMessage, body: string, res: http.ServerResponse) => void;

  beforeEach(async () => {
    server = http.createServer((req, res) => {
      let body = "";
      req.on("data", (chunk: Buffer) => (body += chunk.toString()));
      req.on("end", () => {
        respond(req, body, res);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    eras = new EraTracker();
    const endpoint = { ip: "127.0.0.1", port: (server.address() as AddressInfo).port };
    client = new StoreClient({ endpoint, eras });
  });

  afterEach(() => {
    client.dispose();
    server.closeAllConnections();
    server.close();
  });

  const kindOf = (call: Promise<unknown>): Promise<string> =>
    call.then(
      () => "ok",
      (error: unknown) => (error as Failure).kind,
    );

  it("should write conditionally and read the acknowledgement", async () => {
    let sent = "";
    respond = (_req, body, res) => {
      sent = body;
      res.end('{"ver":412,"nowMs":51230}');
    };
    const receipt = await client.commit([{ table: "t", key: "k", value: "v", expected: 0 }]);
    expect(receipt).to.deep.equal({ era: 0, version: 412, nowMs: 51_230 });
    expect(JSON.parse(sent)).to.deep.equal({
      expected: [{ table: "t", part: "", key: "k", ver: 0 }],
      writes: [{ table: "t", part: "", key: "k", value: "dg==" }],
      remove: [],
    });
  });

  it("should read a table of several pages with the version of the first", async () => {
    respond = (req, _body, res) => {
      const second = (req.url ?? "").includes("from=");
      const rows = [{ key: second ? "b" : "a", value: "dg==", ver: 1 }];
      res.end(JSON.stringify({ rows, hasMore: !second, ver: second ? 9 : 5, nowMs: 1 }));
    };
    const response = await client.list("t");
    expect(response.rows.map((row) => row.key)).to.deep.equal(["a", "b"]);
    expect(response.version).to.equal(5);
  });

  it("should distinguish unexecuted calls, conflicts and unknown outcomes", async () => {
    const commit = (): Promise<string> => kindOf(client.commit([{ table: "t", key: "k", value: "v" }]));
    respond = (_req, _body, res) => res.writeHead(503).end();
    expect(await commit()).to.equal("platform-unavailable");
    respond = (_req, _body, res) => res.writeHead(412).end("{}");
    expect(await commit()).to.equal("conflict");
    respond = (_req, _body, res) => res.writeHead(410).end();
    expect(await kindOf(client.changes("t", 1, 0))).to.equal("history-lost");
    respond = (req) => req.socket.destroy();
    expect(await commit()).to.equal("outcome-unknown");
    expect(await kindOf(client.list("t"))).to.equal("platform-unavailable");
  });

  it("should abandon an unresponsive connection and open a new one", async () => {
    // A connection becomes permanently unresponsive while new ones work. A client that kept it would never receive
    // another configuration.
    respond = () => undefined;
    expect(await kindOf(client.list("t", { timeoutMs: 100 }))).to.equal("platform-unavailable");
    respond = (_req, _body, res) => res.end('{"rows":[],"ver":1,"nowMs":1}');
    expect(await kindOf(client.list("t", { timeoutMs: 500 }))).to.equal("ok");
  });

  describe("with a store that is restored from a backup", () => {
    let store: EraScopedStore;
    /** The era in every response. */
    let era: number;

    beforeEach(async () => {
      store = new EraScopedStore({ api: client, eras });
      era = 1;
      respond = (_req, _body, res) => {
        res.setHeader("Store-Era", String(era));
        res.end('{"rows":[{"key":"k","value":"dg==","ver":640}],"ver":640,"nowMs":1}');
      };
      await store.list("t");
    });

    it("should read the era from refusals too", async () => {
      respond = (_req, _body, res) => res.writeHead(410, { "Store-Era": "2" }).end();
      expect(await kindOf(store.changes("t", at(640, 1), 0))).to.equal("history-lost");
      expect(eras.current).to.equal(2);
      respond = (_req, _body, res) => res.writeHead(503, { "Store-Era": "3" }).end();
      expect(await kindOf(store.list("t"))).to.equal("platform-unavailable");
      expect(eras.current).to.equal(3);
    });

    it("should not continue reading after a version that was reused", async () => {
      // The version exists in the new era too, but the changes before it were never read.
      era = 2;
      expect(await kindOf(store.changes("t", at(640, 1), 0))).to.equal("history-lost");
      const response = await store.list("t");
      expect([response.position, response.rows[0]?.position]).to.deep.equal([at(640, 2), at(640, 2)]);
    });

    it("should not report a write as committed if its condition holds by chance", async () => {
      const write = { table: "t", key: "k", value: "v", expected: at(640, 1) };
      respond = (_req, _body, res) => res.writeHead(200, { "Store-Era": "2" }).end('{"ver":641,"nowMs":1}');
      expect(await kindOf(store.commit([write]))).to.equal("outcome-unknown");
      let calls = 0;
      respond = (_req, _body, res) => {
        calls += 1;
        res.writeHead(200, { "Store-Era": "2" }).end('{"ver":642,"nowMs":1}');
      };
      expect(await kindOf(store.commit([write]))).to.equal("conflict");
      expect(calls).to.equal(0);
      expect(await kindOf(store.commit([{ ...write, expected: at(641, 2) }]))).to.equal("ok");
    });

    it("should drop a late response of an earlier era", async () => {
      respond = (_req, _body, res) => {
        eras.observe(2);
        res.setHeader("Store-Era", "1");
        res.end('{"rows":[],"ver":900,"nowMs":1}');
      };
      expect(await kindOf(store.list("t"))).to.equal("history-lost");
      expect(eras.current).to.equal(2);
    });

    it("should abort waiting for changes when the era ends", async () => {
      // The connection may be unresponsive; without the abort, a new configuration is received only after the wait times out.
      respond = () => undefined;
      const startedMs = performance.now();
      const waiting = kindOf(store.changes("t", at(640, 1), 3_000));
      setTimeout(() => {
        eras.observe(2);
      }, 50);
      expect(await waiting).to.equal("history-lost");
      expect(performance.now() - startedMs).to.be.lessThan(1_000);
    });

    it("should not combine pages of two eras", async () => {
      respond = (req, _body, res) => {
        const second = (req.url ?? "").includes("from=");
        res.setHeader("Store-Era", second ? "2" : "1");
        res.end(
          JSON.stringify({ rows: [{ key: "a", value: "dg==", ver: 1 }], hasMore: !second, ver: 5, nowMs: 1 }),
        );
      };
      expect(await kindOf(store.list("t"))).to.equal("history-lost");
    });
  });
});
