/**
 * Limits the requests in flight, over all nodes, at plain servers that have just started, have just recovered or have become
 * slower, and finds the limit from their responses: it grows additively while their latency is stable and halves when it
 * isn't. Without it all nodes send to a server that looks idle until reports of each other's requests arrive.
 */
import { Emitter } from "../../common/emitter.ts";
import { incarnationOf, type BackendServer } from "../backendServer.ts";
import { plainCallMs } from "../serverChoice.ts";
import type { ServerSpeeds } from "./serverSpeeds.ts";

/** Interval between two changes of a pace, ms: about the age of peers' reports. */
const tickMs = 100;
/** Servers found within this time after the first ones of their service haven't just started, this node has, ms. */
const serviceStartMs = 2_000;
/** First pace, in slots of the server, and how much it grows in each second. */
const firstPaceRatio = 1 / 6;
const growthRatioPerS = 0.9;
/** Upper limit of the pace, in slots: a server with more in flight only queues them. */
const maxPaceRatio = 0.9;
/** Reported requests in flight above which nothing is sent, as a multiple of the pace: numbers vary around their mean. */
const reportedPaceRatio = 1.5;
/** Lower limit of the pace: with calls of 30 ms, 10 a second. At 0.1 a recovery from failures took 3.5 s. */
const minPace = 0.3;
/** A server with this ratio of failed or refused requests is paced; its pace halves. */
const failingShare = 0.15;
/** The same for a present latency this many times its usual one: 15 % of requests of 2.5 times the usual time raise it by 1.15. */
const risingFactor = 2;
/**
 * Paces of plain servers are applied only while the others can process this ratio of the load. At 1, the estimates of
 * the load and the call time vary so much that paces were often not applied at a utilization of 93 %.
 */
const minOtherCapacity = 0.75;
/** For this time the latency of a server that has started is compared with that of others, ms. */
const probationMs = 1_000;
/** A server that receives this ratio of its share by speed is no longer paced. */
const sufficientShare = 0.9;
/** Shortest time for which a server is paced, ms: peers' reports of the first requests are as old. */
const minPacedMs = 300;
/** Requests that are sent per second over all nodes to a server without recent responses, and as a ratio of the service's. */
const exploringPerS = 5;
const maxExploringRatio = 0.05;
/** Non-idempotent requests are sent there this much more rarely, as they can't be sent again if the server fails. */
const unrepeatableRatio = 0.1;
/** A server that has responded within this time needs no exploration, ms. */
const recentAnswerMs = 150;
/** Minimum interval between two notices of reduced paces of a server, ms. */
const reducedNoticeMs = 1_000;
/** A node that sends more than this ratio of a service's requests sends most of them. */
const maxOwnRatio = 0.5;

/** Why a server is paced. */
export type PaceReason = "started" | "failing" | "slower";

/**
 * A server starts or ends being paced (it gets its share), its pace was reduced, or it has recovered after that and its
 * pace grows again.
 */
export interface PaceChange {
  readonly change: "started" | "ended" | "reduced" | "recovered";
  readonly reason: PaceReason;
  readonly server: string;
  readonly service: string;
  readonly pace: number;
  readonly speed: number;
  readonly failureShare: number;
  /** Present over usual latency. */
  readonly rise: number;
}

interface Pace {
  inFlight: number;
  /** Its reduction was notified, and no recovery since. */
  isReduced: boolean;
  readonly sinceMs: number;
  readonly reason: PaceReason;
}

interface ServiceRecord {
  readonly firstSeenMs: number;
  tickedAtMs: number;
  /** Whether enough other servers are left for paces to be applied. */
  applied: boolean;
}

/** Options of a `ServerPaces`. */
export interface ServerPacesOptions {
  readonly speeds: ServerSpeeds;
  /** The servers of a service. */
  readonly servers: (service: string) => readonly BackendServer[];
  /** Number of nodes that send to servers of the service. */
  readonly nodeCount: (service: string) => number;
}

/** One request for which servers are compared. */
export interface PacedRequest {
  /** Random number from 0 to 1, drawn for each request. */
  readonly draw: number;
  /** Whether it may be sent again if the server fails. */
  readonly repeatable: boolean;
}

/** Paces of servers, as this node applies them. */
export class ServerPaces {
  /** Fired with each change that operators should see. */
  readonly changed = new Emitter<PaceChange>();
  private readonly services = new Map<string, ServiceRecord>();
  /** By incarnation; undefined while the server isn't paced. */
  private readonly paces = new Map<string, Pace | undefined>();
  private readonly reducedMs = new Map<string, number>();

