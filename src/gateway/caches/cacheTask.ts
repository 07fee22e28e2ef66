/**
 * Reads what engines have cached, each engine on one node, and exchanges it with the other nodes: changes with the load
 * messages, the whole state of an engine on request.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import { DisposableStore } from "../../common/disposables.ts";
import type { Task } from "../../common/supervisor.ts";
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import type { CacheEventSource } from "../../serving/prefixCache/cacheEvents.ts";
import { serverKey } from "../../serving/prefixCache/cacheKnowledge.ts";
import {
  decodeCacheMessage,
  encodeCacheMessage,
  type CacheUpdate,
} from "../../serving/prefixCache/cacheMessage.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { PeerTask } from "../membership/peerTask.ts";
import { CacheReader } from "./cacheReader.ts";

/** Period in which the engines to read are determined, ms: a lost reader is replaced within half of the time to expiry. */
const assignmentPeriodMs = 500;
/** Parts in one message after which the remaining engines wait for the next one: it has to fit into a datagram. */
const maxPartsPerMessage = 800;
/** Knowledge of at most this age counts as known in the metrics, ms. */
const knownAgeMs = 3_000;

const CachesMessage = Schema.Struct({ ip: Schema.String, caches: Schema.String });

/** Engines, by server key, whose whole state the sender lacks. */
const CachesRequest = Schema.Struct({
  ip: Schema.String,
  port: Schema.Number,
  servers: Schema.Array(Schema.Number),
});

/** Options of a `CacheTask`. */
export interface CacheTaskOptions {
  readonly context: GatewayContext;
  /** Absent if the platform's engines don't report their caches. */
  readonly source: CacheEventSource | undefined;
  readonly self: PeerAddress;
  readonly peers: Pick<PeerTask, "handle" | "notifyOne">;
  /** Address of a live peer. */
  readonly peerAt: (ip: string) => PeerAddress | undefined;
  /** IP of the node that reads the engine. */
  readonly readerOf: (server: BackendServer) => string | undefined;
}

/** Owns the readers of this node. */
export class CacheTask implements Task {
  readonly name = "caches";
  private readonly disposables = new DisposableStore();
  /** By incarnation. */
  private readonly readers = new Map<string, CacheReader>();
  /** The engine that was left out of the last message comes first in the next one. */
  private firstReader = 0;

  constructor(private readonly options: CacheTaskOptions) {
    const { peers } = options;
    peers.handle("caches", (params) => {
      this.decode(CachesMessage, params, ({ ip, caches }) => {
        this.apply(ip, caches);
      });
    });
    peers.handle("caches.ask", (params) => {
      this.decode(CachesRequest, params, ({ servers, ...peer }) => {
        this.sendWhole(servers, peer);
      });
    });
  }

  start(): Promise<void> {
    this.disposables.interval(() => {
      this.assign();
    }, assignmentPeriodMs);
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    await this.disposables.dispose();
    await Promise.all([...this.readers.values()].map((reader) => reader.dispose()));
    this.readers.clear();
    this.options.source?.dispose();
  }

  /** Ids of the engines that this node reads. */
  get reading(): readonly string[] {
    return [...this.readers.values()].map(({ server }) => server.id);
  }

  /** Starts reading the engines that fell to this node, and stops reading the others. */
  assign(): void {
    const { context, source, self, readerOf } = this.options;
    context.cacheKnowledge.retain(context.fleet.all());
    if (source === undefined) return;
    const own = this.engines().filter((server) => readerOf(server) === self.ip);
    const incarnations = new Map(own.map((server) => [incarnationOf(server), server]));
    for (const [incarnation, reader] of this.readers) {
      if (incarnations.get(incarnation)?.address === reader.server.address) continue;
      this.readers.delete(incarnation);
      void reader.dispose();
      context.log.info({ event: "cache-reader-stopped", server: reader.server.id });
    }
    for (const [incarnation, server] of incarnations) {
      if (this.readers.has(incarnation)) continue;
      const { sharedParts: shared, log, metrics } = context;
      const reader = new CacheReader({ server, source, shared, log, metrics });
      this.readers.set(incarnation, reader);
      void reader.start();
      log.info({ event: "cache-reader-started", server: server.id, zone: server.zone });
    }
  }

  /** What the other active nodes are to be told now, if anything; called once per load message. */
  nextMessage(): string | undefined {
    const { cacheKnowledge, sharedParts } = this.options.context;
    const now = performance.now();
    const readers = [...this.readers.values()];
    const updates: CacheUpdate[] = [];
    let parts = 0;
    for (let i = 0; i < readers.length; i += 1) {
      const index = (this.firstReader + i) % readers.length;
      if (parts >= maxPartsPerMessage) {
        this.firstReader = index;
        break;
      }
      const update = readers[index]?.nextUpdate(now);
      if (update === undefined) continue;
      updates.push(update);
      parts += update.parts.length;
      cacheKnowledge.apply(update, this.options.self.ip, now);
    }
    return encodeCacheMessage({ updates, shared: sharedParts.takeAnnouncements(now) });
  }

  /** Applies what a peer read; requests what is missing. */
  apply(ip: string, caches: string): void {
    const { context, peers, self, peerAt } = this.options;
    const message = decodeCacheMessage(caches);
    if (message === undefined) {
      context.log.warn({ event: "peer-message-rejected", detail: "malformed cache message", peer: ip });
      return;
    }
    const now = performance.now();
    context.sharedParts.recordAnnounced(message.shared);
    const missing = message.updates
      .map((update) => context.cacheKnowledge.apply(update, ip, now))
      .filter((state) => state !== undefined);
    const peer = peerAt(ip);
    if (missing.length === 0 || peer === undefined) return;
    const { ip: ownIp, port } = self;
    peers.notifyOne("caches.ask", { ip: ownIp, port, servers: missing.map(({ server }) => server) }, peer);
  }

  /** Sets the gauges to their current values. */
  updateMetrics(): void {
    const { cacheKnowledge, metrics } = this.options.context;
    const ages = cacheKnowledge.agesMs(performance.now()).filter((ageMs) => ageMs <= knownAgeMs);
    metrics.cachesKnown.set(ages.length);
    metrics.cacheAge.set(ages.reduce((sum, ageMs) => sum + ageMs, 0) / 1000 / Math.max(1, ages.length));
  }

  /** Engines of the services whose configuration states how many readers they bear. */
  private engines(): BackendServer[] {
    const { configuration, fleet } = this.options.context;
    const services = configuration.current?.configuration.services ?? [];
    return services
      .filter(({ engine }) => engine?.maxCacheReaders !== undefined)
      .flatMap(({ name }) => fleet.available(name))
      .filter(({ engine }) => engine);
  }

  private sendWhole(servers: readonly number[], peer: PeerAddress): void {
    const { peers, self } = this.options;
    const requested = new Set(servers);
    const now = performance.now();
    for (const reader of this.readers.values()) {
      if (!requested.has(serverKey(reader.server))) continue;
      const update = reader.wholeUpdate(now);
      if (update === undefined) continue;
      const caches = encodeCacheMessage({ updates: [update], shared: [] });
      if (caches !== undefined) peers.notifyOne("caches", { ip: self.ip, caches }, peer);
    }
  }

  private decode<A>(schema: Schema.Codec<A, unknown>, params: unknown, action: (message: A) => void): void {
    decodeEither(schema, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(action);
  }
}
