/**
 * Calls plain services. A non-idempotent call needs an `Idempotency-Key`; the key is claimed in the ledger
 * before dispatch and the call is never retried once sent, so it runs at most once.
 */
import { Failure, toFailure } from "../common/errors.ts";
import { headers } from "../common/openai.ts";
import type { ServiceCall, ServiceSpec } from "../common/template.ts";
import type { Ledger } from "./ledger.ts";

/** A service call with its caller's idempotency key and deadline. */
export interface ServiceCallRequest {
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

  /** Runs the call and returns the server's JSON response; rejects with a `Failure`. */
  async run(call: ServiceCallRequest): Promise<unknown> {
    if (call.call.idempotent) return this.send(call);
    if (call.idempotencyKey === undefined || call.idempotencyKey === "") {
      throw new Failure(
        "bad-request",
        `${call.service.name}/${call.call.name} is not idempotent: send an Idempotency-Key`,
      );
    }
    return this.runOnce(call, call.idempotencyKey);
  }

  private async runOnce(call: ServiceCallRequest, key: string): Promise<unknown> {
    const claim = await this.ledger.claim(call.customer, key, call.requestId, call.deadline);
    if (claim.kind === "done") return claim.answer;
    if (claim.kind === "in-progress")
      throw new Failure(
        "in-progress",
        "the call with this idempotency key is still running",
        claim.requestId,
      );
    if (claim.kind === "unknown") {
      throw new Failure(
        "outcome-unknown",
        "the call with this idempotency key may have run; check before retrying",
        claim.requestId,
      );
    }
    try {
      const result = await this.send(call);
      await this.ledger.finish(call.customer, key, call.requestId, claim.version, result);
      return result;
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind === "not-run")
        await this.ledger.release(call.customer, key, call.requestId, claim.version);
      else await this.ledger.markUnknown(call.customer, key, call.requestId, claim.version);
      throw failure;
    }
  }

  private async send(call: ServiceCallRequest): Promise<unknown> {
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
      throw failureOf(error, call.requestId);
    }
    const body = await response.json();
    if (!response.ok)
      throw Failure.fromBody(body) ?? new Failure("upstream-failed", `service returned ${response.status}`);
    return body;
  }
}

/** Connection refused: the request never reached a server, so the call certainly didn't run. Otherwise it may have run. */
function failureOf(error: unknown, requestId: string): Failure {
  const cause = (error as { cause?: { code?: string } }).cause;
  if (cause?.code === "ECONNREFUSED")
    return new Failure("not-run", "the service refused the connection", requestId);
  return new Failure("outcome-unknown", `no response from the service: ${String(error)}`, requestId);
}
