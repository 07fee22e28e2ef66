/**
 * The other entry nodes, asked for what the platform cannot tell while it is down or cut off from this
 * node: the configuration in force and the hosts known. Nothing is agreed here; each answer is a copy of
 * what the platform said, with the platform's own revisions.
 */
import * as Schema from "effect/Schema";
import { RpcClient, type RpcTraffic } from "../common/rpc.ts";

/** Options of `Peers`. */
export interface PeersOptions {
  /** Addresses of the other entry nodes, from the settings. */
  readonly addresses?: readonly string[];
  readonly traffic?: RpcTraffic;
  /** How long one peer may take to answer, in ms. */
  readonly timeoutMs?: number;
}

const defaults = { timeoutMs: 1000 };

/** Asks entry nodes one after the other until one answers. */
export class Peers {
  private readonly clients: RpcClient[];
  private next = 0;

  constructor(options: PeersOptions = {}) {
    const { traffic, timeoutMs = defaults.timeoutMs, addresses = [] } = options;
    this.clients = addresses.map((url) => new RpcClient({ url, traffic, timeoutMs }));
  }

  /** Tells every peer; `failed` hears of those that didn't take it. */
  tell(method: string, params: unknown, failed: (error: unknown) => void): void {
    for (const client of this.clients) client.call(method, params, Schema.Unknown).catch(failed);
  }

  /** The first answer any peer gives, beginning with another one each time; rejects if none does. */
  async ask<A>(method: string, params: unknown, schema: Schema.Codec<A>): Promise<A> {
    const failures: string[] = [];
    for (let i = 0; i < this.clients.length; i += 1) {
      const client = this.clients[(this.next + i) % this.clients.length];
      try {
        const answer = await client?.call(method, params, schema);
        if (answer !== undefined) return answer;
      } catch (error) {
        failures.push(String(error));
      }
    }
    this.next += 1;
    throw new Error(`no peer answered ${method}: ${failures.join("; ") || "no peers in the settings"}`);
  }
}
