/**
 * The supervisor tree: a supervisor starts its child tasks in order and stops them in reverse.
 * A task owns its sockets, timers and state; it talks to others only through the messages it exposes.
 */
import type { Log } from "./log.ts";

/** A long-lived unit of work with its own resources. */
export interface Task {
  readonly name: string;
  start(): Promise<void>;
  dispose(): Promise<void>;
}

/** Starts children in order, stops them in reverse; a child that fails to start stops those before it. */
export class Supervisor implements Task {
  private readonly started: Task[] = [];

  constructor(
    readonly name: string,
    private readonly children: readonly Task[],
    private readonly log: Log,
  ) {}

  /** Starts every child in order. */
  async start(): Promise<void> {
    for (const child of this.children) {
      try {
        await child.start();
      } catch (error) {
        this.log.error({ event: "start-failed", task: child.name, error: String(error) });
        await this.dispose();
        throw error;
      }
      this.started.push(child);
    }
  }

  /** Stops started children, last first. */
  async dispose(): Promise<void> {
    for (const child of this.started.splice(0).reverse()) await child.dispose();
  }
}

/**
 * Runs `step` every `everyMs` until disposed, never two at once. A step that throws is logged and the
 * loop goes on: one bad round (a platform outage, a dead peer) must not end the task.
 */
export class Loop {
  private timer: NodeJS.Timeout | undefined;
  private running = false;
  private scheduled = false;

  constructor(
    private readonly name: string,
    private readonly everyMs: number,
    private readonly step: () => Promise<void>,
    private readonly log: Log,
  ) {}

  /** Runs the first step now and schedules the rest. */
  async start(): Promise<void> {
    this.scheduled = true;
    await this.tick();
    clearInterval(this.timer);
    // The first step may have been the last.
    if (!this.scheduled) return;
    this.timer = setInterval(() => void this.tick(), this.everyMs);
    this.timer.unref();
  }

  /** Runs one step now (if none is running); for tests and for pushing a change through. */
  async tick(): Promise<void> {
    if (this.running) return;
    this.running = true;
    try {
      await this.step();
    } catch (error) {
      this.log.warn({ event: "step-failed", loop: this.name, error: String(error) });
    } finally {
      this.running = false;
    }
  }

  /** Stops scheduling steps. */
  dispose(): void {
    this.scheduled = false;
    clearInterval(this.timer);
  }
}

/**
 * A task whose work is one `step` repeated every `everyMs` (polls, heartbeats, placement rounds).
 * `refresh` runs a step now, for tests and for pushing a change through without waiting.
 */
export abstract class PeriodicTask implements Task {
  private readonly loop: Loop;

  constructor(
    readonly name: string,
    everyMs: number,
    log: Log,
  ) {
    this.loop = new Loop(name, everyMs, () => this.step(), log);
  }

  /** Runs the first step, then one every period. */
  async start(): Promise<void> {
    await this.loop.start();
  }

  /** Stops scheduling steps. */
  dispose(): Promise<void> {
    this.loop.dispose();
    return Promise.resolve();
  }

  /** Schedules no steps until `resume`: a task without work would only wake the process. */
  pause(): void {
    this.loop.dispose();
  }

  /** Goes on after `pause`. */
  async resume(): Promise<void> {
    await this.loop.start();
  }

  /** Runs one step now (unless one is running). */
  async refresh(): Promise<void> {
    await this.loop.tick();
  }

  /** One round of the task's work; a throw is logged and the next round runs as planned. */
  protected abstract step(): Promise<void>;
}
