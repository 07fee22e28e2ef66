/** The log line and the metric of one request. */
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { ResolvedRoute } from "./routeResolver.ts";

/** A request that may have been unread in the socket buffer for longer than this is logged as read late, ms. */
const lateReadThresholdMs = 100;
/** Outcomes of requests that were served; logged at debug level only. */
const servedOutcomes: ReadonlySet<string> = new Set(["ok", "status-200"]);

/** How a request ended. */
export interface RequestEnd {
  /** A status, or the kind of a failure. */
  readonly outcome: string;
  readonly detail: string | undefined;
  readonly sends: number;
  /** Host of the peer that it was passed on to last. */
  readonly via: string | undefined;
  /** Host that passed it on to this one. */
  readonly from: string | undefined;
}

/** Records the end of one request. */
export class RequestLog {
  private readonly readAtMs = performance.now();

  /** `maxUnreadMs` is the longest time for which the request may have been unread in the socket buffer, ms. */
  constructor(
    private readonly context: GatewayContext,
    private readonly maxUnreadMs: number,
  ) {}

  /** Records the end; `resolved` is undefined if the request was refused before its route was found. */
  record(metadata: RequestMetadata, resolved: ResolvedRoute | undefined, end: RequestEnd): void {
    const { metrics, configuration, log } = this.context;
    const service = resolved?.service.name;
    const kind = resolved?.route.kind ?? "none";
    metrics.requests.inc({ kind, service: service ?? "none", outcome: end.outcome });
    const line = {
      event: "request",
      requestId: metadata.requestId,
      route: resolved?.route.name,
      service,
      customer: resolved?.customer?.name,
      model: metadata.model,
      adapter: metadata.adapter,
      version: configuration.current?.version,
      sends: end.sends,
      tookMs: Math.round(performance.now() - this.readAtMs),
      outcome: end.outcome,
      detail: end.detail,
      resumes: metadata.resumedRequestId,
      via: end.via,
      from: end.from,
      ...(this.maxUnreadMs > lateReadThresholdMs ? { readLateMs: Math.round(this.maxUnreadMs) } : {}),
    };
    if (servedOutcomes.has(end.outcome)) log.debug(line);
    else log.info(line);
  }
}
