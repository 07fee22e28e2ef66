/** Moves one run off an engine that leaves: copies it while it goes on, stops it and copies the rest. */
import type { BackendServer } from "../../serving/backendServer.ts";
import { targetOf } from "../../serving/orders.ts";
import { transferMs } from "../../serving/prefixCache/cacheTransfer.ts";
import { chooseMoveTarget } from "../../serving/runTransfer/moveRules.ts";
import type { RunCopyReply } from "../../serving/runTransfer/runCopyClient.ts";
import type { Attempt, AttemptOutcome } from "../requests/attempt.ts";
import type { ServedRequest } from "../requests/servedRequest.ts";
import { copyCandidates, copyViewOf } from "./copyView.ts";
import type { CopyLocation } from "./runSend.ts";

/** Time for other copies on the links before this one, ms. */
const copyQueueMs = 600;
/** Pause before a call is made again while another one is in progress at the engine, ms. */
const busyPauseMs = 50;
/** Calls for one copy. */
const maxCalls = 4;
/** A stopped run's stream that isn't closed within this time is closed by this node, ms. */
const closeTimeoutMs = 300;

/** Options of a `RunMove`. */
export interface RunMoveOptions {
  readonly request: ServedRequest;
  readonly source: BackendServer;
  readonly attempt: Attempt;
  /** Tokens of the run at its end. */
  readonly tokens: number;
  /** Targets that have refused a copy of the run. */
  readonly refusedBy: Set<string>;
}

/** How a move ended; `stopped` and `moved` leave the run without an engine that works on it. */
export type MoveOutcome =
  "moved" | "stopped" | "run-ended" | "no-target" | "refused" | "unsupported" | "failed";

/** One move. */
export class RunMove {
  /** Resolves once no call is in progress; never rejects. */
  readonly done: Promise<MoveOutcome>;
  private target: BackendServer | undefined;
  private handle: string | undefined;
  private isReleased = false;
  private outcome: MoveOutcome | undefined;
  private hasEnded = false;

  constructor(private readonly options: RunMoveOptions) {
    const startedMs = performance.now();
    void options.attempt.outcome.then(() => (this.hasEnded = true));
    this.done = this.run()
      .catch((error: unknown) => this.onFailure(error))
      .then((outcome) => {
        this.record(outcome, performance.now() - startedMs);
        return outcome;
      });
  }

  /** The outcome of the send: a run that was stopped for the move is no failure of its engine. */
  outcomeOf(outcome: AttemptOutcome): AttemptOutcome {
    const isStopped = this.outcome === "moved" || this.outcome === "stopped";
    if (!isStopped || outcome.kind !== "broken") return outcome;
    return { kind: "moved", reason: "moved off a leaving server", lastEvent: outcome.lastEvent };
  }

  /** Where the run can be continued after the outcome, the best engine first. */
  copiesAfter(outcome: AttemptOutcome): readonly CopyLocation[] {
    const { source } = this.options;
    const { target, handle } = this;
    if (handle === undefined) return [];
    const copy = { address: source.address, handle };
    const atTarget = target === undefined ? [] : [{ kind: "move" as const, server: target, copy }];
    const atSource = { kind: "move" as const, server: source, copy };
    if (outcome.kind === "moved") return this.outcome === "moved" ? [...atTarget, atSource] : [atSource];
    return outcome.kind === "broken" && outcome.connectionLost ? atTarget : [];
  }

