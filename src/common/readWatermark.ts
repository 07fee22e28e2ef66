/**
 * The low watermark of what this process reads from its sockets: everything that arrived before it has been read. In a
 * process that is short of processor time, or whose host stood still, the moment of reading says little of the moment of
 * arrival.
 */
import { Emitter } from "./emitter.ts";
import type { Task } from "./supervisor.ts";

/** Period of marks, ms: a process that keeps up lags by about as much. */
const periodMs = 25;
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

  private schedule(): void {
    this.timer = setTimeout(() => {
      const mark = readMark();
      // Immediates run after the sockets were polled, which happens after the mark.
      setImmediate(() => {
        if (this.stopped) return;
        this.mark = mark;
        this.schedule();
        const endMs = performance.now();
        this.turned.fire({ tookMs: endMs - mark.steadyMs, endMs });
      });
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

function readMark(): Mark {
  return { steadyMs: performance.now(), dayMs: Date.now() };
}
