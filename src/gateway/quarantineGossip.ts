/**
 * Tells the other nodes what this one saw of requests under which servers end, and hears what they saw: one node alone
 * sees few of the ends. By datagram, as it must be known before the caller's next attempt.
 */
import { decodeEither } from "../common/decode.ts";
import { DisposableStore } from "../common/disposables.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import { QuarantineUpdate, type Quarantine } from "../serving/quarantine/quarantine.ts";
import type { PeerTask } from "./peerTask.ts";

/** News is gathered for this long before it is told, ms: a server that ends cuts all that ran on it at once. */
const gatherMs = 20;
/** News is told again after these times, ms, as datagrams are lost. */
const tellAgainMs = [250, 1_000];

/** Options of a `QuarantineGossip`. */
export interface QuarantineGossipOptions {
  readonly log: Log;
  readonly quarantine: Quarantine;
  readonly peers: PeerTask;
  /**
   * Is it on this node to save holds that others' news leads to? One that stands by tells its news and hears none, so it
   * doesn't know of the hold itself.
   */
  readonly savesEntries: () => boolean;
}

/** Owns the timers of what is still to be told. */
export class QuarantineGossip implements Task {
  readonly name = "quarantine-gossip";
  private readonly disposables = new DisposableStore();
  private readonly timers = new Set<NodeJS.Timeout>();
  private gathering = false;

  constructor(private readonly options: QuarantineGossipOptions) {
    options.peers.handle("quarantine", (params) => {
      this.hear(params);
    });
  }

  start(): Promise<void> {
    const { quarantine } = this.options;
    const gather = quarantine.updated.on(() => {
      if (this.gathering) return;
      this.gathering = true;
      this.later(gatherMs, () => {
        this.gathering = false;
        this.tell(quarantine.takeUpdate(), tellAgainMs);
      });
    });
    this.disposables.add(gather);
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    await this.disposables.dispose();
  }

  /** Tells the peers now, and a moment later what of it still counts. */
  private tell(news: QuarantineUpdate | undefined, againMs: readonly number[]): void {
    if (news === undefined) return;
    this.options.peers.notify("quarantine", news);
    const [nextMs, ...laterMs] = againMs;
    if (nextMs === undefined) return;
    this.later(nextMs, () => {
      this.tell(this.options.quarantine.stillValid(news), laterMs);
    });
  }

  private hear(params: unknown): void {
    decodeEither(QuarantineUpdate, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((news) => {
        this.options.quarantine.applyUpdate(news, this.options.savesEntries(), performance.now());
      });
  }

  private later(ms: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, ms);
    this.timers.add(timer);
  }
}
