import { expect } from "chai";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { StoreClient } from "../../platform/storeClient.ts";
import type { Failure } from "../../src/common/errors.ts";

describe("the store client", () => {
  let server: http.Server;
  let client: StoreClient;
  let answer: (req: http.IncomingMessage, body: string, res: http.ServerResponse) => void;

  beforeEach(async () => {
    server = http.createServer((req, res) => {
      let body = "";
      req.on("data", (chunk: Buffer) => (body += chunk.toString()));
      req.on("end", () => {
        answer(req, body, res);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    client = new StoreClient({ endpoint: { ip: "127.0.0.1", port: (server.address() as AddressInfo).port } });
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
    answer = (_req, body, res) => {
      sent = body;
      res.end('{"ver":412,"nowMs":51230}');
    };
    const receipt = await client.commit([{ table: "t", key: "k", value: "v", expected: 0 }]);
    expect(receipt).to.deep.equal({ version: 412, nowMs: 51_230 });
    expect(JSON.parse(sent)).to.deep.equal({
      expected: [{ table: "t", part: "", key: "k", ver: 0 }],
      writes: [{ table: "t", part: "", key: "k", value: "dg==" }],
      remove: [],
    });
  });

  it("should read a table of several pages, as of the first", async () => {
    answer = (req, _body, res) => {
      const second = (req.url ?? "").includes("from=");
      const rows = [{ key: second ? "b" : "a", value: "dg==", ver: 1 }];
      res.end(JSON.stringify({ rows, hasMore: !second, ver: second ? 9 : 5, nowMs: 1 }));
    };
    const set = await client.list("t");
    expect(set.rows.map((row) => row.key)).to.deep.equal(["a", "b"]);
    expect(set.version).to.equal(5);
  });

  it("should tell apart what was not done, what conflicts, and what may have been done", async () => {
    const commit = (): Promise<string> => kindOf(client.commit([{ table: "t", key: "k", value: "v" }]));
    answer = (_req, _body, res) => res.writeHead(503).end();
    expect(await commit()).to.equal("platform-unavailable");
    answer = (_req, _body, res) => res.writeHead(412).end("{}");
    expect(await commit()).to.equal("conflict");
    answer = (_req, _body, res) => res.writeHead(410).end();
    expect(await kindOf(client.changes("t", 1, 0))).to.equal("history-lost");
    answer = (req) => req.socket.destroy();
    expect(await commit()).to.equal("outcome-unknown");
    expect(await kindOf(client.list("t"))).to.equal("platform-unavailable");
  });

  it("should give up a silent connection and use a new one", async () => {
    // A connection falls silent for good while new ones work. A client that kept it would never hear of another
    // configuration.
    answer = () => undefined;
    expect(await kindOf(client.list("t", { timeoutMs: 100 }))).to.equal("platform-unavailable");
    answer = (_req, _body, res) => res.end('{"rows":[],"ver":1,"nowMs":1}');
    expect(await kindOf(client.list("t", { timeoutMs: 500 }))).to.equal("ok");
  });
});
