/** Ties the stream of one request to the software version that began it, over all servers, nodes and attempts. */
import { Failure } from "../../common/errors.ts";
import type { Route, Service } from "../../serving/configuration.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { StreamSink } from "../requests/attempt.ts";
import type { CallerConnection } from "../requests/callerConnection.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { StreamVersionClient } from "./streamVersionTask.ts";

/** Options of a `ResumableStream`. */
export interface ResumableStreamOptions {
  readonly context: GatewayContext;
  readonly streamVersions: StreamVersionClient;
  readonly caller: CallerConnection;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
}

/** Id of the request that brought the first event of the stream; the request's own unless it resumes a stream. */
export function streamIdOf({ resumedRequestId, requestId }: RequestMetadata): string {
  return resumedRequestId ?? requestId;
}

/** The stream of one request; any server may begin it. */
export class ResumableStream {
  /** The version of the server that began the stream, which is the only one that can continue it. */
  softwareVersion: string | undefined;

  constructor(private readonly options: ResumableStreamOptions) {}

  /** Finds the version of a stream that the caller resumes; rejects with `unknown-version` if it can't be found. */
  async findVersion(): Promise<void> {
    const { context, streamVersions, caller, metadata, route, service } = this.options;
    this.softwareVersion = caller.forwarded?.softwareVersion;
    if (this.softwareVersion !== undefined || route.kind !== "stream") return;
    const { lastEventId, resumedRequestId } = metadata;
    if (lastEventId === undefined && resumedRequestId === undefined) return;
    const { source, version } = await streamVersions.findVersion(resumedRequestId, service.name);
    context.metrics.resumedStreams.inc({ service: service.name, source });
    if (source === "unknown") {
      const message =
        "not run: the software version that began the stream is not known here; use another node";
      throw new Failure("unknown-version", message);
    }
    this.softwareVersion = version;
  }

  /**
   * The caller as the destination of events from a server of the version that `versionOf` returns with the first one.
   * `isAnnounced` if this node tells other nodes of the stream.
   */
  sinkOf(versionOf: () => string | undefined, isAnnounced: boolean): StreamSink {
    const { caller } = this.options;
    return {
      open: (rawHeaders, framed) => {
        this.tie(versionOf(), isAnnounced);
        caller.open(rawHeaders, framed);
      },
      write: (bytes) => caller.write(bytes),
      onDrain: (callback) => {
        caller.onDrain(callback);
      },
    };
  }

  /** The first event is about to leave. */
  private tie(version: string | undefined, isAnnounced: boolean): void {
    const { streamVersions, metadata, route, service } = this.options;
    this.softwareVersion ??= version;
    if (version === undefined || !route.resumable) return;
    streamVersions.recordStream({
      ...{ id: streamIdOf(metadata), service: service.name, version },
      ...{ timeoutMs: route.timeoutMs, isAnnounced },
    });
  }
}
