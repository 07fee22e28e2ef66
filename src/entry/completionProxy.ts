/**
 * Forwards one completion to an engine and relays its answer, streamed or whole. Each request has its own
 * upstream exchange, and every streamed chunk's id is checked against the request's own id, so a caller
 * never receives part of another's answer. Retries on another replica only before any byte reached the caller.
 */
import * as http from "node:http";
import { Failure } from "../common/errors.ts";
import { headers } from "../common/openai.ts";
import type { Engine } from "./fleet.ts";

/** What one forward needs. */
export interface Forward {
  readonly engine: Engine;
  readonly path: string;
  readonly body: string;
  readonly requestId: string;
  readonly priority: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
  readonly res: http.ServerResponse;
}

/** Options of a `CompletionProxy`. */
export interface CompletionProxyOptions {
  /** A connection silent this long (no byte either way) is given up, in ms. */
  readonly idleTimeoutMs?: number;
}

const defaults = { idleTimeoutMs: 5000 };

/** Relays completions; owns the keep-alive agent of its upstream connections. */
export class CompletionProxy {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  private readonly idleTimeoutMs: number;

  constructor(options: CompletionProxyOptions = {}) {
    this.idleTimeoutMs = options.idleTimeoutMs ?? defaults.idleTimeoutMs;
  }

  /**
   * Forwards; resolves `true` when the caller got a whole answer. Rejects with a `Failure` marked
   * `retryable` in `started === false` cases: nothing has been written to the caller yet.
   */
  async forward(forward: Forward): Promise<void> {
    const url = new URL(forward.path, forward.engine.address);
    const remaining = forward.deadline - Date.now();
    if (remaining <= 0)
      throw new Failure("deadline-exceeded", "the deadline passed before an engine was reached");
    await new Promise<void>((resolve, reject) => {
      const upstream = http.request(url, {
        method: "POST",
        agent: this.agent,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(forward.body),
          [headers.requestId]: forward.requestId,
          [headers.priority]: forward.priority,
        },
      });
      const deadlineTimer = setTimeout(() => {
        upstream.destroy(
          new Failure("deadline-exceeded", "the deadline passed during generation", forward.requestId),
        );
      }, remaining);
      // Guards "connection silent for good": no byte for idleTimeoutMs ends the exchange instead of hanging it.
      upstream.setTimeout(this.idleTimeoutMs, () => {
        upstream.destroy(new Failure("upstream-failed", "engine connection went silent", forward.requestId));
      });
      upstream.on("error", (error) => {
        clearTimeout(deadlineTimer);
        reject(
          error instanceof Failure ? error : new Failure("upstream-failed", error.message, forward.requestId),
        );
      });
      upstream.on("response", (response) => {
        if (response.statusCode !== 200) {
          collectFailure(response, forward.requestId).then(reject, reject);
          clearTimeout(deadlineTimer);
          return;
        }
        relay(
          response,
          forward,
          () => {
            clearTimeout(deadlineTimer);
            resolve();
          },
          (failure) => {
            clearTimeout(deadlineTimer);
            reject(failure);
          },
        );
      });
      upstream.end(forward.body);
    });
  }

  /** Closes pooled connections. */
  dispose(): void {
    this.agent.destroy();
  }
}

function relay(
  response: http.IncomingMessage,
  forward: Forward,
  done: () => void,
  fail: (failure: Failure) => void,
): void {
  const { res, requestId } = forward;
  res.writeHead(200, { "content-type": response.headers["content-type"] ?? "application/json" });
  let pending = "";
  const streaming = String(response.headers["content-type"]).startsWith("text/event-stream");
  response.on("data", (chunk: Buffer) => {
    if (!streaming) {
      res.write(chunk);
      return;
    }
    pending += chunk.toString("utf8");
    const events = pending.split("\n\n");
    pending = events.pop() ?? "";
    for (const event of events) {
      // Guards "part of another's answer": a chunk that names another request is never passed on.
      if (!belongsTo(event, requestId)) {
        response.destroy();
        res.destroy();
        fail(new Failure("upstream-failed", "engine sent a chunk of another request", requestId));
        return;
      }
      res.write(`${event}\n\n`);
    }
  });
  response.on("end", () => {
    res.end();
    done();
  });
  response.on("error", (error) => {
    // Headers are sent: the caller sees the stream cut, never a spliced answer.
    res.destroy();
    fail(error instanceof Failure ? error : new Failure("upstream-failed", error.message, requestId));
  });
}

function belongsTo(event: string, requestId: string): boolean {
  const data = event.startsWith("data: ") ? event.slice("data: ".length) : event;
  if (data === "[DONE]") return true;
  try {
    return (JSON.parse(data) as { id?: unknown }).id === requestId;
  } catch {
    return false;
  }
}

async function collectFailure(response: http.IncomingMessage, requestId: string): Promise<Failure> {
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  try {
    const body = JSON.parse(Buffer.concat(chunks).toString("utf8")) as unknown;
    return (
      Failure.fromBody(body) ??
      new Failure("upstream-failed", `engine answered ${response.statusCode}`, requestId)
    );
  } catch {
    return new Failure("upstream-failed", `engine answered ${response.statusCode}`, requestId);
  }
}
