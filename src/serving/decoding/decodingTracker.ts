/**
 * Prefill and running streams at each engine, over all nodes: this node's own and what its peers report. Without reports
 * from others it holds what this node sent and observed; without observations, estimates count as they are.
 */
import { Emitter } from "../../common/emitter.ts";
import {
  decodeEntry,
  encodeEntry,
  idleState,
  maxRank,
  noIncrements,
  stateKey,
  type DecodingReport,
  type DecodingState,
  type Increments,
} from "./decodingReport.ts";
import { EngineRecord, OwnWork, type RunningStream } from "./engineRecord.ts";
import {
  boundedRatio,
  meanWindows,
  typicalChunkMs,
  type EnginePrefill,
  type StreamNeeds,
} from "./gapProjection.ts";

/** A peer's state expires after this time, ms, as its load does. */
const peerStateTtlMs = 1_000;
/** Prefill is remembered for this long, ms: `meanWindows` of gap limits up to 1.5 s. */
const keepStartedMs = 6_000;
/** Less prefill until a first event says little about its speed, ms: network and decoding steps take as long. */
const minEstimatedMs = 40;
/** Gaps above this ratio of their limit are reported to peers. */
const reportedGapRatio = 0.75;
/** A view is kept for this long, ms: a tenth of the period of reports. */
const viewTtlMs = 20;
/** Steps shorter than this ratio of the typical one are events that arrived together. */
const minStepRatio = 0.4;
/** A step time is reported to peers if it changed by this ratio, and at this interval, ms. */
const stepChangeRatio = 0.2;
const stepReportMs = 3_000;

/** A prompt as it is sent to an engine. */
export interface SentPrompt {
  /** Of the request at the engine; 0 is served first. */
  readonly rank: number;
  /** Estimated prefill, ms. */
  readonly prefillMs: number;
  /** Expected time to the first event without prefill, ms. */
  readonly overheadMs: number;
  /** Strictest gap limit of the service, ms. */
  readonly gapLimitMs: number;
  readonly tokensPerEvent: number;
  /** Duration of a decoding step on an otherwise idle engine, ms. */
  readonly stepMs: number;
  /** Other nodes have to know of it at once, as it takes up much of what the streams there can bear. */
  readonly isUrgentNews: boolean;
}

/** A prompt at an engine; `firstEvent` may come once, `done` ends it. */
export interface PromptHandle {
  /** The first event came, of a stream that has a gap limit if it is given. */
  firstEvent(stream: RunningStream | undefined, nowMs: number): void;
  /** Time between two later events, ms. */
  eventGap(gapMs: number, nowMs: number): void;
  done(): void;
}

/** Engine state for one request. */
export interface EngineView extends EnginePrefill {
  /** Estimated prefill of pending prompts that the engine serves after the request, ms. */
  readonly behindMs: number;
}

/** The windows and steps that a view depends on. */
type ViewNeeds = Pick<StreamNeeds, "gapLimitMs" | "stepMs">;

interface TimedView {
  readonly view: EngineView;
  readonly gapLimitMs: number;
  readonly atMs: number;
}

/** What a peer reported. */
interface PeerWork {
  states: Map<string, DecodingState>;
  readonly startedTotalsMs: Map<string, number>;
  atMs: number;
}

/** Tracks all engines, by incarnation. */
export class DecodingTracker {
  /** Fired when peers should get the next report at once. */
  readonly reportDue = new Emitter<undefined>();
  private readonly records = new Map<string, EngineRecord>();
  private readonly own = new Map<string, OwnWork>();
  private readonly increments = new Map<string, Increments>();
  private readonly peers = new Map<string, PeerWork>();
  private readonly reportedSteps = new Map<string, { ms: number; atMs: number }>();
  private lastSent = new Map<string, string>();
  /** Latest views, by incarnation and rank. */
  private readonly views = new Map<string, Map<number, TimedView>>();

