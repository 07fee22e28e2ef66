import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import {
  eventCount,
  eventsFrom,
  FramingServer,
  scriptQuery,
  type AnswerScript,
} from "../fixtures/framingServer.ts";
import {
  configuration,
  GatewayCluster,
  metricsOf,
  route,
  statusOf,
  waitUntil,
} from "../fixtures/gateways.ts";
import { GatewayProcesses, GatewayProgram, ports } from "../fixtures/gatewayProcesses.ts";
import { sendRaw, type RawReply, type RawRequest } from "../fixtures/rawCaller.ts";
import { paths } from "../fixtures/recordingServer.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import type { Endpoint } from "../../src/serving/hostSettings.ts";

/** Time after which a host that is cut off from all servers passes requests on, ms. */
const detectionMs = 2_000;

/** Enough that no case lacks a retry. */
const retryBurst = 10_000;

/**
 * What a caller can tell from the response: its framing says that it is complete; it has none and the connection closed
 * cleanly; it was broken off; or it is a failure.
 */
type Verdict = "complete" | "unframed" | "broken" | "failed";

interface Case {
  readonly path: string;
  readonly first: AnswerScript;
  readonly resumed?: AnswerScript;
  readonly verdict: Verdict;
  /** Events that the caller gets; not checked where they may be lost with the connection. */
  readonly events?: number;
}

const streams = [paths.stream, paths.resumable];

const wholeChunks: AnswerScript = { framing: "chunks", end: "fin", events: eventCount };
const brokenChunks: AnswerScript = { framing: "chunks", end: "rst", events: 2 };
const wholeLength: AnswerScript = { framing: "length", end: "fin", events: eventCount };
const whole: AnswerScript = { framing: "none", end: "fin", events: eventCount };
const cutBetweenEvents: AnswerScript = { framing: "none", end: "fin", events: 2 };
const cutBeforeFirst: AnswerScript = { framing: "none", end: "fin", events: 0 };
const cutInsideEvent: AnswerScript = { framing: "none", end: "fin", events: 2, insideEvent: true };
const resetBetweenEvents: AnswerScript = { framing: "none", end: "rst", events: 2 };
const resetAtEnd: AnswerScript = { framing: "none", end: "rst", events: eventCount };

const cases: readonly Case[] = [
  ...streams.flatMap((path): Case[] => [
    { path, first: wholeChunks, verdict: "complete", events: eventCount },
    { path, first: brokenChunks, verdict: "broken" },
    { path, first: { framing: "chunks", end: "fin", events: 2 }, verdict: "broken", events: 2 },
    { path, first: { framing: "length", end: "fin", events: 2 }, verdict: "broken", events: 2 },
    { path, first: whole, verdict: "unframed", events: eventCount },
    { path, first: cutBetweenEvents, verdict: "unframed", events: 2 },
    { path, first: cutBeforeFirst, verdict: "unframed", events: 0 },
    { path, first: cutInsideEvent, verdict: "broken" },
    { path, first: resetBetweenEvents, verdict: "broken" },
    { path, first: resetAtEnd, verdict: "broken" },
  ]),
  {
    path: paths.resumable,
    first: brokenChunks,
    resumed: wholeChunks,
    verdict: "complete",
    events: eventCount,
  },
  { path: paths.resumable, first: brokenChunks, resumed: whole, verdict: "broken", events: eventCount },
  {
    path: paths.resumable,
    first: brokenChunks,
    resumed: { ...whole, events: 4 },
    verdict: "broken",
    events: 4,
  },
  { path: paths.resumable, first: brokenChunks, resumed: cutBetweenEvents, verdict: "broken", events: 2 },
  {
    path: paths.resumable,
    first: resetBetweenEvents,
    resumed: wholeChunks,
    verdict: "unframed",
    events: eventCount,
  },
  {
    path: paths.resumable,
    first: resetBetweenEvents,
    resumed: whole,
    verdict: "unframed",
    events: eventCount,
  },
  { path: paths.resumable, first: resetBetweenEvents, resumed: resetAtEnd, verdict: "broken" },
  ...[paths.call, paths.order].flatMap((path): Case[] => [
    { path, first: wholeLength, verdict: "complete", events: eventCount },
    { path, first: { framing: "length", end: "fin", events: 2 }, verdict: "failed" },
    { path, first: brokenChunks, verdict: "failed" },
    { path, first: whole, verdict: "unframed", events: eventCount },
    { path, first: cutBetweenEvents, verdict: "unframed", events: 2 },
    { path, first: cutBeforeFirst, verdict: "unframed", events: 0 },
    { path, first: resetAtEnd, verdict: "failed" },
  ]),
];

