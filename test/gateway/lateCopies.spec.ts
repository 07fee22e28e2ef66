import type { Socket } from "node:net";
import { expect } from "chai";
import {
  answerOk,
  beginStream,
  event,
  FakeBackendServer,
  refuseUnexecuted,
  type Arrival,
} from "../fixtures/fakeBackendServer.ts";
import {
  configuration,
  GatewayCluster,
  route,
  sendRequest,
  statusOf,
  waitUntil,
  type Reply,
} from "../fixtures/gateways.ts";

const resumableRoute = { kind: "stream", resumable: true } as const;

/** Id of the request in the tests; other requests have other ids. */
const testId = "late-copy-test";

/** A server that sends a second copy of a response where the next response on the connection is due. */
class RepeatingServer {
  readonly runs: string[] = [];
  readonly responses: ((arrival: Arrival) => void)[] = [];
  server!: FakeBackendServer;
  private readonly copies = new Map<Socket, string>();

  async start(): Promise<void> {
    this.server = await FakeBackendServer.start("i-1", (arrival) => {
      this.handle(arrival);
    });
  }

  /** Refuses the request; the copy comes later. */
  refuse = (arrival: Arrival): void => {
    refuseUnexecuted(arrival, { "Keep-Alive": "timeout=10" });
    this.repeatLate(arrival, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
  };

  /** Runs the request; the copy comes later. */
  run = (arrival: Arrival, body: string): void => {
    this.runs.push(body);
    answerOk(arrival, body, { "Keep-Alive": "timeout=10" });
    this.repeatLate(arrival, "200 OK", "X-Server-Seal: seal\r\n", body);
  };

  /** Runs a stream from the event after `last`; the copy comes later. */
  stream = (arrival: Arrival, last: number): void => {
    const body = [last + 1, last + 2].map(event).join("");
    this.runs.push(body);
    arrival.res.setHeader("Keep-Alive", "timeout=10");
    beginStream(arrival);
    arrival.res.end(body);
    this.repeatLate(arrival, "200 OK", "X-Server-Seal: seal\r\n", body);
  };

  private handle(arrival: Arrival): void {
    const { socket } = arrival.req;
    const copy = this.copies.get(socket);
    this.copies.delete(socket);
    if (copy !== undefined) socket.write(copy);
    const respond = arrival.req.headers["x-request-id"] === testId ? this.responses.shift() : undefined;
    if (respond === undefined) answerOk(arrival, "other", { "Keep-Alive": "timeout=10" });
    else respond(arrival);
  }

  private repeatLate({ req }: Arrival, status: string, headers: string, body: string): void {
    const head = `HTTP/1.1 ${status}\r\nX-Request-Id: ${testId}\r\n${headers}Keep-Alive: timeout=10\r\n`;
    this.copies.set(req.socket, `${head}Content-Length: ${body.length}\r\n\r\n${body}`);
  }
}

describe("a late copy of a response", () => {
  let cluster: GatewayCluster;
  let backend: RepeatingServer;
  let ip: string;

  async function start(overrides: Parameters<typeof route>[0]): Promise<void> {
    const health = route({ name: "health", pathPrefix: "/other/" });
    cluster.configure(configuration(1, [route(overrides), health]));
    cluster.register(backend.server.registration("s"));
    ({ ip } = await cluster.startNode());
    await waitUntil(async () => (await statusOf({ ip }, "/other/")) === 200);
  }

  function send(headers: Record<string, string> = {}): Promise<Reply> {
    return sendRequest({ ip, method: "POST", headers: { "x-request-id": testId, ...headers } });
  }

  beforeEach(async () => {
    cluster = new GatewayCluster();
    backend = new RepeatingServer();
    await backend.start();
  });

  afterEach(async () => {
    await cluster.dispose();
    await backend.server.stop();
  });

  // Guards against a request that runs twice, as a copy of its first refusal was taken for the refusal of its second send.
  it("should not be taken for the response to a repeated send after a refusal", async () => {
    await start({ kind: "non-idempotent" });
    const run = (arrival: Arrival): void => {
      backend.run(arrival, "ran");
    };
    backend.responses.push(backend.refuse, run, run);
    const { status, body } = await send();
    expect({ status, body }).to.deep.equal({ status: 200, body: "ran" });
    expect(backend.runs).to.deep.equal(["ran"]);
  });

  // Guards against an old response for a new run of a request whose id its caller sent again.
  it("should not be returned to a caller that sends the id again", async () => {
    await start({ kind: "non-idempotent" });
    for (const body of ["first", "second"])
      backend.responses.push((arrival) => {
        backend.run(arrival, body);
      });
    const replies = [await send(), await send()];
    expect(replies.map(({ body }) => body)).to.deep.equal(["first", "second"]);
  });

  // Guards against a stream of which events are missing or come twice, as an earlier response was relayed in its place.
  it("should not be relayed as the stream that a caller resumes with the same id", async () => {
    await start(resumableRoute);
    for (const last of [0, 2])
      backend.responses.push((arrival) => {
        backend.stream(arrival, last);
      });
    const first = await send();
    const second = await send({ "last-event-id": "2" });
    expect([first.body, second.body]).to.deep.equal(backend.runs);
  });

  // Guards against "not run" for a request that runs, after a copy of the response to another request.
  it("should leave the outcome of another request on the connection unknown", async () => {
    await start({ kind: "non-idempotent", maxAttempts: 1 });
    backend.responses.push((arrival) => {
      backend.run(arrival, "ran");
    });
    expect((await send()).status).to.equal(200);
    expect((await sendRequest({ ip })).status).to.equal(502);
    expect((await sendRequest({ ip })).status).to.equal(200);
  });

  // Guards against a new connection for each request.
  it("should not keep other requests off the connections", async () => {
    await start({ kind: "non-idempotent" });
    for (let i = 0; i < 20; i += 1) await sendRequest({ ip });
    expect(new Set(backend.server.arrivals.slice(-20).map(({ req }) => req.socket)).size).to.equal(1);
  });
});
