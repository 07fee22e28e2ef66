/**
 * Exchanges with the other nodes what they have to know of each other's requests: those in flight, what brittle servers
 * state, and the use of customers' quotas.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import { DisposableStore } from "../../common/disposables.ts";
import type { Task } from "../../common/supervisor.ts";
import { isLoadsMessage } from "../../serving/loadsGuard.ts";
import { LoadsMessage } from "../../serving/loadTracker.ts";
import { ServerNames } from "../../serving/zones/serverNames.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { PeerTask } from "../membership/peerTask.ts";

/** What a server stated to a peer about the rejections that it bears. */
const BrittleMessage = Schema.Struct({
  incarnation: Schema.String,
  service: Schema.String,
  rejectionsPerS: Schema.optionalKey(Schema.Number),
});

/** The changes in this node's work at servers to send to peers now; undefined if there are none. */
export function nextLoadUpdate(
  { loads, decoding }: Pick<GatewayContext, "loads" | "decoding">,
  nowMs: number,
): Pick<LoadsMessage, "loads" | "whole" | "decoding"> | undefined {
  const update = loads.nextUpdate(nowMs);
  const report = decoding.nextReport(update?.whole ?? false, nowMs);
  if (report === undefined) return update;
  return { ...(update ?? { loads: {}, whole: false }), decoding: report };
}

/** Options of a `ServerGossip`. */
export interface ServerGossipOptions {
  readonly context: GatewayContext;
  readonly peers: Pick<PeerTask, "handle" | "notify" | "sendLoads" | "onBriefHeartbeat">;
  /** Applies what a peer read of the caches of engines. */
  readonly applyCaches?: (ip: string, caches: string) => void;
}

/** Handles the messages of peers and sends those of this node; load messages are sent by the `PeerTask`. */
export class ServerGossip implements Task {
  readonly name = "server-gossip";
  private readonly disposables = new DisposableStore();

  constructor(private readonly options: ServerGossipOptions) {
    const { context, peers } = options;
    const names = new ServerNames({
      servers: () => context.fleet.all(),
      revision: () => context.fleet.revision,
    });
    peers.handle("loads", (params, from) => {
      const apply = (message: LoadsMessage): void => {
        const { ip, whole, keyedDecoding, keyedAnswers, pulse } = message;
        const now = performance.now();
        context.loads.applyPeerLoads(message, now);
        const decoding = keyedDecoding === undefined ? message.decoding : names.expand(keyedDecoding, now);
        // A full report without this field states that the peer has nothing at these engines.
        if (decoding !== undefined || whole) context.decoding.applyReport(ip, decoding ?? {}, whole, now);
        if (message.quotas !== undefined) context.quotas.applyReport(ip, message.quotas, now);
        const answers = keyedAnswers === undefined ? message.answers : names.expand(keyedAnswers, now);
        if (answers !== undefined) context.speeds.applyPeerReport(answers, now);
        if (message.caches !== undefined) options.applyCaches?.(ip, message.caches);
        if (pulse !== undefined) peers.onBriefHeartbeat({ ...pulse, ip }, from);
      };
      if (isLoadsMessage(params)) apply(params);
      else this.apply(LoadsMessage, params, apply);
    });
    peers.handle("server.brittle", (params) => {
      this.apply(BrittleMessage, params, (statement) => {
        context.concurrency.applyPeerStatement(statement, performance.now());
      });
    });
  }

  start(): Promise<void> {
    const { context, peers } = this.options;
    this.disposables.add(
      context.concurrency.changed.on((statement) => {
        context.log.warn({ event: "server-brittle", ...statement });
        peers.notify("server.brittle", statement);
      }),
    );
    this.disposables.add(
      context.decoding.reportDue.on(() => {
        // After the prompt is counted in the loads too.
        setImmediate(() => {
          peers.sendLoads();
        });
      }),
    );
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    await this.disposables.dispose();
  }

  private apply<A>(schema: Schema.Codec<A, unknown>, params: unknown, action: (message: A) => void): void {
    decodeEither(schema, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(action);
  }
}
