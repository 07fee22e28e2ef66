/** Size of a run: the tokens that it keeps in the memory of its engine, and how long it takes. */
import type { RequestMetadata } from "../exchange.ts";

/** What a run takes. */
export interface RunSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The expected size; the caller's estimate of the output replaces its limit. */
export function runSizeOf({
  promptTokens,
  outputTokens,
  outputHint,
}: Pick<RequestMetadata, "promptTokens" | "outputTokens" | "outputHint">): RunSize {
  return { promptTokens, outputTokens: Math.min(outputTokens, outputHint ?? outputTokens) };
}

/** Tokens in the engine's memory at the end of the run. */
export function tokensOf({ promptTokens, outputTokens }: RunSize): number {
  return promptTokens + outputTokens;
}
