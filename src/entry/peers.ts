/**
 * RPC clients of the other entry nodes. While the platform is unavailable or partitioned from this node, they
 * provide the configuration in force and the known hosts. There is no consensus: each response is a copy of
 * the platform's data, with the platform's own revisions.
 */
import * as Schema from "effect/Schema";
import { RpcClient, type RpcTraffic } from "../common/rpc.ts";

/** Options of `Peers`. */
export interface PeersOptions {
  /** Addresses of the other entry nodes, from the settings. */
  readonly addresses?: readonly string[];
  readonly traffic?: RpcTraffic;
  /** Timeout of one peer's response, in ms. */
  readonly timeoutMs?: number;
}

const defaults = { timeoutMs: 1000 };

/** Calls the other entry nodes, all of them or one after the other until one responds. */
export class Peers {
  private readonly clients: RpcClient[];
  private next = 0;

  constructor(options: PeersOptions = {}) {
    const { traffic, timeoutMs = defaults.timeoutMs, addresses = [] } = options;
    this.clients = addresses.map((url) => new RpcClient({ url, traffic, timeoutMs }));
  }

  /** Calls every peer without waiting; `onFailure` is called for each that failed. */
  broadcast(method: string, params: unknown, onFailure: (error: unknown) => void): void {
    for (const client of this.clients) client.call(method, params, Schema.Unknown).catch(onFailure);
  }

  /** The first response from any peer, starting with a different peer after a failure of all; rejects if none responds. */
  async callAny<A>(method: string, params: unknown, schema: Schema.Codec<A>): Promise<A> {
    const failures: string[] = [];
    for (let i = 0; i < this.clients.length; i += 1) {
      const client = this.clients[(this.next + i) % this.clients.length];
      try {
        const response = await client?.call(method, params, schema);
        if (response !== undefined) return response;
      } catch (error) {
        failures.push(String(error));
      }
    }
    this.next += 1;
    throw new Error(`no peer responded to ${method}: ${failures.join("; ") || "no peers in the settings"}`);
  }
}