  /** Counts a prompt as sent to the engine. */
  start(incarnation: string, prompt: SentPrompt, nowMs: number): PromptHandle {
    const { prefillMs, overheadMs, gapLimitMs, tokensPerEvent, stepMs } = prompt;
    const rank = Math.min(maxRank, prompt.rank);
    const { ratio, behindMs, pendingMs } = this.viewOf(incarnation, rank, prompt, nowMs);
    // The chunk in progress is completed first, whatever its rank; on average half of it is left.
    const aheadMs = pendingMs / ratio - behindMs + Math.min(behindMs, typicalChunkMs / 2);
    const work = this.ownWork(incarnation);
    work.addPending(rank, prefillMs);
    this.views.delete(incarnation);
    this.record(incarnation).addStarted(prefillMs, nowMs, keepStartedMs);
    work.addStarted(prefillMs, nowMs);
    this.incrementsOf(incarnation);
    if (prompt.isUrgentNews) this.reportDue.fire(undefined);
    let pending = true;
    let stream: RunningStream | undefined;
    const endPrefill = (): void => {
      if (pending) work.addPending(rank, -prefillMs);
      pending = false;
    };
    return {
      firstEvent: (started, eventMs) => {
        if (!pending) return;
        endPrefill();
        this.observe(incarnation, eventMs - nowMs - overheadMs, aheadMs + prefillMs, eventMs);
        stream = started;
        if (stream !== undefined) work.streams.add(stream);
      },
      eventGap: (gapMs, eventMs) => {
        if (stream !== undefined) stream.eventsLeft = Math.max(1, stream.eventsLeft - 1);
        this.record(incarnation).observeGap(gapMs, eventMs);
        this.observeStep(incarnation, gapMs / tokensPerEvent, stepMs, eventMs);
        if (gapMs < reportedGapRatio * gapLimitMs) return;
        const sums = this.incrementsOf(incarnation);
        sums.longestGapMs = Math.max(sums.longestGapMs, gapMs);
      },
      done: () => {
        endPrefill();
        if (stream !== undefined) work.streams.delete(stream);
      },
    };
  }

  /**
   * What is known of the engine; windows are as long as the gap limit. Kept for `viewTtlMs`, unless this node or a peer
   * sends a prompt there: requests that wait look at all candidates many times a second, and a view goes through all peers.
   */
  viewOf(incarnation: string, rank: number, needs: ViewNeeds, nowMs: number): EngineView {
    const views = entryOf(this.views, incarnation, () => new Map<number, TimedView>());
    const known = views.get(rank);
    if (known?.gapLimitMs === needs.gapLimitMs && nowMs - known.atMs < viewTtlMs) return known.view;
    const view = this.computeView(incarnation, rank, needs, nowMs);
    views.set(rank, { view, atMs: nowMs, gapLimitMs: needs.gapLimitMs });
    return view;
  }

  private computeView(incarnation: string, rank: number, needs: ViewNeeds, nowMs: number): EngineView {
    const { gapLimitMs } = needs;
    const record = this.records.get(incarnation);
    const stepMs = record?.stepMs(nowMs);
    const ratio = boundedRatio(record?.ratio(nowMs) ?? 1, (stepMs ?? needs.stepMs) / needs.stepMs);
    let pending = 0;
    let behindMs = 0;
    let intervalMs = 0;
    const add = (state: DecodingState): void => {
      state.pendingByRank.forEach((ms, ofRank) => {
        pending += ms;
        if (ofRank > rank) behindMs += ms;
      });
      if (state.intervalMs > 0)
        intervalMs = intervalMs > 0 ? Math.min(intervalMs, state.intervalMs) : state.intervalMs;
    };
    add(this.own.get(incarnation)?.stateAt(nowMs) ?? idleState);
    for (const { states, atMs } of this.peers.values())
      if (nowMs - atMs <= peerStateTtlMs) add(states.get(incarnation) ?? idleState);
    return {
      pendingMs: pending * ratio,
      startedMs: (record?.startedSince(nowMs - gapLimitMs) ?? 0) * ratio,
      startedLongMs: (record?.startedSince(nowMs - meanWindows * gapLimitMs) ?? 0) * ratio,
      longestGapMs: record?.longestGapMs(nowMs) ?? 0,
      ...{ intervalMs, ratio, behindMs, stepMs },
    };
  }

