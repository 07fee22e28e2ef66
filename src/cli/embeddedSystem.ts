/**
 * The embedded system: platform stand-in, engine and service stand-ins and two entry nodes as tasks in a single
 * process on loopback. Used by `demo`.
 */
import { DisposableStore } from "../common/disposables.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { EngineServer } from "../engine/engineServer.ts";
import { EntryNode } from "../entry/entryNode.ts";
import { PlatformServer } from "../platform/platformServer.ts";
import { ServiceServer } from "../service/serviceServer.ts";
import { andes, ovaseker, type ServiceAddresses } from "./sampleTemplates.ts";
import { TemplateStore } from "../common/templateStore.ts";

/** The components of an embedded system. */
export class EmbeddedSystem {
  readonly platform = new PlatformServer({ hostLagMs: 0 });
  readonly engines: EngineServer[] = [];
  readonly services = new Map<keyof ServiceAddresses, ServiceServer>();
  readonly entries: EntryNode[] = [];
  private readonly disposables = new DisposableStore();

  /** Starts all components and writes the sample templates; resolves once each model is ready on an engine. */
  async start(): Promise<void> {
    const platformUrl = `http://127.0.0.1:${await this.platform.start()}`;
    this.disposables.add(this.platform);
    const client = new PlatformClient({ url: platformUrl });
    for (const [i, zone] of ["zone-a", "zone-a", "zone-b", "zone-b"].entries()) {
      const engine = new EngineServer({
        id: `engine-${i + 1}`,
        zone,
        capacityMb: 40_000,
        platformUrl,
        loadMs: 20,
      });
      const port = await engine.start();
      this.disposables.add(engine);
      this.engines.push(engine);
      await client.setHost({ address: `http://127.0.0.1:${port}`, zone, kind: "engine", state: "live" });
    }
    const addresses: Record<string, string> = {};
    for (const name of ["catalog", "weighbridge", "slips"] as const) {
      const service = new ServiceServer({ name });
      addresses[name] = `http://127.0.0.1:${await service.start()}`;
      this.disposables.add(service);
      this.services.set(name, service);
    }
    const templates = new TemplateStore(client);
    await templates.create(andes(addresses as ServiceAddresses));
    await templates.create(ovaseker(addresses as ServiceAddresses));
    for (const [i, zone] of ["zone-a", "zone-b"].entries()) {
      const entry = new EntryNode({ id: `entry-${i + 1}`, zone, platformUrl, pollMs: 200 });
      await entry.start();
      this.disposables.add(entry);
      this.entries.push(entry);
    }
    await this.waitUntilPlaced();
  }

  /** Base URL of entry node `i`. */
  entryUrl(i: number): string {
    return `http://127.0.0.1:${this.entries[i]?.port ?? 0}`;
  }

  async dispose(): Promise<void> {
    await this.disposables.dispose();
  }

  private async waitUntilPlaced(timeoutMs = 10_000): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    const expectedModels = ["syllabus-8b", "counter-3b", "intake-8b"];
    while (Date.now() < deadline) {
      const ready = new Set(
        this.engines.flatMap((e) =>
          e.memory
            .list()
            .filter((r) => r.state === "ready")
            .map((r) => r.model),
        ),
      );
      if (expectedModels.every((model) => ready.has(model))) {
        for (const entry of this.entries) await entry.fleet.refresh();
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error("models were not placed within the timeout");
  }
}
