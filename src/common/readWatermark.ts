/**
 * Low watermark of this process's socket input: everything that arrived before it has been read. If the process is short
 * of CPU time, or its host was suspended, data may be read long after it arrived, so the time of reading can't be taken
 * for the time of arrival.
 */
import { Emitter } from "./emitter.ts";
import { elapsedMsSince, takeInstant, type Instant } from "./instant.ts";
import type { Task } from "./supervisor.ts";

/** Period of marks while the process is in use, ms: the maximum lag of a process that keeps up. */
const markPeriodMs = 25;
/** Period of marks while the process is idle, ms: longer, as each mark wakes the process. */
const idleMarkPeriodMs = 250;
/** Without a request for this long the process counts as idle, ms. */
const idleAfterMs = 1_000;
/** libuv reads at most this many datagrams of a socket per event-loop iteration; more may be pending. */
const datagramsPerIteration = 32;
/** Work waits until the backlog of connections is accepted, for at most this long, ms. */
const maxBacklogWaitMs = 100;
/** A backlog that lasts longer than this, ms, with at least this many accepted connections exceeds what can be served. */
const overloadAfterMs = 400;
const overloadMinAccepts = 50;
/** If the sockets were last polled longer ago than this, ms, they are polled again before anything is sent. */
const maxReadAgeMs = 50;

interface Mark extends Instant {
  /** Time for which the event loop was active since its start. */
  readonly activeMs: number;
}

/** An event-loop iteration. */
export interface LoopIteration {
  readonly tookMs: number;
  readonly endMs: number;
}

/** Connections waiting to be accepted: an event-loop iteration accepts one from each listening socket. */
interface Backlog {
  readonly sinceMs: number;
  accepts: number;
  /** Fired when all are accepted, or when the backlog has delayed work for the maximum time. */
  readonly released: Emitter<undefined>;
}

/** Marks event-loop iterations from its start until it is disposed. */
export class ReadWatermark implements Task {
  readonly name = "read-watermark";
  /** Fired when a marked event-loop iteration has ended. */
  readonly iterationEnded = new Emitter<LoopIteration>();
  /** Data that arrived at open sockets before `inputMark`, and connections made before `acceptedMark`, have been read. */
  private inputMark = takeMark();
  private acceptedMark = this.inputMark;
  private timer: NodeJS.Timeout | undefined;
  private state: "stopped" | "waiting" | "polling" = "stopped";
  private currentPeriodMs = markPeriodMs;
  private lastRequestMs = Number.NEGATIVE_INFINITY;
  private accepts = 0;
  private datagrams = 0;
  private backlog: Backlog | undefined;

  start(): Promise<void> {
    this.inputMark = takeMark();
    this.acceptedMark = this.inputMark;
    this.scheduleNextPoll();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.state = "stopped";
    clearTimeout(this.timer);
    this.backlog?.released.fire(undefined);
    return Promise.resolve();
  }

  /** Everything that arrived at open sockets before this time has been read; monotonic clock, ms. */
  get readUpToMs(): number {
    return performance.now() - this.lagMs;
  }

  /** Maximum time for which data that is read now may have been unread in a socket buffer, ms. */
  get lagMs(): number {
    return this.lagSince(this.inputMark);
  }

  /** Every connection made before this time has been accepted and its first data read; monotonic clock, ms. */
  get acceptedUpToMs(): number {
    return performance.now() - this.lagSince(this.acceptedMark);
  }

  /** Whether more connections wait to be accepted than the process can serve; new ones are best closed immediately. */
  get acceptOverloaded(): boolean {
    const { backlog } = this;
    if (backlog === undefined || backlog.accepts < overloadMinAccepts) return false;
    return performance.now() - backlog.sinceMs > overloadAfterMs;
  }

  recordRequest(): void {
    this.lastRequestMs = performance.now();
    if (this.currentPeriodMs !== markPeriodMs) this.pollNextIteration();
  }

  /** Records an accepted connection; others may still be waiting. */
  recordAcceptedConnection(): void {
    this.accepts += 1;
    this.pollNextIteration();
  }

  /** Records a datagram that was read; others may still be pending. */
  recordDatagram(): void {
    this.datagrams += 1;
  }

