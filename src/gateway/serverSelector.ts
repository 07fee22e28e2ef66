/** Finds a server for one request: at once where there is one, or once its model, adapter or turn has come. */
import type { Disposable } from "../common/disposables.ts";
import { admit } from "../serving/admission.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { Route, Service } from "../serving/configuration.ts";
import type { ResponseMetadata, RequestMetadata } from "../serving/exchange.ts";
import type { RequestDeadlines } from "../serving/requestDeadlines.ts";
import { chooseServer, type ServerEstimate } from "../serving/serverChoice.ts";
import { ServerCandidates } from "./serverCandidates.ts";
import { demandKey, type PlacementClient, type GatewayContext } from "./gatewayContext.ts";

/** Longest sleep between looks at whether a server can be had, ms. */
const recheckIntervalMs = 250;
/** Pause between looks at whether the engines have caught up, ms: a few decoding steps. */
const admissionRecheckMs = 50;
/** Retry-After while servers are full or missing, s: a little over one round of placement. */
export const defaultRetryS = 0.5;
/** A request waits for an adapter this part of its caller's patience: one that gets a place comes at once. */
const adapterWaitRatio = 0.7;
/** Retry-After for an adapter that got no place, ms: model loads that keep engines closed take seconds. */
const adapterRetryAfterMs = 1_000;
/** A pause shorter than this that a server asks for is no reason to ask it again sooner than another that refuses, ms. */
const minBackoffMs = 200;
/** Longest Retry-After, s: placement may have changed by then. */
const maxRetryAfterS = 5;

/** What the wait works with. */
export interface ServerSelectorOptions {
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
  readonly deadlines: RequestDeadlines;
  readonly arrivedMs: number;
  /** Nobody waits for the answer any more. */
  readonly isCancelled: () => boolean;
  /** May this copy of the request run now? */
  readonly mayRun: () => boolean;
  /** Tries to bring that about; sleeps a moment if it can't. */
  readonly awaitLock: () => Promise<void>;
}

/** How far the request has come. */
export interface SendProgress {
  readonly sends: number;
  /** Sends whose server may have run the request. */
  readonly possibleRuns: number;
}

/** The wait of one request. */
export class ServerSelector {
  /** Why no server was found, for the log and the caller. */
  refusal = "";
  /** When the caller should come back, s. */
  retryAfterS = defaultRetryS;
  private readonly candidates: ServerCandidates;
  private allRetried = false;
  /** The servers whose permits the request waits for. */
  private permitWait: { readonly key: string; readonly waiting: Disposable } | undefined;

  constructor(private readonly options: ServerSelectorOptions) {
    this.candidates = new ServerCandidates(options);
  }

  /**
   * The best server, as soon as there is one; undefined once waiting can't help any more. After each wait the sockets are
   * read first: the caller may have left meanwhile.
   */
  async waitForServer(progress: SendProgress): Promise<ServerEstimate | undefined> {
    const key = demandKey(this.options.service.name, this.candidates.scope);
    const { waitingRequests } = this.options.context;
    let counted = false;
    try {
      for (;;) {
        if (this.options.isCancelled() || this.remainingMs <= 0) return undefined;
        const candidate = this.choose();
        if (candidate === undefined) {
          if (!counted) waitingRequests.add(key);
          counted = true;
          if (!(await this.waitForCandidate(progress))) return undefined;
          await this.options.context.watermark.waitUntilCaughtUp();
          continue;
        }
        const decision = this.admissionFor(candidate, progress);
        if (decision === "send") {
          if (!this.options.mayRun()) {
            await this.options.awaitLock();
            await this.options.context.watermark.waitUntilCaughtUp();
            continue;
          }
          this.candidates.tried.add(candidate.server.id);
          this.options.context.modelWaits.markAvailable(key);
          this.recordSend(candidate.server);
          return candidate;
        }
        if (decision === "refuse") return undefined;
        await new Promise((resolve) => setTimeout(resolve, admissionRecheckMs));
        await this.options.context.watermark.waitUntilCaughtUp();
      }
    } finally {
      if (counted) waitingRequests.remove(key);
      this.waitForPermits([]);
    }
  }

