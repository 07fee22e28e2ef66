/** A task that runs one loop of its own from its start until it is disposed. */
import { Emitter } from "./emitter.ts";
import type { Task } from "./supervisor.ts";

/** The loop ends by itself once `stopped` is true. */
export abstract class LoopTask implements Task {
  protected stopped = false;
  private readonly woken = new Emitter<undefined>();

  constructor(readonly name: string) {}

  start(): Promise<void> {
    void this.run();
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  /** Ends the pause that the loop is in: there may be something to do. */
  wake(): void {
    this.woken.fire(undefined);
  }

  /** Waits until `wake`, or for `ms`. */
  protected pause(ms: number): Promise<void> {
    return this.woken.waitForNext(ms);
  }

  /** Runs until `stopped`; never rejects. */
  protected abstract run(): Promise<void>;
}
