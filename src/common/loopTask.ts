/** A task that runs one loop of its own from its start until it is disposed. */
import type { Task } from "./supervisor.ts";

/** The loop ends by itself once `stopped` is true. */
export abstract class LoopTask implements Task {
  protected stopped = false;

  constructor(readonly name: string) {}

  start(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  /** Runs until `stopped`; never rejects. */
  protected abstract follow(): Promise<void>;
}
