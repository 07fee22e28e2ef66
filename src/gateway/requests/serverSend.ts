/** One send of a request to a server: its headers and time limits, and what its progress tells the rest of the node. */
import type { Route, Service } from "../../serving/configuration.ts";
import type { Urgency } from "../../serving/customers/customer.ts";
import { maxRank } from "../../serving/decoding/decodingReport.ts";
import type { RequestMetadata, RunCopy } from "../../serving/exchange.ts";
import type { ServerEstimate } from "../../serving/serverChoice.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import { Attempt, type AttemptOptions } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";

/** Smaller responses don't count for the expected size. */
const minResponseBytes = 100;

/** Options of `sendToServer`. */
export interface ServerSendOptions extends Pick<
  AttemptOptions,
  "body" | "sink" | "firstByteTimeoutMs" | "eventGapTimeoutMs" | "responseTimeoutMs"
> {
  readonly context: GatewayContext;
  readonly caller: CallerConnection;
  readonly metadata: RequestMetadata;
  readonly route: Pick<Route, "name">;
  readonly service: Service;
  readonly candidate: ServerEstimate;
  readonly urgency: Urgency;
  /** Name of the customer for whom it runs. */
  readonly customer: string | undefined;
  /** Latest time of the complete response, ms. */
  readonly responseDeadlineMs: number;
  /** Event after which a started stream goes on. */
  readonly resumeAfterEventId: number | undefined;
  /** IP:PORT of the engine that keeps a copy of the run, and the copy that the send continues. */
  readonly backupTo: string | undefined;
  readonly continueFrom: RunCopy | undefined;
  readonly onFirstByte: () => void;
  /** As in `AttemptListener`. */
  readonly onEventGap: ((gapMs: number) => void) | undefined;
}

/** Sends the request to the server; the attempt's outcome states how it ended. */
export function sendToServer(options: ServerSendOptions): Attempt {
  const { context, caller, metadata, route, service, candidate, urgency, customer, body, sink } = options;
  const { resumeAfterEventId, backupTo, continueFrom } = options;
  const { firstByteTimeoutMs, eventGapTimeoutMs, responseTimeoutMs } = options;
  const { server } = candidate;
  const sentMs = performance.now();
  const crossesZone = server.zone !== context.zone;
  return new Attempt(
    {
      server,
      agent: context.pool.agent(server.id),
      codec: context.codec,
      method: caller.req.method ?? "GET",
      path: caller.req.url ?? "/",
      headers: context.codec.forwardHeaders(caller.rawHeaders, {
        serverId: server.id,
        deadlineMs: Math.max(1, Math.floor(options.responseDeadlineMs - sentMs)),
        customer,
        fetchFrom: candidate.fetch?.source,
        priority: service.engine === undefined ? undefined : Math.min(maxRank, urgency.rank),
        ...{ resumeAfterEventId, backupTo, continueFrom },
        bodyBytes: body?.length,
      }),
      body,
      requestId: metadata.requestId,
      sink,
      lastDeliveredEvent: resumeAfterEventId ?? metadata.lastEventId,
      isContinuation: continueFrom !== undefined,
      ...{ firstByteTimeoutMs, eventGapTimeoutMs, responseTimeoutMs },
    },
    {
      onConnected: () => {
        context.reachability.recordConnected(server.id, performance.now());
      },
      onResponse: (response) => {
        const { notice } = response;
        const now = performance.now();
        context.concurrency.recordResponse(server, notice.rejectionsPerS, sentMs, now);
        context.pool.setKeepAlive(server.id, response.keepAliveS);
        context.notices.recordNotice(server, notice, sentMs, now, context.watermark.readUpToMs);
      },
      onFirstByte: options.onFirstByte,
      onEventGap: (gapMs) => options.onEventGap?.(gapMs),
      onProgress: () => {
        context.reachability.recordHeard(server.id, performance.now());
      },
      onTraffic: (sentBytes, receivedBytes) => {
        // A response of a few bytes is a refusal, or none.
        if (receivedBytes >= minResponseBytes) context.responseSizes.observe(route.name, receivedBytes);
        if (!crossesZone) return;
        context.metrics.recordCrossZone("server-request", sentBytes);
        context.metrics.recordCrossZone("server-response", receivedBytes);
      },
    },
  );
}
