/**
 * Decides which runs get a backup, and where: those whose loss can't be made good otherwise, which last long enough to be
 * lost, and whose copy takes little of the memory that other requests need.
 */
import type { BackendServer } from "../backendServer.ts";
import { isRepeatable, type Route } from "../configuration.ts";
import {
  engineTwins,
  hasRoomFor,
  leastUsedOfTwo,
  type CopySubject,
  type CopyTargetView,
} from "./copyTargets.ts";
import { tokensOf, type RunSize } from "./runSize.ts";

/** A run that generates for a shorter time than this, ms, is rarely lost, and its caller soon knows. */
const minGenerationMs = 1_000;
/** Larger runs, as part of the engine's memory, take more from other requests than their loss costs. */
const maxRunRatio = 0.05;
/**
 * Part of the memory of all engines of a service that backups may use, which is divided between the nodes. Nodes don't tell
 * each other of their copies, as that would add a tenth to the traffic between zones; copies spread unevenly, so that
 * single engines hold up to three times as much.
 */
const meanCopyRatio = 0.1;

/** Input of `chooseBackup`. */
export interface BackupInput extends CopyTargetView {
  readonly route: Route;
  readonly size: RunSize;
  readonly source: BackendServer;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Time of a decoding step, which generates one token, ms. */
  readonly stepMs: number;
  /** Servers that are ready, reachable from this node and not ejected. */
  readonly candidates: () => readonly BackendServer[];
  /** Tokens of the copies for runs of this node, at all engines of the service. */
  readonly ownCopyTokens: number;
  /** Number of engines of the service, and of nodes that send to them. */
  readonly engines: number;
  readonly nodes: number;
}

/** Where the run is backed up, or why it isn't. */
export type BackupDecision =
  | { readonly kind: "copy"; readonly target: BackendServer; readonly tokens: number }
  | { readonly kind: "none"; readonly reason: NoBackupReason };

/**
 * `resumable`: the caller's route allows another server anyway. `budget`: the copies of this node already take its share of
 * the engines' memory.
 */
export type NoBackupReason = "resumable" | "short" | "large" | "budget" | "no-engine" | "no-room";

/** Decides on the backup of a run that is about to be sent to `source`. */
export function chooseBackup(input: BackupInput): BackupDecision {
  const { route, size, source, model, adapter, stepMs, capacityTokens } = input;
  const none = (reason: NoBackupReason): BackupDecision => ({ kind: "none", reason });
  if (!isLostWithServer(route)) return none("resumable");
  if (size.outputTokens * stepMs < minGenerationMs) return none("short");
  const tokens = tokensOf(size);
  if (tokens > maxRunRatio * capacityTokens) return none("large");
  // A node with few requests may always back up one of them.
  const ownLimit = Math.max(tokens, (meanCopyRatio * capacityTokens * input.engines) / input.nodes);
  if (input.ownCopyTokens + tokens > ownLimit) return none("budget");
  const subject: CopySubject = { source, model, adapter, tokens };
  // The copy is sent for each run, and traffic between zones costs more than the few runs that it would save.
  const engines = engineTwins(input.candidates(), subject).filter(({ zone }) => zone === source.zone);
  if (engines.length === 0) return none("no-engine");
  const target = leastUsedOfTwo(
    input,
    engines.filter((server) => hasRoomFor(input, server, tokens)),
  );
  return target === undefined ? none("no-room") : { kind: "copy", target, tokens };
}

/** Whether a run of the route is lost if its server is, as it may not be repeated or resumed on another one. */
export function isLostWithServer(route: Route): boolean {
  return !isRepeatable(route) || route.maxAttempts === 1;
}
