/** Events between tasks: a listener is added with `on` and removed by the disposable that returns. */
import type { Disposable } from "./disposables.ts";

/** Tells its listeners of events of one type. */
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

  /** Calls every listener. */
  fire(event: T): void {
    for (const listener of [...this.listeners]) listener(event);
  }

  /** Resolves at the next event, or after `ms`. */
  waitForNext(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        void listening.dispose();
        resolve();
      };
      const timer = setTimeout(done, ms);
      const listening = this.on(done);
    });
  }
}
