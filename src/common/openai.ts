/** The OpenAI-style completion messages that callers send to entry nodes and entry nodes send to engines. */
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

/** One streamed chunk (SSE `data:` line) of a chat completion. */
export const Chunk = Schema.Struct({
  id: Schema.String,
  object: Schema.String,
  model: Schema.String,
  choices: Schema.Array(
    Schema.Struct({
      index: Schema.Number,
      delta: Schema.Struct({ content: Schema.optionalKey(Schema.String) }),
      finish_reason: Schema.NullOr(Schema.String),
    }),
  ),
});
/** A decoded chunk. */
export type Chunk = typeof Chunk.Type;
