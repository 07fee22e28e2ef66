/** Customers as operators configure them: API keys, rank and quota. */
import * as Schema from "effect/Schema";

/** Limit on what a customer may use, over all nodes together. */
export const Quota = Schema.Struct({
  /** What is counted: tokens read and generated, or requests. */
  unit: Schema.Literals(["tokens", "requests"]),
  perS: Schema.Number,
  /** What may be used at once after a time without requests. */
  burst: Schema.Number,
  /** Tokens of a request that doesn't state any. */
  plainTokens: Schema.Number,
});
/** A decoded quota. */
export type Quota = typeof Quota.Type;

/** A customer. */
export const Customer = Schema.Struct({
  name: Schema.String,
  /** Digests of the API keys; see `hashApiKey`. */
  keyHashes: Schema.Array(Schema.String),
  /** 0 is the most urgent; goes before the priority of the route. */
  priority: Schema.optionalKey(Schema.Number),
  /** Unlimited if absent. */
  quota: Schema.optionalKey(Quota),
});
/** A decoded customer. */
export type Customer = typeof Customer.Type;

/** How urgent a request is; 0 is the most urgent. */
export interface Urgency {
  /** May be a fraction. */
  readonly priority: number;
  /** The same order in whole numbers. */
  readonly rank: number;
}

/**
 * Urgency of a request: its customer's priority goes before its route's, which orders requests of the same priority.
 * `levels` is the number of priorities that routes have.
 */
export function urgencyOf(
  route: { readonly priority: number },
  customer: Customer | undefined,
  levels: number,
): Urgency {
  const { priority } = route;
  if (customer?.priority === undefined) return { priority, rank: priority };
  const rank = customer.priority * levels + priority;
  return { priority: rank / levels, rank };
}

/** Size of a request in the unit of the quota. */
export function quotaCost(quota: Quota, tokens: { promptTokens: number; outputTokens: number }): number {
  if (quota.unit === "requests") return 1;
  const stated = tokens.promptTokens + tokens.outputTokens;
  return stated > 0 ? stated : quota.plainTokens;
}
