import { expect } from "chai";
import * as dgram from "node:dgram";
import { once } from "node:events";
import * as net from "node:net";
import type { AddressInfo } from "node:net";
import { ReadWatermark } from "../../src/common/readWatermark.ts";

/** Blocks the event loop, as in a process without CPU time. */
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
    watermark.recordRequest();
  });

  afterEach(() => watermark.dispose());

  it("should lag little while the process keeps up, and by the length of a stall until its input is read", async () => {
    await sleep(200);
    expect(watermark.lagMs).to.be.below(150);
    stall(400);
    expect(watermark.lagMs).to.be.at.least(400);
    await sleep(200);
    expect(watermark.lagMs).to.be.below(150);
  });

  it("should never pass the arrival of a connection that is not accepted yet", async () => {
    // The event loop accepts one connection per iteration; the others wait in the backlog, which nothing else
    // shows.
    const server = net.createServer((socket) => {
      watermark.recordAcceptedConnection();
      seen.push(watermark.acceptedUpToMs);
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

  it("should have read the FIN of a connection when it has caught up", async () => {
    const ended = new Promise<boolean>((resolve) => {
      const server = net.createServer((socket) => {
        watermark.recordAcceptedConnection();
        let gone = false;
        socket.on("end", () => {
          gone = true;
        });
        socket.on("error", () => undefined);
        socket.once("data", () => {
          // Request and FIN arrive together; the FIN is read one iteration later.
          stall(50);
          void watermark.waitUntilCaughtUp().then(() => {
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

describe("the read watermark under load", () => {
  let watermark: ReadWatermark;

  beforeEach(async () => {
    watermark = new ReadWatermark();
    await watermark.start();
  });

  afterEach(() => watermark.dispose());

  async function listen(
    onSocket: (socket: net.Socket) => void,
  ): Promise<{ server: net.Server; port: number }> {
    const server = net.createServer((socket) => {
      watermark.recordAcceptedConnection();
      socket.on("error", () => undefined);
      onSocket(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", 1024, resolve));
    return { server, port: (server.address() as AddressInfo).port };
  }

  it("should have read the FIN behind each request when it has caught up, while others are being drained", async () => {
    // Covers a request that joins a drain in its last event-loop iteration, without a poll of its own.
    const gone: boolean[] = [];
    const callers = 20;
    const { server, port } = await listen((socket) => {
      let ended = false;
      socket.on("end", () => {
        ended = true;
      });
      socket.once("data", () => {
        void watermark.waitUntilCaughtUp().then(() => gone.push(ended));
      });
    });
    const clients = Array.from({ length: callers }, () => net.connect(port, "127.0.0.1"));
    await Promise.all(clients.map((client) => once(client, "connect")));
    for (const client of clients) client.end("request");
    // Requests and FINs are in the socket buffers before anything is read.
    stall(50);
    while (gone.length < callers) await sleep(5);
    server.close();
    expect(gone.filter((isGone) => !isGone)).to.have.length(0);
  });

  it("should have read the FIN behind a request on a keep-alive connection that joins a drain", async () => {
    const results: boolean[] = [];
    const { server, port } = await listen((socket) => {
      let ended = false;
      socket.on("end", () => {
        ended = true;
      });
      socket.on("data", () => {
        void watermark.waitUntilCaughtUp().then(() => results.push(ended));
      });
    });
    const keepAliveSockets = Array.from({ length: 5 }, () => net.connect(port, "127.0.0.1"));
    await Promise.all(keepAliveSockets.map((client) => once(client, "connect")));
    await sleep(50);
    // One caller sends a request and disconnects in each iteration of the event loop.
    for (const client of keepAliveSockets) {
      client.end("request");
      await new Promise((resolve) => setImmediate(resolve));
    }
    while (results.length < keepAliveSockets.length) await sleep(5);
    server.close();
    expect(results).to.deep.equal(keepAliveSockets.map(() => true));
  });

  it("should never pass the arrival of an unread datagram", async () => {
    // libuv reads 32 datagrams of a socket per iteration.
    const receiver = dgram.createSocket("udp4");
    const seen: { readonly watermarkMs: number }[] = [];
    receiver.on("message", () => {
      watermark.recordDatagram();
      stall(2);
      seen.push({ watermarkMs: watermark.readUpToMs });
    });
    receiver.bind(0, "127.0.0.1");
    await once(receiver, "listening");
    const sender = dgram.createSocket("udp4");
    const count = 200;
    await Promise.all(
      Array.from(
        { length: count },
        () =>
          new Promise((resolve) => {
            sender.send("x", receiver.address().port, "127.0.0.1", resolve);
          }),
      ),
    );
    const sentMs = performance.now();
    const untilMs = sentMs + 5_000;
    while (seen.length < count && performance.now() < untilMs) await sleep(5);
    sender.close();
    receiver.close();
    expect(seen.length).to.equal(count);
    expect(Math.max(...seen.map(({ watermarkMs }) => watermarkMs))).to.be.at.most(sentMs);
  });

  it("should catch up in bounded time although connections keep arriving", async () => {
    // Requests that wait for the watermark to catch up are held for as long, even past their timeout.
    const { server, port } = await listen((socket) => {
      if (!watermark.acceptOverloaded) stall(2);
      socket.destroy();
    });
    let flooding = true;
    const connect = (): void => {
      if (!flooding) return;
      const client = net.connect(port, "127.0.0.1");
      client.on("error", () => undefined);
      client.on("close", connect);
    };
    for (let i = 0; i < 60; i += 1) connect();
    await sleep(100);
    const startMs = performance.now();
    const caughtUp = watermark.waitUntilCaughtUp().then(() => performance.now() - startMs);
    const tookMs = await Promise.race([caughtUp, sleep(3_000).then(() => Number.POSITIVE_INFINITY)]);
    flooding = false;
    await sleep(50);
    server.close();
    expect(tookMs).to.be.below(1_000);
  });

  it("should detect overload although no request waits for it to catch up", async () => {
    // An overloaded node sheds all requests as it reads them, so none of them calls `waitUntilCaughtUp`.
    const { server, port } = await listen((socket) => {
      if (!watermark.acceptOverloaded) stall(2);
      socket.destroy();
    });
    let flooding = true;
    const connect = (): void => {
      if (!flooding) return;
      const client = net.connect(port, "127.0.0.1");
      client.on("error", () => undefined);
      client.on("close", connect);
    };
    for (let i = 0; i < 60; i += 1) connect();
    const untilMs = performance.now() + 2_000;
    let overloaded = false;
    while (!overloaded && performance.now() < untilMs) {
      await sleep(1);
      overloaded ||= watermark.acceptOverloaded;
    }
    const { lagMs } = watermark;
    flooding = false;
    await sleep(50);
    server.close();
    expect(overloaded, `lag ${Math.round(lagMs)} ms`).to.equal(true);
  });
});
