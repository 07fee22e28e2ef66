/**
 * Quarantines completions under which engines crash, over all attempts and callers: one that was running when three
 * engines crashed is rejected. Entry nodes broadcast their records to each other; nothing is stored, so counting
 * starts over if all of them restart.
 */
import type { Log } from "../common/log.ts";
import { Failure, toFailure } from "../common/errors.ts";
import { fingerprintOf } from "../serving/quarantine/fingerprint.ts";
import { QuarantineUpdate, type Quarantine } from "../serving/quarantine/quarantine.ts";
import type { Completion } from "./completion.ts";
import type { Engine } from "./fleet.ts";
import type { Peers } from "./peers.ts";

/** RPC method of quarantine updates between entry nodes. */
export const quarantineMethod = "quarantine.news";

/** Options of `CompletionQuarantine`. */
export interface CompletionQuarantineOptions {
  readonly quarantine: Quarantine;
  readonly peers: Peers;
  readonly log: Log;
}

/** Checks requests before each attempt at an engine and records the outcome of each attempt. */
export class CompletionQuarantine {
  constructor(private readonly options: CompletionQuarantineOptions) {}

  /** Fingerprint of the request's content: the same for each retry by the caller. */
  fingerprintOfCompletion({ entitlement, request, path }: Completion): string {
    const body = Buffer.from(JSON.stringify(request));
    return fingerprintOf({ method: "POST", host: entitlement.customer, target: path, body });
  }

  /** Throws `quarantined` if the request is quarantined. */
  check(fingerprint: string, requestId: string): void {
    if (this.options.quarantine.timeLeftMs(fingerprint, performance.now()) <= 0) return;
    throw new Failure("quarantined", "request is quarantined: engines crashed while running it", requestId);
  }

  /** Records that the connection was lost while the engine ran the request, as in a crash. */
  recordConnectionLoss(fingerprint: string, engine: Engine): void {
    const { quarantine, log } = this.options;
    // A leaving engine closes connections because it shuts down.
    if (engine.listedLeaving || engine.reportedDraining) return;
    const now = performance.now();
    quarantine.expire(now, false);
    quarantine.recordConnectionLoss(fingerprint, incarnationOf(engine), now);
    log.warn({ event: "request-cut", fingerprint, engine: engine.address });
    this.broadcastUpdate();
  }

  /** Records that the engine completed the request, which was sent at `sentMs` (monotonic clock). */
  recordSuccess(fingerprint: string, engine: Engine, sentMs: number): void {
    const { quarantine } = this.options;
    quarantine.recordResponse(incarnationOf(engine), sentMs, performance.now());
    quarantine.recordSuccess(fingerprint, performance.now());
    this.broadcastUpdate();
  }

  /** Applies another entry node's update. */
  applyUpdate(update: QuarantineUpdate): void {
    this.options.quarantine.applyUpdate(update, false, performance.now());
  }

  private broadcastUpdate(): void {
    const { quarantine, peers, log } = this.options;
    const update = quarantine.takeUpdate();
    if (update === undefined) return;
    peers.broadcast(quarantineMethod, update, (error) => {
      log.info({ event: "quarantine-not-told", detail: toFailure(error).message });
    });
  }
}

function incarnationOf({ address, status }: Engine): string {
  return `${address} ${status?.boot ?? ""}`;
}
