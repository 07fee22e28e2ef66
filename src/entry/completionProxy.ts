/**
 * Forwards one completion to an engine and relays its tokens into the caller's `Answer`. Engines are
 * always asked to stream, also for callers that want the answer whole: a silent connection shows between
 * tokens instead of at the deadline, and an answer that breaks off can be resumed on another engine.
 */
import * as http from "node:http";
import { Failure } from "../common/errors.ts";
import { Chunk, headers, type CompletionRequest } from "../common/openai.ts";
import { decodeEither } from "../common/decode.ts";
import type { Answer } from "./answer.ts";
import type { Engine } from "./fleet.ts";

/** Errors of a connection that its other end closed or reset. */
const cutCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE"]);

/** The connection ended before the answer did, as it does when the engine's process ends. */
export class AnswerCut extends Failure {
  constructor(message: string, requestId: string) {
    super("upstream-failed", message, requestId);
  }
}

/** What one forward needs. */
export interface Forward {
  readonly engine: Engine;
  readonly path: string;
  readonly request: CompletionRequest;
  readonly priority: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
  readonly answer: Answer;
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
   * Forwards what is left of the request; resolves when the answer is whole. Rejects with a `Failure`
   * otherwise; `answer.tokens` then says how much the caller has, and another engine may go on from there.
   */
  async forward(forward: Forward): Promise<void> {
    const { answer } = forward;
    const remaining = forward.deadline - Date.now();
    if (remaining <= 0)
      throw new Failure("deadline-exceeded", "the deadline passed before an engine was reached", answer.id);
    const upstream = this.open(forward);
    let cause: Failure | undefined;
    const broken = (kind: "deadline-exceeded" | "upstream-failed", message: string): void => {
      cause ??= new Failure(kind, message, answer.id);
      upstream.destroy(cause);
    };
    const deadline = setTimeout(() => {
      broken("deadline-exceeded", "the deadline passed during generation");
    }, remaining);
    // Guards "connection silent for good": no byte for idleTimeoutMs ends the exchange instead of hanging it.
    upstream.setTimeout(this.idleTimeoutMs, () => {
      broken("upstream-failed", "engine connection went silent");
    });
    // Guards "an engine works for nobody": a caller that hangs up frees its place on the engine.
    const stopListening = answer.onHangUp(() => {
      broken("upstream-failed", "the caller hung up");
    });
    try {
      await relay(await responseOf(upstream), answer);
    } catch (error) {
      upstream.destroy();
      // Guards "a busy engine is taken for a broken one": once the answer has begun, ending the exchange at
      // the deadline shows as an aborted response, and was held against an engine that did nothing wrong.
      if (cause !== undefined) throw cause;
      if (error instanceof Failure) throw error;
      const { code, message } = error as NodeJS.ErrnoException;
      if (cutCodes.has(code)) throw new AnswerCut(message, answer.id);
      throw new Failure("upstream-failed", error instanceof Error ? message : String(error), answer.id);
    } finally {
      clearTimeout(deadline);
      stopListening();
    }
  }

  /** Closes pooled connections. */
  dispose(): void {
    this.agent.destroy();
  }

  private open(forward: Forward): http.ClientRequest {
    const { answer, request } = forward;
    const body = JSON.stringify({
      ...request,
      stream: true,
      ...(answer.tokens > 0 ? { resume: answer.tokens } : {}),
    });
    const upstream = http.request(new URL(forward.path, forward.engine.address), {
      method: "POST",
      agent: this.agent,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        [headers.requestId]: answer.id,
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

/** Passes each token on; resolves on the stream's own end, rejects on anything short of it. */
async function relay(response: http.IncomingMessage, answer: Answer): Promise<void> {
  if (response.statusCode !== 200) throw await failureOf(response, answer.id);
  // Guards "part of an answer garbled": a character's bytes may arrive in two chunks; decoded chunk by
  // chunk, each half turns into a replacement character.
  response.setEncoding("utf8");
  let pending = "";
  for await (const text of response as AsyncIterable<string>) {
    pending += text;
    const events = pending.split("\n\n");
    pending = events.pop() ?? "";
    for (const event of events) if (await deliver(event, answer)) return;
  }
  // Guards "a cut answer passes for whole": an engine that closes its stream early ends it like any other.
  throw new AnswerCut("the engine's stream ended before its answer did", answer.id);
}

/** Delivers one SSE event; true when it ended the answer. Comments (the engine's "waiting") are skipped. */
async function deliver(event: string, answer: Answer): Promise<boolean> {
  if (!event.startsWith("data: {")) return false;
  const chunk = decodeEither(
    Chunk,
    JSON.parse(event.slice("data: ".length)),
    "upstream-failed",
  ).unsafeCoerce();
  // Guards "part of another's answer": a chunk that names another request is never passed on.
  if (chunk.id !== answer.id)
    throw new Failure("upstream-failed", "engine sent a chunk of another request", answer.id);
  const choice = chunk.choices[0];
  if (choice?.delta.content !== undefined && !answer.token(choice.delta.content)) await drained(answer);
  const reason = choice?.finish_reason ?? null;
  if (reason === null) return false;
  // Guards "a cut answer passes for whole": an engine that stops ends its streams as cancelled.
  if (reason === "cancelled")
    throw new Failure("upstream-failed", "the engine cancelled the stream", answer.id);
  answer.end(reason);
  return true;
}

function drained(answer: Answer): Promise<void> {
  return new Promise((resolve) => {
    answer.onDrain(resolve);
    answer.onHangUp(resolve);
  });
}

async function failureOf(response: http.IncomingMessage, requestId: string): Promise<Failure> {
  const fallback = new Failure("upstream-failed", `engine answered ${response.statusCode}`, requestId);
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  try {
    return Failure.fromBody(JSON.parse(Buffer.concat(chunks).toString("utf8"))) ?? fallback;
  } catch {
    return fallback;
  }
}