  constructor(private readonly options: ServerPacesOptions) {}

  /**
   * Whether the server's pace admits the request, given the requests known in flight there. Each request is admitted with
   * a probability that lets all nodes together have as many in flight as the pace allows, so that no node has to know
   * whose turn it is.
   */
  admits(server: BackendServer, inFlight: number, { draw }: PacedRequest, nowMs: number): boolean {
    const service = this.update(server.service, nowMs, server);
    const pace = this.paces.get(incarnationOf(server));
    if (pace === undefined || !service.applied) return true;
    if (inFlight > pace.inFlight * reportedPaceRatio + 1) return false;
    const perS = (1_000 * pace.inFlight) / this.requestMs(server, nowMs);
    // Among admitted servers it is chosen as often as its share by speed suggests; by a node that knows only of its own
    // requests, possibly each time, as it seems idle.
    const share = this.isAlone(server.service, nowMs) ? 1 : this.shareOf(server, nowMs);
    const offeredPerS = share * this.requestsPerS(server.service, nowMs);
    return draw * offeredPerS < perS;
  }

  /** Whether to send the request to the server although others are better, as nothing is known of it lately. */
  explores(server: BackendServer, { draw, repeatable }: PacedRequest, nowMs: number): boolean {
    const { speeds } = this.options;
    const service = this.update(server.service, nowMs);
    if (!service.applied) return false;
    const isPaced = this.paces.get(incarnationOf(server)) !== undefined;
    if (!isPaced && speeds.speedOf(server, nowMs) >= 1) return false;
    const lastAnswerMs = speeds.lastAnswerMs(server) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastAnswerMs < recentAnswerMs) return false;
    const ratio = Math.min(maxExploringRatio, exploringPerS / this.requestsPerS(server.service, nowMs));
    return draw < ratio * (repeatable ? 1 : unrepeatableRatio);
  }

  /**
   * Whether this node sends most of the service's requests, so that it knows well enough what is in flight. Until its
   * peers' reports arrive, each node has seen only its own responses.
   */
  isAlone(service: string, nowMs: number): boolean {
    const ratio = this.options.speeds.ownRatio(service, nowMs);
    const firstSeenMs = this.services.get(service)?.firstSeenMs ?? nowMs;
    if (ratio === undefined || nowMs - firstSeenMs < serviceStartMs)
      return this.options.nodeCount(service) <= 1;
    return ratio > maxOwnRatio;
  }

  /** Requests that all nodes may have in flight at the server; undefined if it isn't paced. */
  paceOf(server: BackendServer): number | undefined {
    return this.paces.get(incarnationOf(server))?.inFlight;
  }

  /** Removes what is known of incarnations that are not listed. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const key of this.paces.keys()) if (!incarnations.has(key)) this.paces.delete(key);
    for (const key of this.reducedMs.keys()) if (!incarnations.has(key)) this.reducedMs.delete(key);
  }

  /** Updates the paces of the service's servers if it is time to, or at once if the given server is new. */
  private update(name: string, nowMs: number, chosen?: BackendServer): ServiceRecord {
    const known = this.services.get(name);
    const isNew = chosen !== undefined && !this.paces.has(incarnationOf(chosen));
    if (known !== undefined && nowMs - known.tickedAtMs < tickMs && !isNew) return known;
    const servers = this.options.servers(name);
    const service = known ?? {
      firstSeenMs: nowMs,
      tickedAtMs: Number.NEGATIVE_INFINITY,
      applied: false,
    };
    this.services.set(name, service);
    const sinceMs = nowMs - service.tickedAtMs;
    for (const server of servers) this.updateServer(server, service, Math.min(sinceMs, 2 * tickMs), nowMs);
    service.tickedAtMs = nowMs;
    service.applied = this.canPace(name, servers, nowMs);
    return service;
  }

  /** Whether the servers that aren't paced can process the load: otherwise the paces would overload them. */
  private canPace(name: string, servers: readonly BackendServer[], nowMs: number): boolean {
    const others = servers.filter((server) => this.paceOf(server) === undefined);
    const slots = others.reduce((sum, server) => sum + server.slots, 0);
    const typicalMs = this.options.speeds.typicalMs(name, nowMs);
    return (slots * 1_000) / (typicalMs ?? plainCallMs) >= minOtherCapacity * this.requestsPerS(name, nowMs);
  }

  private updateServer(server: BackendServer, service: ServiceRecord, sinceMs: number, nowMs: number): void {
    const incarnation = incarnationOf(server);
    const known = this.paces.get(incarnation);
    // A new server has no usual latency yet.
    const isSlowStart = (): boolean =>
      known?.reason === "started" &&
      nowMs - known.sinceMs < probationMs &&
      this.options.speeds.speedOf(server, nowMs) * risingFactor < 1;
    const failing = this.options.speeds.failureShareOf(server, nowMs) >= failingShare;
    const rising = this.options.speeds.riseOf(server, nowMs) >= risingFactor || isSlowStart();
    if (known === undefined) {
      const isNew = !this.paces.has(incarnation) && nowMs - service.firstSeenMs >= serviceStartMs;
      this.paces.set(incarnation, undefined);
      if (isNew) this.begin(server, "started", nowMs);
      else if (failing) this.begin(server, "failing", nowMs);
      else if (rising) this.begin(server, "slower", nowMs);
      return;
    }
    if (failing || rising) {
      known.inFlight = Math.max(minPace, known.inFlight / 2);
      this.notifyReduced(server, known, nowMs);
      return;
    }
    const hasAnswered = (this.options.speeds.lastAnswerMs(server) ?? 0) > nowMs - sinceMs - tickMs;
    if (!hasAnswered) return;
    // From the lower limit it doubles at most, so that a server that still fails isn't sent many requests.
    const growth = Math.min(known.inFlight, (server.slots * growthRatioPerS * sinceMs) / 1_000);
    known.inFlight = Math.min(server.slots * maxPaceRatio, known.inFlight + growth);
    if (known.isReduced) this.notify("recovered", server, known, nowMs);
    known.isReduced = false;
    const shareRatio = this.shareRatioOf(server, nowMs) ?? 0;
    if (nowMs - known.sinceMs < minPacedMs || shareRatio < sufficientShare) return;
    this.paces.set(incarnation, undefined);
    this.notify("ended", server, known, nowMs);
  }

  private begin(server: BackendServer, reason: PaceReason, nowMs: number): void {
    const inFlight = Math.max(1, server.slots * firstPaceRatio);
    const pace = { inFlight, isReduced: false, sinceMs: nowMs, reason };
    this.paces.set(incarnationOf(server), pace);
    this.notify("started", server, pace, nowMs);
  }

  /** The responses of the server as a ratio of its share of the service's by speed; undefined without responses. */
  shareRatioOf(server: BackendServer, nowMs: number): number | undefined {
    const { speeds } = this.options;
    const servers = this.options.servers(server.service);
    const answers = servers.reduce((sum, s) => sum + speeds.answersOf(s, nowMs), 0);
    if (answers === 0) return undefined;
    return speeds.answersOf(server, nowMs) / (this.shareOf(server, nowMs) * answers);
  }

  /** The server's share of the service's capacity. */
  private shareOf(server: BackendServer, nowMs: number): number {
    const capacityOf = (s: BackendServer): number => s.slots * this.options.speeds.speedOf(s, nowMs);
    const servers = this.options.servers(server.service);
    return capacityOf(server) / servers.reduce((sum, s) => sum + capacityOf(s), 0);
  }

  /** Requests per second of the service over all nodes. */
  requestsPerS(name: string, nowMs: number): number {
    const nodeCount = (): number => this.options.nodeCount(name);
    return Math.max(1, this.options.speeds.answersPerS(name, nodeCount, nowMs));
  }

  /** For how long a request is in flight at the server, ms. */
  private requestMs(server: BackendServer, nowMs: number): number {
    const { speeds } = this.options;
    const typicalMs = speeds.typicalMs(server.service, nowMs) ?? plainCallMs;
    return Math.max(1, typicalMs / speeds.speedOf(server, nowMs));
  }

  private notifyReduced(server: BackendServer, pace: Pace, nowMs: number): void {
    const key = incarnationOf(server);
    if (nowMs - (this.reducedMs.get(key) ?? Number.NEGATIVE_INFINITY) < reducedNoticeMs) return;
    this.reducedMs.set(key, nowMs);
    pace.isReduced = true;
    this.notify("reduced", server, pace, nowMs);
  }

  private notify(change: PaceChange["change"], server: BackendServer, pace: Pace, nowMs: number): void {
    const { speeds } = this.options;
    this.changed.fire({
      ...{ change, reason: pace.reason, server: server.id, service: server.service },
      pace: rounded(pace.inFlight),
      speed: rounded(speeds.speedOf(server, nowMs)),
      failureShare: rounded(speeds.failureShareOf(server, nowMs)),
      rise: rounded(speeds.riseOf(server, nowMs)),
    });
  }
}

function rounded(value: number): number {
  return Number(value.toPrecision(3));
}
