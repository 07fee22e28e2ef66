/**
 * Makes sure that an engine doesn't work on a run any more after the connection to it was lost: a reset may concern the
 * connection alone, and two engines must not work on the same run.
 */
import { Failure, toFailure } from "../../common/errors.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import { targetOf } from "../../serving/orders.ts";
import type { RunCopyReply } from "../../serving/runTransfer/runCopyClient.ts";
import type { ServedRequest } from "../requests/servedRequest.ts";

/** Time until the engine is asked again if it gave no usable answer, ms. */
const retryPauseMs = 100;
/** Timeout of one call, ms: the run is stopped at the start of it, and the copy may wait for others on the links. */
const callTimeoutMs = 600;

/** Whether the engine works on the run; `stopped` runs can be continued from the copy with the handle. */
export type LostRunState =
  | { readonly kind: "ended" }
  | { readonly kind: "unknown" }
  | { readonly kind: "stopped"; readonly handle: string; readonly isCopied: boolean };

/** Options of `endLostRun`. */
export interface LostRunOptions {
  readonly request: ServedRequest;
  /** The engine to which the connection was lost. */
  readonly source: BackendServer;
  /** IP:PORT of the engine that gets the rest of the copy. */
  readonly destination: string;
  /** Events received from the engine. */
  readonly events: number;
  /** When the caller no longer waits, ms. */
  readonly deadlineMs: number;
}

/** States by the engine's answer to the order to stop the run; undefined where it has to be asked again. */
const statesByReply: {
  readonly [K in RunCopyReply["kind"]]: (
    reply: Extract<RunCopyReply, { kind: K }>,
    options: LostRunOptions,
  ) => LostRunState | undefined;
} = {
  copied: ({ handle }) => ({ kind: "stopped", handle, isCopied: true }),
  refused: ({ handle }) => (handle === undefined ? undefined : { kind: "stopped", handle, isCopied: false }),
  absent: (_reply, options) => (isKnownToHaveEnded(options) ? { kind: "ended" } : { kind: "unknown" }),
  busy: () => undefined,
  unsupported: () => ({ kind: "unknown" }),
  // Another incarnation has the address.
  "wrong-server": () => ({ kind: "ended" }),
};

/** Stops the run at the engine unless the engine is gone; asks until the caller no longer waits. Never rejects. */
export async function endLostRun(options: LostRunOptions): Promise<LostRunState> {
  const { request, deadlineMs } = options;
  while (!request.caller.disconnected && !request.abandoned && performance.now() < deadlineMs) {
    if (isGone(options)) return { kind: "ended" };
    const state = await stop(options);
    if (state !== undefined) return state;
    await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
  }
  return { kind: "unknown" };
}

function isGone({ request: { context }, source }: LostRunOptions): boolean {
  return (
    !context.fleet.hasIncarnation(source) ||
    context.reachability.isGone(source, context.zone, performance.now())
  );
}

/** Before its first event the run may have ended with all of its events lost; then no other engine may run it. */
function isKnownToHaveEnded({ request, source, events }: LostRunOptions): boolean {
  const { runTransfers } = request.context;
  const knowsCall = request.service.engine?.runCopies?.moves === true && runTransfers.supportsMoves(source);
  return events > 0 && knowsCall;
}

async function stop(options: LostRunOptions): Promise<LostRunState | undefined> {
  const { request, source, destination } = options;
  const { client } = request.context.runTransfers;
  if (client === undefined) return { kind: "unknown" };
  const { requestId } = request.metadata;
  try {
    const reply = await client.copy(targetOf(source), {
      requestId,
      destination,
      stop: true,
      timeoutMs: callTimeoutMs,
    });
    return stateOf(reply, options);
  } catch (error) {
    // Nothing accepts connections at the address: the process has ended.
    if (error instanceof Failure && error.kind === "not-run") return { kind: "ended" };
    const { message } = toFailure(error);
    request.context.log.debug({
      event: "lost-run-not-stopped",
      requestId,
      server: source.id,
      detail: message,
    });
    return undefined;
  }
}

function stateOf<K extends RunCopyReply["kind"]>(
  reply: Extract<RunCopyReply, { kind: K }> & { kind: K },
  options: LostRunOptions,
): LostRunState | undefined {
  return statesByReply[reply.kind](reply, options);
}
