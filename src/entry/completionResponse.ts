/**
 * The response of one completion to its caller, streamed or buffered into one JSON body. It outlives the
 * upstream exchange, so a stream that fails on one engine can be resumed from another.
 */
import type * as http from "node:http";
import { Failure } from "../common/errors.ts";
import { sendJson } from "../common/http.ts";
import {
  chunkEvent,
  doneEvent,
  completionBody,
  type CompletionIdentity,
  type FinishReason,
} from "../common/openai.ts";

/** Options of a `CompletionResponse`. */
export interface CompletionResponseOptions {
  readonly res: http.ServerResponse;
  readonly identity: CompletionIdentity;
  readonly streaming: boolean;
}

/** Sends tokens to one caller in order, each exactly once. */
export class CompletionResponse {
  /** Tokens sent (streaming) or buffered so far; a resumed stream starts after them. */
  deliveredTokens = 0;
  private text = "";

  constructor(private readonly options: CompletionResponseOptions) {}

  /** Id that every chunk of this response must carry. */
  get id(): string {
    return this.options.identity.id;
  }

  /** Whether the caller has disconnected. */
  get callerDisconnected(): boolean {
    return this.options.res.destroyed;
  }

  /** Sends or buffers one token; returns false if the writer should pause until `onDrain`. */
  writeToken(content: string): boolean {
    this.deliveredTokens += 1;
    if (!this.options.streaming) {
      this.text += content;
      return true;
    }
    this.writeHead();
    return this.options.res.write(chunkEvent(this.options.identity, content));
  }

  /** Ends the response: the last chunk and `[DONE]`, or the complete JSON body. */
  end(reason: FinishReason): void {
    const { res, identity, streaming } = this.options;
    if (!streaming) {
      sendJson(res, 200, completionBody(identity, this.text, reason));
      return;
    }
    this.writeHead();
    res.end(chunkEvent(identity, undefined, reason) + doneEvent);
  }

  /**
   * Ends a stream that cannot be completed: sends the failure as an event and no `[DONE]`, so the caller sees
   * at once that the response is incomplete, and why. Returns false if no headers were sent yet, so an HTTP
   * status can still be sent.
   */
  fail(failure: Failure): boolean {
    if (!this.options.res.headersSent) return false;
    this.options.res.end(`data: ${JSON.stringify(failure.toBody())}\n\n`);
    return true;
  }

  /** Calls `listener` when the caller's connection accepts more data. */
  onDrain(listener: () => void): void {
    this.options.res.once("drain", listener);
  }

  /** Calls `listener` if the caller disconnects; returns a function that removes the listener. */
  onDisconnect(listener: () => void): () => void {
    this.options.res.once("close", listener);
    return () => this.options.res.off("close", listener);
  }

  private writeHead(): void {
    if (!this.options.res.headersSent)
      this.options.res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
  }
}
