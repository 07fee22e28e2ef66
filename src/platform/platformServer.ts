/**
 * The platform stand-in process: table service, object store, weight store and host list behind one
 * JSON-RPC endpoint (`POST /rpc`), with fault switches. Protocol: docs/PLATFORM.md.
 */
import * as Schema from "effect/Schema";
import { DisposableStore } from "../common/disposables.ts";
import { Failure } from "../common/errors.ts";
import { serve } from "../common/http.ts";
import { createLog } from "../common/log.ts";
import { decodeParams, RpcEndpoint, type Handler } from "../common/rpc.ts";
import * as table from "../common/table.ts";
import { Faults, noFaults } from "./faults.ts";
import { HostList } from "./hostList.ts";
import { Host } from "../common/platformClient.ts";
import { Table } from "./table.ts";
import { WeightStore, type WeightStoreOptions } from "./weightStore.ts";

/** Options of a `PlatformServer`. */
export interface PlatformServerOptions {
  readonly host?: string;
  readonly port?: number;
  /** Host-list lag in ms. */
  readonly hostLagMs?: number;
  readonly weights?: WeightStoreOptions;
}

const defaults = { host: "127.0.0.1", port: 0, hostLagMs: 2000 };

const ObjectParams = Schema.Struct({ key: Schema.String, body: Schema.optionalKey(Schema.String) });
const FetchParams = Schema.Struct({ sizeMb: Schema.Number });

/** Serves the platform stand-in until disposed. */
export class PlatformServer {
  readonly table = new Table();
  readonly objects = new Map<string, string>();
  readonly hosts: HostList;
  readonly weights: WeightStore;
  faults: Faults = { ...noFaults };
  /** The bound port, after `start`. */
  port = 0;
  private readonly options: typeof defaults;
  private readonly store = new DisposableStore();
  private readonly log = createLog("platform");

  constructor(options: PlatformServerOptions = {}) {
    this.options = { ...defaults, ...options };
    this.hosts = new HostList(this.options.hostLagMs);
    this.weights = new WeightStore(options.weights);
  }

  /** Binds and serves; resolves with the port. */
  async start(): Promise<number> {
    const endpoint = new RpcEndpoint(this.handlers());
    const { host, port } = this.options;
    this.port = await serve({
      host,
      port,
      store: this.store,
      handle: (req, res) => endpoint.handle(req, res),
    });
    this.log.info({ event: "listening", port: this.port });
    return this.port;
  }

  /** Stops serving. */
  async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private handlers(): Record<string, Handler> {
    const guarded = (handler: Handler, isCommit = false): Handler => {
      return async (params) => {
        await this.applyFaults();
        const result = await handler(params);
        if (isCommit && this.faults.loseAcks > 0) {
          this.faults = { ...this.faults, loseAcks: this.faults.loseAcks - 1 };
          throw new Failure(
            "platform-unavailable",
            "commit applied but its response was lost (fault switch)",
          );
        }
        return result;
      };
    };
    return {
      "table.get": guarded((p) => Promise.resolve(this.table.get(decodeParams(table.GetParams, p).key))),
      "table.scan": guarded((p) => {
        const { prefix, since } = decodeParams(table.ScanParams, p);
        return Promise.resolve(this.table.scan(prefix, since));
      }),
      "table.commit": guarded(
        (p) => Promise.resolve(this.table.commit(decodeParams(table.CommitParams, p).writes)),
        true,
      ),
      "objects.put": guarded((p) => {
        const { key, body } = decodeParams(ObjectParams, p);
        this.objects.set(key, body ?? "");
        return Promise.resolve({ key });
      }),
      "objects.get": guarded((p) =>
        Promise.resolve(this.objects.get(decodeParams(ObjectParams, p).key) ?? null),
      ),
      "weights.fetch": guarded(async (p) => {
        await this.weights.fetch(decodeParams(FetchParams, p).sizeMb);
        return { ok: true };
      }),
      "hosts.list": guarded(() => Promise.resolve(this.hosts.list())),
      "hosts.set": guarded((p) => {
        this.hosts.set(decodeParams(Host, p));
        return Promise.resolve({ ok: true });
      }),
      // Can be called while the platform is "down", so that a test can clear the fault.
      "faults.set": (p) => {
        this.faults = decodeParams(Faults, p);
        this.log.warn({ event: "faults", faults: this.faults });
        return Promise.resolve(this.faults);
      },
    };
  }

  private async applyFaults(): Promise<void> {
    if (this.faults.slowMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.slowMs));
    if (this.faults.down) throw new Failure("platform-unavailable", "platform is down (fault switch)");
  }
}
