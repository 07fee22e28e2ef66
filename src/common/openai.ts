/** OpenAI-style completion messages, sent by callers to entry nodes and by entry nodes to engines. */
import * as Schema from "effect/Schema";

/** One chat message. */
export const ChatMessage = Schema.Struct({ role: Schema.String, content: Schema.String });

/** A chat or text completion request; `messages` for chat, `prompt` for text. */
export const CompletionRequest = Schema.Struct({
  model: Schema.String.check(Schema.isMinLength(1)),
  messages: Schema.optionalKey(Schema.Array(ChatMessage)),
  prompt: Schema.optionalKey(Schema.String),
  stream: Schema.optionalKey(Schema.Boolean),
  max_tokens: Schema.optionalKey(Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 4096 }))),
  adapter: Schema.optionalKey(Schema.String),
  /** Number of response tokens that the caller already has: a resumed stream starts after them. */
  resume: Schema.optionalKey(Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))),
});
/** A decoded completion request. */
export type CompletionRequest = typeof CompletionRequest.Type;

/** The prompt text of a request: its messages joined, or its prompt. */
export function promptOf(request: CompletionRequest): string {
  if (request.messages !== undefined) return request.messages.map((message) => message.content).join("\n");
  return request.prompt ?? "";
}

/** Header names used between callers, entry nodes and engines. */
export const headers = {
  requestId: "x-request-id",
  priority: "x-priority",
  deadlineMs: "x-deadline-ms",
  customer: "x-customer",
  idempotencyKey: "idempotency-key",
} as const;

/** Why a completion ended. */
export const FinishReason = Schema.Literals(["stop", "length", "cancelled"]);
/** A decoded finish reason. */
export type FinishReason = typeof FinishReason.Type;

/** One streamed chunk (SSE `data:` line) of a chat completion. */
export const Chunk = Schema.Struct({
  id: Schema.String,
  object: Schema.String,
  model: Schema.String,
  choices: Schema.Array(
    Schema.Struct({
      index: Schema.Number,
      delta: Schema.Struct({ content: Schema.optionalKey(Schema.String) }),
      finish_reason: Schema.NullOr(FinishReason),
    }),
  ),
});
/** A decoded chunk. */
export type Chunk = typeof Chunk.Type;

/** Fields that identify a completion in its wire formats. */
export interface CompletionIdentity {
  readonly id: string;
  readonly model: string;
  /** True for a chat completion, false for a text completion. */
  readonly chat: boolean;
}

/** One SSE event of a streamed completion: a token, or the end with its reason. */
export function chunkEvent(
  identity: CompletionIdentity,
  content: string | undefined,
  reason?: FinishReason,
): string {
  const chunk: Chunk = {
    id: identity.id,
    object: identity.chat ? "chat.completion.chunk" : "text_completion.chunk",
    model: identity.model,
    choices: [{ index: 0, delta: content === undefined ? {} : { content }, finish_reason: reason ?? null }],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** The SSE event that ends a stream. */
export const doneEvent = "data: [DONE]\n\n";

/** A complete, non-streamed completion as one JSON body. */
export function completionBody(identity: CompletionIdentity, text: string, reason: FinishReason): unknown {
  const choice = identity.chat
    ? { index: 0, message: { role: "assistant", content: text }, finish_reason: reason }
    : { index: 0, text, finish_reason: reason };
  return {
    id: identity.id,
    object: identity.chat ? "chat.completion" : "text_completion",
    created: Math.floor(Date.now() / 1000),
    model: identity.model,
    choices: [choice],
  };
}
