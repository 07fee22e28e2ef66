/**
 * The control-plane benchmark: for several sizes (engines, entry nodes, configuration changes per second), runs
 * the platform stand-in, engine stand-ins and entry nodes in this process on loopback and measures control calls
 * and bytes per second and entry node, and the process's CPU time per control call. Each point takes `measureMs`,
 * a whole run a few tens of seconds.
 */
import { DisposableStore } from "../common/disposables.ts";
import { PlatformClient } from "../common/platformClient.ts";
import type { Template } from "../common/template.ts";
import { TemplateStore } from "../common/templateStore.ts";
import { EngineServer } from "../engine/engineServer.ts";
import { EntryNode } from "../entry/entryNode.ts";
import { PlatformServer } from "../platform/platformServer.ts";

/** One system size to measure. */
export interface BenchPoint {
  readonly engines: number;
  readonly entries: number;
  readonly changesPerSecond: number;
}

/** Results of one point; rates are per entry node unless stated otherwise. */
export interface Measurement extends BenchPoint {
  readonly callsPerSecond: number;
  readonly bytesPerSecond: number;
  /** CPU time of the whole process (stand-ins included) per control call, in ms: an upper bound. */
  readonly cpuMsPerCall: number;
  /** CPU utilization of the whole process, as a fraction of one core. */
  readonly processCpuShare: number;
  readonly heapMb: number;
}

/** Options of `runControlBench`. */
export interface ControlBenchOptions {
  readonly points: readonly BenchPoint[];
  readonly measureMs?: number;
  readonly pollMs?: number;
}

const template: Template = {
  name: "bench",
  customer: "bench",
  priority: "normal",
  share: 1,
  moveWeight: 0.5,
  models: [{ name: "m1", version: "v1", sizeMb: 100, adapters: [], replicas: 2 }],
  services: [],
};

/** Measures all points one after the other. */
export async function runControlBench(options: ControlBenchOptions): Promise<Measurement[]> {
  const results: Measurement[] = [];
  for (const point of options.points)
    results.push(await measure(point, options.measureMs ?? 3000, options.pollMs ?? 500));
  return results;
}

async function measure(point: BenchPoint, measureMs: number, pollMs: number): Promise<Measurement> {
  const store = new DisposableStore();
  try {
    const platform = store.add(
      new PlatformServer({ hostLagMs: 0, weights: { loadsPerSecond: 1000, concurrent: 100 } }),
    );
    const url = `http://127.0.0.1:${await platform.start()}`;
    const client = new PlatformClient({ url });
    for (let i = 0; i < point.engines; i += 1) {
      const engine = store.add(new EngineServer({ id: `e${i}`, capacityMb: 1_000_000, loadMs: 1 }));
      await client.setHost({
        address: `http://127.0.0.1:${await engine.start()}`,
        zone: "z",
        kind: "engine",
        state: "live",
      });
    }
    const templates = new TemplateStore(client);
    await templates.create(template);
    const entries: EntryNode[] = [];
    for (let i = 0; i < point.entries; i += 1) {
      const entry = store.add(new EntryNode({ id: `n${i}`, zone: "z", platformUrl: url, pollMs }));
      await entry.start();
      entries.push(entry);
    }
    await new Promise((resolve) => setTimeout(resolve, 1000));
    const before = entries.map((entry) => ({ calls: entry.traffic.calls, bytes: entry.traffic.bytes }));
    const cpu = process.cpuUsage();
    const started = performance.now();
    await changeTemplates(templates, point.changesPerSecond, measureMs);
    const elapsedMs = performance.now() - started;
    const used = process.cpuUsage(cpu);
    const calls = entries.reduce((sum, entry, i) => sum + entry.traffic.calls - (before[i]?.calls ?? 0), 0);
    const bytes = entries.reduce((sum, entry, i) => sum + entry.traffic.bytes - (before[i]?.bytes ?? 0), 0);
    const cpuMs = (used.user + used.system) / 1000;
    return {
      ...point,
      callsPerSecond: round((calls / point.entries / elapsedMs) * 1000),
      bytesPerSecond: round((bytes / point.entries / elapsedMs) * 1000),
      cpuMsPerCall: round(cpuMs / Math.max(1, calls), 3),
      processCpuShare: round(cpuMs / elapsedMs, 4),
      heapMb: round(process.memoryUsage().heapUsed / 1024 / 1024),
    };
  } finally {
    await store.dispose();
  }
}

async function changeTemplates(
  templates: TemplateStore,
  perSecond: number,
  durationMs: number,
): Promise<void> {
  const until = Date.now() + durationMs;
  let share = 0;
  while (Date.now() < until) {
    if (perSecond > 0) {
      share = (share + 1) % 100;
      await templates.apply({ ...template, share: share / 100 });
    }
    await new Promise((resolve) => setTimeout(resolve, perSecond > 0 ? 1000 / perSecond : durationMs));
  }
}

function round(value: number, digits = 1): number {
  const scale = 10 ** digits;
  return Math.round(value * scale) / scale;
}
