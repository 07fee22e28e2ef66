/**
 * A lease held through a row of the table service. The row version is the fencing number: every renewal
 * raises it, so engines reject an order from a holder that was suspended past the end of its lease.
 */
import * as Schema from "effect/Schema";
import type { PlatformClient } from "../common/platformClient.ts";

const LeaseValue = Schema.Struct({
  holder: Schema.String,
  expiresAt: Schema.Number,
  /** Address at which the holder serves RPCs of other entry nodes. */
  address: Schema.optionalKey(Schema.String),
});

/** Options of a `Lease`. */
export interface LeaseOptions {
  readonly platform: PlatformClient;
  readonly key: string;
  readonly holder: string;
  /** Address at which this holder serves RPCs; published in the lease row. */
  readonly address?: string;
  /** Lease duration in ms. */
  readonly ttlMs?: number;
}

const defaults = { ttlMs: 3000 };
/** Fraction of the lease kept as a safety margin against clock drift between holder and table service. */
const safetyMarginRatio = 0.2;

/** Acquires and renews one lease; `fencing` is valid only while `held()` is true. */
export class Lease {
  /** Fencing number of the current term (the lease row's version), 0 if never held. */
  fencing = 0;
  /** Address of the holder as last read from the lease row, this node included. */
  holderAddress: string | undefined;
  private expiresAt = 0;
  private readonly ttlMs: number;

  constructor(private readonly options: LeaseOptions) {
    this.ttlMs = options.ttlMs ?? defaults.ttlMs;
  }

  /** Whether this holder may act now, by its own clock with the safety margin. */
  held(): boolean {
    return Date.now() < this.expiresAt - this.ttlMs * safetyMarginRatio;
  }

  /** Acquires the lease if it is free or expired, or renews it if this holder has it; returns whether it is held. */
  async renew(): Promise<boolean> {
    const now = Date.now();
    const row = await this.options.platform.get(this.options.key);
    const current = row === null ? undefined : Schema.decodeUnknownOption(LeaseValue)(row.value);
    this.holderAddress = current?._tag === "Some" ? current.value.address : undefined;
    const heldByOther = current?._tag === "Some" && current.value.holder !== this.options.holder;
    if (heldByOther && current.value.expiresAt > now) {
      this.expiresAt = 0;
      return false;
    }
    const { holder, address } = this.options;
    const value = { holder, expiresAt: now + this.ttlMs, ...(address === undefined ? {} : { address }) };
    try {
      const result = await this.options.platform.commit([
        { key: this.options.key, value, expectVersion: row?.version ?? 0 },
      ]);
      this.fencing = result.rows[0]?.version ?? 0;
      this.expiresAt = now + this.ttlMs;
      this.holderAddress = address;
    } catch (error) {
      // Outcome unknown or race lost: treat the lease as not held until a renewal is confirmed.
      this.expiresAt = 0;
      throw error;
    }
    return true;
  }

  /** Releases the lease locally; the row expires by itself. */
  release(): void {
    this.expiresAt = 0;
  }
}
