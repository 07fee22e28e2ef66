/** Calls with which an engine copies one of its runs to another engine. */
import type { OrderTarget } from "../orders.ts";

/** What to copy. */
export interface RunCopyOrder {
  /** Id of the request that runs. */
  readonly requestId: string;
  /** IP:PORT of the engine that gets the copy. */
  readonly destination: string;
  /** Stop the run first; the engine then closes the stream without its end. Otherwise the run goes on meanwhile. */
  readonly stop: boolean;
  /** From the call to the end of the copy, ms. */
  readonly timeoutMs: number;
}

/**
 * The engine's answer. `absent`: it has no such run, or doesn't know the call. `refused`: the copy wasn't made, for lack of
 * memory or as the destination can't be reached; a run that was stopped can be continued at the engine itself by the handle.
 */
export type RunCopyReply =
  | { readonly kind: "copied"; readonly handle: string; readonly events: number }
  | { readonly kind: "refused"; readonly handle: string | undefined }
  | { readonly kind: "absent" | "busy" | "unsupported" | "wrong-server" };

/** Calls engines. All calls reject with a `Failure` if there is no valid answer in time. */
export interface RunCopyClient {
  copy(source: OrderTarget, order: RunCopyOrder): Promise<RunCopyReply>;
  /** Frees a copy at both engines; called at the engine that made it. */
  release(source: OrderTarget, handle: string): Promise<void>;
  /** Closes all connections, so that calls in progress fail. */
  dispose(): void;
}
