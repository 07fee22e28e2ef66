import { expect } from "chai";
import { event } from "../fixtures/fakeBackendServer.ts";
import {
  configuration,
  engineService,
  metricsOf,
  route,
  sendAndDisconnect,
  waitUntil,
} from "../fixtures/gateways.ts";
import { chat, chatHeaders, engineLimits, RunCluster } from "../fixtures/runCluster.ts";

describe("a run with a backup", () => {
  let runs: RunCluster;

  beforeEach(() => {
    runs = new RunCluster();
  });

  afterEach(async () => {
    await runs.dispose();
  });

  const whole = Array.from({ length: 12 }, (_, i) => event(i + 1)).join("");

  it("should go on at the engine with the copy if its engine crashes, in the same response", async () => {
    // Streams with one attempt that can't be resumed were lost with their engine.
    await runs.start({ engineCount: 3 });
    const { reply, source } = runs.run();
    const crashed = await source;
    const [target] = crashed.backupTargets;
    await crashed.crash();
    const { status, body, complete, headers } = await reply;
    expect({ status, body, complete }).to.deep.equal({ status: 200, body: whole, complete: true });
    expect(headers["x-engine"]).to.equal(crashed.id);
    const [first, second, ...others] = runs.runs.sort((a, b) => a.firstEvent - b.firstEvent);
    expect(others).to.deep.equal([]);
    expect(second?.from).to.equal(`${target ?? ""}/${first?.requestId ?? ""}`);
    expect(second?.firstEvent).to.equal((first?.lastEvent ?? 0) + 1);
    const { headers: sent } = second?.arrival.req ?? {};
    expect(sent?.["x-expected-instance"]).to.equal(runs.fleet.get(target ?? "")?.id);
    expect(Number(sent?.["x-deadline-ms"])).to.be.within(1, 8_950);
    const metrics = await metricsOf({ ip: runs.ip });
    expect(metrics).to.match(/continued_runs_total\{service="s",copy="backup",outcome="streamed"\} 1/);
  });

  it("should go on from the start if its engine crashes before the first event", async () => {
    await runs.start();
    for (const engine of runs.engines) engine.eventMs = 200;
    const { reply } = runs.run();
    await waitUntil(() => runs.runs.length === 1);
    for (const engine of runs.engines) if (engine.runs.length > 0) await engine.crash();
    for (const engine of runs.engines) engine.eventMs = 10;
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
    expect(runs.runs).to.have.length(2);
  });

  it("should be lost as before if the engine with the copy had no room for it", async () => {
    // The engine refuses without running the request; no other engine may run it then.
    await runs.start({ engineCount: 3 });
    for (const engine of runs.engines) engine.hasRoom = false;
    const { reply, source } = runs.run();
    const crashed = await source;
    await crashed.crash();
    const { complete, body } = await reply;
    expect(complete).to.equal(false);
    expect(whole.startsWith(body)).to.equal(true);
    expect(runs.runs).to.have.length(1);
    expect(runs.engines.reduce((sum, engine) => sum + engine.refusedContinuations, 0)).to.equal(1);
  });

  it("should be lost as before if both engines crash", async () => {
    await runs.start({ engineCount: 3 });
    const { reply, source } = runs.run();
    const crashed = await source;
    const [target] = crashed.backupTargets;
    await runs.fleet.get(target ?? "")?.crash();
    await crashed.crash();
    expect((await reply).complete).to.equal(false);
    expect(runs.runs).to.have.length(1);
  });

  it("should end the response if the continued run leaves events out", async () => {
    // The caller could not tell that part of the text is missing.
    await runs.start();
    for (const engine of runs.engines) engine.skippedEvents = 1;
    const { reply, source } = runs.run();
    await (await source).crash();
    const { complete, body } = await reply;
    expect(complete).to.equal(false);
    expect(whole.startsWith(body)).to.equal(true);
  });

  it("should not go on elsewhere while its engine is silent but may still work on it", async () => {
    // Two engines would work on the same run.
    await runs.start({ nodes: 2 });
    const { reply, source } = runs.run();
    (await source).freeze({ running: true });
    const { complete, tookMs } = await reply;
    expect(complete).to.equal(false);
    expect(tookMs).to.be.greaterThan(3_000);
    expect(runs.runs).to.have.length(1);
  });

  it("should go on elsewhere once the registration of its silent engine was removed", async () => {
    // A host that loses its power closes no connections.
    await runs.start();
    const { reply, source } = runs.run();
    const lost = await source;
    lost.freeze();
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(runs.runs).to.have.length(1);
    runs.cluster.store.remove("servers", lost.id);
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
  });

  it("should go on elsewhere once its silent engine is unreachable for a peer too", async () => {
    await runs.start({ nodes: 2 });
    const { reply, source } = runs.run();
    (await source).freeze({ unreachable: true });
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
  });

  it("should not go on elsewhere if only its own node can't connect to the silent engine", async () => {
    // The link of this host may be down while the engine works on.
    await runs.start();
    const { reply, source } = runs.run();
    (await source).freeze({ running: true, unreachable: true });
    expect((await reply).complete).to.equal(false);
    expect(runs.runs).to.have.length(1);
  });

  const movable = { ...engineLimits, runCopies: { ...engineLimits.runCopies, moves: true } };

  // Guards against two engines that work on the same run: a reset was taken for the end of the engine.
  it("should not go on elsewhere after a reset while its engine may still work on it", async () => {
    await runs.start({ limits: movable });
    for (const engine of runs.engines) Object.assign(engine, { worksOn: true, copyStatus: 400 });
    const { reply, source } = runs.run();
    (await source).resetConnections();
    const { complete, tookMs } = await reply;
    expect(complete).to.equal(false);
    expect(tookMs).to.be.lessThan(1_000);
    expect(runs.runs).to.have.length(1);
  });

  // Guards against the same where the engine can stop the run.
  it("should be stopped at its engine after a reset and go on at the other one", async () => {
    await runs.start({ limits: movable });
    for (const engine of runs.engines) engine.worksOn = true;
    const { reply, source } = runs.run();
    const first = await source;
    first.resetConnections();
    await waitUntil(() => runs.runs.length === 2);
    expect(first.runs.map(({ active }) => active)).to.deep.equal([false]);
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
    expect(first.stopCalls).to.deep.equal([true]);
  });

  it("should go on at the engine with the copy if its engine dropped it with the connection", async () => {
    await runs.start({ limits: movable });
    const { reply, source } = runs.run();
    (await source).resetConnections();
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
    expect(runs.runs).to.have.length(2);
  });

  // Guards against a second run of a request whose first run ended and whose answer was lost.
  it("should not go on elsewhere if its connection is reset before the first event and its engine lives", async () => {
    await runs.start({ limits: movable });
    for (const engine of runs.engines) engine.eventMs = 200;
    const { reply } = runs.run();
    await waitUntil(() => runs.runs.length === 1);
    for (const engine of runs.engines) engine.resetConnections();
    expect((await reply).status).to.equal(502);
    expect(runs.runs).to.have.length(1);
  });

  it("should not go on once its caller has left", async () => {
    await runs.start();
    const disconnect = sendAndDisconnect({ ip: runs.ip, method: "POST", body: "x", headers: chatHeaders });
    await waitUntil(() => runs.runs.some(({ lastEvent }) => lastEvent >= 3));
    const engine = runs.engines.find(({ runs }) => runs.length > 0);
    disconnect();
    await engine?.crash();
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(runs.runs).to.have.length(1);
  });

  it("should be continued only once if it crashes every engine", async () => {
    // Requests that crash engines would otherwise reach all of them by way of their copies.
    await runs.start({ engineCount: 4 });
    for (const engine of runs.engines) engine.crashAfter = 5;
    const { complete, body } = await runs.run().reply;
    expect({ complete, body }).to.deep.equal({
      complete: false,
      body: [1, 2, 3, 4, 5, 6].map(event).join(""),
    });
    expect(runs.runs.length).to.equal(2);
  });

  it("should get none if its route may be resumed, and be resumed as before", async () => {
    await runs.start({ of: { ...chat, resumable: true, maxAttempts: 2 } });
    const { reply, source } = runs.run();
    await (await source).crash();
    expect(await reply).to.include({ status: 200, body: whole, complete: true });
    expect(runs.engines.flatMap(({ backupTargets }) => backupTargets)).to.deep.equal([undefined, undefined]);
  });

  it("should get none if engines don't offer it, and if it is short or large", async () => {
    await runs.start({
      limits: { ...engineLimits, runCopies: { ...engineLimits.runCopies, backups: false } },
    });
    expect(await runs.run().reply).to.include({ complete: true });
    runs.cluster.configure(
      configuration(2, [route(chat)], { services: [engineService({ adapters: 0 }, engineLimits)] }),
    );
    await waitUntil(async () => /config_version 2$/m.test(await metricsOf({ ip: runs.ip })));
    for (const size of ["826,30", "9190,300"]) await runs.run({ "x-token-count": size }).reply;
    expect(runs.engines.flatMap(({ backupTargets }) => backupTargets)).to.deep.equal([
      ...[undefined, undefined, undefined],
    ]);
  });
});
