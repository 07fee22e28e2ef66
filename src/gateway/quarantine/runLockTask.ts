/** Acquires the run lock of a suspected request from the node that owns the lock, and renews it while the request runs. */
import * as Schema from "effect/Schema";
import { decode } from "../../common/decode.ts";
import type { Disposable } from "../../common/disposables.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import type { Task } from "../../common/supervisor.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import { RunLocks } from "../../serving/quarantine/runLocks.ts";
import type { PeerTask } from "../membership/peerTask.ts";

/** Period at which a lock is renewed, ms. */
const renewMs = 400;
/** Delay of the release after a lost connection, ms: the report of it has to reach the other nodes first. */
const lossReleaseDelayMs = 80;

const LockParams = Schema.Struct({ node: Schema.String, fingerprint: Schema.String });

/** Options of a `RunLockTask`. */
export interface RunLockTaskOptions {
  readonly log: Log;
  readonly self: PeerAddress;
  readonly peers: PeerTask;
  /** The node that grants the lock of the request. */
  readonly ownerOf: (fingerprint: string) => PeerAddress;
  /** All input that arrived before this time has been read, ms; a later renewal may still be unread. */
  readonly readUpToMs: () => number;
}

/** A lock held by this node; dispose to release it. */
export interface RunLock extends Disposable {
  /** The connection was lost before the response was complete: the lock is released once other nodes can know of it. */
  markConnectionLost(): void;
}

/** Owns the locks that this node holds and those that it grants. */
export class RunLockTask implements Task {
  readonly name = "run-locks";
  private readonly locks = new RunLocks();
  /** Requests whose lock this node holds or has requested. */
  private readonly heldOrRequested = new Set<string>();
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

  /** The lock of the request; undefined while a duplicate, on this node or another, holds it. */
  async acquire(fingerprint: string): Promise<RunLock | undefined> {
    if (this.heldOrRequested.has(fingerprint)) return undefined;
    this.heldOrRequested.add(fingerprint);
    if (await this.requestLock(fingerprint)) return this.startRenewal(fingerprint);
    this.heldOrRequested.delete(fingerprint);
    return undefined;
  }

  private startRenewal(fingerprint: string): RunLock {
    const timer = setInterval(() => void this.requestLock(fingerprint), renewMs);
    this.timers.add(timer);
    let connectionLost = false;
    const release = (): void => {
      clearInterval(timer);
      this.timers.delete(timer);
      this.heldOrRequested.delete(fingerprint);
      void this.releaseLock(fingerprint);
    };
    return {
      markConnectionLost: () => {
        connectionLost = true;
      },
      dispose: () => {
        if (connectionLost) setTimeout(release, lossReleaseDelayMs);
        else release();
      },
    };
  }

  private async requestLock(fingerprint: string): Promise<boolean> {
    const { self, peers, ownerOf } = this.options;
    const now = performance.now();
    this.locks.expire(this.options.readUpToMs());
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

  private async releaseLock(fingerprint: string): Promise<void> {
    const { self, peers, ownerOf } = this.options;
    const owner = ownerOf(fingerprint);
    if (owner.ip === self.ip) {
      this.locks.release(fingerprint, self.ip);
      return;
    }
    try {
      await peers.call(owner, "runLock.release", { node: self.ip, fingerprint });
    } catch (error) {
      // The lock expires when it isn't renewed.
      this.options.log.debug({
        event: "run-lock-not-released",
        fingerprint,
        detail: toFailure(error).message,
      });
    }
  }
}
