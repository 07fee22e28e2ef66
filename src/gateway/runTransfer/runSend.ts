/** One send of a run to an engine: its backup at another engine, and what is left of the run if the engine is lost. */
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import type { RunCopies } from "../../serving/configuration.ts";
import type { RunCopy } from "../../serving/exchange.ts";
import {
  chooseBackup,
  isLostWithServer,
  type BackupDecision,
} from "../../serving/runTransfer/backupRules.ts";
import type { CopyRecord } from "../../serving/runTransfer/copyUsage.ts";
import { outlastsEngine, remainingRunMs } from "../../serving/runTransfer/moveRules.ts";
import { runSizeOf, tokensOf } from "../../serving/runTransfer/runSize.ts";
import type { Attempt, AttemptOutcome } from "../requests/attempt.ts";
import type { ServedRequest } from "../requests/servedRequest.ts";
import { endLostRun } from "./lostRun.ts";
import { copyCandidates, copyViewOf } from "./copyView.ts";
import { RunMove } from "./runMove.ts";
import type { WatchedRun } from "./runTransfers.ts";

/** Ids of requests become part of a header that names a copy. */
const copyIdPattern = /^[!-.0-~]{1,200}$/;
/** An engine that sent something this recently is not gone, ms, whatever else is known of it. */
const minSilenceMs = 700;

/** Attempts to move one run: engines without room refuse. */
const maxMoves = 3;

/** How a copy came about. */
export type CopyKind = "backup" | "move";

/** A copy from which an engine can continue the run. */
export interface CopyLocation {
  readonly kind: CopyKind;
  readonly server: BackendServer;
  readonly copy: RunCopy;
}

/** Options of a `RunSend`. */
export interface RunSendOptions {
  readonly request: ServedRequest;
  readonly server: BackendServer;
  readonly history: RunHistory;
}

/** What became of one request's run at the engines that worked on it one after the other. */
export interface RunHistory {
  moves: number;
  /** Engines that were lost while they worked on it. */
  losses: number;
  /** Ids of engines that have refused the copy, or to continue from it. */
  readonly refusedBy: Set<string>;
}

interface Backup {
  readonly target: BackendServer;
  readonly record: CopyRecord;
}

/** A send that may have a backup. */
export class RunSend implements WatchedRun {
  private readonly request: ServedRequest;
  private readonly server: BackendServer;
  private readonly history: RunHistory;
  private readonly backup: Backup | undefined;
  private attempt: Attempt | undefined;
  private isGone = false;
  private move: RunMove | undefined;
  private isMoving = false;

  constructor({ request, server, history }: RunSendOptions) {
    this.request = request;
    this.server = server;
    this.history = history;
    this.backup = this.createBackup();
  }

  get requestId(): string {
    return this.request.metadata.requestId;
  }

  /** IP:PORT of the engine that is to keep a copy. */
  get backupTo(): string | undefined {
    return this.backup?.target.address;
  }

  /** When the engine was last heard, ms. */
  get heardMs(): number {
    return this.attempt?.progress.heardMs ?? Number.NEGATIVE_INFINITY;
  }

  /** The outcome of the attempt, which ends early if the engine is known to be gone. */
  async settle(attempt: Attempt): Promise<AttemptOutcome> {
    this.attempt = attempt;
    const { requestId, transfers } = this;
    const isTransferable = this.backup !== undefined || this.isMovable;
    if (!isTransferable || transfers.isWatched(requestId)) return attempt.outcome;
    const watching = transfers.watch(this);
    const received = await attempt.outcome;
    void watching.dispose();
    // The answer to the call in progress tells whether the engine stopped the run or failed.
    if (received.kind === "broken") await this.move?.done;
    const outcome = this.move?.outcomeOf(received) ?? received;
    if (this.backup !== undefined) this.recordEnd(this.backup, outcome);
    return outcome;
  }

