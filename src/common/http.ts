/** Small helpers over Node's `http` for JSON bodies with a size limit and failure answers. */
import * as http from "node:http";
import type { DisposableStore } from "./disposables.ts";
import { Failure, toFailure } from "./errors.ts";

/**
 * How long an idle connection is kept open, in ms. Guards "a request meets a closing connection": a server
 * that closes idle connections after Node's 5 s does so just as its callers reuse them; callers' pools
 * give theirs up earlier than this.
 */
const keepAliveMs = 65_000;

/** New connections that may wait to be accepted: callers of a mass restart return together. */
const backlog = 1024;

/** Largest request body accepted by default, in bytes. */
export const defaultBodyLimit = 1024 * 1024;

/** Reads the whole body as JSON; rejects with `body-too-large` past `limit` bytes and `bad-request` on bad JSON. */
export async function readJson(req: http.IncomingMessage, limit = defaultBodyLimit): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limit) throw new Failure("body-too-large", `body is over ${limit} bytes; send a smaller one`);
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  if (text.length === 0) return {};
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new Failure("bad-request", "body is not valid JSON");
  }
}

/** Writes a JSON answer. */
export function sendJson(res: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/** Writes a failure with its status and, where retrying helps, a `Retry-After` header in seconds. */
export function sendFailure(res: http.ServerResponse, failure: Failure): void {
  if (res.headersSent) {
    if (!res.writableEnded) res.destroy();
    return;
  }
  const { status, retryAfterSeconds } = failure.response;
  // Guards "the next request on this connection is reset": after an oversize body the rest of it is still
  // in the socket, so the connection is closed rather than reused for another request.
  if (failure.kind === "body-too-large") res.setHeader("connection", "close");
  if (retryAfterSeconds > 0) res.setHeader("retry-after", String(retryAfterSeconds));
  sendJson(res, status, failure.toBody());
}

/** Starts listening; rejects if the address can't be had. */
export async function bind(server: http.Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, backlog, () => {
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
  if (address === null || typeof address === "string") throw new Failure("internal", "server has no port");
  return address.port;
}

/**
 * Closes a server at once, ending every connection. Graceful stops wait for work in flight before they
 * get here (entry drain, engine drain); without ending active sockets, one long order in flight (a model
 * load) held a stand-in's close for seconds (3.7 s measured in the demo).
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

/** What `serve` needs: where to bind, the request handler, and the store that will close the server. */
export interface ServeOptions {
  readonly host: string;
  readonly port: number;
  readonly store: DisposableStore;
  /** Handles one request; a throw is answered as a `Failure` with its kind's status. */
  readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;
}

/** Creates, binds and registers an HTTP server for closing; resolves with the bound port. */
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
