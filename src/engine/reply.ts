/** One completion's answer from the engine stand-in, in the OpenAI shapes (SSE chunks or one JSON body). */
import type * as http from "node:http";
import { sendJson } from "../common/http.ts";
import {
  chunkEvent,
  doneEvent,
  completionBody,
  type CompletionIdentity,
  type FinishReason,
} from "../common/openai.ts";

/** Writes one request's answer, streamed as SSE or whole as JSON. */
export class Reply {
  private text = "";

  constructor(
    private readonly res: http.ServerResponse,
    private readonly identity: CompletionIdentity,
    private readonly streaming: boolean,
  ) {
    if (!streaming) return;
    res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
    res.flushHeaders();
  }

  /** Adds one generated token (sent at once when streaming). */
  token(token: string): void {
    this.text += token;
    if (this.streaming) this.res.write(chunkEvent(this.identity, token));
  }

  /** Tells a streaming caller that its request still waits for its turn (an SSE comment). */
  waiting(): void {
    if (this.streaming && !this.res.destroyed) this.res.write(": waiting\n\n");
  }

  /** Finishes the answer: the last chunk and `[DONE]`, or the whole JSON body. */
  end(reason: FinishReason): void {
    if (this.res.destroyed) return;
    if (this.streaming) this.res.end(chunkEvent(this.identity, undefined, reason) + doneEvent);
    else sendJson(this.res, 200, completionBody(this.identity, this.text, reason));
  }
}
