/** Gets the turn of a suspected request from the node that gives it out, and keeps it while a copy runs. */
import * as Schema from "effect/Schema";
import { decode } from "../common/decode.ts";
import type { Disposable } from "../common/disposables.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import type { PeerAddress } from "../serving/membership/peerTable.ts";
import { Turns } from "../serving/quarantine/turns.ts";
import type { PeerTask } from "./peerTask.ts";

/** Period at which a node says that a copy still runs, ms. */
const keepMs = 400;
/** After a cut the turn is given back so much later, ms: word of the cut has to reach the other nodes first. */
const cutSpreadMs = 80;

const TurnParams = Schema.Struct({ node: Schema.String, fingerprint: Schema.String });

/** Options of a `TurnTask`. */
export interface TurnTaskOptions {
  readonly log: Log;
  readonly self: PeerAddress;
  readonly peers: PeerTask;
  /** The node that gives out turns for the request. */
  readonly ownerOf: (fingerprint: string) => PeerAddress;
}

/** A turn in hand. */
export interface Turn extends Disposable {
  /** The copy was cut: the turn is given back once other nodes can know it. */
  cut(): void;
}

/** Owns this node's turns, and gives out those of the requests that fall to it. */
export class TurnTask implements Task {
  readonly name = "turns";
  private readonly turns = new Turns();
  /** Requests of which a copy runs here, or is about to. */
  private readonly running = new Set<string>();
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: TurnTaskOptions) {
    options.peers.handle("turn.ask", (params) => {
      const { node, fingerprint } = decode(TurnParams, params);
      return this.turns.ask(fingerprint, node, performance.now());
    });
    options.peers.handle("turn.done", (params) => {
      const { node, fingerprint } = decode(TurnParams, params);
      this.turns.done(fingerprint, node);
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

  /** The turn to run the request, if no other copy has it. */
  async take(fingerprint: string): Promise<Turn | undefined> {
    if (this.running.has(fingerprint)) return undefined;
    this.running.add(fingerprint);
    if (await this.ask(fingerprint)) return this.keep(fingerprint);
    this.running.delete(fingerprint);
    return undefined;
  }

  private keep(fingerprint: string): Turn {
    const timer = setInterval(() => void this.ask(fingerprint), keepMs);
    this.timers.add(timer);
    let isCut = false;
    const giveBack = (): void => {
      clearInterval(timer);
      this.timers.delete(timer);
      this.running.delete(fingerprint);
      void this.done(fingerprint);
    };
    return {
      cut: () => {
        isCut = true;
      },
      dispose: () => {
        if (isCut) setTimeout(giveBack, cutSpreadMs);
        else giveBack();
      },
    };
  }

  private async ask(fingerprint: string): Promise<boolean> {
    const { self, peers, ownerOf } = this.options;
    const now = performance.now();
    this.turns.expire(now);
    const owner = ownerOf(fingerprint);
    if (owner.ip === self.ip) return this.turns.ask(fingerprint, self.ip, now);
    try {
      return (await peers.call(owner, "turn.ask", { node: self.ip, fingerprint })) === true;
    } catch (error) {
      this.options.log.debug({ event: "turn-not-given", fingerprint, detail: toFailure(error).message });
      return false;
    }
  }

  private async done(fingerprint: string): Promise<void> {
    const { self, peers, ownerOf } = this.options;
    const owner = ownerOf(fingerprint);
    if (owner.ip === self.ip) {
      this.turns.done(fingerprint, self.ip);
      return;
    }
    try {
      await peers.call(owner, "turn.done", { node: self.ip, fingerprint });
    } catch (error) {
      // The turn ends by itself in a moment.
      this.options.log.debug({ event: "turn-not-returned", fingerprint, detail: toFailure(error).message });
    }
  }
}
