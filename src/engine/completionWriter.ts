/** Writes the engine stand-in's response to one completion, in the OpenAI formats (SSE chunks or one JSON body). */
import type * as http from "node:http";
import { sendJson } from "../common/http.ts";
import {
  chunkEvent,
  doneEvent,
  completionBody,
  type CompletionIdentity,
  type FinishReason,
} from "../common/openai.ts";

/** Writes one completion's response, streamed as SSE or as one JSON body. */
export class CompletionWriter {
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

  /** Adds one generated token, sent at once when streaming. */
  writeToken(token: string): void {
    this.text += token;
    if (this.streaming) this.res.write(chunkEvent(this.identity, token));
  }

  /** Sends a streaming caller an SSE comment while its request is queued. */
  writeKeepAlive(): void {
    if (this.streaming && !this.res.destroyed) this.res.write(": waiting\n\n");
  }

  /** Ends the response: the last chunk and `[DONE]`, or the complete JSON body. */
  end(reason: FinishReason): void {
    if (this.res.destroyed) return;
    if (this.streaming) this.res.end(chunkEvent(this.identity, undefined, reason) + doneEvent);
    else sendJson(this.res, 200, completionBody(this.identity, this.text, reason));
  }
}
