/** The caller's side of one request: reads the body, writes the response and detects a disconnect. */
import type * as http from "node:http";
import { Failure } from "../../common/errors.ts";
import type { HeaderCodec } from "../../serving/exchange.ts";
import type { StreamSink, BufferedResponse } from "./attempt.ts";
import {
  relayedResponseHeaders,
  withoutNodeHeaders,
  type ForwardedRequest,
  type RelayedResponse,
} from "./forwardedRequest.ts";

/** Options of a `CallerConnection`. */
export interface CallerConnectionOptions {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly codec: HeaderCodec;
  /** Earliest possible arrival time of the request at this node, ms. */
  readonly arrivedMs: number;
  /** Set if another node passed the request on to this one; the connection is that node's. */
  readonly forwarded?: ForwardedRequest | undefined;
  /** Whether the node is stopping; the connection is then closed after the response. */
  readonly stopping: () => boolean;
}

/** Wraps a request and its response. */
export class CallerConnection implements StreamSink {
  readonly req: http.IncomingMessage;
  readonly arrivedMs: number;
  readonly forwarded: ForwardedRequest | undefined;
  private server: RelayedResponse["server"];
  private readonly res: http.ServerResponse;
  private disconnectCallback: (() => void) | undefined;
  private isDisconnected = false;
  /** Whether the response was started from a framed one. */
  private openedFramed = true;
  /** The response has neither a length nor chunks. */
  private endsWithConnection = false;

  constructor(private readonly options: CallerConnectionOptions) {
    const { req, res, arrivedMs, forwarded } = options;
    this.req = req;
    this.forwarded = forwarded;
    this.res = res;
    this.arrivedMs = arrivedMs;
    const handleDisconnect = (): void => {
      if (this.isDisconnected || res.writableFinished) return;
      this.isDisconnected = true;
      this.disconnectCallback?.();
    };
    // The response closes several event-loop iterations after the caller has ended its connection, so the end of the socket
    // is observed too.
    const { socket } = req;
    socket.once("end", handleDisconnect);
    res.on("close", () => {
      socket.removeListener("end", handleDisconnect);
      handleDisconnect();
    });
    res.on("error", () => undefined);
    req.on("error", () => undefined);
  }

  /** The caller's headers, without those of a node that passed the request on. */
  get rawHeaders(): readonly string[] {
    const { rawHeaders } = this.req;
    return this.forwarded === undefined ? rawHeaders : withoutNodeHeaders(rawHeaders);
  }

  /** Whether the caller closed the connection before the response was complete. */
  get disconnected(): boolean {
    return this.isDisconnected;
  }

  /** Resolves once the response was handed to the operating system, or the connection is closed. */
  flushed(): Promise<void> {
    if (this.res.writableFinished || this.res.destroyed) return Promise.resolve();
    return new Promise((resolve) => {
      this.res.once("close", resolve);
      this.res.once("finish", resolve);
    });
  }

  /** Whether the response headers were already written. */
  get started(): boolean {
    return this.res.headersSent;
  }

  /** Sets the callback for a disconnect of the caller. */
  onDisconnect(callback: (() => void) | undefined): void {
    this.disconnectCallback = callback;
  }

  /** Reads the whole body; rejects with `body-too-large` past `limit` bytes. */
  async readBody(limit: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of this.req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit)
        throw new Failure("body-too-large", `request body exceeds the limit of ${limit} bytes`);
      chunks.push(chunk);
    }
    return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
  }

  /**
   * The request is being sent to the server. The node that passed it on is told, as it may have to judge how many servers
   * ran the request if this node fails.
   */
  recordSend({ id, startedAtMs, softwareVersion }: NonNullable<RelayedResponse["server"]>): void {
    if (this.forwarded === undefined) return;
    this.server = {
      id,
      ...(startedAtMs === undefined ? {} : { startedAtMs }),
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
    };
    if (!this.res.headersSent) this.res.writeProcessing();
  }

  open(rawHeaders: readonly string[], framed: boolean): void {
    if (this.res.headersSent) return;
    this.openedFramed = framed;
    this.closeIfStopping();
    if (!framed && !this.isPeers) this.omitFraming();
    this.res.writeHead(200, this.responseHeaders(rawHeaders, framed));
    // Callers of HTTP/1.0 get no chunks.
    this.endsWithConnection ||= !this.res.chunkedEncoding;
  }

  write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  onDrain(callback: () => void): void {
    this.res.once("drain", callback);
  }

  /**
   * Ends the stream whose last part ended; `framed` as in `ResponseMetadata`. The response is aborted if its framing would
   * state that it is complete and the last part didn't.
   */
  finish(framed: boolean): void {
    if (framed || !this.openedFramed) this.res.end();
    else this.abort();
  }

  /** Closes the connection so that a partial response can't be taken for complete. */
  abort(): void {
    // A regular close is how a response without framing ends.
    if (this.endsWithConnection) this.res.socket?.resetAndDestroy();
    this.res.destroy();
  }

  /** Relays a server's response unchanged. */
  relay(response: BufferedResponse): void {
    this.closeIfStopping();
    const { framed } = response.metadata;
    const headers = this.responseHeaders(response.rawHeaders, framed);
    const { status, contentLength } = response.metadata;
    const length = this.req.method === "HEAD" ? contentLength : response.body.length;
    if (!framed && !this.isPeers) this.omitFraming();
    else if (status !== 204 && status !== 304 && length !== undefined)
      headers.push("Content-Length", String(length));
    this.res.writeHead(status, headers);
    this.res.end(response.body);
  }

  /** Responds with a failure of the gateway; `retryAfterS` is sent as Retry-After. */
  refuse(failure: Failure, retryAfterS?: number): void {
    if (this.res.headersSent) {
      this.abort();
      return;
    }
    // The rest of an oversized body is still in the socket, so no other request can follow.
    if (failure.kind === "body-too-large") this.res.shouldKeepAlive = false;
    this.closeIfStopping();
    const body = JSON.stringify(failure.toBody());
    const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(body))];
    if (this.forwarded !== undefined) {
      const { requestId } = this.options.codec.readRequest(this.req.headers);
      headers.push(...relayedResponseHeaders({ failure: { kind: failure.kind, requestId } }));
    }
    if (retryAfterS !== undefined) headers.push("Retry-After", retryAfterS.toFixed(2));
    this.res.writeHead(failure.response.status, headers);
    this.res.end(body);
  }

  /**
   * The response ends with its connection, as the server's did: with framing added by the gateway, a truncated response
   * would look complete to the caller.
   */
  private omitFraming(): void {
    this.endsWithConnection = true;
    this.res.useChunkedEncodingByDefault = false;
    this.res.shouldKeepAlive = false;
  }

  /**
   * Whether the connection is another node's, which is told in a header whether the server's response was framed. Its own
   * framing lets that node tell a response that this node broke off.
   */
  private get isPeers(): boolean {
    return this.forwarded !== undefined;
  }

  private responseHeaders(raw: readonly string[], framed: boolean): string[] {
    const headers = this.options.codec.responseHeaders(raw);
    if (this.forwarded === undefined) return headers;
    const { server } = this;
    headers.push(...relayedResponseHeaders({ framed, ...(server === undefined ? {} : { server }) }));
    return headers;
  }

  private closeIfStopping(): void {
    if (this.options.stopping()) this.res.shouldKeepAlive = false;
  }
}
