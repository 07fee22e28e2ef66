/** Selects a server for one request, waiting for its model, adapter or a rate-limit permit if necessary. */
import type { Disposable } from "../../common/disposables.ts";
import { admit } from "../../serving/admission.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import type { Route, Service } from "../../serving/configuration.ts";
import type { ResponseMetadata, RequestMetadata } from "../../serving/exchange.ts";
import { confirmationMs } from "../../serving/forwarding.ts";
import type { RequestDeadlines } from "../../serving/requestDeadlines.ts";
import type { NodeStatus } from "../../serving/membership/peerTable.ts";
import { chooseServer, type ServerEstimate } from "../../serving/serverChoice.ts";
import type { PeerNeed } from "./peerForwarder.ts";
import { ServerCandidates } from "./serverCandidates.ts";
import { serverViewOf } from "./serverViews.ts";
import type { QueuePosition } from "./slotQueue.ts";
import { StreamProtection } from "./streamProtection.ts";
import { demandKey, type PlacementClient, type GatewayContext } from "../gatewayContext.ts";

/** Maximum interval between checks for an available server, ms. */
const recheckIntervalMs = 250;
/** By this time after connections to a server began to fail, peers have reported whether they reach it, ms. */
const pathWaitMs = confirmationMs + 200;
/** Interval between admission checks while engines are busy, ms: a few decoding steps. */
const admissionRecheckMs = 50;
/** Retry-After while servers are saturated or missing, s: slightly more than one placement round. */
export const defaultRetryS = 0.5;
/** Fraction of the caller's timeout to wait for an adapter; an adapter that gets a slot is loaded immediately. */
const adapterWaitRatio = 0.7;
/** Retry-After for an adapter that got no slot, ms: model loads, during which engines take no orders, last seconds. */
const adapterRetryAfterMs = 1_000;
/** Retry-After of a stream whose model no server of its version holds, ms. */
const versionRetryAfterMs = 1_000;
/** Maximum fraction of the caller's remaining time to wait for a slot of a limited server. */
const slotWaitRatio = 0.5;
/** A server that requests a shorter back-off than this, ms, gets the default back-off of refusing servers instead. */
const minBackoffMs = 200;
/** Maximum Retry-After, s: placement may have changed by then. */
const maxRetryAfterS = 5;

/** What a request is sent to: a server, or a peer that can connect to the servers. */
export type Selection =
  | { readonly kind: "server"; readonly candidate: ServerEstimate }
  | { readonly kind: "peer"; readonly peer: NodeStatus };

/** Options of a `ServerSelector`. */
export interface ServerSelectorOptions {
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
  /** Of the request; see `Urgency`. */
  readonly priority: number;
  /** Of the request at engines. */
  readonly rank: number;
  readonly deadlines: RequestDeadlines;
  readonly arrivedMs: number;
  /** Size of the request's body. */
  readonly bodyBytes: () => number;
  /** The software version that the server must have; undefined for any. */
  readonly softwareVersion: () => string | undefined;
  /** Whether to stop waiting: the caller disconnected, the node stops or the request was quarantined. */
  readonly isCancelled: () => boolean;
  /** Whether the request may run now, given that duplicates of a suspected request run one at a time. */
  readonly mayRun: () => boolean;
  /** Tries to acquire the run lock; sleeps briefly if it is taken. */
  readonly awaitLock: () => Promise<void>;
  /** Releases the run lock, as the request isn't sent soon. */
  readonly releaseLocks: () => void;
  /** Chooses a peer that can send to one of the servers; undefined if the request may not be passed on. */
  readonly choosePeer:
    ((servers: readonly BackendServer[], need: PeerNeed) => NodeStatus | undefined) | undefined;
}

/** Sends of the request so far. */
export interface SendProgress {
  readonly sends: number;
  /** Sends after which the server may have run the request. */
  readonly possibleRuns: number;
}

/** Server selection of one request. */
export class ServerSelector {
  /** Whether no server was selected because this node can connect to none of those that could serve the request. */
  outOfReach = false;
  /** Why no server was selected, for the log and the caller. */
  refusal = "";
  /** Retry-After for the caller, s. */
  retryAfterS = defaultRetryS;
  private readonly candidates: ServerCandidates;
  private readonly protection: StreamProtection;
  private allRetried = false;
  /** Time until the next admission check, ms. */
  private recheckMs = admissionRecheckMs;
  /** Ends the count of the request as in flight at a server. */
  private slot: (() => void) | undefined;
  /** A slot became free for this request. */
  private hasTurn = false;
  /** The servers whose permits the request waits for. */
  private permitWait: { readonly key: string; readonly waiting: Disposable } | undefined;

