/**
 * What is known about the candidates of one server choice. The estimates come from different parts of the node; a choice
 * sees them through this view only, so that no part depends on another.
 */
import type { BackendServer } from "./backendServer.ts";
import type { Load } from "./loadTracker.ts";
import type { Health } from "./outlierDetector.ts";

/** How a server gets the shared part of a prompt that it hasn't cached from another server's cache. */
export interface PrefixFetch {
  /** IP:PORT of the server that has it. */
  readonly source: string;
  /** Leading prompt tokens cached there. */
  readonly tokens: number;
  /** Expected time of the transfer, ms. */
  readonly transferMs: number;
}

/** What a server is expected to have cached of a prompt. */
export interface CachedPrefix {
  /** Leading prompt tokens; undefined if nothing is known, so that the estimate by hash applies. */
  readonly tokens: number | undefined;
  /** Time since the server stated it, ms; undefined if nothing is known. */
  readonly ageMs?: number | undefined;
  /** The best server to fetch more of it from; undefined if none is known to have more. */
  readonly fetch?: PrefixFetch | undefined;
}

/** Knowledge about servers for one request. Members that a node has no estimate for are absent. */
export interface ServerView {
  readonly load: (serverId: string) => Load;
  readonly health: (serverId: string) => Health;
  /** Processing speed relative to a typical server of its service; 1 if absent. */
  readonly speed?: ((server: BackendServer) => number) | undefined;
  /** Whether its current pace admits another request; always if absent. */
  readonly admits?: ((server: BackendServer) => boolean) | undefined;
  /** Whether to send this request there to learn whether the server has recovered; never if absent. */
  readonly explores?: ((server: BackendServer) => boolean) | undefined;
  /**
   * Time of one call of a plain server, ms, if most of the calls that peers reported in flight have ended by now;
   * undefined if `load` is recent enough.
   */
  readonly outdatedCallMs?: ((server: BackendServer) => number | undefined) | undefined;
  /**
   * Time that requests in flight at a plain server take beyond what its rate of responses explains, ms: they aren't
   * outdated, however old the reports are; 0 if absent.
   */
  readonly unexplainedWaitMs?: ((server: BackendServer) => number) | undefined;
  /** Requests that a server has got fewer from this node than its chances add up to; chosen at random if absent. */
  readonly turn?: ((serverId: string) => number) | undefined;
  /** Cost of sending this request to the server's availability zone, ms; a constant for other zones if absent. */
  readonly crossingMs?: ((server: BackendServer) => number) | undefined;
  /** Cached part of this request's prompt; estimated from the preferred server of its prefix if absent. */
  readonly cached?: ((server: BackendServer) => CachedPrefix) | undefined;
  /** Delay that a prefill of this time causes to the streams that run on the server, as a cost in ms; 0 if absent. */
  readonly decodingCostMs?: ((server: BackendServer, prefillMs: number) => number) | undefined;
}
