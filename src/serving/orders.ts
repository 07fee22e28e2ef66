/** Orders to engines: what may be asked of one, and what it may answer. */
import type { Emitter } from "../common/emitter.ts";
import type { Resident } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** The engine an order is meant for; another incarnation at that address refuses it. */
export interface OrderTarget {
  readonly serverId: string;
  readonly startedAtMs?: number | undefined;
  /** IP:PORT. */
  readonly address: string;
}

/** One order. */
export interface Order {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string | undefined;
  /** The order is void once the engine has accepted another after this many. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/**
 * `conflict`: another order is under way, or the engine's sequence differs. `wrong-server` and `unreachable`:
 * this incarnation isn't there any more, so the order was not delivered.
 */
export type OrderOutcome =
  "accepted" | "already-holds" | "conflict" | "stale-fencing" | "wrong-server" | "unreachable" | "refused";

/** What an engine says of itself when asked. */
export interface EngineReport {
  /** When the engine's process started, Unix ms; absent where engines don't say. */
  readonly startedAtMs?: number;
  readonly residents: readonly Resident[];
  /** An order is being carried out. */
  readonly busy: boolean;
  readonly sequence: number;
  readonly atHand: readonly string[];
  /** Adapters on their way, as MODEL/NAME. */
  readonly coming: readonly string[];
}

/** What an engine said of itself with the answer to an order or a question. */
export interface EngineNotice {
  readonly target: OrderTarget;
  readonly notice: ServerNotice;
}

/** Speaks to engines. A rejection means that the order may have been accepted, or may still be. */
export interface EngineApi {
  /** Fired with each answer. */
  readonly noticeReceived: Emitter<EngineNotice>;
  order(target: OrderTarget, order: Order): Promise<OrderOutcome>;
  report(target: OrderTarget): Promise<EngineReport>;
}
