/** Requests that wait until this node may send another request to a limited server, by the kind of servers they need. */

/** Position in a queue: the most urgent first, then in order of arrival. */
export interface QueuePosition {
  readonly priority: number;
  readonly arrivedMs: number;
}

interface Waiter extends QueuePosition {
  readonly wake: (isTurn: boolean) => void;
}

/** Wakes the first waiting request for each slot that becomes free. */
export class SlotQueue {
  /** In order, by service and scope. */
  private readonly queues = new Map<string, Map<string, Waiter[]>>();

  /** Number of waiting requests before the position. */
  ahead(service: string, scope: string, position: QueuePosition): number {
    return this.queueOf(service, scope).filter((waiter) => isBefore(waiter, position)).length;
  }

  /** Resolves with true when it is the request's turn for a free slot, with false after `ms`. */
  wait(service: string, scope: string, position: QueuePosition, ms: number): Promise<boolean> {
    return new Promise((resolve) => {
      const queue = this.queueOf(service, scope);
      const wake = (isTurn: boolean): void => {
        clearTimeout(timer);
        queue.splice(queue.indexOf(waiter), 1);
        resolve(isTurn);
      };
      const timer = setTimeout(wake, ms, false);
      const waiter = { ...position, wake };
      const index = queue.findIndex((other) => isBefore(position, other));
      queue.splice(index < 0 ? queue.length : index, 0, waiter);
    });
  }

  /** A slot of a server of the service became free. */
  release(service: string): void {
    // Which of the waiting requests the server can serve depends on the scope.
    for (const queue of this.queues.get(service)?.values() ?? []) queue[0]?.wake(true);
  }

  private queueOf(service: string, scope: string): Waiter[] {
    const queues = this.queues.get(service) ?? new Map<string, Waiter[]>();
    this.queues.set(service, queues);
    const queue = queues.get(scope) ?? [];
    queues.set(scope, queue);
    return queue;
  }
}

function isBefore(a: QueuePosition, b: QueuePosition): boolean {
  return a.priority === b.priority ? a.arrivedMs < b.arrivedMs : a.priority < b.priority;
}
