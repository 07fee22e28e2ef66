import { expect } from "chai";
import * as http from "node:http";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import { callHttp } from "../../src/common/httpCall.ts";
import { ReadWatermark } from "../../src/common/readWatermark.ts";
import { Attempt } from "../../src/gateway/requests/attempt.ts";
import { PeerTable, type Heartbeat } from "../../src/serving/membership/peerTable.ts";

/** A server on its own thread: it responds in 50 ms while this thread is blocked. */
const serverCode = `
  const http = require("node:http");
  const { parentPort } = require("node:worker_threads");
  const server = http.createServer((req, res) => {
    setTimeout(() => {
      res.writeHead(200, { "X-Request-Id": "q", "X-Server-Seal": "s", "Content-Length": 5 });
      res.end("whole");
    }, 50);
  });
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Blocks the event loop between its poll and timer phases, so that timers that expired meanwhile run first. */
function scheduleStall(ms: number): void {
  setTimeout(() => {
    setImmediate(() => {
      const endMs = performance.now() + ms;
      while (performance.now() < endMs);
    });
  }, 10);
}

describe("a process whose event loop was blocked", () => {
  let worker: Worker;
  let port: number;
  let agent: http.Agent;

  beforeEach(async () => {
    worker = new Worker(serverCode, { eval: true });
    [port] = (await once(worker, "message")) as [number];
    agent = new http.Agent({ keepAlive: true });
  });

  afterEach(async () => {
    agent.destroy();
    await worker.terminate();
  });

  it("should not time out a server whose response it hasn't read yet", async () => {
    await callHttp({ agent, ip: "127.0.0.1", port, method: "GET", path: "/", timeoutMs: 1_000 });
    const attempt = new Attempt(
      {
        server: {
          ...{ id: "i-1", service: "s", address: `127.0.0.1:${port}`, zone: "a", slots: 4 },
          ...{ leaving: false, residents: [], atHand: [], engine: false },
        },
        ...{
          agent,
          codec: requestHeaders,
          method: "GET",
          path: "/",
          headers: ["Host", "h.example"],
          body: undefined,
        },
        ...{ requestId: "q", sink: undefined, lastDeliveredEvent: undefined },
        ...{ firstByteTimeoutMs: 200, eventGapTimeoutMs: 200, responseTimeoutMs: 300 },
      },
      {
        onConnected: () => undefined,
        onResponse: () => undefined,
        onFirstByte: () => undefined,
        onProgress: () => undefined,
      },
    );
    scheduleStall(500);
    expect((await attempt.outcome).kind).to.equal("answered");
  });

  it("should not time out a call whose response it hasn't read yet", async () => {
    const call = callHttp({ agent, ip: "127.0.0.1", port, method: "GET", path: "/", timeoutMs: 200 });
    scheduleStall(500);
    expect((await call).status).to.equal(200);
  });

  it("should not count peers as dead whose messages it hasn't read yet", async () => {
    const watermark = new ReadWatermark();
    await watermark.start();
    const table = new PeerTable({ ip: "10.0.0.1", zone: "a", strength: 1 });
    const heartbeat: Heartbeat = {
      ...{ host: "b", boot: 1, ip: "10.0.0.2", port: 1, zone: "a", callers: "10.0.0.2:1", ready: true },
      ...{ strength: 1, busy: 0, version: 1, fleetRevision: 1, active: true },
    };
    table.recordHeartbeat(heartbeat, performance.now());
    const blocked = new Promise<void>((resolve) => {
      setTimeout(() => {
        const endMs = performance.now() + 1_800;
        while (performance.now() < endMs);
        resolve();
      }, 10);
    });
    await blocked;
    expect(table.alive(performance.now())).to.have.length(0);
    expect(table.alive(watermark.readUpToMs)).to.have.length(1);
    await watermark.dispose();
  });
});
