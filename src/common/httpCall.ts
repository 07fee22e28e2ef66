/** A single HTTP call with a small body and a timeout, for control traffic (store, orders, peers). */
import * as http from "node:http";
import * as zlib from "node:zlib";
import { Failure } from "./errors.ts";
import { setTimeoutAfterInput } from "./readWatermark.ts";

/** Parameters of a call. */
export interface HttpCall {
  readonly agent: http.Agent;
  readonly ip: string;
  readonly port: number;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** From the start of the call to the end of its response, ms. */
  readonly timeoutMs: number;
}

/** The response to a call. */
export interface HttpReply {
  readonly status: number;
  readonly text: string;
  /** Size of the body as received, bytes. */
  readonly bytes: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** Maximum size of a compressed response after decompression, bytes. */
const maxExpandedBytes = 64 * 1_048_576;

/**
 * Makes the call. Rejects with `not-run` if the connection is refused, `upstream-failed` on any other connection error
 * and `deadline-exceeded` on timeout. After the latter two it is unknown whether the call was executed. The connection
 * of a call that timed out is reset, so that data still in transit is discarded rather than delivered late.
 */
export function callHttp(call: HttpCall): Promise<HttpReply> {
  return new Promise((resolve, reject) => {
    const target = `${call.method} ${call.ip}:${call.port}${call.path.split("?")[0] ?? ""}`;
    const body = call.body === undefined ? undefined : Buffer.from(call.body);
    const req = http.request({
      agent: call.agent,
      host: call.ip,
      port: call.port,
      method: call.method,
      path: call.path,
      headers: {
        ...call.headers,
        ...(body === undefined
          ? {}
          : { "content-type": "application/json", "content-length": String(body.length) }),
      },
    });
    let completed = false;
    const timer = setTimeoutAfterInput(call.timeoutMs, () => {
      if (completed) return;
      reject(new Failure("deadline-exceeded", `${target}: no response within ${call.timeoutMs} ms`));
      req.socket?.resetAndDestroy();
      req.destroy();
    });
    const fail = (error: NodeJS.ErrnoException): void => {
      clearTimeout(timer);
      const kind = error.code === "ECONNREFUSED" ? "not-run" : "upstream-failed";
      reject(new Failure(kind, `${target}: ${error.message}`));
    };
    req.on("error", fail);
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("error", fail);
      res.on("end", () => {
        clearTimeout(timer);
        completed = true;
        const body = Buffer.concat(chunks);
        try {
          const text = expanded(body, res.headers["content-encoding"]).toString("utf8");
          resolve({ status: res.statusCode ?? 0, text, bytes: body.length, headers: res.headers });
        } catch (error) {
          reject(new Failure("upstream-failed", `${target}: ${String(error)}`));
        }
      });
    });
    req.end(body);
  });
}

function expanded(body: Buffer, encoding: string | undefined): Buffer {
  return encoding === "deflate" ? zlib.inflateSync(body, { maxOutputLength: maxExpandedBytes }) : body;
}
