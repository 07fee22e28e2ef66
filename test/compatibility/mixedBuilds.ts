/**
 * Runs gateway processes of two builds together on one store and checks that they understand each other:
 * `node --import=tsx test/compatibility/mixedBuilds.ts OLD_BUNDLE NEW_BUNDLE`, each the path of a `parsleynotch.cjs`.
 * Prints one line per check and exits with 1 if one fails.
 */
import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { nextAddress } from "../fixtures/gateways.ts";
import { ports, settingsText } from "../fixtures/gatewayProcesses.ts";
import { StoreServer } from "../fixtures/storeServer.ts";

const metricsPort = 9464;
/** Nothing listens here: a node with this store address is cut off from the store. */
const unreachableStore = "127.0.0.1:9";
/** Key of the lease in the table `parsleynotch`. */
const leaseKey = "placement";
const waitMs = 20_000;
/** Time from a crash until the server's registration is removed, ms. */
const registrationExpiryMs = 300;
/** Requests per second that the rate-limited server accepts. */
const limitPerS = 5;
/** Log events that report a message, row or registration that could not be decoded. */
const decodeFailures =
  /peer-message-rejected|lease-row-rejected|quarantine-row-rejected|member-rejected|registration-rejected|configuration-rejected|"level":"error"/;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mixed-builds-"));
let failures = 0;

function check(name: string, passed: boolean, seen: unknown = ""): void {
  if (!passed) failures += 1;
  console.log(
    `${passed ? "ok    " : "FAILED"} ${name} ${typeof seen === "string" ? seen : JSON.stringify(seen)}`,
  );
}

async function eventually(condition: () => Promise<boolean> | boolean): Promise<boolean> {
  const deadline = performance.now() + waitMs;
  while (performance.now() < deadline) {
    if (await condition()) return true;
    await pause(100);
  }
  return false;
}

const started: Node[] = [];

/** A gateway process of one build. */
class Node {
  readonly ip = nextAddress();
  output = "";
  private child: childProcess.ChildProcess | undefined;

  constructor(
    readonly build: string,
    private readonly bundle: string,
    readonly store: string,
  ) {}

