/** Finds a server for one request: at once where there is one, or once its model, adapter or turn has come. */
import type { Disposable } from "../common/disposables.ts";
import { admit } from "../serving/admission.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { Route, Service } from "../serving/configuration.ts";
import type { ResponseMetadata, RequestMetadata } from "../serving/exchange.ts";
import type { RequestDeadlines } from "../serving/requestDeadlines.ts";
import { chooseServer, type ServerEstimate } from "../serving/serverChoice.ts";
import { ServerCandidates } from "./serverCandidates.ts";
import { demandKey, type Placer, type GatewayContext } from "./gatewayContext.ts";

/** Longest sleep between looks at whether a server can be had, ms. */
const lookAgainMs = 250;
/** Pause between looks at whether the engines have caught up, ms: a few decoding steps. */
const turnMs = 50;
/** Retry-After while servers are full or missing, s: a little over one round of placement. */
export const soonS = 0.5;
/** A request waits for an adapter this part of its caller's patience: one that gets a place comes at once. */
const adapterHeldPart = 0.7;
/** Retry-After for an adapter that got no place, ms: model loads that keep engines closed take seconds. */
const adapterRetryMs = 1_000;
/** A pause shorter than this that a server asks for is no reason to ask it again sooner than another that refuses, ms. */
const leastPauseMs = 200;
/** Longest Retry-After, s: placement may have changed by then. */
const longestRetryAfterS = 5;

/** What the wait works with. */
export interface ServerWaitOptions {
  readonly serving: GatewayContext;
  readonly placer: Placer;
  readonly facts: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
  readonly patience: RequestDeadlines;
  readonly arrivedMs: number;
  /** Nobody waits for the answer any more. */
  readonly over: () => boolean;
  /** May this copy of the request run now? */
  readonly mayRun: () => boolean;
  /** Tries to bring that about; sleeps a moment if it can't. */
  readonly awaitLock: () => Promise<void>;
}

/** How far the request has come. */
export interface Progress {
  readonly sends: number;
  /** Sends whose server may have run the request. */
  readonly ran: number;
}

/** The wait of one request. */
export class ServerWait {
  /** Why no server was found, for the log and the caller. */
  refusal = "";
  /** When the caller should come back, s. */
  retryAfterS = soonS;
  private readonly candidates: ServerCandidates;
  private askedAgain = false;
  /** The servers whose permits the request waits for. */
  private permitWait: { readonly key: string; readonly waiting: Disposable } | undefined;

  constructor(private readonly options: ServerWaitOptions) {
    this.candidates = new ServerCandidates(options);
  }

  /**
   * The best server, as soon as there is one; undefined once waiting can't help any more. After each wait the sockets are
   * read first: the caller may have left meanwhile.
   */
  async next(progress: Progress): Promise<ServerEstimate | undefined> {
    const key = demandKey(this.options.service.name, this.candidates.scope);
    const { waiting } = this.options.serving;
    let counted = false;
    try {
      for (;;) {
        if (this.options.over() || this.leftMs <= 0) return undefined;
        const chosen = this.choose();
        if (chosen === undefined) {
          if (!counted) waiting.add(key);
          counted = true;
          if (!(await this.serverMayCome(progress))) return undefined;
          await this.options.serving.watermark.waitUntilCaughtUp();
          continue;
        }
        const admission = this.admission(chosen, progress);
        if (admission === "send") {
          if (!this.options.mayRun()) {
            await this.options.awaitLock();
            await this.options.serving.watermark.waitUntilCaughtUp();
            continue;
          }
          this.candidates.tried.add(chosen.server.id);
          this.options.serving.modelWaits.markAvailable(key);
          this.noteSent(chosen.server);
          return chosen;
        }
        if (admission === "refuse") return undefined;
        await new Promise((resolve) => setTimeout(resolve, turnMs));
        await this.options.serving.watermark.waitUntilCaughtUp();
      }
    } finally {
      if (counted) waiting.remove(key);
      this.awaitPermits([]);
    }
  }

  /** Is there another server that could be asked now? */
  hasAnother(): boolean {
    return this.choose() !== undefined;
  }

  /** A server that refused may be asked again, once it takes requests or holds the model after all. */
  noteRefusal(server: BackendServer, answer: ResponseMetadata): void {
    const { model, adapter } = this.options.facts;
    const { refusals, fleet } = this.options.serving;
    const now = performance.now();
    this.candidates.tried.delete(server.id);
    if ((answer.notice.retryAfterMs ?? 0) >= leastPauseMs) return;
    if (!answer.wrongServer) refusals.recordRefusal(server.id, this.candidates.scope, now);
    else if (model !== undefined) fleet.markAbsent(server, model, adapter, now);
    // Another incarnation has the address: it isn't this server any more.
    else this.candidates.tried.add(server.id);
  }

  noteAccepted(server: BackendServer): void {
    this.options.serving.refusals.recordAccepted(server.id, this.candidates.scope);
  }

  private get leftMs(): number {
    return this.options.patience.firstByteDeadlineMs - performance.now();
  }

  private choose(): ServerEstimate | undefined {
    const { facts, service, serving } = this.options;
    const now = performance.now();
    return chooseServer({
      candidates: this.candidates.ready,
      zone: serving.zone,
      randomDraw: Math.random(),
      tried: this.candidates.tried,
      promptTokens: facts.promptTokens,
      prefillFactor: serving.paces.factorOf(service.engine?.models.find((m) => m.name === facts.model)),
      overheadMs: serving.paces.overheadMs,
      slotWaitMs: (requests, slots) => serving.speed.slotWaitMs(requests, slots),
      prefix: facts.prefix,
      cacheScope: `${facts.model ?? ""}/${facts.adapter ?? ""}`,
      load: (id) => serving.loads.loadOf(id, now),
      health: (id) => serving.outliers.health(id, now),
    });
  }

