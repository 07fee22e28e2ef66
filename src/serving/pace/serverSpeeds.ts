/**
 * Learns the speed of each server incarnation from the responses that all nodes observe, relative to the servers of its
 * service. Handles servers that are slower or faster than others, or are so for some seconds.
 */
import { incarnationOf, type BackendServer } from "../backendServer.ts";
import type { ServerEstimate } from "../serverChoice.ts";
import { AnswerCollector, type AnswerReport } from "./answerReport.ts";
import { DecayedMean } from "./decayedMean.ts";

/** Half-life of what counts as a server's usual time, ms: a recovery must show within 1 to 2 s. */
const usualHalfLifeMs = 700;
/** Half-life of its present time, ms: about the age of peers' reports. */
const presentHalfLifeMs = 150;
/** Half-life of failures, and of the numbers of responses by which servers' shares are compared, ms. */
const failureHalfLifeMs = 400;
const shareHalfLifeMs = 500;
/**
 * Weight of the assumption that a server is typical, in responses: the speed returns to neutral as its observations
 * lose their weight, and a single response doesn't determine it.
 */
const neutralWeight = 1;
/** Minimum weight for a server to count in the median of its service. */
const minMedianWeight = 2;
/** Servers are alike if their times differ by less than this factor, or by what responses vary by chance. */
const alikeFactor = 1.25;
const chanceLog = 0.8;
/** Bounds of the speed. */
const minSpeed = 1 / 16;
const maxSpeed = 4;
/**
 * If its present time, by at least this weight of responses, is shorter than its usual time by this factor, the server
 * has recovered: each response then discounts what was observed before.
 */
const minPresentWeight = 1.25;
const recoveryFactor = 1.6;
const recoveryDiscount = 0.3;
/** Minimum weight of present responses that show a rise: a single one may belong to a long request. */
const minRiseWeight = 3;
/** Minimum weight of recent requests by which a server is judged to fail: a single failure may be due to the request. */
const minFailureWeight = 2;
/** Without a report for this time peers don't report, ms: they do every 100 to 300 ms. */
const peerReportTtlMs = 1_000;
/** The medians of the services are computed again after this time, ms. */
const medianTtlMs = 50;

interface AnswerRecord {
  readonly usual: DecayedMean;
  readonly present: DecayedMean;
  readonly answers: DecayedMean;
  /** 1 per failed request and 0 per answered one. */
  readonly failures: DecayedMean;
  lastAnswerMs: number;
}

/** Options of `ServerSpeeds`. */
export interface ServerSpeedsOptions {
  /** The servers of a service. */
  readonly servers: (service: string) => readonly BackendServer[];
}

/** Observed times of servers, over all nodes. */
export class ServerSpeeds {
  private readonly records = new Map<string, AnswerRecord>();
  /** This node's own responses, by service. */
  private readonly ownAnswers = new Map<string, DecayedMean>();
  private peerReportMs = Number.NEGATIVE_INFINITY;
  private readonly collector = new AnswerCollector();
  private readonly medians = new Map<string, { readonly log: number | undefined; readonly atMs: number }>();
  /** Values over all servers of a service at one time: an update or a choice asks for them once for each server. */
  private readonly riseMedians = new ValuesAtTime<number | undefined>();
  private readonly failureMedians = new ValuesAtTime<number | undefined>();
  private readonly answerSums = new ValuesAtTime<number>();

  constructor(private readonly options: ServerSpeedsOptions) {}

  /**
   * A server responded after `observedMs`, of which `expectedMs` were expected of a typical server; of plain servers
   * `expectedMs` is 1 per request that runs before it ends, so that the ratio is the time of a call.
   */
  recordAnswer(server: BackendServer, observedMs: number, expectedMs: number, nowMs: number): void {
    const incarnation = incarnationOf(server);
    const log = Math.log(Math.max(0.1, observedMs) / Math.max(0.001, expectedMs));
    this.apply(incarnation, 1, log, nowMs);
    const own = this.ownAnswers.get(server.service) ?? new DecayedMean(shareHalfLifeMs);
    this.ownAnswers.set(server.service, own);
    own.add(1, 1, nowMs);
    this.collector.addAnswer(incarnation, log);
  }

  /** A server failed or refused a request. */
  recordFailure(server: BackendServer, nowMs: number): void {
    const incarnation = incarnationOf(server);
    this.recordOf(incarnation).failures.add(1, 1, nowMs);
    this.collector.addFailure(incarnation);
  }

  /** What peers should know; undefined if nothing was observed since the last call. */
  nextReport(): AnswerReport | undefined {
    return this.collector.take();
  }

