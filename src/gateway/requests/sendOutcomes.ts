/** Handles the outcome of a send: relays the response, sends the request again or gives it up. */
import { isRepeatable } from "../../serving/configuration.ts";
import type { AttemptOutcome, BufferedResponse } from "./attempt.ts";
import type { FinalResponse } from "./finalResponse.ts";
import { serverErrorStatus } from "./sendRecord.ts";
import type { ServedRequest } from "./servedRequest.ts";

/** Options of `SendOutcomes`. */
export interface SendOutcomesOptions {
  readonly request: ServedRequest;
  readonly final: FinalResponse;
}

type Outcome<K extends AttemptOutcome["kind"]> = Extract<AttemptOutcome, { kind: K }>;
/** Returns true if the request is to be sent again; `runs` servers may have run it in this send. */
type Handlers = { readonly [K in AttemptOutcome["kind"]]: (outcome: Outcome<K>, runs: number) => boolean };

/** Outcomes of the sends of one request. */
export class SendOutcomes {
  private readonly request: ServedRequest;
  private readonly final: FinalResponse;
  private readonly handlers: Handlers = {
    answered: ({ response }) => this.onResponse(response),
    streamed: ({ framed }) => {
      this.request.caller.finish(framed);
      this.final.recordOutcome(framed ? "ok" : "unframed");
      return false;
    },
    cancelled: (_outcome, runs) => this.onCancelled(runs),
    unreachable: ({ reason }) => {
      this.request.lastFailure = reason;
      // No request arrived at the server, so sending it elsewhere takes nothing from the retry budget.
      return (this.request.mayResend && this.request.hasTimeLeft()) || this.final.giveUp();
    },
    "not-run": ({ metadata }) => {
      this.request.lastFailure = `refused ${metadata.status}`;
      return this.mayRetry(this.request.mayResend);
    },
    "timed-out": ({ reason }, runs) => {
      this.request.possibleRuns += runs;
      this.request.lastFailure = reason;
      this.request.timedOut = true;
      return this.final.giveUp();
    },
    broken: (outcome, runs) => this.onInterrupted(outcome, runs),
    silent: (outcome, runs) => this.onInterrupted(outcome, runs),
    moved: (outcome, runs) => this.onInterrupted(outcome, runs),
  };

  constructor({ request, final }: SendOutcomesOptions) {
    this.request = request;
    this.final = final;
  }

  /** Returns true if the request is to be sent again; `runs` servers may have run it unless the outcome states otherwise. */
  shouldRetry<K extends AttemptOutcome["kind"]>(outcome: Outcome<K> & { kind: K }, runs = 1): boolean {
    return this.handlers[outcome.kind](outcome, runs);
  }

  /** Whether a retry that is `allowed` fits the caller's time and the retry budget; gives up otherwise. */
  mayRetry(allowed: boolean): boolean {
    if (allowed && this.request.hasTimeLeft() && this.request.budget.tryWithdraw()) return true;
    return this.final.giveUp();
  }

  private onCancelled(runs: number): boolean {
    if (!this.request.abandoned) {
      this.final.recordOutcome("caller-left");
      return false;
    }
    this.request.possibleRuns += runs;
    this.request.timedOut = true;
    this.request.lastFailure = "this node is shutting down";
    return this.final.giveUp();
  }

  private onInterrupted(
    { reason, lastEvent }: Outcome<"broken" | "silent" | "moved">,
    runs: number,
  ): boolean {
    const { request } = this;
    const { caller } = request;
    request.possibleRuns += runs;
    request.lastFailure = reason;
    if (lastEvent !== undefined && caller.started) request.lastEvent = lastEvent;
    // A started stream without event ids can't be resumed.
    if (caller.started && request.lastEvent === undefined) return this.final.giveUp();
    return this.mayRetry(request.mayRunAgain);
  }

  private onResponse(response: BufferedResponse): boolean {
    const { request } = this;
    if (request.caller.started) return this.final.giveUp();
    if (isUnreliable(response) && isRepeatable(request.route)) {
      request.possibleRuns += 1;
      const canRetry = request.mayRunAgain && request.selector.hasAlternative();
      if (canRetry && request.hasTimeLeft() && request.budget.tryWithdraw()) {
        if (response.metadata.status < serverErrorStatus) request.fallbackResponse = response;
        return true;
      }
    }
    const failed = response.metadata.status >= serverErrorStatus;
    this.final.relay(failed ? (request.fallbackResponse ?? response) : response);
    return false;
  }
}

/** Whether the server failed, or its unframed response may have been truncated unnoticed. */
function isUnreliable({ metadata: { status, framed } }: BufferedResponse): boolean {
  return status >= serverErrorStatus || !framed;
}
