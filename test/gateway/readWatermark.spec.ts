import { expect } from "chai";
import * as net from "node:net";
import type { AddressInfo } from "node:net";
import { ReadWatermark } from "../../src/common/readWatermark.ts";

/** Holds the event loop, as a process without processor time does. */
function stall(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe("the read watermark", () => {
  let watermark: ReadWatermark;

  beforeEach(async () => {
    watermark = new ReadWatermark();
    await watermark.start();
  });

  afterEach(() => watermark.dispose());

  it("should lag by little while the process keeps up, and by a stall until its input is read", async () => {
    await sleep(200);
    expect(watermark.lagMs).to.be.below(150);
    stall(400);
    expect(watermark.lagMs).to.be.at.least(400);
    await sleep(200);
    expect(watermark.lagMs).to.be.below(150);
  });

  it("should never pass the arrival of a connection that waits to be accepted", async () => {
    // A turn of the event loop accepts one connection; the others wait where nothing else shows them.
    const server = net.createServer((socket) => {
      watermark.noteAccepted();
      seen.push(watermark.ms);
      stall(10);
      socket.destroy();
    });
    const seen: number[] = [];
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const sockets = Array.from({ length: 30 }, () => net.connect(port, "127.0.0.1"));
    for (const socket of sockets) socket.on("error", () => undefined);
    await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once("connect", resolve))));
    const connectedMs = performance.now();
    while (seen.length < sockets.length) await sleep(5);
    for (const ms of seen) expect(ms).to.be.below(connectedMs);
    server.close();
  });

  it("should have read the end of a connection once it is caught up", async () => {
    const ended = new Promise<boolean>((resolve) => {
      const server = net.createServer((socket) => {
        watermark.noteAccepted();
        let gone = false;
        socket.on("end", () => {
          gone = true;
        });
        socket.on("error", () => undefined);
        socket.once("data", () => {
          // Request and end arrived together; the end is read a turn later.
          stall(50);
          void watermark.caughtUp().then(() => {
            resolve(gone);
            server.close();
          });
        });
      });
      server.listen(0, "127.0.0.1", () => {
        const client = net.connect((server.address() as AddressInfo).port, "127.0.0.1");
        client.end("request");
      });
    });
    expect(await ended).to.equal(true);
  });
});
