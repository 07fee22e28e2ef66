/** The benchmark's caller: sends the requests of a trace as streams and measures their responses. */
import * as http from "node:http";
import type { Arrival } from "./trace.ts";

/** Number of characters kept from the end of a response: enough for its final event, or for an error body. */
const tailChars = 400;

/** Result of one request. */
export interface Outcome {
  readonly arrival: Arrival;
  /** Whether the response was complete. */
  readonly complete: boolean;
  /** HTTP status, or 0 if the connection was lost before a response. */
  readonly status: number;
  /** Error kind of a rejection, or "broken" if it has none; undefined with status 200. */
  readonly refusal: string | undefined;
  readonly totalMs: number;
  /** Time to the first token, in ms; undefined if none arrived. */
  readonly firstMs: number | undefined;
  /** Times between tokens, in ms. */
  readonly gapsMs: readonly number[];
}

/** Sends requests to entry nodes over keep-alive connections. */
export class Caller {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 4096 });

  /** Sends `arrival` to the entry node at `address`; never rejects. */
  send(address: string, arrival: Arrival): Promise<Outcome> {
    const started = performance.now();
    const { model, prompt, kind, customer } = arrival;
    const body = JSON.stringify({ model, prompt, stream: true, max_tokens: kind.tokens });
    return new Promise((resolve) => {
      let status = 0;
      let tail = "";
      let firstMs: number | undefined;
      let last = 0;
      const gapsMs: number[] = [];
      const end = (): void => {
        const complete = status === 200 && tail.endsWith("data: [DONE]\n\n");
        const totalMs = performance.now() - started;
        const refusal = status === 200 ? undefined : (/"kind":"([a-z-]+)"/.exec(tail)?.[1] ?? "broken");
        resolve({ arrival, complete, status, refusal, totalMs, firstMs, gapsMs });
      };
      const request = http.request(
        new URL("/v1/completions", address),
        {
          method: "POST",
          agent: this.agent,
          headers: {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "x-customer": customer,
            "x-deadline-ms": String(kind.deadlineMs),
          },
        },
        (response) => {
          status = response.statusCode ?? 0;
          response.setEncoding("utf8");
          response.on("data", (text: string) => {
            const now = performance.now();
            tail = (tail + text).slice(-tailChars);
            if (firstMs === undefined) firstMs = now - started;
            else gapsMs.push(now - last);
            last = now;
          });
          response.on("end", end);
          response.on("error", end);
        },
      );
      request.on("error", end);
      request.end(body);
    });
  }

  /** Closes the keep-alive connections. */
  dispose(): void {
    this.agent.destroy();
  }
}
