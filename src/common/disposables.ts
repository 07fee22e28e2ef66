/** Resource ownership: everything a task opens is added to its store and disposed together when the task stops. */

/** Something that can be released: a socket, a timer, a server. */
export interface Disposable {
  dispose(): void | Promise<void>;
}

/** Collects disposables and releases them in reverse order of addition. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = [];
  private disposed = false;

  /** Adds a disposable or a clean-up function; returns it for chaining. */
  add<T extends Disposable | (() => void | Promise<void>)>(item: T): T {
    const disposable: Disposable = typeof item === "function" ? { dispose: item } : item;
    if (this.disposed) void disposable.dispose();
    else this.items.push(disposable);
    return item;
  }

  /** Adds an interval timer that is cleared on dispose. */
  interval(callback: () => void, ms: number): void {
    const timer = setInterval(callback, ms);
    timer.unref();
    this.add(() => {
      clearInterval(timer);
    });
  }

  /** Releases everything, last added first; an error in one item does not stop the others. */
  async dispose(): Promise<void> {
    this.disposed = true;
    const items = this.items.splice(0).reverse();
    for (const item of items) {
      try {
        await item.dispose();
      } catch {
        // A failed clean-up must not prevent the remaining items from being released.
      }
    }
  }
}
