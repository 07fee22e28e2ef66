/** Events between tasks: `on` adds a listener and returns a disposable that removes it. */
import type { Disposable } from "./disposables.ts";

/** Delivers events of one type to its listeners. */
export class Emitter<T> {
  private readonly listeners = new Set<(event: T) => void>();

  /** Adds a listener; dispose the result to remove it. */
  on(listener: (event: T) => void): Disposable {
    this.listeners.add(listener);
    return {
      dispose: () => {
        this.listeners.delete(listener);
      },
    };
  }

  fire(event: T): void {
    for (const listener of [...this.listeners]) listener(event);
  }

  /** Resolves at the next event or after `ms`, whichever comes first. */
  waitForNext(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        void subscription.dispose();
        resolve();
      };
      const timer = setTimeout(done, ms);
      const subscription = this.on(done);
    });
  }
}
