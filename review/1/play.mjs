// A full server refuses an unsafe request. A second copy of that refusal comes late, where the server's next answer is due.
import * as http from "node:http";
import { once } from "node:events";
import { call, Gateways, run, sleep, Store } from "../standins.mjs";

const hostName = "app.example";
const rounds = 60;
/** Time after which no round begins, ms. */
const maxMs = 85_000;
/** Calls that fill both servers before each unsafe request. */
const fillers = 8;
/** Pairs of calls between the unsafe requests. */
const steady = 9;
const workMs = 60;
/** The disruption: `garble`, how = "extra late", on one of two servers, for some seconds and more than once. */
const garble = { share: 0.03, forMs: 5_000, everyMs: 7_000 };

/** A plain server with a few slots and a short queue. */
class PlainServer {
  constructor(id, record, garbles) {
    Object.assign(this, { id, record, garbles });
    this.slots = 2;
    this.queue = 2;
    this.running = 0;
    this.waiting = [];
    /** Answers while it is disrupted, and those of them that are sent once more. */
    this.answers = 0;
    this.garbled = 0;
    /** The same for the present window of the disruption: the share holds within each. */
    this.window = { number: -1, answers: 0, garbled: 0 };
    this.runs = [];
    /** The second copy of an answer that is still to come, by connection. */
    this.late = new WeakMap();
    this.server = http.createServer({ keepAliveTimeout: 5_000 }, (req, res) => {
      req.resume();
      req.on("end", () => void this.serve(req, res));
    });
  }

  async start() {
    this.server.listen(0, "127.0.0.1");
    await once(this.server, "listening");
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.startMs = performance.now();
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  get registration() {
    const { address, slots } = this;
    const state = { state: "ready", coldLeftMs: 0, sequence: 1 };
    return { service: "app", address, zone: "a", version: "v1", slots, ...state };
  }

  countAnswer() {
    const number = Math.floor((performance.now() - this.startMs) / garble.everyMs);
    if (number !== this.window.number) this.window = { number, answers: 0, garbled: 0 };
    this.window.answers += 1;
    this.answers += 1;
  }

  get disrupted() {
    return this.garbles && (performance.now() - this.startMs) % garble.everyMs < garble.forMs;
  }

  async serve(req, res) {
    const id = req.headers["x-request-id"];
    const { socket } = req;
    res.on("error", () => undefined);
    if (id === undefined) {
      const status = req.url === "/health" ? 200 : 400;
      res.writeHead(status, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
      return;
    }
    const extra = this.late.get(socket);
    if (extra !== undefined) {
      this.late.delete(socket);
      this.record.line(`${this.id} sends its answer to ${extra.id} (503, X-Not-Executed) once more, late`);
      socket.write(extra.bytes);
    }
    if (req.headers["x-expected-instance"] !== undefined && req.headers["x-expected-instance"] !== this.id) {
      res.writeHead(421, { "X-Request-Id": id, "Content-Length": 0 }).end();
      return;
    }
    if (this.disrupted) this.countAnswer();
    if (this.running >= this.slots && this.waiting.length >= this.queue) {
      this.refuse(id, res, socket);
      return;
    }
    if (this.running >= this.slots) await new Promise((resolve) => this.waiting.push(resolve));
    this.running += 1;
    this.runs.push(id);
    if (id.startsWith("unsafe")) this.record.line(`${this.id} runs ${id}`);
    await sleep(workMs);
    this.running -= 1;
    this.waiting.shift()?.();
    const body = `${id} at ${this.id}`;
    const headers = { "X-Request-Id": id, "X-Server-Seal": "seal", "Content-Length": body.length };
    res.writeHead(200, headers).end(body);
  }

  refuse(id, res, socket) {
    const headers = { "X-Request-Id": id, "X-Not-Executed": "1", "Content-Length": "0" };
    res.writeHead(503, headers).end();
    if (id.startsWith("unsafe")) this.record.line(`${this.id} is full: 503, X-Not-Executed for ${id}`);
    if (!this.disrupted || this.window.garbled + 1 > garble.share * this.window.answers) return;
    if (!id.startsWith("unsafe")) return;
    this.window.garbled += 1;
    this.garbled += 1;
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const bytes = `HTTP/1.1 503 Service Unavailable\r\n${lines.join("")}Connection: keep-alive\r\n\r\n`;
    this.late.set(socket, { id, bytes });
  }
}

await run(import.meta.dirname, async ({ record, trouble, own }) => {
  const store = own(new Store());
  await store.start();
  const servers = [own(new PlainServer("i-1", record, trouble)), own(new PlainServer("i-2", record, false))];
  for (const server of servers) await server.start();
  const limits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 5000,
    idleTimeoutMs: 10000,
  };
  const common = { host: hostName, timeoutMs: 800, targetLatencyMs: 150, priority: 2, service: "app" };
  const routes = [
    { ...common, name: "reserve", pathPrefix: "/reserve/", routeType: "unsafe", maxAttempts: 1 },
    { ...common, name: "check", pathPrefix: "/check/", routeType: "safe", maxAttempts: 2 },
  ];
  const services = [{ name: "app", healthPath: "/health", maxConnections: 96, protocol: "h1", tls: false }];
  store.put("op", "config", { version: 1, routes, services, limits });
  for (const server of servers) store.put("servers", server.id, server.registration);
  const gateways = own(new Gateways(record));
  await gateways.start(2, store);
  await sleep(3_000);
  const [one, two] = gateways.hosts;
  const agents = new Map(gateways.hosts.map((host) => [host, new http.Agent({ keepAlive: true })]));
  const send = (host, method, path, id) => {
    const headers = { Host: hostName, "X-Request-Id": id, "X-Deadline-Ms": "1500" };
    if (method === "POST") headers["Content-Length"] = "0";
    const { ip, front: port } = host;
    return call({ host: ip, port, method, path, headers, agent: agents.get(host), timeoutMs: 2_000 });
  };
  const statuses = new Map();
  const startedMs = performance.now();
  for (let i = 1; i <= rounds && performance.now() - startedMs < maxMs; i += 1) {
    const calls = Array.from({ length: fillers }, (_, n) => send(two, "GET", "/check/", `safe-${i}-${n}`));
    await sleep(15);
    const id = `unsafe-${i}`;
    record.line(`client sends ${id} to ${one.name}`);
    const reply = await send(one, "POST", "/reserve/", id);
    record.line(`client gets ${reply.status} for ${id}`);
    statuses.set(id, reply.status);
    const replies = await Promise.all(calls);
    // Ordinary traffic of the same gateway.
    for (let n = 0; n < steady; n += 1) {
      const pair = ["a", "b"].map((part) => send(one, "GET", "/check/", `steady-${i}-${n}${part}`));
      replies.push(...(await Promise.all(pair)));
    }
    const ok = replies.filter(({ status }) => status === 200).length;
    record.line(`clients sent ${replies.length} safe requests, of which ${ok} were answered 200`);
  }
  for (const { id, garbled, answers } of servers)
    record.line(`${id}: ${garbled} of ${answers} answers within the disruption were sent once more`);
  const runs = servers.flatMap((server) => server.runs).filter((id) => id.startsWith("unsafe"));
  const twice = [...new Set(runs.filter((id, i) => runs.indexOf(id) !== i))];
  const refused = [...new Set(runs.filter((id) => statuses.get(id) === 503))];
  record.line(`${new Set(runs).size} unsafe requests ran; more than once: ${twice.join(", ") || "none"}`);
  record.line(`answered 503 although a server ran them: ${refused.join(", ") || "none"}`);
  return twice.length > 0;
});