  /**
   * Resolves once everything that has arrived by now is read, including the backlog of connections unless it is too large.
   * All waiters are released together; if resuming them takes long, the later ones poll the sockets again first.
   */
  async waitUntilCaughtUp(): Promise<void> {
    await waitForPendingInput();
    const { backlog } = this;
    if (backlog !== undefined)
      await backlog.released.waitForNext(Math.max(0, maxBacklogWaitMs - ageOf(backlog)));
    while (performance.now() - lastPollMs > maxReadAgeMs) await waitForPendingInput();
  }

  private lagSince(mark: Mark): number {
    // Without marks the lag is unknown.
    if (this.state === "stopped") return 0;
    const now = takeMark();
    const elapsedMs = elapsedMsSince(mark, now);
    const wasSuspended = elapsedMs > now.monotonicMs - mark.monotonicMs;
    if (wasSuspended || this.currentPeriodMs === markPeriodMs) return elapsedMs;
    // While idle, marks are rare: the time that the loop spent waiting for input isn't lag.
    return Math.min(elapsedMs, now.activeMs - mark.activeMs);
  }

  private scheduleNextPoll(): void {
    this.state = "waiting";
    const inUse = performance.now() - this.lastRequestMs < idleAfterMs;
    this.currentPeriodMs = inUse ? markPeriodMs : idleMarkPeriodMs;
    this.timer = setTimeout(() => {
      this.poll();
    }, this.currentPeriodMs);
  }

  /** Polls from the next iteration on: the current one has already polled its sockets. */
  private pollNextIteration(): void {
    if (this.state !== "waiting") return;
    this.state = "polling";
    clearTimeout(this.timer);
    setImmediate(() => {
      if (this.state === "polling") this.poll();
    });
  }

  private poll(): void {
    this.state = "polling";
    const mark = takeMark();
    const { accepts } = this;
    this.datagrams = 0;
    // Immediates run after the poll phase, which comes after the mark.
    setImmediate(() => {
      if (this.state === "stopped") return;
      const newAccepts = this.accepts - accepts;
      const readAll = this.datagrams < datagramsPerIteration;
      this.endIteration(mark, newAccepts, readAll);
      if (newAccepts === 0 && readAll) this.scheduleNextPoll();
      else this.poll();
    });
  }

  private endIteration(mark: Mark, newAccepts: number, readAll: boolean): void {
    const endMs = performance.now();
    lastPollMs = mark.monotonicMs;
    if (readAll) this.inputMark = mark;
    if (newAccepts === 0) {
      // The data of the last accepted connection was read in this iteration.
      this.acceptedMark = mark;
      this.backlog?.released.fire(undefined);
      this.backlog = undefined;
    } else {
      this.backlog ??= { sinceMs: endMs, accepts: 0, released: new Emitter() };
      this.backlog.accepts += newAccepts;
      if (ageOf(this.backlog) > maxBacklogWaitMs) this.backlog.released.fire(undefined);
    }
    this.iterationEnded.fire({ tookMs: endMs - mark.monotonicMs, endMs });
  }
}

/** Latest known time at which the sockets were polled; monotonic clock, ms. */
let lastPollMs = Number.NEGATIVE_INFINITY;
let pendingRead: Promise<void> | undefined;

/**
 * Resolves once everything that has arrived at open sockets by now is read and its callbacks have run, such as for a
 * caller's disconnect or a server's response.
 */
export function waitForPendingInput(): Promise<void> {
  // The first immediate may run before the next poll phase.
  pendingRead ??= new Promise((resolve) => {
    setImmediate(() => {
      pendingRead = undefined;
      const beforeMs = performance.now();
      setImmediate(() => {
        lastPollMs = beforeMs;
        resolve();
      });
    });
  });
  return pendingRead;
}

/** Like `setTimeout`, but reads pending input before calling back: the awaited data may already have arrived. */
export function setTimeoutAfterInput(ms: number, callback: () => void): NodeJS.Timeout {
  return setTimeout(() => void waitForPendingInput().then(callback), ms);
}

function ageOf({ sinceMs }: Backlog): number {
  return performance.now() - sinceMs;
}

function takeMark(): Mark {
  const { active } = performance.eventLoopUtilization();
  return { ...takeInstant(), activeMs: active };
}
