/**
 * The idempotency ledger: a non-idempotent call is recorded in the table service before it is dispatched,
 * so a retry with the same key gets the first response (or "in progress") and never a second execution.
 */
import { setTimeout as sleep } from "node:timers/promises";
import * as Schema from "effect/Schema";
import { Failure, toFailure } from "../common/errors.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import type { Row } from "../common/table.ts";

const Entry = Schema.Struct({
  state: Schema.Literals(["started", "done", "not-run", "unknown"]),
  requestId: Schema.String,
  /** Epoch ms after which a `started` call can no longer be running under its owner. */
  deadline: Schema.optionalKey(Schema.Number),
  answer: Schema.optionalKey(Schema.Unknown),
});
type Entry = typeof Entry.Type;

/** Time past a claim's deadline after which its owner counts as gone, in ms; covers clock skew between nodes. */
const deadlineGraceMs = 250;

/** Options of a `Ledger`. */
export interface LedgerOptions {
  readonly platform: PlatformClient;
  /** Pause between attempts to revoke an abandoned claim, in ms, and the number of attempts. */
  readonly revokeRetryMs?: number;
  readonly revokeAttempts?: number;
}

const defaults = { revokeRetryMs: 1000, revokeAttempts: 900 };

/** Result of `claim`: run the call now (`claim`, with the row version), or respond from the ledger. */
export type ClaimResult =
  | { readonly kind: "claim"; readonly version: number }
  | { readonly kind: "done"; readonly answer: unknown }
  | { readonly kind: "in-progress"; readonly requestId: string }
  | { readonly kind: "unknown"; readonly requestId: string };

/** Keeps one row per customer and idempotency key, `idempotency/<customer>/<key>`. */
export class Ledger {
  private readonly options: LedgerOptions & typeof defaults;
  private readonly platform: PlatformClient;
  private disposed = false;

  constructor(options: LedgerOptions) {
    this.options = { ...defaults, ...options };
    this.platform = options.platform;
  }

  /** Stops revoking claims in the background. */
  dispose(): void {
    this.disposed = true;
  }

  /**
   * Claims the key for `requestId`. Throws `not-run` if the table service is unreachable and the claim isn't
   * known to have been written: nothing was dispatched, so the call certainly didn't run.
   */
  async claim(customer: string, key: string, requestId: string, deadline: number): Promise<ClaimResult> {
    const rowKey = rowKeyOf(customer, key);
    try {
      const result = await this.platform.commit([
        { key: rowKey, value: { ...entry("started", requestId), deadline }, expectVersion: 0 },
      ]);
      return { kind: "claim", version: result.rows[0]?.version ?? 1 };
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind !== "conflict" && failure.kind !== "platform-unavailable") throw failure;
      return this.afterFailedClaim(rowKey, requestId, deadline);
    }
  }

  /** Records the response of a claimed key. Best effort: on failure the row stays `started`, so the call isn't rerun. */
  async finish(
    customer: string,
    key: string,
    requestId: string,
    version: number,
    answer: unknown,
  ): Promise<void> {
    await this.write(customer, key, { state: "done", requestId, answer }, version);
  }

  /** Records that a claimed call certainly did not run, so a retry may claim it again. */
  async release(customer: string, key: string, requestId: string, version: number): Promise<void> {
    await this.write(customer, key, entry("not-run", requestId), version);
  }

  /** Records that a claimed call may or may not have run. */
  async markUnknown(customer: string, key: string, requestId: string, version: number): Promise<void> {
    await this.write(customer, key, entry("unknown", requestId), version);
  }

  private async write(customer: string, key: string, value: Entry, version: number): Promise<void> {
    try {
      await this.platform.commit([{ key: rowKeyOf(customer, key), value, expectVersion: version }]);
    } catch {
      // The row keeps its earlier state; a retry gets its response from it and never runs twice.
    }
  }

  private async afterFailedClaim(rowKey: string, requestId: string, deadline: number): Promise<ClaimResult> {
    let row: Row | null;
    try {
      row = await this.platform.get(rowKey);
    } catch {
      void this.revokeClaim(rowKey, requestId);
      throw new Failure("not-run", "the idempotency ledger is unreachable; nothing was run", requestId);
    }
    if (row === null) {
      void this.revokeClaim(rowKey, requestId);
      throw new Failure("not-run", "the idempotency claim was not recorded; nothing was run", requestId);
    }
    const stored = Schema.decodeUnknownSync(Entry)(row.value);
    // A claim whose acknowledgement was lost is found here under this request's own id.
    if (stored.state === "started" && stored.requestId === requestId)
      return { kind: "claim", version: row.version };
    // The owner of a claim past its deadline finished or died without recording the outcome, so whether the call
    // ran is unknown; reporting that instead of "in progress" lets the caller check rather than wait forever.
    if (stored.state === "started" && (stored.deadline ?? 0) + deadlineGraceMs < Date.now()) {
      return { kind: "unknown", requestId: stored.requestId };
    }
    if (stored.state === "started") return { kind: "in-progress", requestId: stored.requestId };
    if (stored.state === "unknown") return { kind: "unknown", requestId: stored.requestId };
    if (stored.state === "done") return { kind: "done", answer: stored.answer };
    return this.reclaim(rowKey, requestId, row.version, deadline);
  }

  private async reclaim(
    rowKey: string,
    requestId: string,
    version: number,
    deadline: number,
  ): Promise<ClaimResult> {
    try {
      const result = await this.platform.commit([
        { key: rowKey, value: { ...entry("started", requestId), deadline }, expectVersion: version },
      ]);
      return { kind: "claim", version: result.rows[0]?.version ?? version + 1 };
    } catch {
      void this.revokeClaim(rowKey, requestId);
      throw new Failure("not-run", "could not claim the idempotency key again; nothing was run", requestId);
    }
  }

  /**
   * Revokes a claim whose write had an unknown outcome when its caller got `not-run`. The claim may have been
   * written all the same, or may still be; with nobody running it, every retry would get "in progress" and then
   * "outcome unknown" forever. Only this node knows that the call wasn't dispatched, so it marks the row as
   * not run once it finds its own claim there.
   */
  private async revokeClaim(rowKey: string, requestId: string): Promise<void> {
    for (let attempt = 0; attempt < this.options.revokeAttempts && !this.disposed; attempt += 1) {
      await sleep(this.options.revokeRetryMs, undefined, { ref: false });
      try {
        const row = await this.platform.get(rowKey);
        if (row === null) continue;
        const stored = Schema.decodeUnknownSync(Entry)(row.value);
        if (stored.state !== "started" || stored.requestId !== requestId) return;
        const value = entry("not-run", requestId);
        await this.platform.commit([{ key: rowKey, value, expectVersion: row.version }]);
        return;
      } catch {
        // The store is still unreachable, or the row has just changed: retry.
      }
    }
  }
}

function entry(state: Entry["state"], requestId: string): Entry {
  return { state, requestId };
}

function rowKeyOf(customer: string, key: string): string {
  return `idempotency/${customer}/${encodeURIComponent(key)}`;
}