  /** Is there another server that could be asked now? */
  hasAlternative(): boolean {
    return this.choose() !== undefined;
  }

  /** A server that refused may be asked again, once it takes requests or holds the model after all. */
  recordRefusal(server: BackendServer, response: ResponseMetadata): void {
    const { model, adapter } = this.options.metadata;
    const { refusals, fleet } = this.options.context;
    const now = performance.now();
    this.candidates.tried.delete(server.id);
    if ((response.notice.retryAfterMs ?? 0) >= minBackoffMs) return;
    if (!response.wrongServer) refusals.recordRefusal(server.id, this.candidates.scope, now);
    else if (model !== undefined) fleet.markAbsent(server, model, adapter, now);
    // Another incarnation has the address: it isn't this server any more.
    else this.candidates.tried.add(server.id);
  }

  recordAccepted(server: BackendServer): void {
    this.options.context.refusals.recordAccepted(server.id, this.candidates.scope);
  }

  private get remainingMs(): number {
    return this.options.deadlines.firstByteDeadlineMs - performance.now();
  }

  private choose(): ServerEstimate | undefined {
    const { metadata, service, context } = this.options;
    const now = performance.now();
    return chooseServer({
      candidates: this.candidates.ready,
      zone: context.zone,
      randomDraw: Math.random(),
      tried: this.candidates.tried,
      promptTokens: metadata.promptTokens,
      prefillFactor: context.prefillFactors.factorOf(
        service.engine?.models.find((m) => m.name === metadata.model),
      ),
      overheadMs: context.prefillFactors.overheadMs,
      slotWaitMs: (requests, slots) => context.engineSpeed.slotWaitMs(requests, slots),
      prefix: metadata.prefix,
      cacheScope: `${metadata.model ?? ""}/${metadata.adapter ?? ""}`,
      load: (id) => context.loads.loadOf(id, now),
      health: (id) => context.outliers.health(id, now),
    });
  }

  private recordSend(server: BackendServer): void {
    const { notices, permits } = this.options.context;
    const now = performance.now();
    notices.recordSend(server, now);
    permits.consume(server);
    // The next request like this may go to a server with a rate limit, if that has capacity to spare.
    const limited = this.candidates.throttled.filter((other) => notices.acceptsRequests(other, now));
    if (limited.length > 0) permits.requestSpare(limited, now);
  }

  /** Counts the request as waiting for permits of just these servers. */
  private waitForPermits(servers: readonly BackendServer[]): void {
    const key = servers.map(({ id }) => id).join(" ");
    if (key === (this.permitWait?.key ?? "")) return;
    void this.permitWait?.waiting.dispose();
    this.permitWait = undefined;
    if (servers.length === 0) return;
    const waiting = this.options.context.permits.wait(servers, this.options.arrivedMs);
    this.permitWait = { key, waiting };
  }

  /** Sleeps until one of the servers may take requests again; false if none will in time. */
  private async waitForThrottled(servers: readonly BackendServer[]): Promise<boolean> {
    const { notices, permits, fleetChanged } = this.options.context;
    const now = performance.now();
    const backoffsMs = servers.map((server) => notices.backoffRemainingMs(server, now));
    const minBackoffLeftMs = Math.min(...backoffsMs);
    const waitsMs = servers.map((server, i) =>
      Math.max(backoffsMs[i] ?? 0, permits.expectedWaitMs(server, now)),
    );
    const expectedMs = Math.min(...waitsMs);
    this.setRefusal(expectedMs, "its servers take no more requests now", Number.POSITIVE_INFINITY);
    // The queue is judged once: later it holds requests that came after this one.
    const isTooLate =
      minBackoffLeftMs >= this.remainingMs ||
      (this.permitWait === undefined && expectedMs >= this.remainingMs);
    if (isTooLate && !this.candidates.anyRefusing) return false;
    this.waitForPermits(servers.filter((server) => notices.acceptsRequests(server, now)));
    const sleepMs = minBackoffLeftMs > 0 ? Math.min(recheckIntervalMs, minBackoffLeftMs) : recheckIntervalMs;
    await fleetChanged.waitForNext(Math.max(1, Math.min(this.remainingMs, sleepMs)));
    return true;
  }