  constructor(private readonly options: ServerSelectorOptions) {
    this.candidates = new ServerCandidates(options);
    this.protection = new StreamProtection(options);
  }

  /**
   * Resolves with the best server as soon as there is one, with a peer if this node can't connect to the servers, or with
   * undefined once waiting is pointless. After each wait the sockets are read first, as the caller may have disconnected
   * meanwhile.
   */
  async waitForServer(progress: SendProgress): Promise<Selection | undefined> {
    const key = demandKey(this.options.service.name, this.candidates.scope);
    const { waitingRequests } = this.options.context;
    let counted = false;
    try {
      for (;;) {
        if (this.options.isCancelled() || this.timeLeftMs <= 0) return undefined;
        if (this.candidates.lacksVersion) {
          this.refusal = `no server of version ${this.options.softwareVersion() ?? ""}`;
          return undefined;
        }
        const { queuedServers } = this;
        if (queuedServers.length > 0) {
          if (!(await this.waitForSlot(queuedServers))) return undefined;
          await this.options.context.watermark.waitUntilCaughtUp();
          continue;
        }
        const candidate = this.choose();
        if (candidate === undefined) {
          this.options.releaseLocks();
          const peer = this.peerInstead();
          if (peer !== undefined) return { kind: "peer", peer };
          if (this.outOfReach && this.options.choosePeer === undefined) return undefined;
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
          this.protection.end("sent", performance.now());
          this.recordSend(candidate);
          return { kind: "server", candidate };
        }
        if (decision === "refuse") {
          this.protection.end("refused", performance.now());
          return undefined;
        }
        await new Promise((resolve) => setTimeout(resolve, this.recheckMs));
        await this.options.context.watermark.waitUntilCaughtUp();
      }
    } finally {
      if (counted) waitingRequests.remove(key);
      this.registerPermitWait([]);
      this.protection.end("left", performance.now());
    }
  }

  /** The send for which the last server was selected has ended, or is not made. */
  releaseSlot(): void {
    this.slot?.();
    this.slot = undefined;
  }

  /** Whether another server could be sent the request now. */
  hasAlternative(): boolean {
    // A choice among them always has a result, and takes much longer.
    return this.candidates.ready.some(({ id }) => !this.candidates.tried.has(id));
  }

  /** Estimate for this server, whether or not the request could be sent there now. */
  estimateOf(server: BackendServer): ServerEstimate | undefined {
    return this.choose([server], new Set());
  }

  /** A server that refused may be tried again once it accepts requests or holds the model. */
  recordRefusal(server: BackendServer, response: ResponseMetadata): void {
    const { model, adapter } = this.options.metadata;
    const { refusals, fleet } = this.options.context;
    const now = performance.now();
    this.candidates.tried.delete(server.id);
    if ((response.notice.retryAfterMs ?? 0) >= minBackoffMs) return;
    if (!response.wrongServer) refusals.recordRefusal(server.id, this.candidates.scope, now);
    else if (model !== undefined) fleet.markAbsent(server, model, adapter, now);
    // Another incarnation has the address, so this server no longer exists.
    else this.candidates.tried.add(server.id);
  }

  recordAccepted(server: BackendServer): void {
    this.options.context.refusals.recordAccepted(server.id, this.candidates.scope);
  }

  /** A peer to pass the request on to, as this node can't connect to the servers or has no share of their slots. */
  private peerInstead(): NodeStatus | undefined {
    const { outOfReach } = this.candidates;
    this.outOfReach = outOfReach.length > 0;
    if (this.outOfReach) return this.options.choosePeer?.(outOfReach, "connected");
    const { withoutShare } = this.candidates;
    return withoutShare.length > 0 ? this.options.choosePeer?.(withoutShare, "with-slots") : undefined;
  }

  private get timeLeftMs(): number {
    return this.options.deadlines.firstByteDeadlineMs - performance.now();
  }

