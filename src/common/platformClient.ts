/**
 * JSON-RPC client of the platform (table service, weight store and host list) as the stand-in in `src/platform` serves
 * it. Used by everything but gateway nodes, which reach the platform through the adapter in `platform/` at the root.
 */
import * as Schema from "effect/Schema";
import { RpcClient, type RpcTraffic } from "./rpc.ts";
import * as table from "./table.ts";

/** A backend host as the platform's host list reports it. */
export const Host = Schema.Struct({
  address: Schema.String,
  zone: Schema.String,
  kind: Schema.Literals(["engine", "service"]),
  state: Schema.Literals(["live", "leaving"]),
});
/** A decoded host. */
export type Host = typeof Host.Type;

/** Options of a `PlatformClient`. */
export interface PlatformClientOptions {
  /** Base URL of the platform, e.g. `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Per-call timeout in ms. */
  readonly timeoutMs?: number;
  /** Counters to which calls and bytes are added. */
  readonly traffic?: RpcTraffic;
}

/** Typed calls to the platform; failures are `Failure`s (`conflict`, `platform-unavailable`, …). */
export class PlatformClient {
  private readonly rpc: RpcClient;

  constructor(options: PlatformClientOptions) {
    this.rpc = new RpcClient(options);
  }

  /** Reads one row, or null. */
  async get(key: string): Promise<table.Row | null> {
    return this.rpc.call("table.get", { key }, table.GetResult);
  }

  /** Reads rows under `prefix` changed after revision `since`. */
  async scan(prefix: string, since = 0): Promise<table.ScanResult> {
    return this.rpc.call("table.scan", { prefix, since }, table.ScanResult);
  }

  /** Commits writes all-or-nothing. */
  async commit(writes: readonly table.Write[]): Promise<table.CommitResult> {
    return this.rpc.call("table.commit", { writes }, table.CommitResult);
  }

  /** Lists backend hosts; the list lags behind their actual state. */
  async hosts(): Promise<readonly Host[]> {
    return this.rpc.call("hosts.list", {}, Schema.Array(Host));
  }

  /** Records a backend host's state in the host list. */
  async setHost(host: Host): Promise<void> {
    await this.rpc.call("hosts.set", host, Schema.Unknown);
  }

  /** Fetches weights of `sizeMb` from the rate-limited weight store. */
  async fetchWeights(sizeMb: number): Promise<void> {
    await this.rpc.call("weights.fetch", { sizeMb }, Schema.Unknown);
  }

  /** Sets the fault injection of the platform stand-in (tests only). */
  async setFaults(faults: { down: boolean; slowMs: number; loseAcks: number }): Promise<void> {
    await this.rpc.call("faults.set", faults, Schema.Unknown);
  }
}
