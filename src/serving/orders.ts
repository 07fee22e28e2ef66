/** Orders to engines and their responses. */
import type { Emitter } from "../common/emitter.ts";
import type { BackendServer, Resident } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** The engine an order is addressed to; another incarnation at that address refuses it. */
export interface OrderTarget {
  readonly serverId: string;
  readonly startedAtMs?: number | undefined;
  /** IP:PORT. */
  readonly address: string;
}

/** The server as the target of calls. */
export function targetOf({ id, startedAtMs, address }: BackendServer): OrderTarget {
  return { serverId: id, startedAtMs, address };
}

/** A load or unload order. */
export interface Order {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string | undefined;
  /** Number of orders the engine has accepted so far; it refuses the order if its own count differs. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/**
 * `conflict`: another order is in progress, or the engine's sequence differs. `wrong-server` and
 * `unreachable`: this incarnation doesn't exist any more, so the order was not delivered.
 */
export type OrderOutcome =
  "accepted" | "already-holds" | "conflict" | "stale-fencing" | "wrong-server" | "unreachable" | "refused";

/** Status of an engine as reported on request. */
export interface EngineReport {
  /** Start time of the engine's process, Unix ms; absent for engines that don't report it. */
  readonly startedAtMs?: number;
  readonly residents: readonly Resident[];
  /** An order is in progress. */
  readonly busy: boolean;
  readonly sequence: number;
  readonly atHand: readonly string[];
  /** Adapters being loaded, as MODEL/NAME. */
  readonly coming: readonly string[];
}

/** A notice that came with an engine's response to an order or a report request. */
export interface EngineNotice {
  readonly target: OrderTarget;
  readonly notice: ServerNotice;
}

/** Calls to engines. A rejected promise means that the order may have been accepted, or may still be. */
export interface EngineApi {
  /** Fired with each response that carries a notice. */
  readonly noticeReceived: Emitter<EngineNotice>;
  order(target: OrderTarget, order: Order): Promise<OrderOutcome>;
  report(target: OrderTarget): Promise<EngineReport>;
}
