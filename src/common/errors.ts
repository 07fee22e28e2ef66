/**
 * The closed list of error kinds and the table that maps each kind to a response
 * (HTTP status, process exit code, retry advice). Every failure the system reports is a `Failure`.
 */
import * as Schema from "effect/Schema";

/** Every kind of failure the system can report. Closed: add a kind here and in `failureResponses`. */
export const ErrorKind = Schema.Literals([
  "bad-request",
  "bad-settings",
  "bad-template",
  "bad-configuration",
  "bad-registration",
  "body-too-large",
  "unknown-customer",
  "unknown-model",
  "unknown-service",
  "unknown-route",
  "unknown-request",
  "no-configuration",
  "conflict",
  "history-lost",
  "in-progress",
  "no-replica",
  "unreachable",
  "unknown-version",
  "not-run",
  "outcome-unknown",
  "quarantined",
  "draining",
  "platform-unavailable",
  "rate-limited",
  "over-share",
  "overloaded",
  "stale-fencing",
  "over-capacity",
  "upstream-failed",
  "deadline-exceeded",
  "internal",
]);
/** A member of the closed list of error kinds. */
export type ErrorKind = typeof ErrorKind.Type;

/** Response to one kind of failure: HTTP status, CLI exit code, seconds to wait before retrying (0: do not retry). */
export interface FailureResponse {
  readonly status: number;
  readonly exitCode: number;
  readonly retryAfterSeconds: number;
}

/** Responses by kind. `not-run`: provably not executed; `outcome-unknown`: may have been executed. */
export const failureResponses: Readonly<Record<ErrorKind, FailureResponse>> = {
  "bad-request": { status: 400, exitCode: 2, retryAfterSeconds: 0 },
  "bad-settings": { status: 400, exitCode: 78, retryAfterSeconds: 0 },
  "bad-template": { status: 422, exitCode: 65, retryAfterSeconds: 0 },
  "body-too-large": { status: 413, exitCode: 2, retryAfterSeconds: 0 },
  "bad-configuration": { status: 422, exitCode: 65, retryAfterSeconds: 0 },
  "bad-registration": { status: 422, exitCode: 65, retryAfterSeconds: 0 },
  "unknown-customer": { status: 401, exitCode: 67, retryAfterSeconds: 0 },
  "unknown-model": { status: 404, exitCode: 66, retryAfterSeconds: 0 },
  "unknown-service": { status: 404, exitCode: 66, retryAfterSeconds: 0 },
  "unknown-route": { status: 404, exitCode: 66, retryAfterSeconds: 0 },
  "unknown-request": { status: 404, exitCode: 66, retryAfterSeconds: 0 },
  "no-configuration": { status: 503, exitCode: 69, retryAfterSeconds: 0.5 },
  conflict: { status: 409, exitCode: 75, retryAfterSeconds: 0 },
  "history-lost": { status: 410, exitCode: 69, retryAfterSeconds: 0 },
  "in-progress": { status: 409, exitCode: 75, retryAfterSeconds: 1 },
  "no-replica": { status: 503, exitCode: 69, retryAfterSeconds: 2 },
  unreachable: { status: 503, exitCode: 69, retryAfterSeconds: 0.5 },
  "unknown-version": { status: 503, exitCode: 69, retryAfterSeconds: 0.5 },
  "not-run": { status: 503, exitCode: 69, retryAfterSeconds: 1 },
  "outcome-unknown": { status: 504, exitCode: 70, retryAfterSeconds: 0 },
  quarantined: { status: 503, exitCode: 69, retryAfterSeconds: 600 },
  draining: { status: 503, exitCode: 69, retryAfterSeconds: 1 },
  "platform-unavailable": { status: 503, exitCode: 69, retryAfterSeconds: 2 },
  "rate-limited": { status: 429, exitCode: 75, retryAfterSeconds: 1 },
  "over-share": { status: 429, exitCode: 75, retryAfterSeconds: 1 },
  overloaded: { status: 503, exitCode: 69, retryAfterSeconds: 1 },
  "stale-fencing": { status: 409, exitCode: 75, retryAfterSeconds: 0 },
  "over-capacity": { status: 507, exitCode: 73, retryAfterSeconds: 5 },
  "upstream-failed": { status: 502, exitCode: 69, retryAfterSeconds: 1 },
  "deadline-exceeded": { status: 504, exitCode: 70, retryAfterSeconds: 0 },
  internal: { status: 500, exitCode: 70, retryAfterSeconds: 1 },
};

/** Wire format of a failure in HTTP bodies and JSON-RPC error data. */
export const FailureBody = Schema.Struct({
  error: Schema.Struct({
    kind: ErrorKind,
    message: Schema.String,
    retryAfterSeconds: Schema.Number,
    requestId: Schema.optionalKey(Schema.String),
  }),
});
/** A decoded failure body. */
export type FailureBody = typeof FailureBody.Type;

/** A failure of a known kind; `message` states what was expected, what happened and what to do. */
export class Failure extends Error {
  override readonly name = "Failure";

  constructor(
    readonly kind: ErrorKind,
    message: string,
    readonly requestId?: string,
  ) {
    super(message);
  }

  /** The response for this failure's kind. */
  get response(): FailureResponse {
    return failureResponses[this.kind];
  }

  /** This failure as an HTTP / RPC body. */
  toBody(): FailureBody {
    return {
      error: {
        kind: this.kind,
        message: this.message,
        retryAfterSeconds: this.response.retryAfterSeconds,
        ...(this.requestId === undefined ? {} : { requestId: this.requestId }),
      },
    };
  }

  /** Parses a failure from a body sent by a peer; `undefined` if the body is not a failure. */
  static fromBody(body: unknown): Failure | undefined {
    const decoded = Schema.decodeUnknownOption(FailureBody)(body);
    if (decoded._tag === "None") return undefined;
    const { kind, message, requestId } = decoded.value.error;
    return new Failure(kind, message, requestId);
  }
}

/** Wraps any thrown value into a `Failure`; a `Failure` is returned unchanged. */
export function toFailure(error: unknown, kind: ErrorKind = "internal"): Failure {
  if (error instanceof Failure) return error;
  return new Failure(kind, error instanceof Error ? error.message : String(error));
}