  private admissionFor(candidate: ServerEstimate, { sends }: SendProgress): "send" | "wait" | "refuse" {
    const { route, service, deadlines, arrivedMs } = this.options;
    if (sends > 0 || service.engine === undefined) return "send";
    const admission = admit({
      queueMs: candidate.queueMs,
      expectedFirstByteMs: candidate.queueMs + candidate.prefillMs,
      requests: candidate.requests,
      slots: candidate.server.slots,
      remainingMs: this.remainingMs,
      callerTimeoutMs: deadlines.firstByteDeadlineMs - arrivedMs,
      targetMs: route.targetMs,
      priority: route.priority,
    });
    if (admission.kind === "refuse") {
      this.setRefusal(
        admission.retryAfterMs,
        `first byte expected in ${Math.round(candidate.expectedMs)} ms`,
      );
    }
    return admission.kind;
  }

  /** Sleeps until a server may have come; false if none will in time. */
  private async waitForCandidate(progress: SendProgress): Promise<boolean> {
    const { throttled } = this.candidates;
    if (throttled.length > 0) {
      this.options.placement.demandChanged();
      return this.waitForThrottled(throttled);
    }
    if (this.candidates.tried.size > 0) return this.retryAllServers(progress);
    this.options.placement.demandChanged();
    if (this.modelLoadsTooLate()) return false;
    const { model, adapter } = this.options.metadata;
    if (model !== undefined && adapter !== undefined && this.candidates.hasModel) {
      await this.options.placement.ensureAdapter(this.options.service.name, model, adapter);
      if (this.choose() !== undefined) return true;
      if (this.adapterWaitExceeded()) {
        this.setRefusal(adapterRetryAfterMs, "its adapter has no place yet");
        return false;
      }
    }
    await this.options.context.fleetChanged.waitForNext(
      Math.max(1, Math.min(this.remainingMs, recheckIntervalMs)),
    );
    return true;
  }

  /** Was the request held back for as long as it may be? Then it is refused while its caller can still return. */
  private adapterWaitExceeded(): boolean {
    const { deadlines, arrivedMs } = this.options;
    return performance.now() - arrivedMs > adapterWaitRatio * (deadlines.firstByteDeadlineMs - arrivedMs);
  }

  /**
   * After every server had the request. Guards "a request is held to its time limit": where one may have run
   * it there is no other to wait for; where all refused it, they are asked once more after a moment.
   */
  private async retryAllServers({ possibleRuns }: SendProgress): Promise<boolean> {
    if (possibleRuns > 0 || this.allRetried || this.remainingMs <= recheckIntervalMs) return false;
    this.allRetried = true;
    await new Promise((resolve) => setTimeout(resolve, recheckIntervalMs));
    this.candidates.tried.clear();
    return true;
  }

  /** Will the model come only after the caller has left? Then it is told at once when to come back. */
  private modelLoadsTooLate(): boolean {
    const { metadata, service, context, deadlines } = this.options;
    const model = service.engine?.models.find((m) => m.name === metadata.model);
    if (model === undefined || this.candidates.hasModel) return false;
    const now = performance.now();
    const key = demandKey(service.name, model.name);
    const servers = context.fleet.available(service.name);
    const expectedMs = context.modelWaits.estimateMs(key, model, servers, now);
    if (now + expectedMs < deadlines.firstByteDeadlineMs) return false;
    this.setRefusal(expectedMs, `model expected in ${Math.round(expectedMs)} ms`);
    return true;
  }

  private setRefusal(retryAfterMs: number, reason: string, maxS = maxRetryAfterS): void {
    this.retryAfterS = Math.min(maxS, Math.max(0.1, retryAfterMs / 1000));
    this.refusal = reason;
  }
}