  /** Applies the observations of a peer. */
  applyPeerReport(report: AnswerReport, nowMs: number): void {
    this.peerReportMs = nowMs;
    for (const [incarnation, [count, value, failures]] of Object.entries(report)) {
      if (count > 0 && value > 0) this.apply(incarnation, count, Math.log(value), nowMs);
      if (failures > 0) this.recordOf(incarnation).failures.add(1, failures, nowMs);
    }
  }

  /** Speed relative to the typical server of the service; 1 for servers that are about alike, or aren't known. */
  speedOf(server: BackendServer, nowMs: number): number {
    const record = this.records.get(incarnationOf(server));
    const log = this.relativeLog(server, record?.usual, nowMs);
    const chance = chanceLog / Math.sqrt(Math.max(1, record?.usual.weight(nowMs) ?? 0));
    if (log === undefined || Math.abs(log) < Math.max(Math.log(alikeFactor), chance)) return 1;
    return Math.min(maxSpeed, Math.max(minSpeed, Math.exp(-log)));
  }

  /** Time of a typical call, ms (of engines: observed over expected time); undefined while unknown. */
  typicalMs(service: string, nowMs: number): number | undefined {
    const log = this.medianLog(service, nowMs);
    return log === undefined ? undefined : Math.exp(log);
  }

  /** Present over usual time, compared with the median of the service's servers; 1 without recent responses. */
  riseOf(server: BackendServer, nowMs: number): number {
    const log = this.riseLog(server, nowMs);
    if (log === undefined) return 1;
    // When all servers become slower, the load or the requests have changed.
    const median = this.riseMedians.get(server.service, nowMs, () =>
      medianOf(this.options.servers(server.service).map((other) => this.riseLog(other, nowMs))),
    );
    return Math.exp(log - Math.max(0, median ?? 0));
  }

  /** Share of the recent requests that failed, beyond the median of the service's servers. */
  failureShareOf(server: BackendServer, nowMs: number): number {
    const median = this.failureMedians.get(server.service, nowMs, () =>
      medianOf(this.options.servers(server.service).map((other) => this.failedOf(other, nowMs))),
    );
    return Math.max(0, this.failedOf(server, nowMs) - (median ?? 0));
  }

  private failedOf(server: BackendServer, nowMs: number): number {
    const failures = this.records.get(incarnationOf(server))?.failures;
    const weight = failures?.weight(nowMs) ?? 0;
    return weight < minFailureWeight ? 0 : (failures?.mean ?? 0) * (weight / (weight + neutralWeight));
  }

  /**
   * Responses of the service per second over all nodes; this node's times the number of nodes if peers don't report. That
   * number is computed only then.
   */
  answersPerS(service: string, nodeCount: () => number, nowMs: number): number {
    if (nowMs - this.peerReportMs > peerReportTtlMs)
      return perS((this.ownAnswers.get(service)?.weight(nowMs) ?? 0) * Math.max(1, nodeCount()));
    return perS(this.allAnswers(service, nowMs));
  }

  /** The servers of the service. */
  serversOf(service: string): readonly BackendServer[] {
    return this.options.servers(service);
  }

  /** Responses of the server per second over all nodes that report. */
  answersPerSOf(server: BackendServer, nowMs: number): number {
    return perS(this.answersOf(server, nowMs));
  }

  /** This node's ratio of the recent responses of the service; undefined without any. */
  ownRatio(service: string, nowMs: number): number | undefined {
    const own = this.ownAnswers.get(service)?.weight(nowMs) ?? 0;
    const all = this.allAnswers(service, nowMs);
    return all > 0 ? own / all : undefined;
  }

  /** Recent responses of all servers of the service, decaying. */
  private allAnswers(service: string, nowMs: number): number {
    return this.answerSums.get(service, nowMs, () =>
      this.options.servers(service).reduce((sum, server) => sum + this.answersOf(server, nowMs), 0),
    );
  }

  /** Recent responses of the server, decaying. */
  answersOf(server: BackendServer, nowMs: number): number {
    return this.records.get(incarnationOf(server))?.answers.weight(nowMs) ?? 0;
  }

  /** When the server responded last, ms; undefined if it never did. */
  lastAnswerMs(server: BackendServer): number | undefined {
    return this.records.get(incarnationOf(server))?.lastAnswerMs;
  }