  /** Applies a peer's report; one of all its engines replaces what is known of it. */
  applyReport(ip: string, report: DecodingReport, whole: boolean, nowMs: number): void {
    const peer = entryOf(this.peers, ip, newPeerWork);
    if (whole) peer.states = new Map();
    peer.atMs = nowMs;
    for (const [incarnation, numbers] of Object.entries(report)) {
      this.views.delete(incarnation);
      const entry = decodeEntry(numbers);
      const { state, startedTotalMs, observedMs, estimatedMs, longestGapMs, stepMs } = entry;
      if (stateKey(state) === "") peer.states.delete(incarnation);
      else peer.states.set(incarnation, state);
      const record = this.record(incarnation);
      const knownMs = peer.startedTotalsMs.get(incarnation);
      peer.startedTotalsMs.set(incarnation, startedTotalMs);
      // Without an earlier total, or after the peer restarted, what is pending was started lately.
      const isNew = knownMs === undefined || startedTotalMs < knownMs;
      const startedMs = isNew ? sumOf(state.pendingByRank) : startedTotalMs - knownMs;
      if (startedMs > 0) record.addStarted(startedMs, nowMs, keepStartedMs);
      if (estimatedMs > 0) record.observe(observedMs, estimatedMs, nowMs);
      if (longestGapMs > 0) record.observeGap(longestGapMs, nowMs);
      if (stepMs > 0) record.observeStep(stepMs, nowMs);
    }
  }

  /** The report to send to peers now, of all engines or of those that changed; undefined if there is nothing to send. */
  nextReport(whole: boolean, nowMs: number): DecodingReport | undefined {
    const entries: [string, readonly number[]][] = [];
    const sent = new Map<string, string>();
    for (const incarnation of new Set([...this.own.keys(), ...this.lastSent.keys()])) {
      const state = this.own.get(incarnation)?.stateAt(nowMs) ?? idleState;
      const key = stateKey(state);
      const increments = this.increments.get(incarnation);
      if (key !== "") sent.set(incarnation, key);
      const { startedTotalMs = 0, startedAtMs = 0 } = this.own.get(incarnation) ?? {};
      const isRecent = startedTotalMs > 0 && nowMs - startedAtMs < peerStateTtlMs;
      const isChanged = increments !== undefined || key !== (this.lastSent.get(incarnation) ?? "");
      if (!isChanged && !(whole && (key !== "" || isRecent))) continue;
      entries.push([incarnation, encodeEntry({ startedTotalMs, ...noIncrements, ...increments, state })]);
    }
    this.increments.clear();
    this.lastSent = sent;
    return entries.length === 0 ? undefined : Object.fromEntries(entries);
  }

  /** Forgets all incarnations that are not listed. */
  retain(incarnations: ReadonlySet<string>): void {
    const maps = [
      this.records,
      this.own,
      this.increments,
      this.reportedSteps,
      ...[...this.peers.values()].map((p) => p.states),
    ];
    for (const map of maps)
      for (const incarnation of map.keys()) if (!incarnations.has(incarnation)) map.delete(incarnation);
  }

  private observe(incarnation: string, observedMs: number, estimatedMs: number, nowMs: number): void {
    if (estimatedMs < minEstimatedMs) return;
    const tookMs = Math.max(0, observedMs);
    this.record(incarnation).observe(tookMs, estimatedMs, nowMs);
    const sums = this.incrementsOf(incarnation);
    sums.observedMs += tookMs;
    sums.estimatedMs += estimatedMs;
  }

  /** Applies the step time that an event interval shows; changes are reported to peers. */
  private observeStep(incarnation: string, ms: number, typicalMs: number, nowMs: number): void {
    // Two events that were read together say nothing.
    if (ms < minStepRatio * typicalMs) return;
    const record = this.record(incarnation);
    record.observeStep(ms, nowMs);
    const stepMs = record.stepMs(nowMs) ?? ms;
    const reported = this.reportedSteps.get(incarnation);
    const isKnown =
      reported !== undefined &&
      nowMs - reported.atMs < stepReportMs &&
      Math.abs(stepMs - reported.ms) < stepChangeRatio * reported.ms;
    if (isKnown) return;
    this.reportedSteps.set(incarnation, { ms: stepMs, atMs: nowMs });
    this.incrementsOf(incarnation).stepMs = stepMs;
  }

  private record(incarnation: string): EngineRecord {
    return entryOf(this.records, incarnation, () => new EngineRecord());
  }

  private ownWork(incarnation: string): OwnWork {
    return entryOf(this.own, incarnation, () => new OwnWork());
  }

  private incrementsOf(incarnation: string): Increments {
    return entryOf(this.increments, incarnation, () => ({ ...noIncrements }));
  }
}

function newPeerWork(): PeerWork {
  return { states: new Map(), startedTotalsMs: new Map(), atMs: Number.NEGATIVE_INFINITY };
}

function entryOf<V>(map: Map<string, V>, key: string, create: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
