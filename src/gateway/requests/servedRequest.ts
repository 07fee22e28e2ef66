/** State of one caller request while it is served, shared by the steps that serve it. */
import { isRepeatable, type Model, type Route, type Service } from "../../serving/configuration.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { RequestDeadlines } from "../../serving/requestDeadlines.ts";
import type { RetryBudget } from "../../serving/retryBudget.ts";
import { firstByteTimeoutMs } from "../../serving/sendRules.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { QuarantineCheck } from "../quarantine/quarantineCheck.ts";
import type { ResumableStream } from "../streams/resumableStream.ts";
import type { Attempt, BufferedResponse } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import type { QuotaCheck } from "./quotaCheck.ts";
import type { ResolvedRoute } from "./routeResolver.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { ServerSelector } from "./serverSelector.ts";

/** Refused sends allowed on top of the route's `maxAttempts`; bounds the retries of a request that no server runs. */
const maxExtraRefusedSends = 3;
/** Time reserved before the caller's deadline for writing the final response, ms. */
export const responseMarginMs = 40;

/** Options of a `ServedRequest`. */
export interface ServedRequestOptions {
  readonly context: GatewayContext;
  readonly caller: CallerConnection;
  readonly budgetFor: (service: string) => RetryBudget;
}

/** One request. Members without an initial value are set while it is prepared. */
export class ServedRequest {
  readonly context: GatewayContext;
  readonly caller: CallerConnection;
  /** Earliest possible arrival time, ms. */
  readonly arrivedMs: number;
  metadata!: RequestMetadata;
  resolved!: ResolvedRoute;
  deadlines!: RequestDeadlines;
  selector!: ServerSelector;
  body: Buffer | undefined;
  quarantine!: QuarantineCheck;
  record!: SendRecord;
  stream!: ResumableStream;
  quota: QuotaCheck | undefined;
  /** Retry-After, s, where the request is refused regardless of the available servers. */
  refusalRetryS: number | undefined;
  sends = 0;
  /** IPs of peers to which the request was passed on; the name of the last one's host. */
  readonly triedPeers = new Set<string>();
  via: string | undefined;
  /** Sends after which the server may have run the request. */
  possibleRuns: number;
  lastEvent: number | undefined;
  attempt: Attempt | undefined;
  lastFailure = "";
  timedOut = false;
  abandoned = false;
  /** Response to relay if no retry yields a better one. */
  fallbackResponse: BufferedResponse | undefined;

  constructor(private readonly options: ServedRequestOptions) {
    const { context, caller } = options;
    this.context = context;
    this.caller = caller;
    const { arrivedMs, forwarded } = caller;
    this.arrivedMs = arrivedMs - (forwarded?.ageMs ?? 0);
    this.possibleRuns = forwarded?.runs ?? 0;
  }

  get route(): Route {
    return this.resolved.route;
  }

  get service(): Service {
    return this.resolved.service;
  }

  /** Name of the customer for whom the request runs. */
  get customer(): string | undefined {
    return this.resolved.customer?.name;
  }

  /** The requested model, if the service runs on engines. */
  get model(): Model | undefined {
    return this.service.engine?.models.find((m) => m.name === this.metadata.model);
  }

  /** What was to serve the request, for messages. */
  get target(): string {
    const { model } = this.metadata;
    return `${this.service.name}${model === undefined ? "" : ` model ${model}`}`;
  }

  /** Retries of the service that the node may still make. */
  get budget(): RetryBudget {
    return this.options.budgetFor(this.service.name);
  }

  /** Whether the request was sent to a server or passed on to a peer, so that it may have run. */
  get hasBeenSent(): boolean {
    return this.sends > 0 || this.triedPeers.size > 0;
  }

  /** Whether a send that surely didn't run may be repeated. */
  get mayResend(): boolean {
    return this.sends < this.route.maxAttempts + maxExtraRefusedSends;
  }

  /** Whether a send that may have run may be repeated. */
  get mayRunAgain(): boolean {
    return isRepeatable(this.route) && this.possibleRuns < this.route.maxAttempts;
  }

  hasTimeLeft(): boolean {
    return this.deadlines.responseDeadlineMs - performance.now() > responseMarginMs;
  }

  firstByteTimeoutMs(nowMs: number, expectedFirstByteMs: number, hasAlternative: boolean): number {
    const timeLeftMs = this.deadlines.firstByteDeadlineMs - nowMs;
    const { route, possibleRuns: priorRuns } = this;
    return firstByteTimeoutMs({ route, priorRuns, timeLeftMs, expectedFirstByteMs, hasAlternative });
  }

  observeFirstByte(): void {
    const labels = { kind: this.route.kind, service: this.service.name };
    this.context.metrics.firstByte.observe(labels, (performance.now() - this.arrivedMs) / 1000);
  }
}
