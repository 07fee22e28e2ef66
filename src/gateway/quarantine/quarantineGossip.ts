/**
 * Exchanges observations of requests that crash servers with the other nodes, as a single node sees only few of the
 * crashes. By datagram, as the others have to know before the caller's next attempt.
 */
import { decodeEither } from "../../common/decode.ts";
import { DisposableStore } from "../../common/disposables.ts";
import type { Log } from "../../common/log.ts";
import type { Task } from "../../common/supervisor.ts";
import { QuarantineUpdate, type Quarantine } from "../../serving/quarantine/quarantine.ts";
import type { PeerTask } from "../membership/peerTask.ts";

/** Updates within this time are sent together, ms: a crash breaks the connections of all the server's requests at once. */
const batchMs = 20;
/** An update is sent again after each of these delays, ms, as datagrams are lost. */
const resendDelaysMs = [250, 1_000];

/** Options of a `QuarantineGossip`. */
export interface QuarantineGossipOptions {
  readonly log: Log;
  readonly quarantine: Quarantine;
  readonly peers: PeerTask;
  /**
   * Whether this node saves the entries that other nodes' updates lead to. A standby node sends updates but receives none,
   * so it doesn't learn of the entry itself.
   */
  readonly savesEntries: () => boolean;
}

/** Owns the timers of updates still to be sent. */
export class QuarantineGossip implements Task {
  readonly name = "quarantine-gossip";
  private readonly disposables = new DisposableStore();
  private readonly timers = new Set<NodeJS.Timeout>();
  private batching = false;

  constructor(private readonly options: QuarantineGossipOptions) {
    options.peers.handle("quarantine", (params) => {
      this.onUpdate(params);
    });
  }

  start(): Promise<void> {
    const { quarantine } = this.options;
    const subscription = quarantine.updated.on(() => {
      if (this.batching) return;
      this.batching = true;
      this.schedule(batchMs, () => {
        this.batching = false;
        this.sendUpdate(quarantine.takeUpdate(), resendDelaysMs);
      });
    });
    this.disposables.add(subscription);
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    await this.disposables.dispose();
  }

  /** Sends the update to peers now, and after each delay the part of it that is still valid. */
  private sendUpdate(update: QuarantineUpdate | undefined, delaysMs: readonly number[]): void {
    if (update === undefined) return;
    this.options.peers.notify("quarantine", update);
    const [nextMs, ...remainingDelaysMs] = delaysMs;
    if (nextMs === undefined) return;
    this.schedule(nextMs, () => {
      this.sendUpdate(this.options.quarantine.stillValid(update), remainingDelaysMs);
    });
  }

  private onUpdate(params: unknown): void {
    decodeEither(QuarantineUpdate, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((update) => {
        this.options.quarantine.applyUpdate(update, this.options.savesEntries(), performance.now());
      });
  }

  private schedule(ms: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, ms);
    this.timers.add(timer);
  }
}