  private choose(
    candidates: readonly BackendServer[] = this.candidates.ready,
    tried: ReadonlySet<string> = this.candidates.tried,
  ): ServerEstimate | undefined {
    const { metadata, service, context, route, bodyBytes, rank } = this.options;
    const now = performance.now();
    return chooseServer({
      ...{ candidates, tried, zone: context.zone, randomDraw: context.random() },
      targetMs: route.targetMs,
      promptTokens: metadata.promptTokens,
      prefillFactor: context.prefillFactors.factorOf(
        service.engine?.models.find((m) => m.name === metadata.model),
      ),
      overheadMs: context.prefillFactors.overheadMs,
      slotWaitMs: (requests, slots) => context.engineSpeed.slotWaitMs(requests, slots),
      prefix: metadata.prefix,
      cacheScope: `${metadata.model ?? ""}/${metadata.adapter ?? ""}`,
      cacheTransfer: service.engine?.cacheTransfer,
      ...serverViewOf({ context, service, metadata, route, rank, bodyBytes: bodyBytes() }, now),
    });
  }

  private recordSend({ server, chances }: ServerEstimate): void {
    const { notices, permits, turns } = this.options.context;
    if (chances !== undefined) turns.recordSend(server.id, chances);
    const now = performance.now();
    notices.recordSend(server, now);
    this.takeSlot(server, now);
    permits.consume(server);
    // The next similar request may use the spare capacity of a rate-limited server.
    const limited = this.candidates.throttled.filter((other) => notices.acceptsRequests(other, now));
    if (limited.length > 0) permits.requestSpare(limited, now);
  }

  private takeSlot(server: BackendServer, startedMs: number): void {
    const { concurrency, slotQueue } = this.options.context;
    concurrency.start(server);
    this.slot = () => {
      concurrency.end(server, performance.now() - startedMs);
      slotQueue.release(server.service);
    };
  }

  /** The limited servers for which requests that came earlier are waiting; empty if it is this request's turn. */
  private get queuedServers(): readonly BackendServer[] {
    const { concurrency, slotQueue } = this.options.context;
    if (!concurrency.active || this.hasTurn) return [];
    const ahead = slotQueue.ahead(this.options.service.name, this.candidates.scope, this.queuePosition);
    return ahead === 0 ? [] : this.candidates.limited;
  }

  private get queuePosition(): QueuePosition {
    return { priority: this.options.priority, arrivedMs: this.options.arrivedMs };
  }

  /** Waits until this node may send to one of the limited servers; resolves with false if that takes too long. */
  private async waitForSlot(servers: readonly BackendServer[]): Promise<boolean> {
    const { concurrency, slotQueue } = this.options.context;
    const { name } = this.options.service;
    const { scope } = this.candidates;
    const ahead = slotQueue.ahead(name, scope, this.queuePosition);
    const expectedMs = concurrency.expectedWaitMs(servers, ahead, performance.now());
    this.setRefusal(expectedMs, "all servers are at their concurrency limit");
    if (expectedMs > slotWaitRatio * this.timeLeftMs) return false;
    const maxMs = Math.max(1, Math.min(this.timeLeftMs, recheckIntervalMs));
    this.hasTurn = await slotQueue.wait(name, scope, this.queuePosition, maxMs);
    // The slot is for the next request then.
    if (this.options.isCancelled()) slotQueue.release(name);
    return true;
  }

  /** Registers the request as waiting for permits of exactly these servers. */
  private registerPermitWait(servers: readonly BackendServer[]): void {
    const key = servers.map(({ id }) => id).join(" ");
    if (key === (this.permitWait?.key ?? "")) return;
    void this.permitWait?.waiting.dispose();
    this.permitWait = undefined;
    if (servers.length === 0) return;
    const waiting = this.options.context.permits.wait(servers, this.options.arrivedMs);
    this.permitWait = { key, waiting };
  }

  /** Waits until a throttled server may accept requests again; resolves with false if none will before the deadline. */
  private async waitForThrottled(servers: readonly BackendServer[]): Promise<boolean> {
    const { notices, permits, concurrency, fleetChanged } = this.options.context;
    const now = performance.now();
    const limited = servers.filter(
      (server) => notices.acceptsRequests(server, now) && concurrency.isLimited(server, now),
    );
    if (limited.length > 0) return this.waitForSlot(limited);
    const backoffsMs = servers.map((server) => notices.backoffRemainingMs(server, now));
    const minBackoffLeftMs = Math.min(...backoffsMs);
    const waitsMs = servers.map((server, i) =>
      Math.max(backoffsMs[i] ?? 0, permits.expectedWaitMs(server, now)),
    );
    const expectedMs = Math.min(...waitsMs);
    this.setRefusal(expectedMs, "all servers are throttled", Number.POSITIVE_INFINITY);
    // The permit queue is checked only once: later it also holds requests that arrived after this one.
    const isTooLate =
      minBackoffLeftMs >= this.timeLeftMs || (this.permitWait === undefined && expectedMs >= this.timeLeftMs);
    if (isTooLate && !this.candidates.anyRefusing) return false;
    this.registerPermitWait(servers.filter((server) => notices.acceptsRequests(server, now)));
    const sleepMs = minBackoffLeftMs > 0 ? Math.min(recheckIntervalMs, minBackoffLeftMs) : recheckIntervalMs;
    await fleetChanged.waitForNext(Math.max(1, Math.min(this.timeLeftMs, sleepMs)));
    return true;
  }

