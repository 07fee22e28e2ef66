/**
 * The low watermark of what this process reads from its sockets: everything that arrived before it has been read. In a
 * process that is short of processor time, or whose host stood still, the moment of reading says little of the moment of
 * arrival.
 */
import { Emitter } from "./emitter.ts";
import type { Task } from "./supervisor.ts";

/** Period of marks, ms: a process that keeps up lags by about as much. */
const periodMs = 25;
/** Time for which waiting connections are accepted before anything else is done; after it the process is swamped, ms. */
const longestDrainMs = 200;
/** Smaller gaps between the steady clock and the time of day are drift, ms. */
const frozenMs = 300;

interface Mark {
  readonly steadyMs: number;
  readonly dayMs: number;
}

/** One turn of the event loop, as marked. */
export interface Turn {
  /** From the mark until everything that had arrived by then was read, ms. */
  readonly tookMs: number;
  readonly endMs: number;
}

/** Marks turns of the event loop from its start until it is disposed. */
export class ReadWatermark implements Task {
  readonly name = "read-watermark";
  /** A turn of the event loop ended. */
  readonly turned = new Emitter<Turn>();
  private mark = readMark();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  /** Connections accepted since the start. */
  private accepts = 0;
  private draining: Promise<void> | undefined;
  private isSwamped = false;

  start(): Promise<void> {
    this.mark = readMark();
    this.schedule();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  /** Everything that arrived before this moment has been read; on the steady clock, ms. */
  get ms(): number {
    return performance.now() - this.lagMs;
  }

  /** For how long what is read now may have lain unread, at most, ms. */
  get lagMs(): number {
    // A process that marks nothing knows nothing of its lag.
    if (this.timer === undefined || this.stopped) return 0;
    const now = readMark();
    const steadyMs = now.steadyMs - this.mark.steadyMs;
    const frozen = now.dayMs - this.mark.dayMs - steadyMs;
    return frozen > frozenMs ? steadyMs + frozen : steadyMs;
  }

  /** A connection was accepted: others may still wait, as a turn of the event loop accepts one from each listener. */
  noteAccepted(): void {
    this.accepts += 1;
  }

  /** Do more connections wait to be accepted than the process can serve? New ones are better closed at once. */
  get swamped(): boolean {
    return this.isSwamped;
  }

  /** Resolves once what has arrived by now is read, connections that waited to be accepted included. */
  caughtUp(): Promise<void> {
    this.draining ??= inputRead().then(() => this.drained());
    return this.draining;
  }

  private drained(): Promise<void> {
    const latestMs = performance.now() + longestDrainMs;
    return new Promise((resolve) => {
      const onTurn = (): void => {
        this.isSwamped = performance.now() > latestMs;
      };
      this.afterDrain(onTurn, () => {
        this.draining = undefined;
        this.isSwamped = false;
        resolve();
      });
    });
  }

  /** Calls `drained` after a turn in which the sockets were polled and nothing was accepted, `onTurn` after each before. */
  private afterDrain(onTurn: () => void, drained: () => void): void {
    const { accepts } = this;
    setImmediate(() => {
      if (this.accepts === accepts) {
        drained();
        return;
      }
      onTurn();
      this.afterDrain(onTurn, drained);
    });
  }

  private schedule(): void {
    this.timer = setTimeout(() => {
      const mark = readMark();
      // Immediates run after the sockets were polled, which happens after the mark.
      const drained = (): void => {
        if (this.stopped) return;
        this.mark = mark;
        this.schedule();
        const endMs = performance.now();
        this.turned.fire({ tookMs: endMs - mark.steadyMs, endMs });
      };
      this.afterDrain(() => undefined, drained);
    }, periodMs);
  }
}

let reading: Promise<void> | undefined;

/**
 * Resolves once everything that has arrived by now is read, and its callbacks have run: a caller's departure, a server's
 * answer.
 */
export function inputRead(): Promise<void> {
  // The first immediate may run before the sockets are polled again.
  reading ??= new Promise((resolve) => {
    setImmediate(() => {
      reading = undefined;
      setImmediate(resolve);
    });
  });
  return reading;
}

/** Calls back after `ms`, when what has arrived by then is read: what was waited for may be among it. */
export function afterWait(ms: number, callback: () => void): NodeJS.Timeout {
  return setTimeout(() => void inputRead().then(callback), ms);
}

function readMark(): Mark {
  return { steadyMs: performance.now(), dayMs: Date.now() };
}