  /** No engine continues the run from a copy that was made to move it. */
  release(): void {
    this.move?.release();
  }

  check(nowMs: number): void {
    const { context } = this.request;
    if (this.attempt === undefined) return;
    const known = context.fleet.get(this.server.id);
    if (known !== undefined && this.isMovable) this.moveIfLeaving(this.attempt, known, nowMs);
    if (this.backup === undefined || nowMs - this.heardMs < this.silenceLimitMs) return;
    const isRemoved = !context.fleet.hasIncarnation(this.server);
    if (!isRemoved && !context.reachability.isGone(this.server, context.zone, nowMs)) return;
    this.isGone = true;
    this.attempt.breakOff(isRemoved ? "registration removed" : "unreachable for peers too");
  }

  /**
   * The copies from which the run can be continued after the outcome, once the engine surely doesn't work on it any more;
   * none if that isn't known by `deadlineMs`.
   */
  async copiesAfter(outcome: AttemptOutcome, deadlineMs: number): Promise<readonly CopyLocation[]> {
    // An unframed response that breaks off looks like one that ends.
    if (this.attempt?.progress.framed === false) return [];
    const copies = [...(this.move?.copiesAfter(outcome) ?? []), ...this.backupAfter(outcome)];
    const [first] = copies;
    if (first === undefined || outcome.kind === "moved" || this.isGone) return copies;
    return this.afterLoss(copies, first, deadlineMs);
  }

  /** The connection was lost, which says nothing about the engine. */
  private async afterLoss(
    copies: readonly CopyLocation[],
    { server: target }: CopyLocation,
    deadlineMs: number,
  ): Promise<readonly CopyLocation[]> {
    const { request, server: source } = this;
    const { events = 0 } = this.attempt?.progress ?? {};
    const destination = target.address;
    const state = await endLostRun({ request, source, destination, events, deadlineMs });
    const { log, metrics } = request.context;
    log.info({ event: "lost-run", requestId: this.requestId, server: source.id, events, state: state.kind });
    metrics.lostRuns.inc({ service: request.service.name, state: state.kind });
    if (state.kind === "unknown") return [];
    if (state.kind === "ended") return copies;
    const copy = { address: source.address, handle: state.handle };
    return [{ kind: "move", server: state.isCopied ? target : source, copy }, ...copies];
  }

  private backupAfter(outcome: AttemptOutcome): readonly CopyLocation[] {
    const { backup } = this;
    const isStopped = outcome.kind === "moved";
    const isLost = outcome.kind === "broken" && (outcome.connectionLost || this.isGone);
    if (backup === undefined || !(isStopped || isLost)) return [];
    const copy = { address: backup.target.address, handle: this.requestId };
    return [{ kind: "backup", server: backup.target, copy }];
  }

  /** Whether the run may be moved: it is lost if its engine ends. */
  private get isMovable(): boolean {
    const { route, metadata } = this.request;
    if (this.limits?.moves !== true || route.kind !== "stream" || metadata.model === undefined) return false;
    return isLostWithServer(route) && this.transfers.supportsMoves(this.server);
  }

  /** Moves the run if its engine ends before it; `known` is what is known of the engine now. */
  private moveIfLeaving(attempt: Attempt, known: BackendServer, nowMs: number): void {
    const { request, server, history } = this;
    const { context, service, metadata } = request;
    if (incarnationOf(known) !== incarnationOf(server) || history.moves >= maxMoves) return;
    const noticedMs = context.notices.leavingSinceMs(known);
    if (!known.leaving && noticedMs === undefined) return;
    const leftMs = known.leaving ? (known.goneInMs ?? context.drainMs) : context.drainMs;
    const engineLeftMs = this.transfers.recordLeaving(server, leftMs, nowMs);
    const { events, eventsMs, framed } = attempt.progress;
    // Before its first event a run has no state that is worth a copy.
    if (this.isMoving || events === 0 || framed !== true) return;
    const size = runSizeOf(metadata);
    const { tokensPerEvent = 1 } = service.engine ?? {};
    const { stepMs } = context.engineSpeed;
    const runMs = remainingRunMs({ size, events, eventsMs, tokensPerEvent, stepMs });
    if (!outlastsEngine(runMs, engineLeftMs)) return;
    history.moves += 1;
    this.isMoving = true;
    this.move?.release();
    this.move = new RunMove({ request, source: server, attempt, tokens: tokensOf(size), ...history });
    // A stopped run has nothing left to move while its stream isn't closed yet.
    void this.move.done.then((outcome) => (this.isMoving = outcome === "moved" || outcome === "stopped"));
  }

