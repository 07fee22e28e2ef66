import * as http from "node:http";
import * as net from "node:net";
import { expect } from "chai";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import { Attempt } from "../../src/gateway/requests/attempt.ts";

/** Agent whose connections fail as soon as they are attempted, as without a route to the host. */
class UnroutableAgent extends http.Agent {
  override createConnection(): net.Socket {
    const socket = new net.Socket();
    process.nextTick(() => socket.destroy(Object.assign(new Error("no route"), { code: "EHOSTUNREACH" })));
    return socket;
  }
}

describe("an attempt", () => {
  it("should be unreachable, not broken, if its connection fails at once", async () => {
    // Regression: the request counted as possibly run, so that a non-idempotent one was not sent elsewhere.
    const attempt = new Attempt(
      {
        ...{ server: { address: "127.0.0.1:1" }, agent: new UnroutableAgent(), codec: requestHeaders },
        ...{ method: "GET", path: "/", headers: ["Host", "h.example"], body: undefined, requestId: "q" },
        ...{ sink: undefined, lastDeliveredEvent: undefined },
        ...{ firstByteTimeoutMs: 500, eventGapTimeoutMs: 500, responseTimeoutMs: 500 },
      },
      {
        onConnected: () => undefined,
        onResponse: () => undefined,
        onFirstByte: () => undefined,
        onProgress: () => undefined,
      },
    );
    expect(await attempt.outcome).to.deep.equal({ kind: "unreachable", reason: "EHOSTUNREACH" });
  });
});
