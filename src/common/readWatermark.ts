/**
 * The low watermark of what this process reads from its sockets: everything that arrived before it has been read. In a
 * process that is short of processor time, or whose host stood still, the moment of reading says little of the moment of
 * arrival.
 */
import { Emitter } from "./emitter.ts";
import type { Task } from "./supervisor.ts";

/** Period of marks while the process is in use, ms: one that keeps up lags by about as much at most. */
const periodMs = 25;
/** The same while it isn't, ms: marks wake the process. */
const idlePeriodMs = 250;
/** Without a request for this long the process isn't in use, ms. */
const inUseMs = 1_000;
/** Smaller gaps between the steady clock and the time of day are drift, ms. */
const frozenMs = 300;
/** libuv reads this many datagrams of a socket in a turn of the event loop; more may wait. */
const datagramsPerTurn = 32;
/** A backlog of connections is accepted before work goes on, for this long at most, ms. */
const longestDrainMs = 100;
/** A backlog that lasts for this long, ms, and has had so many connections is more than the process can serve. */
const swampedMs = 400;
const swampedAccepts = 50;
/** What was read longer ago than this, ms, is read again before anything is sent. */
const staleMs = 50;

interface Mark {
  readonly steadyMs: number;
  readonly dayMs: number;
  /** Time for which the event loop has had work since its start. */
  readonly activeMs: number;
}

/** A turn of the event loop. */
export interface LoopIteration {
  readonly tookMs: number;
  readonly endMs: number;
}

/** Connections that wait to be accepted: a turn of the event loop accepts one from each listener. */
interface Backlog {
  readonly sinceMs: number;
  accepts: number;
  /** Fired when it is accepted, or has lasted for as long as it may hold up work. */
  readonly over: Emitter<undefined>;
}

/** Marks turns of the event loop from its start until it is disposed. */
export class ReadWatermark implements Task {
  readonly name = "read-watermark";
  /** A marked turn of the event loop ended. */
  readonly iterationEnded = new Emitter<LoopIteration>();
  /** What arrived at open sockets, and connections that came, before these marks are read. */
  private read = readMark();
  private accepted = this.read;
  private timer: NodeJS.Timeout | undefined;
  private state: "stopped" | "resting" | "polling" = "stopped";
  private currentPeriodMs = periodMs;
  private usedMs = Number.NEGATIVE_INFINITY;
  private accepts = 0;
  private datagrams = 0;
  private backlog: Backlog | undefined;

  start(): Promise<void> {
    this.read = readMark();
    this.accepted = this.read;
    this.rest();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.state = "stopped";
    clearTimeout(this.timer);
    this.backlog?.over.fire(undefined);
    return Promise.resolve();
  }

  /** Everything that arrived at open sockets before this moment has been read; on the steady clock, ms. */
  get readUpToMs(): number {
    return performance.now() - this.lagMs;
  }

  /** For how long what is read now may have lain unread, at most, ms. */
  get lagMs(): number {
    return this.since(this.read);
  }

  /** Every connection that came before this moment has been accepted and read, ms. */
  get acceptedUpToMs(): number {
    return performance.now() - this.since(this.accepted);
  }

  /** Do more connections wait to be accepted than the process can serve? New ones are better closed at once. */
  get acceptOverloaded(): boolean {
    const { backlog } = this;
    if (backlog === undefined || backlog.accepts < swampedAccepts) return false;
    return performance.now() - backlog.sinceMs > swampedMs;
  }

  /** A request was read. */
  recordRequest(): void {
    this.usedMs = performance.now();
    if (this.currentPeriodMs !== periodMs) this.pollSoon();
  }

  /** A connection was accepted; others may still wait. */
  recordAcceptedConnection(): void {
    this.accepts += 1;
    this.pollSoon();
  }

  /** A datagram was read; others may still wait. */
  recordDatagram(): void {
    this.datagrams += 1;
  }

