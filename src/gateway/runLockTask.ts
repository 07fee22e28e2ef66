/** Acquires the run lock of a suspected request from the node that gives it out, and renews it while a copy runs. */
import * as Schema from "effect/Schema";
import { decode } from "../common/decode.ts";
import type { Disposable } from "../common/disposables.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import type { PeerAddress } from "../serving/membership/peerTable.ts";
import { RunLocks } from "../serving/quarantine/runLocks.ts";
import type { PeerTask } from "./peerTask.ts";

/** Period at which a lock is renewed, ms. */
const renewMs = 400;
/** After a cut the lock is given back so much later, ms: word of the cut has to reach the other nodes first. */
const cutSpreadMs = 80;

const LockParams = Schema.Struct({ node: Schema.String, fingerprint: Schema.String });

/** Options of a `RunLockTask`. */
export interface RunLockTaskOptions {
  readonly log: Log;
  readonly self: PeerAddress;
  readonly peers: PeerTask;
  /** The node that gives out the lock of the request. */
  readonly ownerOf: (fingerprint: string) => PeerAddress;
  /** Everything that arrived before this moment has been read, ms: a renewal may lie unread. */
  readonly readUntilMs: () => number;
}

/** A lock held by this node; dispose to give it back. */
export interface RunLock extends Disposable {
  /** The copy was cut: the lock is given back once other nodes can know it. */
  markCut(): void;
}

/** Owns the locks that this node holds, and those that it gives out. */
export class RunLockTask implements Task {
  readonly name = "run-locks";
  private readonly locks = new RunLocks();
  /** Requests whose lock is held here, or asked for. */
  private readonly held = new Set<string>();
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: RunLockTaskOptions) {
    options.peers.handle("runLock.acquire", (params) => {
      const { node, fingerprint } = decode(LockParams, params);
      return this.locks.acquire(fingerprint, node, performance.now());
    });
    options.peers.handle("runLock.release", (params) => {
      const { node, fingerprint } = decode(LockParams, params);
      this.locks.release(fingerprint, node);
      return true;
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    return Promise.resolve();
  }

  /** The lock of the request; undefined while another copy, here or elsewhere, holds it. */
  async acquire(fingerprint: string): Promise<RunLock | undefined> {
    if (this.held.has(fingerprint)) return undefined;
    this.held.add(fingerprint);
    if (await this.ask(fingerprint)) return this.hold(fingerprint);
    this.held.delete(fingerprint);
    return undefined;
  }

  private hold(fingerprint: string): RunLock {
    const timer = setInterval(() => void this.ask(fingerprint), renewMs);
    this.timers.add(timer);
    let isCut = false;
    const release = (): void => {
      clearInterval(timer);
      this.timers.delete(timer);
      this.held.delete(fingerprint);
      void this.giveBack(fingerprint);
    };
    return {
      markCut: () => {
        isCut = true;
      },
      dispose: () => {
        if (isCut) setTimeout(release, cutSpreadMs);
        else release();
      },
    };
  }

  private async ask(fingerprint: string): Promise<boolean> {
    const { self, peers, ownerOf } = this.options;
    const now = performance.now();
    this.locks.expire(this.options.readUntilMs());
    const owner = ownerOf(fingerprint);
    if (owner.ip === self.ip) return this.locks.acquire(fingerprint, self.ip, now);
    try {
      return (await peers.call(owner, "runLock.acquire", { node: self.ip, fingerprint })) === true;
    } catch (error) {
      this.options.log.debug({
        event: "run-lock-not-acquired",
        fingerprint,
        detail: toFailure(error).message,
      });
      return false;
    }
  }

  private async giveBack(fingerprint: string): Promise<void> {
    const { self, peers, ownerOf } = this.options;
    const owner = ownerOf(fingerprint);
    if (owner.ip === self.ip) {
      this.locks.release(fingerprint, self.ip);
      return;
    }
    try {
      await peers.call(owner, "runLock.release", { node: self.ip, fingerprint });
    } catch (error) {
      // It is free by itself once it isn't renewed.
      this.options.log.debug({
        event: "run-lock-not-released",
        fingerprint,
        detail: toFailure(error).message,
      });
    }
  }
}