  private get silenceLimitMs(): number {
    return Math.max(minSilenceMs, this.request.route.pauseMs);
  }

  private get transfers(): ServedRequest["context"]["runTransfers"] {
    return this.request.context.runTransfers;
  }

  private get limits(): RunCopies | undefined {
    return this.request.service.engine?.runCopies;
  }

  private createBackup(): Backup | undefined {
    const { context, service, metadata, route } = this.request;
    const { model, adapter } = metadata;
    const { engine } = service;
    if (engine === undefined || this.limits?.backups !== true || model === undefined) return undefined;
    const size = runSizeOf(metadata);
    const { usage } = this.transfers;
    usage.recordRun(service.name, tokensOf(size));
    // A run that has lost an engine may be what made it crash, and is continued only once.
    if (route.kind !== "stream" || this.history.losses > 0) return undefined;
    if (!copyIdPattern.test(this.requestId) || this.transfers.isWatched(this.requestId)) return undefined;
    const now = performance.now();
    const decision = chooseBackup({
      ...copyViewOf(context, service.name, engine, now),
      ...{ route, size, source: this.server, model, adapter, stepMs: context.engineSpeed.stepMs },
      candidates: () => copyCandidates(context, service.name, model, now),
      ownCopyTokens: usage.tokensOf(service.name, now),
      engines: context.fleet.available(service.name).length,
      nodes: this.transfers.nodeCount(service.name),
    });
    if (decision.kind === "copy" || decision.reason !== "resumable") this.logDecision(decision, now);
    if (decision.kind === "none") return undefined;
    const { target, tokens } = decision;
    return { target, record: usage.add(service.name, target.id, tokens) };
  }

  private recordEnd({ record }: Backup, outcome: AttemptOutcome): void {
    const { context, service, metadata } = this.request;
    const { usage } = this.transfers;
    // Nothing was copied, or the engine drops the copy with the end of the run.
    if (outcome.kind === "unreachable" || outcome.kind === "not-run" || outcome.kind === "streamed")
      usage.remove(record);
    else usage.expireAt(record, performance.now() + (this.limits?.lifetimeMs ?? 0));
    const { events = 0 } = this.attempt?.progress ?? {};
    const { bytesPerToken = 0 } = service.engine?.cacheTransfer ?? {};
    const tokens = events === 0 ? 0 : metadata.promptTokens + events * (service.engine?.tokensPerEvent ?? 1);
    context.metrics.runCopyBytes.inc({ service: service.name, copy: "backup" }, tokens * bytesPerToken);
  }

  private logDecision(decision: BackupDecision, nowMs: number): void {
    const { context, service, metadata } = this.request;
    const outcome = decision.kind === "none" ? decision.reason : "sent";
    context.metrics.runBackups.inc({ service: service.name, outcome });
    context.log.debug({
      event: "run-backup",
      requestId: this.requestId,
      server: this.server.id,
      model: metadata.model,
      outcome,
      ...(decision.kind === "none" ? {} : { target: decision.target.id, tokens: decision.tokens }),
      ownCopyTokens: this.transfers.usage.tokensOf(service.name, nowMs),
      meanRunTokens: Math.round(this.transfers.usage.meanRunTokens(service.name)),
    });
  }
}
