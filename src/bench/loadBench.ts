/**
 * The load benchmark: replays one seeded trace against engine stand-ins through entry nodes, under one policy.
 * Everything runs in this process on loopback; the trace bounds the duration of a run.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../common/disposables.ts";
import { PlatformClient } from "../common/platformClient.ts";
import type { Template } from "../common/template.ts";
import { TemplateStore } from "../common/templateStore.ts";
import { EngineServer } from "../engine/engineServer.ts";
import { EntryNode } from "../entry/entryNode.ts";
import { PlatformServer } from "../platform/platformServer.ts";
import { Caller, type Outcome } from "./caller.ts";
import { policies, type PolicyName } from "./policies.ts";
import { scenarios, type Customer, type ScenarioName } from "./scenarios.ts";
import { traceOf, type Trace } from "./trace.ts";

/** Options of one load run. */
export interface LoadRunOptions {
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  /** `moveWeight` of every template: 0 favours deadline attainment, 1 favours few moves. */
  readonly moveWeight: number;
  /** Duration of the traffic before the measured part, in which a policy's placement settles, in ms. */
  readonly warmupMs: number;
  /** Duration of the measured part, in ms. */
  readonly durationMs: number;
  readonly seed: number;
  readonly entries: number;
}

/** Raw results of one run. */
export interface LoadRun {
  readonly options: LoadRunOptions;
  readonly outcomes: readonly Outcome[];
  readonly accelerators: number;
  /** Loads and unloads ordered during the run. */
  readonly loads: number;
  readonly unloads: number;
  /** CPU utilization of the whole process (stand-ins and callers included), as a fraction of one core. */
  readonly cpuShare: number;
  readonly rssMb: number;
  /** Control-plane bytes per second, per entry node. */
  readonly controlBytesPerSecond: number;
}

/** Runs one trace under one policy. */
export async function runLoad(options: LoadRunOptions): Promise<LoadRun> {
  const store = new DisposableStore();
  try {
    return await runTrace(options, store);
  } finally {
    await store.dispose();
  }
}

async function runTrace(options: LoadRunOptions, store: DisposableStore): Promise<LoadRun> {
  const scenario = scenarios[options.scenario];
  const trace = traceOf(scenario, options.warmupMs + options.durationMs, options.seed);
  const { loadsPerSecond, loadsAtOnce: concurrent, mbPerSecond } = scenario;
  const platform = store.add(
    new PlatformServer({ hostLagMs: 0, weights: { loadsPerSecond, concurrent, mbPerSecond } }),
  );
  const platformUrl = `http://127.0.0.1:${await platform.start()}`;
  const client = new PlatformClient({ url: platformUrl });
  const engines = await startEngines(options, trace, platformUrl, client, store);
  const templates = new TemplateStore(client);
  for (const customer of scenario.customers)
    await templates.create(templateOf(customer, trace, options.moveWeight, options.policy));
  const entries: EntryNode[] = [];
  for (let i = 0; i < options.entries; i += 1) {
    const { placement, routing, admission } = policies[options.policy];
    const entry = new EntryNode({
      id: `n${i}`,
      zone: "z",
      platformUrl,
      pollMs: 200,
      placement,
      routing,
      admission,
      loadsPerSecond,
      loadsAtOnce: concurrent,
    });
    await entry.start();
    entries.push(store.add(entry));
  }
  await sleep(1000);
  const allOutcomes = sendAll(trace, entries, store);
  await sleep(options.warmupMs);
  const before = await countersOf(entries);
  const cpu = process.cpuUsage();
  const started = performance.now();
  const outcomes = (await allOutcomes).filter((outcome) => outcome.arrival.atMs >= options.warmupMs);
  const seconds = (performance.now() - started) / 1000;
  const used = process.cpuUsage(cpu);
  const after = await countersOf(entries);
  return {
    options,
    outcomes,
    accelerators: engines.length,
    loads: after.loads - before.loads,
    unloads: after.unloads - before.unloads,
    cpuShare: (used.user + used.system) / 1e6 / seconds,
    rssMb: process.memoryUsage().rss / 1024 / 1024,
    controlBytesPerSecond: (after.bytes - before.bytes) / seconds / entries.length,
  };
}

async function startEngines(
  options: LoadRunOptions,
  trace: Trace,
  platformUrl: string,
  client: PlatformClient,
  store: DisposableStore,
): Promise<EngineServer[]> {
  const { engines: count, capacityMb, slots, tokenMs, prefillTicks } = scenarios[options.scenario];
  const engines: EngineServer[] = [];
  for (let i = 0; i < count; i += 1) {
    const engine = new EngineServer({
      id: `e${i}`,
      capacityMb,
      platformUrl,
      loadMs: 1,
      reportLagMs: 200,
      batcher: { tokenMs, maxBatch: slots, prefillTicks },
    });
    const address = `http://127.0.0.1:${await engine.start()}`;
    await client.setHost({ address, zone: "z", kind: "engine", state: "live" });
    engines.push(store.add(engine));
  }
  fillEvenly(engines, trace);
  return engines;
}

/** Initial placement, the same for all policies: replicas spread evenly in template order until memory is full. */
function fillEvenly(engines: readonly EngineServer[], trace: Trace): void {
  let placed = true;
  while (placed) {
    placed = false;
    for (const model of trace.models) {
      const free = engines
        .filter((engine) => engine.memory.ready(model.name) === undefined)
        .map((engine) => ({ engine, freeMb: engine.memory.capacityMb - engine.memory.usedMb }))
        .filter(({ freeMb }) => freeMb >= model.sizeMb)
        .sort((a, b) => b.freeMb - a.freeMb)[0];
      if (free === undefined) continue;
      const { name, sizeMb } = model;
      free.engine.memory.reserve({ model: name, version: "v1", sizeMb, adapters: [], fencing: 0 });
      free.engine.memory.markReady(name);
      placed = true;
    }
  }
}

function templateOf(customer: Customer, trace: Trace, moveWeight: number, policy: PolicyName): Template {
  const { name, share, priority } = customer;
  // A static placement consists of its templates' replica counts; the other policies keep at least one of each.
  const replicas = policies[policy].placement === "static" ? 64 : 1;
  const models = trace.models
    .filter((model) => model.customer === name)
    .map((model) => ({ name: model.name, version: "v1", sizeMb: model.sizeMb, adapters: [], replicas }));
  return { name, customer: name, priority, share, moveWeight, models, services: [] };
}

async function sendAll(
  trace: Trace,
  entries: readonly EntryNode[],
  store: DisposableStore,
): Promise<Outcome[]> {
  const caller = store.add(new Caller());
  const started = performance.now();
  const calls: Promise<Outcome>[] = [];
  for (const [i, arrival] of trace.arrivals.entries()) {
    const wait = arrival.atMs - (performance.now() - started);
    if (wait > 0) await sleep(wait);
    const entry = entries[i % entries.length];
    if (entry !== undefined) calls.push(caller.send(`http://127.0.0.1:${entry.port}`, arrival));
  }
  return Promise.all(calls);
}

async function countersOf(
  entries: readonly EntryNode[],
): Promise<{ loads: number; unloads: number; bytes: number }> {
  const totals = { loads: 0, unloads: 0, bytes: 0 };
  for (const entry of entries) {
    totals.bytes += entry.traffic.bytes;
    for (const { labels, value } of (await entry.metrics.moves.get()).values) {
      if (labels.kind === "load") totals.loads += value;
      else totals.unloads += value;
    }
  }
  return totals;
}
