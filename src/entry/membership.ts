/**
 * Entry-node membership through the table service: each node heartbeats a row `entries/<id>`. Callers get
 * the current list from any node (`GET /v1/addresses`), as there is no load balancer in front of the nodes.
 */
import * as Schema from "effect/Schema";
import type { Log } from "../common/log.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import { PeriodicTask } from "../common/supervisor.ts";

/** One entry node as advertised. */
export const Member = Schema.Struct({
  id: Schema.String,
  address: Schema.String,
  zone: Schema.String,
  at: Schema.Number,
});
/** A decoded member. */
export type Member = typeof Member.Type;

/** Options of a `Membership`. */
export interface MembershipOptions {
  readonly platform: PlatformClient;
  readonly log: Log;
  readonly self: Omit<Member, "at">;
  readonly heartbeatMs?: number;
  /** A member whose heartbeat is older than this is not advertised, in ms. */
  readonly staleMs?: number;
}

const defaults = { heartbeatMs: 1000, staleMs: 5000 };
const prefix = "entries/";

/** Sends this node's heartbeats and caches the other members. */
export class Membership extends PeriodicTask {
  private members: Member[] = [];
  private scannedAt = 0;
  private draining = false;
  private readonly options: MembershipOptions & typeof defaults;

  constructor(options: MembershipOptions) {
    super("membership", options.heartbeatMs ?? defaults.heartbeatMs, options.log);
    this.options = { ...defaults, ...options };
  }

  /** Stops advertising this node: removes its row so that no new callers are sent here. */
  async drain(): Promise<void> {
    this.draining = true;
    await super.dispose();
    try {
      await this.options.platform.commit([{ key: prefix + this.options.self.id, value: null }]);
    } catch (error) {
      // The row then expires after `staleMs`.
      this.options.log.warn({ event: "drain-unadvertise-failed", error: String(error) });
    }
  }

  /** Live members, those in `zone` first; a draining node excludes itself. */
  addresses(zone: string | undefined): Member[] {
    // Staleness is measured against the last successful scan, not the current time: while the store is
    // unavailable no heartbeat is renewed, and every node would otherwise go stale and callers get no address.
    const oldestListed = this.scannedAt - this.options.staleMs;
    const self = { ...this.options.self, at: Date.now() };
    const others = this.members.filter((member) => member.id !== self.id);
    return [self, ...others]
      .filter((member) => member.at >= oldestListed)
      .filter((member) => !(this.draining && member.id === this.options.self.id))
      .sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone) || a.id.localeCompare(b.id));
  }

  protected async step(): Promise<void> {
    if (this.draining) return;
    await this.options.platform.commit([
      { key: prefix + this.options.self.id, value: { ...this.options.self, at: Date.now() } },
    ]);
    const { rows } = await this.options.platform.scan(prefix);
    this.scannedAt = Date.now();
    this.members = rows.flatMap((row) => {
      const member = Schema.decodeUnknownOption(Member)(row.value);
      return member._tag === "Some" ? [member.value] : [];
    });
  }
}
