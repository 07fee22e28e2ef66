/**
 * Supervisor tree: a supervisor starts its child tasks in order and stops them in reverse order.
 * A task owns its sockets, timers and state, and communicates with others only through the interface it exposes.
 */
import type { Log } from "./log.ts";

/** A long-lived unit of work with its own resources. */
export interface Task {
  readonly name: string;
  start(): Promise<void>;
  dispose(): Promise<void>;
}

/** Starts children in order and stops them in reverse; if a child fails to start, those before it are stopped. */
export class Supervisor implements Task {
  private readonly started: Task[] = [];

  constructor(
    readonly name: string,
    private readonly children: readonly Task[],
    private readonly log: Log,
  ) {}

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
 * Runs `step` every `everyMs` until disposed, never concurrently with itself. If a step throws, the error is logged and the
 * loop continues: one failed step (a platform outage, a crashed peer) must not end the task.
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

  /** Runs the first step immediately and schedules the others. */
  async start(): Promise<void> {
    this.scheduled = true;
    await this.tick();
    clearInterval(this.timer);
    // The loop may have been disposed during the first step.
    if (!this.scheduled) return;
    this.timer = setInterval(() => void this.tick(), this.everyMs);
    this.timer.unref();
  }

  /** Runs one step immediately unless one is running. */
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
 * A task that repeats one `step` every `everyMs` (polls, heartbeats, placement rounds).
 * `refresh` runs a step immediately, for tests and to apply a change without waiting for the next period.
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

  /** Runs the first step immediately, then one every period. */
  async start(): Promise<void> {
    await this.loop.start();
  }

  /** Stops scheduling steps. */
  dispose(): Promise<void> {
    this.loop.dispose();
    return Promise.resolve();
  }

  /** Suspends the steps until `resume`: a task without work would wake the process for nothing. */
  pause(): void {
    this.loop.dispose();
  }

  /** Continues after `pause`; runs a step immediately. */
  async resume(): Promise<void> {
    await this.loop.start();
  }

  /** Runs one step immediately unless one is running. */
  async refresh(): Promise<void> {
    await this.loop.tick();
  }

  /** One round of the task's work; a thrown error is logged and the next round runs as scheduled. */
  protected abstract step(): Promise<void>;
}
