/** The path benchmark: one completion at a time, alternately directly to an engine and through an entry node. */
import * as hdr from "hdr-histogram-js";
import { DisposableStore } from "../common/disposables.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { TemplateStore } from "../common/templateStore.ts";
import { EngineServer } from "../engine/engineServer.ts";
import { EntryNode } from "../entry/entryNode.ts";
import { PlatformServer } from "../platform/platformServer.ts";

/** Durations of complete completions, in ms, and the ratio of those through the entry node to the direct ones. */
export interface PathTimes {
  readonly requests: number;
  readonly directMs: { readonly p50: number; readonly p99: number };
  readonly entryMs: { readonly p50: number; readonly p99: number };
  readonly ratio: { readonly p50: number; readonly p99: number };
}

const model = "m1";

/** Sends `requests` completions each way, alternating between the two. */
export async function runPathBench(requests: number): Promise<PathTimes> {
  const store = new DisposableStore();
  try {
    const platform = store.add(new PlatformServer({ hostLagMs: 0 }));
    const platformUrl = `http://127.0.0.1:${await platform.start()}`;
    const client = new PlatformClient({ url: platformUrl });
    const engine = store.add(new EngineServer({ loadMs: 1 }));
    const direct = `http://127.0.0.1:${await engine.start()}`;
    await client.setHost({ address: direct, zone: "z", kind: "engine", state: "live" });
    engine.memory.reserve({ model, version: "v1", sizeMb: 100, adapters: [], fencing: 0 });
    engine.memory.markReady(model);
    await new TemplateStore(client).create({
      name: "path",
      customer: "path",
      priority: "normal",
      share: 1,
      moveWeight: 0.5,
      models: [{ name: model, version: "v1", sizeMb: 100, adapters: [], replicas: 1 }],
      services: [],
    });
    const node = store.add(new EntryNode({ id: "n1", zone: "z", platformUrl }));
    const entry = `http://127.0.0.1:${await node.start()}`;
    const times = { direct: hdr.build(), entry: hdr.build() };
    for (let i = 0; i < requests; i += 1) {
      times.direct.recordValue(await microseconds(direct));
      times.entry.recordValue(await microseconds(entry));
    }
    const at = (histogram: hdr.Histogram, percentile: number): number =>
      histogram.getValueAtPercentile(percentile) / 1000;
    const both = (histogram: hdr.Histogram): { p50: number; p99: number } => ({
      p50: at(histogram, 50),
      p99: at(histogram, 99),
    });
    const [directMs, entryMs] = [both(times.direct), both(times.entry)];
    const ratio = { p50: entryMs.p50 / directMs.p50, p99: entryMs.p99 / directMs.p99 };
    return { requests, directMs, entryMs, ratio };
  } finally {
    await store.dispose();
  }
}

async function microseconds(address: string): Promise<number> {
  const started = performance.now();
  const response = await fetch(`${address}/v1/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", "x-customer": "path" },
    body: JSON.stringify({ model, prompt: "one two three", max_tokens: 16, stream: true }),
  });
  await response.text();
  if (response.status !== 200) throw new Error(`${address} returned ${response.status}`);
  return Math.round((performance.now() - started) * 1000);
}