  private noteSent(server: BackendServer): void {
    const { notices, permits } = this.options.serving;
    const now = performance.now();
    notices.recordSend(server, now);
    permits.consume(server);
    // The next request like this may go to a server with a rate limit, if that has capacity to spare.
    const limited = this.candidates.heldBack.filter((other) => notices.acceptsRequests(other, now));
    if (limited.length > 0) permits.requestSpare(limited, now);
  }

  /** Counts the request as waiting for permits of just these servers. */
  private awaitPermits(servers: readonly BackendServer[]): void {
    const key = servers.map(({ id }) => id).join(" ");
    if (key === (this.permitWait?.key ?? "")) return;
    void this.permitWait?.waiting.dispose();
    this.permitWait = undefined;
    if (servers.length === 0) return;
    const waiting = this.options.serving.permits.wait(servers, this.options.arrivedMs);
    this.permitWait = { key, waiting };
  }

  /** Sleeps until one of the servers may take requests again; false if none will in time. */
  private async turnMayCome(servers: readonly BackendServer[]): Promise<boolean> {
    const { notices, permits, fleetChanged } = this.options.serving;
    const now = performance.now();
    const pauses = servers.map((server) => notices.backoffRemainingMs(server, now));
    const pauseMs = Math.min(...pauses);
    const turns = servers.map((server, i) => Math.max(pauses[i] ?? 0, permits.expectedWaitMs(server, now)));
    const expectedMs = Math.min(...turns);
    this.refuse(expectedMs, "its servers take no more requests now", Number.POSITIVE_INFINITY);
    // The queue is judged once: later it holds requests that came after this one.
    const isTooLate = pauseMs >= this.leftMs || (this.permitWait === undefined && expectedMs >= this.leftMs);
    if (isTooLate && !this.candidates.refusing) return false;
    this.awaitPermits(servers.filter((server) => notices.acceptsRequests(server, now)));
    const sleepMs = pauseMs > 0 ? Math.min(lookAgainMs, pauseMs) : lookAgainMs;
    await fleetChanged.waitForNext(Math.max(1, Math.min(this.leftMs, sleepMs)));
    return true;
  }

  private admission(chosen: ServerEstimate, { sends }: Progress): "send" | "wait" | "refuse" {
    const { route, service, patience, arrivedMs } = this.options;
    if (sends > 0 || service.engine === undefined) return "send";
    const admission = admit({
      queueMs: chosen.queueMs,
      expectedFirstByteMs: chosen.queueMs + chosen.prefillMs,
      requests: chosen.requests,
      slots: chosen.server.slots,
      remainingMs: this.leftMs,
      callerTimeoutMs: patience.firstByteDeadlineMs - arrivedMs,
      targetMs: route.targetMs,
      priority: route.priority,
    });
    if (admission.kind === "refuse") {
      this.refuse(admission.retryAfterMs, `first byte expected in ${Math.round(chosen.expectedMs)} ms`);
    }
    return admission.kind;
  }

  /** Sleeps until a server may have come; false if none will in time. */
  private async serverMayCome(progress: Progress): Promise<boolean> {
    const { heldBack } = this.candidates;
    if (heldBack.length > 0) {
      this.options.placer.wanted();
      return this.turnMayCome(heldBack);
    }
    if (this.candidates.tried.size > 0) return this.askAgain(progress);
    this.options.placer.wanted();
    if (this.comesTooLate()) return false;
    const { model, adapter } = this.options.facts;
    if (model !== undefined && adapter !== undefined && this.candidates.modelIsThere) {
      await this.options.placer.ensureAdapter(this.options.service.name, model, adapter);
      if (this.choose() !== undefined) return true;
      if (this.heldLong()) {
        this.refuse(adapterRetryMs, "its adapter has no place yet");
        return false;
      }
    }
    await this.options.serving.fleetChanged.waitForNext(Math.max(1, Math.min(this.leftMs, lookAgainMs)));
    return true;
  }

  /** Was the request held back for as long as it may be? Then it is refused while its caller can still return. */
  private heldLong(): boolean {
    const { patience, arrivedMs } = this.options;
    return performance.now() - arrivedMs > adapterHeldPart * (patience.firstByteDeadlineMs - arrivedMs);
  }

  /**
   * After every server had the request. Guards "a request is held to its time limit": where one may have run
   * it there is no other to wait for; where all refused it, they are asked once more after a moment.
   */
  private async askAgain({ ran }: Progress): Promise<boolean> {
    if (ran > 0 || this.askedAgain || this.leftMs <= lookAgainMs) return false;
    this.askedAgain = true;
    await new Promise((resolve) => setTimeout(resolve, lookAgainMs));
    this.candidates.tried.clear();
    return true;
  }

  /** Will the model come only after the caller has left? Then it is told at once when to come back. */
  private comesTooLate(): boolean {
    const { facts, service, serving, patience } = this.options;
    const model = service.engine?.models.find((m) => m.name === facts.model);
    if (model === undefined || this.candidates.modelIsThere) return false;
    const now = performance.now();
    const key = demandKey(service.name, model.name);
    const servers = serving.fleet.available(service.name);
    const expectedMs = serving.modelWaits.estimateMs(key, model, servers, now);
    if (now + expectedMs < patience.firstByteDeadlineMs) return false;
    this.refuse(expectedMs, `model expected in ${Math.round(expectedMs)} ms`);
    return true;
  }

  private refuse(retryAfterMs: number, why: string, longestS = longestRetryAfterS): void {
    this.retryAfterS = Math.min(longestS, Math.max(0.1, retryAfterMs / 1000));
    this.refusal = why;
  }
}