  /** Removes the records of all incarnations that are not listed. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const values of [this.riseMedians, this.failureMedians, this.answerSums]) values.clear();
    for (const key of this.records.keys()) if (!incarnations.has(key)) this.records.delete(key);
  }

  /** Logarithm of its time over the typical one, weighted towards 0 the fewer and older its observations are. */
  private relativeLog(
    server: BackendServer,
    mean: DecayedMean | undefined,
    nowMs: number,
  ): number | undefined {
    const weight = mean?.weight(nowMs) ?? 0;
    const typical = this.medianLog(server.service, nowMs);
    if (mean?.mean === undefined || typical === undefined) return undefined;
    return (mean.mean - typical) * (weight / (weight + neutralWeight));
  }

  /** Median of the logarithms over the servers with enough recent responses. */
  private medianLog(service: string, nowMs: number): number | undefined {
    const known = this.medians.get(service);
    if (known !== undefined && nowMs - known.atMs < medianTtlMs) return known.log;
    const logs = this.options
      .servers(service)
      .map((server) => this.records.get(incarnationOf(server))?.usual)
      .filter((usual) => (usual?.weight(nowMs) ?? 0) >= minMedianWeight)
      .map((usual) => usual?.mean);
    // Without recent responses the last known time is the best estimate.
    const kept = medianOf(logs) ?? known?.log;
    this.medians.set(service, { log: kept, atMs: nowMs });
    return kept;
  }

  private riseLog(server: BackendServer, nowMs: number): number | undefined {
    const record = this.records.get(incarnationOf(server));
    const typical = this.medianLog(server.service, nowMs);
    if (record?.present.mean === undefined || typical === undefined) return undefined;
    if (record.present.weight(nowMs) < minRiseWeight) return undefined;
    return record.present.mean - typical - (this.relativeLog(server, record.usual, nowMs) ?? 0);
  }

  private apply(incarnation: string, count: number, log: number, nowMs: number): void {
    const record = this.recordOf(incarnation);
    record.present.add(log, count, nowMs);
    const isRecovery =
      record.present.weight(nowMs) >= minPresentWeight &&
      (record.usual.mean ?? 0) - (record.present.mean ?? 0) > Math.log(recoveryFactor);
    if (isRecovery) record.usual.discount(recoveryDiscount);
    record.usual.add(log, count, nowMs);
    record.answers.add(1, count, nowMs);
    record.failures.add(0, count, nowMs);
    record.lastAnswerMs = nowMs;
  }

  /** The record, which the caller changes. */
  private recordOf(incarnation: string): AnswerRecord {
    for (const values of [this.riseMedians, this.failureMedians, this.answerSums]) values.clear();
    const known = this.records.get(incarnation);
    if (known !== undefined) return known;
    const record: AnswerRecord = {
      usual: new DecayedMean(usualHalfLifeMs),
      present: new DecayedMean(presentHalfLifeMs),
      answers: new DecayedMean(shareHalfLifeMs),
      failures: new DecayedMean(failureHalfLifeMs),
      lastAnswerMs: Number.NEGATIVE_INFINITY,
    };
    this.records.set(incarnation, record);
    return record;
  }
}

/** Values by service that hold at one time; cleared when what they are computed from changes. */
class ValuesAtTime<T> {
  private readonly values = new Map<string, T>();
  private atMs = Number.NaN;

  get(service: string, nowMs: number, compute: () => T): T {
    if (nowMs !== this.atMs) this.clear();
    this.atMs = nowMs;
    const known = this.values.get(service);
    if (known !== undefined || this.values.has(service)) return known as T;
    const value = compute();
    this.values.set(service, value);
    return value;
  }

  clear(): void {
    this.values.clear();
  }
}

/** Rate of responses whose numbers decay with `shareHalfLifeMs`. */
function perS(weight: number): number {
  return (weight * Math.LN2 * 1_000) / shareHalfLifeMs;
}

/** Of two servers it can't be told which one is typical: the faster one, as a server is rarely too fast. */
function medianOf(values: readonly (number | undefined)[]): number | undefined {
  const sorted = values.filter((value) => value !== undefined).sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle];
  const lower = sorted[sorted.length % 2 === 0 ? middle - 1 : middle];
  if (upper === undefined || lower === undefined) return undefined;
  return sorted.length === 2 ? lower : (lower + upper) / 2;
}

/** Half of the slots: as reports are old, this many requests more may be known in flight than there are. */
const roundsTolerance = 0.15;

/**
 * Times of a call that one takes at a plain server with `requests` known in flight: those beyond its slots are processed
 * before it.
 */
export function callRounds({ requests, server }: Pick<ServerEstimate, "requests" | "server">): number {
  return Math.max(1, (requests + 1) / Math.max(1, server.slots) - roundsTolerance);
}