  /**
   * Resolves once what has arrived by now is read, and the backlog of connections, unless there are too many of them. Those
   * that wait for it go on together; the later ones of many read again first.
   */
  async waitUntilCaughtUp(): Promise<void> {
    await waitForPendingInput();
    const { backlog } = this;
    if (backlog !== undefined) await backlog.over.waitForNext(Math.max(0, longestDrainMs - ageOf(backlog)));
    while (performance.now() - polledMs > staleMs) await waitForPendingInput();
  }

  private since(mark: Mark): number {
    // A process that marks nothing knows nothing of its lag.
    if (this.state === "stopped") return 0;
    const now = readMark();
    const steadyMs = now.steadyMs - mark.steadyMs;
    const frozen = now.dayMs - mark.dayMs - steadyMs;
    if (frozen > frozenMs) return steadyMs + frozen;
    // Between rare marks: a loop that waited for input had read all.
    return this.currentPeriodMs === periodMs ? steadyMs : Math.min(steadyMs, now.activeMs - mark.activeMs);
  }

  private rest(): void {
    this.state = "resting";
    const inUse = performance.now() - this.usedMs < inUseMs;
    this.currentPeriodMs = inUse ? periodMs : idlePeriodMs;
    this.timer = setTimeout(() => {
      this.poll();
    }, this.currentPeriodMs);
  }

  /** Polls from the next turn on: the sockets of this one were polled before now. */
  private pollSoon(): void {
    if (this.state !== "resting") return;
    this.state = "polling";
    clearTimeout(this.timer);
    setImmediate(() => {
      if (this.state === "polling") this.poll();
    });
  }

  private poll(): void {
    this.state = "polling";
    const mark = readMark();
    const { accepts } = this;
    this.datagrams = 0;
    // Immediates run after the sockets were polled, which happens after the mark.
    setImmediate(() => {
      if (this.state === "stopped") return;
      const newAccepts = this.accepts - accepts;
      const readAll = this.datagrams < datagramsPerTurn;
      this.endTurn(mark, newAccepts, readAll);
      if (newAccepts === 0 && readAll) this.rest();
      else this.poll();
    });
  }

  private endTurn(mark: Mark, newAccepts: number, readAll: boolean): void {
    const endMs = performance.now();
    polledMs = mark.steadyMs;
    if (readAll) this.read = mark;
    if (newAccepts === 0) {
      // What came with the last connection was read in this turn.
      this.accepted = mark;
      this.backlog?.over.fire(undefined);
      this.backlog = undefined;
    } else {
      this.backlog ??= { sinceMs: endMs, accepts: 0, over: new Emitter() };
      this.backlog.accepts += newAccepts;
      if (ageOf(this.backlog) > longestDrainMs) this.backlog.over.fire(undefined);
    }
    this.iterationEnded.fire({ tookMs: endMs - mark.steadyMs, endMs });
  }
}

/** When the sockets were polled last, as far as it is known, ms. */
let polledMs = Number.NEGATIVE_INFINITY;
let reading: Promise<void> | undefined;

/**
 * Resolves once everything that has arrived at open sockets by now is read, and its callbacks have run: a caller's
 * departure, a server's answer.
 */
export function waitForPendingInput(): Promise<void> {
  // The first immediate may run before the sockets are polled again.
  reading ??= new Promise((resolve) => {
    setImmediate(() => {
      reading = undefined;
      const beforeMs = performance.now();
      setImmediate(() => {
        polledMs = beforeMs;
        resolve();
      });
    });
  });
  return reading;
}

/** Calls back after `ms`, when what has arrived by then is read: what was waited for may be among it. */
export function setTimeoutAfterInput(ms: number, callback: () => void): NodeJS.Timeout {
  return setTimeout(() => void waitForPendingInput().then(callback), ms);
}

function ageOf({ sinceMs }: Backlog): number {
  return performance.now() - sinceMs;
}

function readMark(): Mark {
  const { active } = performance.eventLoopUtilization();
  return { steadyMs: performance.now(), dayMs: Date.now(), activeMs: active };
}
