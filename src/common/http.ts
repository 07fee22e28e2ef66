/** Helpers over Node's `http`: JSON bodies with a size limit, failure responses, listening and closing. */
import * as http from "node:http";
import * as zlib from "node:zlib";
import type { DisposableStore } from "./disposables.ts";
import { Failure, toFailure } from "./errors.ts";

/**
 * How long an idle connection is kept open, in ms. Longer than the idle timeout of callers' connection pools:
 * with Node's default of 5 s the server closes idle connections just as callers reuse them, and requests fail.
 */
const keepAliveMs = 65_000;

/** Length of the accept queue: after a mass restart all callers reconnect at the same time. */
const acceptBacklog = 1024;

/** Largest request body accepted by default, in bytes. */
export const defaultBodyLimitBytes = 1024 * 1024;

/** Reads the whole body as JSON; rejects with `body-too-large` past `limitBytes` and `bad-request` on invalid JSON. */
export async function readJson(
  req: http.IncomingMessage,
  limitBytes = defaultBodyLimitBytes,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes)
      throw new Failure(
        "body-too-large",
        `request body exceeds the limit of ${limitBytes} bytes; send a smaller one`,
      );
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  if (text.length === 0) return {};
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new Failure("bad-request", "request body is not valid JSON");
  }
}

/** Smaller JSON responses aren't compressed, bytes. */
const minCompressedBytes = 300;

/** Writes a JSON response, compressed if `deflate` is set and it becomes shorter. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
  { deflate = false } = {},
): void {
  const plain = Buffer.from(JSON.stringify(body));
  const isCompressed = deflate && plain.length >= minCompressedBytes;
  const bytes = isCompressed ? zlib.deflateSync(plain) : plain;
  res.writeHead(status, {
    "content-type": "application/json",
    ...(isCompressed ? { "content-encoding": "deflate" } : {}),
    "content-length": bytes.length,
  });
  res.end(bytes);
}

/** Writes a failure with its status and, if the request can be retried, a `Retry-After` header in seconds. */
export function sendFailure(res: http.ServerResponse, failure: Failure): void {
  if (res.headersSent) {
    if (!res.writableEnded) res.destroy();
    return;
  }
  const { status, retryAfterSeconds } = failure.response;
  // After an oversized body the rest of it is still unread in the socket, and the next request on the connection would
  // be reset. The connection is therefore closed instead of reused.
  if (failure.kind === "body-too-large") res.setHeader("connection", "close");
  if (retryAfterSeconds > 0) res.setHeader("retry-after", String(retryAfterSeconds));
  sendJson(res, status, failure.toBody());
}

/** Starts listening; rejects if the address can't be bound. */
export async function bind(server: http.Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, acceptBacklog, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Starts listening and resolves with the bound port (useful with port 0). */
export async function listen(server: http.Server, host: string, port: number): Promise<number> {
  server.keepAliveTimeout = keepAliveMs;
  await bind(server, host, port);
  const address = server.address();
  if (address === null || typeof address === "string")
    throw new Failure("internal", "server is not bound to a TCP port");
  return address.port;
}

/**
 * Closes a server immediately, including its active connections. Graceful shutdown waits for requests in flight
 * before calling this (entry drain, engine drain). If active sockets were left open, one long-running order such as
 * a model load would delay closing by seconds (3.7 s measured in the demo).
 */
export async function close(server: http.Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/** The first value of a request header, if present. */
export function headerOf(req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Options of `serve`: bind address, request handler, and the store that will close the server. */
export interface ServeOptions {
  readonly host: string;
  readonly port: number;
  readonly store: DisposableStore;
  /** Handles one request; a thrown error is sent as a `Failure` with the status of its kind. */
  readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;
}

/** Creates and binds an HTTP server and registers it for closing; resolves with the bound port. */
export async function serve(options: ServeOptions): Promise<number> {
  const server = http.createServer((req, res) => {
    options.handle(req, res).catch((error: unknown) => {
      sendFailure(res, toFailure(error));
    });
  });
  const port = await listen(server, options.host, options.port);
  options.store.add(() => close(server));
  return port;
}
