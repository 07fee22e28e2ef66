/** Ends a request: relays a response, or refuses the request with what is known of whether it ran. */
import { Failure, type ErrorKind } from "../../common/errors.ts";
import type { BufferedResponse } from "./attempt.ts";
import type { RequestLog } from "./requestLog.ts";
import type { ResolvedRoute } from "./routeResolver.ts";
import type { ServedRequest } from "./servedRequest.ts";
import { defaultRetryS, type ServerSelector } from "./serverSelector.ts";

/** Statuses with which a Retry-After is sent. */
const retryableStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Options of a `FinalResponse`. */
export interface FinalResponseOptions {
  readonly request: ServedRequest;
  readonly requestLog: RequestLog;
}

/** The final response of one request. */
export class FinalResponse {
  private readonly request: ServedRequest;

  constructor(private readonly options: FinalResponseOptions) {
    this.request = options.request;
  }

  relay(response: BufferedResponse): void {
    this.request.caller.relay(response);
    this.recordOutcome(`status-${String(response.metadata.status)}`);
  }

  /** Sends the final response when no server served the request. */
  giveUp(): false {
    const { request } = this;
    const { caller, fallbackResponse, selector, target, lastFailure } = request;
    if (caller.disconnected) {
      this.recordOutcome("caller-left");
      return false;
    }
    if (fallbackResponse !== undefined && !caller.started) {
      this.relay(fallbackResponse);
      return false;
    }
    // A node that the request was passed on to states only whether it was run by way of this node.
    if (request.possibleRuns === (caller.forwarded?.runs ?? 0)) {
      this.refuseNotRun(selector.outOfReach ? "unreachable" : request.sends === 0 ? "no-replica" : "not-run");
    } else if (!request.timedOut && request.hasTimeLeft()) {
      this.refuse(new Failure("upstream-failed", `a server of ${target} failed (${lastFailure})`));
    } else {
      this.refuse(new Failure("outcome-unknown", `no response from ${target} in time (${lastFailure})`));
    }
    return false;
  }

  refuseNotRun(kind: ErrorKind): void {
    const { target, lastFailure } = this.request;
    this.refuse(new Failure(kind, `not run: no server of ${target} accepted the request (${lastFailure})`));
  }

  refuse(failure: Failure): void {
    const { status } = failure.response;
    this.request.caller.refuse(failure, retryableStatuses.has(status) ? this.retryAfterS : undefined);
    this.recordOutcome(failure.kind, failure.message);
  }

  recordOutcome(outcome: string, detail?: string): void {
    const { sends, via, metadata, caller } = this.request;
    const from = caller.forwarded?.host;
    // Undefined if the request was refused before its route was found.
    const resolved = this.request.resolved as ResolvedRoute | undefined;
    this.options.requestLog.record(metadata, resolved, { outcome, detail, sends, via, from });
  }

  /** Retry-After of a refusal, s; there is no selector if the request was refused before server selection. */
  private get retryAfterS(): number {
    const selector = this.request.selector as ServerSelector | undefined;
    return this.request.refusalRetryS ?? selector?.retryAfterS ?? defaultRetryS;
  }
}