function verdictOf({ status, framing, complete }: RawReply): Verdict {
  if (status !== 200) return "failed";
  if (!complete) return "broken";
  return framing === "none" ? "unframed" : "complete";
}

function titleOf({ path, first, resumed }: Case): string {
  const describeScript = ({ framing, end, events, insideEvent = false }: AnswerScript): string =>
    `${framing} ${end} after ${events}${insideEvent ? " and a part" : ""}`;
  return `${path} ${describeScript(first)}${resumed === undefined ? "" : `, then ${describeScript(resumed)}`}`;
}

describe("a response that ends with its connection", function () {
  this.timeout(60_000);
  let program: GatewayProgram;
  let processes: GatewayProcesses;
  let servers: FramingServer[];
  let lastRequest = 0;

  before(async () => {
    program = await GatewayProgram.build();
  });

  beforeEach(async () => {
    servers = [1, 2, 3].map((i) => new FramingServer(`f-${i}`));
    processes = new GatewayProcesses({ program, hosts: 3, servers: 0, otherServers: servers, retryBurst });
    await processes.start();
  });

  afterEach(async () => {
    await processes.stop();
  });

  after(() => {
    program.dispose();
  });

  /** What was wrong with the response to the case, or nothing. */
  async function faultOf(host: number, { path, first, resumed, verdict, events }: Case): Promise<string> {
    lastRequest += 1;
    const endpoint = processes.endpoints[host];
    if (endpoint === undefined) throw new Error(`no host ${host}`);
    const requestId = `q${lastRequest}`;
    const reply = await sendRaw({ endpoint, path: `${path}${scriptQuery(first, resumed)}`, requestId });
    const actual = verdictOf(reply);
    if (actual !== verdict) return `${actual} instead of ${verdict} (status ${reply.status})`;
    if (events !== undefined && reply.status === 200 && reply.body !== eventsFrom(1, events))
      return `${reply.body.length} bytes instead of ${events} events`;
    return "";
  }

  /** Titles of the cases that went wrong, each with what the caller got. */
  async function faultsAt(host: number): Promise<string[]> {
    const faults = await Promise.all(cases.map(async (each) => ({ each, fault: await faultOf(host, each) })));
    return faults.filter(({ fault }) => fault !== "").map(({ each, fault }) => `${titleOf(each)}: ${fault}`);
  }

  it("should not be framed as complete for the caller", async () => {
    // Regression: a stream without length or chunks got chunks, so that one that was broken off looked complete.
    expect(await faultsAt(0)).to.deep.equal([]);
  });

  it("should not be framed as complete for a caller of a host that passes it on", async () => {
    processes.cut([0], "reset", servers);
    await delay(detectionMs);
    expect(await faultsAt(0)).to.deep.equal([]);
  });
});

