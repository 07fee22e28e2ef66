import { expect } from "chai";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { createFlatLog } from "../src/common/hostLog.ts";
import { LogRateLimiter } from "../src/common/logRateLimiter.ts";
import { readLog } from "../src/explain/logLine.ts";
import { requestTimeline } from "../src/explain/requestTimeline.ts";
import { FakeBackendServer, type Arrival } from "./fixtures/fakeBackendServer.ts";
import { sendRequest, configuration, GatewayCluster, route, waitUntil } from "./fixtures/gateways.ts";

const infoLevel = 3;

function line(second: number, event: string, more: Record<string, unknown> = {}): string {
  const time = new Date(Date.UTC(2026, 0, 1) + second * 1000).toISOString();
  return JSON.stringify({ time, level: "info", event, ...more });
}

describe("explain", () => {
  const holder = [
    line(5, "lease-taken", { token: 1 }),
    line(9, "order", { action: "unload", model: "n", inFavourOf: "m", outcome: "accepted" }),
    line(9.5, "order", { action: "load", model: "other", outcome: "accepted" }),
  ].join("\n");
  const entry = [
    line(1, "configuration-applied", { version: 3 }),
    line(6, "configuration-applied", { version: 4 }),
    line(13, "configuration-applied", { version: 5 }),
    line(12, "request", { requestId: "q1", model: "m", outcome: "no-replica", tookMs: 2_000 }),
  ].join("\n");
  const lines = [...readLog("holder", holder).lines, ...readLog("entry", entry).lines];

  it("should show a request's own lines and the state of its host when it arrived", () => {
    const timeline = requestTimeline(lines, "q1");
    expect(timeline.some((text) => text.includes("version=4"))).to.equal(true);
    expect(timeline.some((text) => /version=[35]/.test(text))).to.equal(false);
    expect(timeline.at(-1)).to.match(/^\+2\.000 s {2}entry {2}request {2}.*outcome=no-replica/);
  });

  it("should show the orders for its model, from any host, and no others", () => {
    const orders = requestTimeline(lines, "q1").filter((text) => text.includes("  order  "));
    expect(orders).to.have.length(1);
    expect(orders[0]).to.match(/^-1\.000 s {2}holder {2}order .*inFavourOf=m/);
  });

  it("should show the first request of a stream beside those that resumed it", () => {
    const text = [
      line(1, "request", { requestId: "first", outcome: "upstream-failed", tookMs: 100 }),
      line(2, "attempt", { requestId: "later", resumes: "first", softwareVersion: "v1" }),
      line(3, "request", { requestId: "later", resumes: "first", outcome: "ok", tookMs: 1_200 }),
      line(4, "request", { requestId: "other", resumes: "another", outcome: "ok", tookMs: 100 }),
    ].join("\n");
    for (const id of ["first", "later"]) {
      const timeline = requestTimeline(readLog("entry", text).lines, id).join("\n");
      expect(timeline.match(/requestId=\w+|attempt|request /g)).to.have.length.at.least(3);
      expect(timeline).to.include("softwareVersion=v1");
      expect(timeline).to.not.include("resumes=another");
    }
  });

  it("should show both hosts of a request that was passed on, from its arrival at the first", () => {
    const peer = line(11.9, "request", { requestId: "q2", from: "entry", outcome: "not-run", tookMs: 100 });
    const first = [
      line(3, "servers-reached", { reached: 0, known: 4 }),
      line(12, "request", { requestId: "q2", via: "peer", outcome: "unreachable", tookMs: 2_000 }),
    ].join("\n");
    const timeline = requestTimeline(
      [...readLog("peer", peer).lines, ...readLog("entry", first).lines],
      "q2",
    );
    expect(timeline[0]).to.match(/^-7\.000 s {2}entry {2}servers-reached/);
    expect(timeline[1]).to.match(/^\+1\.900 s {2}peer {2}request .*from=entry/);
    expect(timeline[2]).to.match(/^\+2\.000 s {2}entry {2}request .*via=peer/);
  });

  it("should fail if no log contains the request", () => {
    expect(() => requestTimeline(lines, "q9")).to.throw("no line of request q9");
  });

  it("should read lines prefixed by a log collector, and count those that are no log lines", () => {
    const read = readLog("x", `12.5 host-1 ${line(1, "started")}\nnoise\n{"broken`);
    expect(read.lines.map((l) => l.event)).to.deep.equal(["started"]);
    expect(read.skipped).to.equal(2);
  });
});

describe("the commands for failure analysis", () => {
  let folder: string;

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "explain-"));
  });

  afterEach(() => {
    fs.rmSync(folder, { recursive: true });
  });

  function run(...args: string[]): { status: number | null; stdout: string; stderr: string } {
    return childProcess.spawnSync(process.execPath, ["bin/parsleynotch.js", ...args], { encoding: "utf8" });
  }

  it("should explain a failed request of a cluster of two nodes", async () => {
    // A non-idempotent request is sent to a server that resets the connection. The caller gets a 502; the on-call
    // engineer has the request id and the logs of both hosts.
    const cluster = new GatewayCluster();
    const resetConnection = ({ req }: Arrival): void => {
      req.socket.resetAndDestroy();
    };
    const server = await FakeBackendServer.start("i-0", resetConnection);
    try {
      const files = ["host-1.log", "host-2.log"].map((name) => path.join(folder, name));
      for (const file of files) {
        const write = (text: string): void => {
          fs.appendFileSync(file, text);
        };
        await cluster.startNode(createFlatLog("gateway", { write, dropped: () => 0 }, infoLevel));
      }
      cluster.register(server.registration("s"));
      cluster.configure(configuration(1, [route({ kind: "non-idempotent" })]));
      const ip = cluster.nodes[1]?.ip ?? "";
      await waitUntil(
        async () => (await sendRequest({ ip, port: "readiness", path: "/ready" })).status === 200,
      );
      await waitUntil(() => fs.readFileSync(files[1] ?? "", "utf8").includes("server-found"));
      await sendRequest({ ip, method: "POST", body: "x", headers: { "x-request-id": "lost-1" } });
      const explained = run("explain", "lost-1", ...files);
      expect(explained.status).to.equal(0);
      expect(explained.stdout).to.match(/host-2 {2}configuration-applied/);
      expect(explained.stdout).to.match(/host-2 {2}request {2}requestId=lost-1 .*outcome=upstream-failed/);
      expect(run("explain", "other", ...files).status).to.equal(66);
    } finally {
      await cluster.dispose();
      await server.stop();
    }
  });

  it("should validate settings and configuration files", () => {
    const file = path.join(folder, "bad");
    fs.writeFileSync(file, "nodeName = 5");
    const settings = run("check-settings", file);
    expect(settings.status).to.equal(78);
    expect(settings.stderr).to.contain("bad-settings");
    const config = run("check-config", file);
    expect(config.status).to.equal(65);
    expect(config.stderr).to.contain("bad-configuration");
  });
});

describe("the rate limit of log lines", () => {
  it("should limit the lines per second of one event, and return how many were suppressed", () => {
    // At ten times the usual load all requests fail, each with a log line; writing all of them would take the CPU time
    // that the requests need.
    const rateLimiter = new LogRateLimiter({ perS: 10, burst: 20 });
    let admitted = 0;
    for (let ms = 0; ms < 10_000; ms += 1) if (rateLimiter.admit("request", ms) !== undefined) admitted += 1;
    expect(admitted).to.be.within(100, 121);
    expect(rateLimiter.admit("request", 10_200)).to.be.greaterThan(50);
    expect(rateLimiter.admit("order", 10_200)).to.equal(0);
  });
});
