/** A caller's completion request with its deadline and response. */
import type * as http from "node:http";
import type { CompletionRequest } from "../common/openai.ts";
import type { Entitlement } from "./configWatcher.ts";

/** One completion to serve. */
export interface Completion {
  readonly requestId: string;
  readonly entitlement: Entitlement;
  readonly request: CompletionRequest;
  /** Upstream request path. */
  readonly path: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
  readonly res: http.ServerResponse;
}
