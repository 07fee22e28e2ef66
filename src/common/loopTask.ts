/** Base class of tasks that run their own loop. */
import { Emitter } from "./emitter.ts";
import type { Task } from "./supervisor.ts";

/** A task that runs a loop from its start until it is disposed; the loop must end once `stopped` is true. */
export abstract class LoopTask implements Task {
  protected stopped = false;
  private readonly wakeRequested = new Emitter<undefined>();

  constructor(readonly name: string) {}

  start(): Promise<void> {
    void this.run();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  /** Ends the current pause of the loop early, as there may be work to do. */
  wake(): void {
    this.wakeRequested.fire(undefined);
  }

  /** Waits until `wake`, or for `ms`. */
  protected pause(ms: number): Promise<void> {
    return this.wakeRequested.waitForNext(ms);
  }

  /** Runs until `stopped`; never rejects. */
  protected abstract run(): Promise<void>;
}
