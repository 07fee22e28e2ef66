/**
 * The caller's side of one completion: what has been delivered so far, streamed or gathered whole. It
 * outlives the engine it came from, so a stream that breaks on one engine can go on from another.
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

/** Options of an `Answer`. */
export interface AnswerOptions {
  readonly res: http.ServerResponse;
  readonly identity: CompletionIdentity;
  readonly streaming: boolean;
}

/** Delivers tokens in order to one caller, each exactly once. */
export class Answer {
  /** Tokens delivered (streamed) or gathered (whole) so far; a resumed stream starts after them. */
  tokens = 0;
  private text = "";

  constructor(private readonly options: AnswerOptions) {}

  /** Id every chunk of this answer must carry. */
  get id(): string {
    return this.options.identity.id;
  }

  /** Whether the caller has hung up. */
  get abandoned(): boolean {
    return this.options.res.destroyed;
  }

  /** Delivers one token; false asks the sender to pause until `onDrain`. */
  token(content: string): boolean {
    this.tokens += 1;
    if (!this.options.streaming) {
      this.text += content;
      return true;
    }
    this.open();
    return this.options.res.write(chunkEvent(this.options.identity, content));
  }

  /** Ends the answer: the last chunk and `[DONE]`, or the whole JSON body. */
  end(reason: FinishReason): void {
    const { res, identity, streaming } = this.options;
    if (!streaming) {
      sendJson(res, 200, completionBody(identity, this.text, reason));
      return;
    }
    this.open();
    res.end(chunkEvent(identity, undefined, reason) + doneEvent);
  }

  /**
   * Ends a stream that cannot go on: the failure as an event and no `[DONE]`, so the caller sees at once
   * that its answer is not whole, and why. False if nothing was streamed yet (an HTTP status still fits).
   */
  fail(failure: Failure): boolean {
    if (!this.options.res.headersSent) return false;
    this.options.res.end(`data: ${JSON.stringify(failure.toBody())}\n\n`);
    return true;
  }

  /** Calls `listener` when the caller can take more. */
  onDrain(listener: () => void): void {
    this.options.res.once("drain", listener);
  }

  /** Calls `listener` if the caller hangs up; returns a function that stops listening. */
  onHangUp(listener: () => void): () => void {
    this.options.res.once("close", listener);
    return () => this.options.res.off("close", listener);
  }

  private open(): void {
    if (!this.options.res.headersSent)
      this.options.res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
  }
}
