/**
 * Calls plain services. A call marked non-idempotent needs an `Idempotency-Key`; it is claimed in the
 * ledger before dispatch and never retried once sent, so it runs at most once.
 */
import { Failure, toFailure } from "../common/errors.ts";
import { headers } from "../common/openai.ts";
import type { ServiceCall, ServiceSpec } from "../common/template.ts";
import type { Ledger } from "./ledger.ts";

/** One service call to make. */
export interface Call {
  readonly customer: string;
  readonly service: ServiceSpec;
  readonly call: ServiceCall;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string;
  readonly body: unknown;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
}

/** Makes service calls; round-robins across a service's servers. */
export class ServiceCaller {
  private next = 0;

  constructor(private readonly ledger: Ledger) {}

  /** Runs the call and returns the server's JSON answer; failures are `Failure`s. */
  async run(call: Call): Promise<unknown> {
    if (call.call.idempotent) return this.send(call);
    if (call.idempotencyKey === undefined || call.idempotencyKey === "") {
      throw new Failure(
        "bad-request",
        `${call.service.name}/${call.call.name} is not idempotent: send an Idempotency-Key`,
      );
    }
    return this.runOnce(call, call.idempotencyKey);
  }

  private async runOnce(call: Call, key: string): Promise<unknown> {
    const begun = await this.ledger.begin(call.customer, key, call.requestId, call.deadline);
    if (begun.kind === "done") return begun.answer;
    if (begun.kind === "in-progress")
      throw new Failure("in-progress", "this key's call is still running", begun.requestId);
    if (begun.kind === "unknown") {
      throw new Failure(
        "outcome-unknown",
        "this key's call may have run; check before retrying",
        begun.requestId,
      );
    }
    try {
      const answer = await this.send(call);
      await this.ledger.finish(call.customer, key, call.requestId, begun.version, answer);
      return answer;
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind === "not-run")
        await this.ledger.release(call.customer, key, call.requestId, begun.version);
      else await this.ledger.markUnknown(call.customer, key, call.requestId, begun.version);
      throw failure;
    }
  }

  private async send(call: Call): Promise<unknown> {
    const server = call.service.servers[this.next % call.service.servers.length] ?? call.service.servers[0];
    this.next += 1;
    let response: Response;
    try {
      response = await fetch(`${server}/calls/${call.call.name}`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          [headers.requestId]: call.requestId,
          ...(call.idempotencyKey === undefined ? {} : { [headers.idempotencyKey]: call.idempotencyKey }),
        },
        body: JSON.stringify(call.body),
        signal: AbortSignal.timeout(Math.max(1, call.deadline - Date.now())),
      });
    } catch (error) {
      throw classify(error, call.requestId);
    }
    const body = await response.json();
    if (!response.ok)
      throw Failure.fromBody(body) ?? new Failure("upstream-failed", `service answered ${response.status}`);
    return body;
  }
}

/** Connection refused means the request never reached a server: provably not run. Anything else may have run. */
function classify(error: unknown, requestId: string): Failure {
  const cause = (error as { cause?: { code?: string } }).cause;
  if (cause?.code === "ECONNREFUSED")
    return new Failure("not-run", "the service refused the connection", requestId);
  return new Failure("outcome-unknown", `the service did not answer: ${String(error)}`, requestId);
}
