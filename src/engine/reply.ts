/** One completion's answer from the engine stand-in, in the OpenAI shapes (SSE chunks or one JSON body). */
import type * as http from "node:http";
import { sendJson } from "../common/http.ts";

/** Writes one request's answer, streamed as SSE or whole as JSON. */
export class Reply {
  private text = "";
  private readonly created = Math.floor(Date.now() / 1000);

  constructor(
    private readonly res: http.ServerResponse,
    private readonly id: string,
    private readonly model: string,
    private readonly chat: boolean,
    private readonly streaming: boolean,
  ) {
    if (streaming) res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
  }

  /** Adds one generated token (sent at once when streaming). */
  token(token: string): void {
    this.text += token;
    if (this.streaming) this.send({ content: token }, null);
  }

  /** Finishes the answer: the last chunk and `[DONE]`, or the whole JSON body. */
  end(reason: "stop" | "length" | "cancelled"): void {
    if (this.res.destroyed) return;
    if (this.streaming) {
      this.send({}, reason);
      this.res.end("data: [DONE]\n\n");
      return;
    }
    const choice = this.chat
      ? { index: 0, message: { role: "assistant", content: this.text }, finish_reason: reason }
      : { index: 0, text: this.text, finish_reason: reason };
    sendJson(this.res, 200, {
      id: this.id,
      object: this.chat ? "chat.completion" : "text_completion",
      created: this.created,
      model: this.model,
      choices: [choice],
    });
  }

  private send(delta: { content?: string }, finishReason: string | null): void {
    const chunk = {
      id: this.id,
      object: this.chat ? "chat.completion.chunk" : "text_completion.chunk",
      model: this.model,
      choices: [{ index: 0, delta, finish_reason: finishReason }],
    };
    this.res.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}