  /** Frees the copy once it is made, as nothing continues from it. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    const { request, source } = this.options;
    const { log, runTransfers } = request.context;
    void this.done.then(async () => {
      if (this.handle === undefined) return;
      try {
        await runTransfers.client?.release(targetOf(source), this.handle);
      } catch (error) {
        // The engine drops the copy after its lifetime.
        log.debug({ event: "run-copy-not-freed", server: source.id, detail: String(error) });
      }
    });
  }

  private async run(): Promise<MoveOutcome> {
    this.target = this.chooseTarget();
    if (this.target === undefined) return "no-target";
    const first = await this.copy(this.target, false);
    if (first.kind !== "copied") return this.outcomeOfReply(first);
    this.handle = first.handle;
    if (this.hasEnded) return "run-ended";
    const last = await this.copy(this.target, true);
    if (last.kind === "copied" || (last.kind === "refused" && last.handle !== undefined)) {
      this.handle = last.handle;
      if (last.kind === "refused") this.options.refusedBy.add(this.target.id);
      this.closeStoppedStream();
      return last.kind === "copied" ? "moved" : "stopped";
    }
    return this.outcomeOfReply(last);
  }

  private outcomeOfReply({ kind }: RunCopyReply): MoveOutcome {
    const { request, source, refusedBy } = this.options;
    if (this.hasEnded) return "run-ended";
    if (kind === "refused" && this.target !== undefined) refusedBy.add(this.target.id);
    // An engine that runs the request and doesn't know of it doesn't know the call.
    if (kind === "unsupported" || kind === "absent") {
      request.context.runTransfers.markUnsupported(source);
      return "unsupported";
    }
    return kind === "refused" ? "refused" : "failed";
  }

  private onFailure(error: unknown): MoveOutcome {
    const { context, metadata } = this.options.request;
    context.log.info({
      event: "run-move-failed",
      requestId: metadata.requestId,
      server: this.options.source.id,
      detail: String(error),
    });
    return this.hasEnded ? "run-ended" : "failed";
  }

  /** Another call of the run that is in progress ends soon. */
  private async copy(target: BackendServer, stop: boolean): Promise<RunCopyReply> {
    const { request, source, tokens } = this.options;
    const { client } = request.context.runTransfers;
    const { cacheTransfer } = request.service.engine ?? {};
    if (client === undefined) return { kind: "unsupported" };
    const copyMs = cacheTransfer === undefined ? 0 : transferMs(cacheTransfer, tokens);
    const timeoutMs = Math.round(copyQueueMs + copyMs * (target.zone === source.zone ? 1 : 2));
    const order = {
      ...{ requestId: request.metadata.requestId, destination: target.address, stop, timeoutMs },
    };
    let reply: RunCopyReply = { kind: "busy" };
    for (let i = 0; i < maxCalls && reply.kind === "busy" && !this.hasEnded; i += 1) {
      if (i > 0) await new Promise((resolve) => setTimeout(resolve, busyPauseMs));
      reply = await client.copy(targetOf(source), order);
    }
    return reply;
  }

  private chooseTarget(): BackendServer | undefined {
    const { request, source, tokens, refusedBy } = this.options;
    const { context, service, metadata } = request;
    const { model = "", adapter } = metadata;
    if (service.engine === undefined) return undefined;
    const now = performance.now();
    const candidates = copyCandidates(context, service.name, model, now);
    return chooseMoveTarget(
      copyViewOf(context, service.name, service.engine, now),
      { source, model, adapter, tokens },
      candidates.filter(({ id }) => !refusedBy.has(id)),
    );
  }

  /** The engine closes the stream of a run that it stopped; if not, events of the next engine must not wait for that. */
  private closeStoppedStream(): void {
    setTimeout(() => {
      this.options.attempt.breakOff("stopped for a move");
    }, closeTimeoutMs).unref();
  }

  private record(outcome: MoveOutcome, tookMs: number): void {
    const { request, source, tokens, attempt } = this.options;
    const { context, service, metadata } = request;
    this.outcome = outcome;
    context.metrics.runMoves.inc({ service: service.name, outcome });
    if (this.handle !== undefined) {
      const { bytesPerToken = 0 } = service.engine?.cacheTransfer ?? {};
      context.metrics.runCopyBytes.inc({ service: service.name, copy: "move" }, tokens * bytesPerToken);
    }
    context.log.info({
      event: "run-move",
      requestId: metadata.requestId,
      server: source.id,
      target: this.target?.id,
      outcome,
      events: attempt.progress.events,
      tokens,
      tookMs: Math.round(tookMs),
    });
  }
}