describe("a node that relays a response without framing", () => {
  const servers: FramingServer[] = [];
  let cluster: GatewayCluster;
  let endpoint: Endpoint;

  beforeEach(async () => {
    cluster = new GatewayCluster();
    servers.splice(0, servers.length, new FramingServer("f-1"), new FramingServer("f-2"));
    for (const server of servers) {
      await server.start();
      const { service, address, zone, slots } = JSON.parse(server.registration("s")) as BackendServer;
      cluster.register({
        ...{ id: server.id, service, address, zone, slots },
        ...{ leaving: false, residents: [], atHand: [], engine: false },
      });
    }
    const streamRoute = { kind: "stream", pauseMs: 400, targetMs: 500 } as const;
    cluster.configure(
      configuration(1, [
        route({ pathPrefix: paths.call }),
        route({ pathPrefix: paths.stream, ...streamRoute }),
        route({ pathPrefix: paths.resumable, ...streamRoute, resumable: true }),
      ]),
    );
    const { ip } = await cluster.startNode();
    endpoint = { ip, port: ports.front };
    await waitUntil(async () => (await statusOf({ ip }, `${paths.call}${scriptQuery(wholeLength)}`)) === 200);
  });

  afterEach(async () => {
    await cluster.dispose();
    await Promise.all(servers.map((server) => server.stop()));
  });

  function send(path: string, script: AnswerScript, more: Partial<RawRequest> = {}): Promise<RawReply> {
    return sendRaw({ endpoint, path: `${path}${scriptQuery(script)}`, requestId: `q-${path}`, ...more });
  }

  function sendsOf(requestId: string): number {
    return servers.flatMap(({ requestIds }) => requestIds).filter((id) => id === requestId).length;
  }

  it("should deliver its events one by one", async () => {
    const { partsMs, body } = await send(paths.stream, whole);
    expect(body).to.equal(eventsFrom(1, eventCount));
    expect(partsMs.length).to.be.at.least(eventCount);
  });

  it("should reset a broken stream of a caller that gets no chunks", async () => {
    // Regression: the connection was closed as after a whole stream.
    const reply = await send(paths.stream, brokenChunks, { httpVersion: "1.0" });
    expect(reply).to.include({ status: 200, framing: "none", reset: true });
  });

  it("should reset a stream in progress when it exits", async () => {
    const pending = send(paths.stream, whole);
    await delay(80);
    await cluster.nodes[0]?.node.dispose();
    expect(await pending).to.include({ status: 200, framing: "none", reset: true });
  });

  it("should cancel the work at the server when the caller leaves", async () => {
    await send(paths.stream, whole, { leaveAfterMs: 60 });
    await waitUntil(() => servers.some(({ cancelled }) => cancelled === 1));
  });

  it("should retry an empty stream on another server if it may be resumed", async () => {
    await send(paths.resumable, cutBeforeFirst);
    await send(paths.stream, cutBeforeFirst);
    expect([sendsOf(`q-${paths.resumable}`), sendsOf(`q-${paths.stream}`)]).to.deep.equal([2, 1]);
  });

  it("should not retry a response that has no body to be truncated", async () => {
    // Regression: without a length, the response to HEAD counted as possibly truncated.
    const reply = await send(
      paths.call,
      { framing: "none", end: "fin", events: 0 },
      {
        method: "HEAD",
        leaveAfterMs: 500,
      },
    );
    expect(reply.status).to.equal(200);
    expect(sendsOf(`q-${paths.call}`)).to.equal(1);
  });

  it("should count it as neither complete nor a lost connection", async () => {
    await send(paths.stream, whole);
    const metrics = await metricsOf(endpoint);
    expect(metrics).to.match(/^parsleynotch_requests_total{.*outcome="unframed"} 1$/m);
    expect(metrics).to.match(/^parsleynotch_attempts_total{.*outcome="unframed"} 1$/m);
    expect(metrics).to.match(/^parsleynotch_unframed_responses_total{service="s"} 1$/m);
    expect(metrics).to.not.match(/^parsleynotch_cut_sends_total{/m);
  });

  it("should not count a framed stream that ends inside an event as a lost connection", async () => {
    // Regression: the server's connection lives on, so it has not crashed.
    await send(paths.stream, { framing: "chunks", end: "fin", events: eventCount, insideEvent: true });
    expect(await metricsOf(endpoint)).to.not.match(/^parsleynotch_cut_sends_total{/m);
  });
});
