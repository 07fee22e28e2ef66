/**
 * Forwards one completion to an engine and relays its tokens into the caller's `CompletionResponse`. Engines
 * are always asked to stream, also for callers that want one JSON body: an unresponsive connection shows
 * between tokens instead of at the deadline, and an interrupted response can be resumed on another engine.
 */
import * as http from "node:http";
import { Failure } from "../common/errors.ts";
import { Chunk, headers, type CompletionRequest } from "../common/openai.ts";
import { decodeEither } from "../common/decode.ts";
import type { CompletionResponse } from "./completionResponse.ts";
import type { Engine } from "./fleet.ts";

/** Error codes of a connection that the peer closed or reset. */
const connectionLostCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE"]);

/** The connection was lost before the response was complete, as happens when the engine process crashes. */
export class IncompleteResponse extends Failure {
  constructor(message: string, requestId: string) {
    super("upstream-failed", message, requestId);
  }
}

/** Options of one `CompletionProxy.forward` call. */
export interface ForwardOptions {
  readonly engine: Engine;
  readonly path: string;
  readonly request: CompletionRequest;
  readonly priority: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
  readonly response: CompletionResponse;
}

/** Options of a `CompletionProxy`. */
export interface CompletionProxyOptions {
  /** A connection without any byte in either direction for this long is aborted, in ms. */
  readonly idleTimeoutMs?: number;
}

const defaults = { idleTimeoutMs: 5000 };

/** Relays completions; owns the keep-alive agent of the upstream connections. */
export class CompletionProxy {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  private readonly idleTimeoutMs: number;

  constructor(options: CompletionProxyOptions = {}) {
    this.idleTimeoutMs = options.idleTimeoutMs ?? defaults.idleTimeoutMs;
  }

  /**
   * Forwards the rest of the request; resolves when the response is complete. Rejects with a `Failure`
   * otherwise; another engine can then resume after `response.deliveredTokens`.
   */
  async forward(forward: ForwardOptions): Promise<void> {
    const { response } = forward;
    const remaining = forward.deadline - Date.now();
    if (remaining <= 0)
      throw new Failure("deadline-exceeded", "the deadline passed before an engine was reached", response.id);
    const upstream = this.sendUpstream(forward);
    let cause: Failure | undefined;
    const abort = (kind: "deadline-exceeded" | "upstream-failed", message: string): void => {
      cause ??= new Failure(kind, message, response.id);
      upstream.destroy(cause);
    };
    const deadline = setTimeout(() => {
      abort("deadline-exceeded", "the deadline passed during generation");
    }, remaining);
    // An unresponsive connection ends the exchange after idleTimeoutMs instead of blocking until the deadline.
    upstream.setTimeout(this.idleTimeoutMs, () => {
      abort("upstream-failed", "engine sent no data within the idle timeout");
    });
    // A disconnected caller cancels the upstream request, which frees its slot on the engine.
    const stopListening = response.onDisconnect(() => {
      abort("upstream-failed", "the caller disconnected");
    });
    try {
      await relay(await responseOf(upstream), response);
    } catch (error) {
      upstream.destroy();
      // Prevents a busy engine from being ejected as failed: once the response has started, aborting the exchange
      // at the deadline surfaces as an aborted response, which isn't the engine's fault.
      if (cause !== undefined) throw cause;
      if (error instanceof Failure) throw error;
      const { code, message } = error as NodeJS.ErrnoException;
      if (connectionLostCodes.has(code)) throw new IncompleteResponse(message, response.id);
      throw new Failure("upstream-failed", error instanceof Error ? message : String(error), response.id);
    } finally {
      clearTimeout(deadline);
      stopListening();
    }
  }

  /** Closes pooled connections. */
  dispose(): void {
    this.agent.destroy();
  }

  private sendUpstream(forward: ForwardOptions): http.ClientRequest {
    const { response, request } = forward;
    const body = JSON.stringify({
      ...request,
      stream: true,
      ...(response.deliveredTokens > 0 ? { resume: response.deliveredTokens } : {}),
    });
    const upstream = http.request(new URL(forward.path, forward.engine.address), {
      method: "POST",
      agent: this.agent,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        [headers.requestId]: response.id,
        [headers.priority]: forward.priority,
      },
    });
    upstream.end(body);
    return upstream;
  }
}

function responseOf(upstream: http.ClientRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    upstream.on("error", reject);
    upstream.once("response", resolve);
  });
}

/** Relays each token; resolves on the finish reason, rejects if the stream ends without one. */
async function relay(upstreamResponse: http.IncomingMessage, response: CompletionResponse): Promise<void> {
  if (upstreamResponse.statusCode !== 200) throw await failureOf(upstreamResponse, response.id);
  // A character's bytes may arrive in two chunks; decoded separately, each half would become a replacement
  // character.
  upstreamResponse.setEncoding("utf8");
  let pending = "";
  for await (const text of upstreamResponse as AsyncIterable<string>) {
    pending += text;
    const events = pending.split("\n\n");
    pending = events.pop() ?? "";
    for (const event of events) if (await deliver(event, response)) return;
  }
  // A stream closed early ends like a complete one, so only a finish reason counts as complete.
  throw new IncompleteResponse("the engine closed the stream before the response was complete", response.id);
}

/** Relays one SSE event; true when it ended the response. Comments (the engine's keep-alives) are skipped. */
async function deliver(event: string, response: CompletionResponse): Promise<boolean> {
  if (!event.startsWith("data: {")) return false;
  const chunk = decodeEither(
    Chunk,
    JSON.parse(event.slice("data: ".length)),
    "upstream-failed",
  ).unsafeCoerce();
  // Prevents leaking another caller's tokens: a chunk with another request's id is never relayed.
  if (chunk.id !== response.id)
    throw new Failure("upstream-failed", "engine sent a chunk of another request", response.id);
  const choice = chunk.choices[0];
  if (choice?.delta.content !== undefined && !response.writeToken(choice.delta.content))
    await writable(response);
  const reason = choice?.finish_reason ?? null;
  if (reason === null) return false;
  // A stopping engine ends its streams with reason "cancelled"; the response isn't complete then.
  if (reason === "cancelled")
    throw new Failure("upstream-failed", "the engine cancelled the stream", response.id);
  response.end(reason);
  return true;
}

function writable(response: CompletionResponse): Promise<void> {
  return new Promise((resolve) => {
    response.onDrain(resolve);
    response.onDisconnect(resolve);
  });
}

async function failureOf(upstreamResponse: http.IncomingMessage, requestId: string): Promise<Failure> {
  const fallback = new Failure(
    "upstream-failed",
    `engine responded with status ${upstreamResponse.statusCode}`,
    requestId,
  );
  const chunks: Buffer[] = [];
  for await (const chunk of upstreamResponse as AsyncIterable<Buffer>) chunks.push(chunk);
  try {
    return Failure.fromBody(JSON.parse(Buffer.concat(chunks).toString("utf8"))) ?? fallback;
  } catch {
    return fallback;
  }
}