  start(seeds: readonly string[]): void {
    started.push(this);
    const file = path.join(folder, `${this.ip}.toml`);
    fs.writeFileSync(file, settingsText(this.ip, seeds, this.store));
    const child = childProcess.spawn(process.execPath, [this.bundle, "gateway", "--settings", file], {
      env: { ...process.env, PARSLEYNOTCH_LOG_LEVEL: "debug" },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.on("data", (chunk: Buffer) => (this.output += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (this.output += chunk.toString()));
    this.child = child;
  }

  async end(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    if (this.child?.exitCode !== null || this.child.signalCode !== null) return;
    const ended = once(this.child, "exit");
    this.child.kill(signal);
    await ended;
  }

  call(body: string, pathname = "/call/"): Promise<number> {
    return post(this.ip, pathname, body);
  }

  /** Value of a metric, summed over its labels; NaN if the node does not answer. */
  async metric(name: string): Promise<number> {
    const text = await get(this.ip, metricsPort, "/metrics");
    const values = text.split("\n").filter((line) => line.startsWith(`parsleynotch_${name}`));
    if (values.length === 0) return Number.NaN;
    return values.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
  }
}

function get(ip: string, port: number, pathname: string): Promise<string> {
  return new Promise((resolve) => {
    const req = http.get({ host: ip, port, path: pathname, agent: false, timeout: 1_000 }, (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("end", () => {
        resolve(res.statusCode === 200 ? Buffer.concat(chunks).toString() || "ok" : "");
      });
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => {
      resolve("");
    });
  });
}

let lastRequest = 0;

/** Status of a caller's request; 0 if the connection broke off. */
function post(ip: string, pathname: string, body: string): Promise<number> {
  lastRequest += 1;
  const headers = { host: "h.example", "x-request-id": `q${lastRequest}`, "x-deadline-ms": "2000" };
  return new Promise((resolve) => {
    const options = { host: ip, port: ports.front, method: "POST", path: pathname, headers, agent: false };
    const req = http.request(options, (res) => {
      res.resume();
      res.on("close", () => {
        resolve(res.complete ? (res.statusCode ?? 0) : 0);
      });
    });
    req.on("error", () => {
      resolve(0);
    });
    req.end(body);
  });
}

/** Servers of one service; each crashes under the body `deadly` and comes back as another. */
class Servers {
  crashes = 0;
  /** Requests that the rate-limited server got. */
  limited = 0;
  private readonly running = new Map<string, http.Server>();
  private started = 0;

  constructor(private readonly store: StoreServer) {}

  async start(service = "s"): Promise<void> {
    this.started += 1;
    const id = `i-${this.started}`;
    const server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("error", () => undefined);
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        if (Buffer.concat(chunks).toString() === "deadly") {
          void this.crash(id);
          return;
        }
        if (service === "limited") this.limited += 1;
        const limit = service === "limited" ? { "Server-Limit": String(limitPerS) } : {};
        const head = {
          "X-Request-Id": String(req.headers["x-request-id"]),
          "X-Server-Seal": "seal",
          ...limit,
        };
        res.writeHead(200, { ...head, "Content-Length": 5 });
        res.end("whole");
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    this.running.set(id, server);
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const row = { service, address, zone: "a", slots: 50, state: "ready", sequence: 1 };
    this.store.rows.put("servers", id, JSON.stringify(row));
  }

  async stop(): Promise<void> {
    for (const server of this.running.values()) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  private async crash(id: string): Promise<void> {
    const server = this.running.get(id);
    if (server === undefined) return;
    this.crashes += 1;
    this.running.delete(id);
    server.closeAllConnections();
    server.close();
    setTimeout(() => {
      this.store.rows.remove("servers", id);
    }, registrationExpiryMs);
    await this.start();
  }
}

function configurationText(version: number): string {
  const limits = { timeoutMs: 3_000, targetLatencyMs: 300, priority: 1, maxAttempts: 1 };
  const route = (name: string, pathPrefix: string, service: string): unknown => {
    return { name, host: "h.example", pathPrefix, routeType: "safe", service, ...limits };
  };
  return JSON.stringify({
    version,
    routes: [route("call", "/call/", "s"), route("limited", "/limited/", "limited")],
    services: [
      { name: "s", maxConnections: 1_000 },
      { name: "limited", maxConnections: 1_000 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 10_000 },
  });
}

async function every(
  nodes: readonly Node[],
  metric: string,
  expected: (value: number) => boolean,
): Promise<boolean> {
  return eventually(async () => {
    const values = await Promise.all(nodes.map((node) => node.metric(metric)));
    return values.every((value) => expected(value));
  });
}

async function holderOf(nodes: readonly Node[]): Promise<Node | undefined> {
  const held = await Promise.all(nodes.map((node) => node.metric("lease_held")));
  return held.filter((value) => value === 1).length === 1 ? nodes[held.indexOf(1)] : undefined;
}

async function startAll(nodes: readonly Node[]): Promise<boolean> {
  const ips = nodes.map(({ ip }) => ip);
  for (const node of nodes) node.start(ips);
  return eventually(async () => {
    const answers = await Promise.all(ips.map((ip) => get(ip, ports.ready, "/readiness")));
    return answers.every((answer) => answer !== "");
  });
}

const bundles: Readonly<Record<string, string>> = { old: process.argv[2] ?? "", new: process.argv[3] ?? "" };

/** Three nodes, the last of another build than the first two; `cutOff`: the last one does not reach the store. */
async function play(first: string, last: string, cutOff: boolean): Promise<void> {
  const title = `[${first}, ${first}, ${last}${cutOff ? " without the store" : ""}]`;
  const store = new StoreServer();
  await store.start();
  const servers = new Servers(store);
  for (let i = 0; i < 6; i += 1) await servers.start();
  await servers.start("limited");
  store.rows.put("op", "config", configurationText(1));
  const node = (build: string, address: string): Node => new Node(build, bundles[build] ?? "", address);
  const lastNode = node(last, cutOff ? unreachableStore : store.address);
  const nodes = [node(first, store.address), node(first, store.address), lastNode];
  check(`${title} all nodes are ready`, await startAll(nodes));
  check(`${title} every node knows both peers`, await every(nodes, "peers_alive", (n) => n === 2));
  const statuses = await Promise.all(nodes.map((n) => n.call("x")));
  check(
    `${title} every node serves`,
    statuses.every((status) => status === 200),
    statuses,
  );
  store.rows.put("op", "config", configurationText(2));
  check(`${title} configuration 2 in force everywhere`, await every(nodes, "config_version", (v) => v === 2));
  await playLimit(title, nodes, servers);
  await playLease(title, nodes, store);
  await playQuarantine(title, nodes, servers);
  checkDecoding(title, nodes);
  if (cutOff) {
    const refused = `ECONNREFUSED ${unreachableStore}`;
    check(`${title} the last node never reached the store`, lastNode.output.includes(refused));
  } else {
    await playTakeover(title, nodes, store);
  }
  for (const each of nodes) {
    fs.writeFileSync(path.join(folder, `${each.build}-${each.ip}.log`), each.output);
    await each.end("SIGKILL");
  }
  await servers.stop();
  await store.stop();
}

/** Requests to one rate-limited server through all nodes: its owner gives permits to the others. */
async function playLimit(title: string, nodes: readonly Node[], servers: Servers): Promise<void> {
  for (const node of nodes) await node.call("first", "/limited/");
  await pause(1_500);
  const before = servers.limited;
  const seconds = 4;
  const calls: Promise<number>[] = [];
  for (let i = 0; i < seconds * 30; i += 1) {
    const node = nodes[i % nodes.length];
    if (node !== undefined) calls.push(node.call(`${i}`, "/limited/").catch(() => 0));
    await pause(1_000 / 30);
  }
  const results = await Promise.all(calls);
  const allowed = 1.5 * limitPerS * (seconds + 3) + 5;
  const sent = servers.limited - before;
  check(`${title} permits keep to the server's limit`, sent > 0 && sent <= allowed, { sent, allowed });
  const served = nodes.map(
    (_, n) => results.filter((status, i) => i % nodes.length === n && status === 200).length,
  );
  check(
    `${title} every node gets permits`,
    served.every((count) => count > 0),
    served,
  );
}

/** Exactly one node holds the lease, and its row is stored. */
async function playLease(title: string, nodes: readonly Node[], store: StoreServer): Promise<void> {
  let holder: Node | undefined;
  const found = await eventually(async () => (holder = await holderOf(nodes)) !== undefined);
  check(`${title} one node holds the lease`, found, holder?.build);
  const rows = store.rows.read("parsleynotch", 0).rows.map(({ key }) => key);
  check(`${title} the lease is stored`, rows.includes(leaseKey), rows);
}

/** A request under which three servers crashed is refused by every node. */
async function playQuarantine(title: string, nodes: readonly Node[], servers: Servers): Promise<void> {
  const statuses: number[] = [];
  for (let i = 0; i < 9; i += 1) {
    const node = nodes[i % nodes.length];
    if (node !== undefined) statuses.push(await node.call("deadly"));
    await pause(250);
  }
  check(`${title} at most three servers crash`, servers.crashes > 0 && servers.crashes <= 3, servers.crashes);
  check(
    `${title} every node quarantines the request`,
    await every(nodes, "quarantined_requests", (n) => n === 1),
  );
  const refused = await Promise.all(nodes.map((node) => node.call("deadly")));
  check(
    `${title} every node refuses it`,
    refused.every((status) => status === 503),
    refused,
  );
  const others = await Promise.all(nodes.map((node) => node.call("harmless")));
  check(
    `${title} every node serves others`,
    others.every((status) => status === 200),
    others,
  );
}

/** The lease passes to the other build, and a fleet that starts on what these nodes stored reads it. */
async function playTakeover(title: string, nodes: readonly Node[], store: StoreServer): Promise<void> {
  const holder = await holderOf(nodes);
  if (holder === undefined) throw new Error("no node holds the lease");
  const token = (): number => {
    const row = store.rows.row("parsleynotch", leaseKey)?.value ?? "{}";
    return (JSON.parse(row) as { token: number }).token;
  };
  const before = token();
  const others = nodes.filter(({ build }) => build !== holder.build);
  await holder.end("SIGTERM");
  for (const node of nodes) if (!others.includes(node)) await node.end("SIGKILL");
  const taken = await eventually(async () => (await holderOf(others)) !== undefined);
  check(`${title} the lease passes from the ${holder.build} build to the other`, taken);
  check(`${title} with a newer token`, token() > before, [before, token()]);
  const [taker] = others;
  for (const node of others) await node.end("SIGKILL");
  const build = taker?.build === "old" ? "new" : "old";
  const fresh = new Node(build, bundles[build] ?? "", store.address);
  const last = token();
  check(`${title} then a node of the ${build} build starts on the store`, await startAll([fresh]));
  check(`${title} it reads the quarantine`, await every([fresh], "quarantined_requests", (n) => n === 1));
  check(`${title} it refuses the request`, (await fresh.call("deadly")) === 503);
  check(`${title} it serves others`, (await fresh.call("harmless")) === 200);
  check(`${title} it reads the configuration`, (await fresh.metric("config_version")) === 2);
  check(`${title} it takes the lease`, await every([fresh], "lease_held", (v) => v === 1));
  check(`${title} with a newer token again`, token() > last, [last, token()]);
  checkDecoding(title, [fresh]);
  await fresh.end("SIGKILL");
}

/** No log line of these nodes reports a message or row that could not be decoded. */
function checkDecoding(title: string, nodes: readonly Node[]): void {
  const rejected = nodes.flatMap(({ build, output }) =>
    output
      .split("\n")
      .filter((line) => decodeFailures.test(line))
      .map((line) => `${build}: ${line}`),
  );
  check(`${title} no message or row is rejected`, rejected.length === 0, rejected.slice(0, 3));
}

const plays: [string, string, boolean][] = [
  ["old", "new", false],
  ["new", "old", false],
  ["old", "new", true],
  ["new", "old", true],
];
try {
  for (const [first, last, cutOff] of plays) await play(first, last, cutOff);
} finally {
  for (const node of started) await node.end("SIGKILL");
}
console.log(`logs: ${folder}`);
console.log(failures === 0 ? "all checks passed" : `${failures} checks failed`);
process.exit(failures === 0 ? 0 : 1);