  private admissionFor(candidate: ServerEstimate, { sends }: SendProgress): "send" | "wait" | "refuse" {
    const { route, service, deadlines, arrivedMs } = this.options;
    if (sends > 0 || service.engine === undefined) return "send";
    const now = performance.now();
    const admission = admit({
      queueMs: candidate.queueMs,
      expectedFirstByteMs: candidate.queueMs + candidate.prefillMs,
      requests: candidate.requests,
      slots: candidate.server.slots,
      timeLeftMs: this.timeLeftMs,
      callerTimeoutMs: deadlines.firstByteDeadlineMs - arrivedMs,
      targetMs: route.targetMs,
      priority: this.options.priority,
      decoding: this.protection.effectOf(candidate, now),
    });
    this.recheckMs = admissionRecheckMs;
    if (admission.kind === "wait" && admission.forStreams) this.protection.hold(candidate, now);
    if (admission.kind === "send") {
      const settleMs = this.protection.settle(now);
      if (settleMs > 0) {
        this.recheckMs = Math.min(admissionRecheckMs, settleMs);
        return "wait";
      }
    }
    if (admission.kind === "refuse") {
      this.setRefusal(
        admission.retryAfterMs,
        `first byte expected in ${Math.round(candidate.expectedMs)} ms`,
      );
    }
    return admission.kind;
  }

  /** Waits until a server may be available; resolves with false if none will be before the deadline. */
  private async waitForCandidate(progress: SendProgress): Promise<boolean> {
    const { throttled } = this.candidates;
    if (throttled.length > 0) {
      this.options.placement.demandChanged();
      return this.waitForThrottled(throttled);
    }
    if (this.candidates.tried.size > 0) return this.retryAllServers(progress);
    this.options.placement.demandChanged();
    if (this.outOfReach && this.pathIsUncertain()) return this.waitForChange();
    if (this.candidates.lacksModelAtVersion) {
      this.setRefusal(versionRetryAfterMs, "no server of the stream's version holds the model");
      return false;
    }
    if (this.modelLoadsTooLate()) return false;
    const { model, adapter } = this.options.metadata;
    if (model !== undefined && adapter !== undefined && this.candidates.hasModel) {
      const softwareVersion = this.options.softwareVersion();
      const need = { service: this.options.service.name, model, adapter, softwareVersion };
      await this.options.placement.ensureAdapter(need);
      if (this.hasAlternative()) return true;
      if (this.adapterWaitExceeded()) {
        this.setRefusal(adapterRetryAfterMs, "no adapter slot is free yet");
        return false;
      }
    }
    return this.waitForChange();
  }

  private async waitForChange(): Promise<true> {
    const { fleetChanged } = this.options.context;
    await fleetChanged.waitForNext(Math.max(1, Math.min(this.timeLeftMs, recheckIntervalMs)));
    return true;
  }

  /** Whether peers may still report whether they can connect to a server that this node can't connect to. */
  private pathIsUncertain(): boolean {
    const { reachability } = this.options.context;
    const now = performance.now();
    return this.candidates.outOfReach.some(
      ({ id }) => now - (reachability.failingSinceMs(id) ?? now) < pathWaitMs,
    );
  }

  /** Whether the wait for the adapter is too long; the request is then refused while its caller can still retry. */
  private adapterWaitExceeded(): boolean {
    const { deadlines, arrivedMs } = this.options;
    return performance.now() - arrivedMs > adapterWaitRatio * (deadlines.firstByteDeadlineMs - arrivedMs);
  }

  /**
   * Called when every server was tried. If one may have run the request, waiting until the timeout would not yield
   * another server; if all refused it, they are retried once after a short pause.
   */
  private async retryAllServers({ possibleRuns }: SendProgress): Promise<boolean> {
    if (possibleRuns > 0 || this.allRetried || this.timeLeftMs <= recheckIntervalMs) return false;
    this.allRetried = true;
    await new Promise((resolve) => setTimeout(resolve, recheckIntervalMs));
    this.candidates.tried.clear();
    return true;
  }

  /** Whether the model will be loaded only after the caller's deadline; the request is then refused immediately. */
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
