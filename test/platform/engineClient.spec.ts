import { expect } from "chai";
import { EngineClient } from "../../platform/engineClient.ts";
import type { Order, OrderTarget } from "../../src/serving/orders.ts";
import { FakeBackendServer, type Arrival } from "../fixtures/fakeBackendServer.ts";

describe("the client of orders and reports", () => {
  let engine: FakeBackendServer;
  let client: EngineClient;
  let target: OrderTarget;
  const statuses: number[] = [];
  const order: Order = {
    ...{ action: "load", model: "m", expectedSequence: 1, holder: "h", fencingToken: 1 },
  };

  beforeEach(async () => {
    engine = await FakeBackendServer.start("e1", ({ res }: Arrival) => {
      res.writeHead(statuses.shift() ?? 500, { "Content-Length": 0 }).end();
    });
    client = new EngineClient();
    target = { serverId: "e1", address: engine.address };
  });

  afterEach(async () => {
    client.dispose();
    await engine.stop();
  });

  // Guards against an order that counts as accepted although the engine refused it, after a late copy of an earlier answer.
  it("should not take a second copy of an earlier answer for the answer to an order", async () => {
    statuses.push(202, 409);
    expect(await client.order(target, order)).to.equal("accepted");
    const [first] = engine.arrivals;
    first?.req.socket.on("data", () => {
      first.req.socket.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    });
    expect(await client.order(target, { ...order, expectedSequence: 2 })).to.equal("conflict");
  });
});
