/** The caller's side of one request: reads the body, writes the response and detects a disconnect. */
import type * as http from "node:http";
import { Failure } from "../common/errors.ts";
import type { HeaderCodec } from "../serving/exchange.ts";
import type { StreamSink, BufferedResponse } from "./attempt.ts";

/** Options of a `CallerConnection`. */
export interface CallerConnectionOptions {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly codec: HeaderCodec;
  /** Earliest possible arrival time of the request, ms. */
  readonly arrivedMs: number;
  /** Whether the node is stopping; the connection is then closed after the response. */
  readonly stopping: () => boolean;
}

/** Wraps a request and its response. */
export class CallerConnection implements StreamSink {
  readonly req: http.IncomingMessage;
  readonly arrivedMs: number;
  private readonly res: http.ServerResponse;
  private disconnectCallback: (() => void) | undefined;
  private isDisconnected = false;

  constructor(private readonly options: CallerConnectionOptions) {
    const { req, res, arrivedMs } = options;
    this.req = req;
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

  open(rawHeaders: readonly string[]): void {
    if (this.res.headersSent) return;
    this.closeIfStopping();
    this.res.writeHead(200, this.options.codec.responseHeaders(rawHeaders));
  }

  write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  onDrain(callback: () => void): void {
    this.res.once("drain", callback);
  }

  /** Ends a completely written stream. */
  finish(): void {
    this.res.end();
  }

  /** Destroys the connection so that a partial stream can't be taken for complete. */
  abort(): void {
    this.res.destroy();
  }

  /** Relays a server's response unchanged. */
  relay(response: BufferedResponse): void {
    this.closeIfStopping();
    const headers = this.options.codec.responseHeaders(response.rawHeaders);
    if (!response.metadata.framed) {
      this.relayUnframed(response, headers);
      return;
    }
    const length = this.req.method === "HEAD" ? (response.metadata.contentLength ?? 0) : response.body.length;
    if (response.metadata.status !== 204 && response.metadata.status !== 304)
      headers.push("Content-Length", String(length));
    this.res.writeHead(response.metadata.status, headers);
    this.res.end(response.body);
  }

  /**
   * Relays a response without framing as received. With a length added by the gateway, a truncated response would look
   * complete to the caller.
   */
  private relayUnframed(response: BufferedResponse, headers: string[]): void {
    this.res.useChunkedEncodingByDefault = false;
    this.res.shouldKeepAlive = false;
    this.res.writeHead(response.metadata.status, headers);
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
    if (retryAfterS !== undefined) headers.push("Retry-After", retryAfterS.toFixed(2));
    this.res.writeHead(failure.response.status, headers);
    this.res.end(body);
  }

  private closeIfStopping(): void {
    if (this.options.stopping()) this.res.shouldKeepAlive = false;
  }
}
