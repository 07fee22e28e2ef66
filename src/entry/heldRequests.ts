/**
 * Keeps completions from engines that end under them, whoever's attempt it is: one that was running when three engines
 * ended is refused. Entry nodes tell each other what they saw; what all of them forget, as at a restart of all, is counted
 * anew.
 */
import type { Log } from "../common/log.ts";
import { Failure, toFailure } from "../common/errors.ts";
import { fingerprintOf } from "../serving/quarantine/fingerprint.ts";
import { QuarantineUpdate, type Quarantine } from "../serving/quarantine/quarantine.ts";
import type { Completion } from "./completion.ts";
import type { Engine } from "./fleet.ts";
import type { Peers } from "./peers.ts";

/** The method under which peers are told. */
export const quarantineMethod = "quarantine.news";

/** Options of `HeldRequests`. */
export interface HeldRequestsOptions {
  readonly quarantine: Quarantine;
  readonly peers: Peers;
  readonly log: Log;
}

/** Asked before each try at an engine, told after it. */
export class HeldRequests {
  constructor(private readonly options: HeldRequestsOptions) {}

  /** Identifies what the caller asks: the same at each repeat. */
  identify({ entitlement, request, path }: Completion): string {
    const body = Buffer.from(JSON.stringify(request));
    return fingerprintOf({ method: "POST", host: entitlement.customer, target: path, body });
  }

  /** Rejects a request that is held back with `quarantined`. */
  check(fingerprint: string, requestId: string): void {
    if (this.options.quarantine.timeLeftMs(fingerprint, performance.now()) <= 0) return;
    throw new Failure("quarantined", "held back, as engines ended while they ran it", requestId);
  }

  /** The engine ended, or seemed to, while it ran the request. */
  ended(fingerprint: string, engine: Engine): void {
    const { quarantine, log } = this.options;
    // One that was leaving ends for that reason.
    if (engine.listedLeaving || engine.noticed) return;
    const now = performance.now();
    quarantine.expire(now, false);
    quarantine.recordConnectionLoss(fingerprint, incarnationOf(engine), now);
    log.warn({ event: "request-cut", fingerprint, engine: engine.address });
    this.tell();
  }

  /** The engine ran the request, which was sent at `sentMs`, to its end. */
  served(fingerprint: string, engine: Engine, sentMs: number): void {
    const { quarantine } = this.options;
    quarantine.recordResponse(incarnationOf(engine), sentMs, performance.now());
    quarantine.recordSuccess(fingerprint, performance.now());
    this.tell();
  }

  /** Takes what another entry node saw. */
  hear(news: QuarantineUpdate): void {
    this.options.quarantine.applyUpdate(news, false, performance.now());
  }

  private tell(): void {
    const { quarantine, peers, log } = this.options;
    const news = quarantine.takeUpdate();
    if (news === undefined) return;
    peers.tell(quarantineMethod, news, (error) => {
      log.info({ event: "quarantine-not-told", detail: toFailure(error).message });
    });
  }
}

function incarnationOf({ address, status }: Engine): string {
  return `${address} ${status?.boot ?? ""}`;
}
