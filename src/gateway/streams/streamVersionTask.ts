/**
 * Shares with other nodes at which software version each stream began, as its caller may resume it at any node. Told by
 * datagram as the first event leaves, to a few nodes that any other node finds by the stream's id, so that the cost
 * doesn't grow with the number of nodes. Nothing is sent for services whose servers have one version.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import type { Disposable } from "../../common/disposables.ts";
import { toFailure } from "../../common/errors.ts";
import type { Task } from "../../common/supervisor.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import { ownersOf } from "../../serving/membership/owner.ts";
import type { StreamVersion } from "../../serving/streams/streamVersions.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import type { PeerTask } from "../membership/peerTask.ts";
import type { StreamPublisher } from "./streamPublisher.ts";

/** Nodes that are told of a stream; more than can plausibly fail together with the stream's own node. */
const toldNodes = 4;
/** Nodes that are asked for a stream: some more, as nodes that were told may have changed their rank. */
const askedNodes = 6;
/** Streams named in one datagram, which then fits into a packet. */
const maxStreamsPerMessage = 16;
/** Streams with longer ids, which no usual caller has, aren't remembered, so that memory and datagrams stay bounded. */
const maxIdLength = 128;
/** Multiple of a route's time limit for which its streams may be resumed. */
const lifetimeFactor = 2;
/** Lifetime of streams until a configuration is loaded, ms. */
const defaultLifetimeMs = 30_000;

const BeganMessage = Schema.Struct({
  streams: Schema.Array(
    Schema.Struct({
      id: Schema.String,
      service: Schema.String,
      version: Schema.String,
      /** Time for which it may be resumed, ms. */
      leftMs: Schema.Number,
    }),
  ),
});

const VersionParams = Schema.Struct({ id: Schema.String, service: Schema.String });

const VersionResult = Schema.Struct({
  /** The version of the stream, if the node knows it. */
  version: Schema.optionalKey(Schema.String),
  /** The only version that the service had for as long as a stream can last, as far as the node knows. */
  only: Schema.optionalKey(Schema.String),
  /** Whether the service had several versions in that time. */
  several: Schema.optionalKey(Schema.Boolean),
});
type VersionResult = typeof VersionResult.Type;

/** How the version of a resumed stream was found; `unversioned` if the servers report none. */
export type VersionSource = "own" | "told" | "single" | "asked" | "published" | "unversioned" | "unknown";

/** The version of a resumed stream, and how it was found. */
export interface ResumedVersion {
  readonly source: VersionSource;
  /** Undefined if it is unknown or the servers report none. */
  readonly version: string | undefined;
}

/** A stream whose first event is about to leave. */
export interface StartedStream {
  /** Id of the request that brought its first event. */
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** Time limit of its route, ms. */
  readonly timeoutMs: number;
  /** Whether this node tells others of it. */
  readonly isAnnounced: boolean;
}

/** Records and looks up the versions of streams. */
export interface StreamVersionClient {
  /** The first event of a stream, or of its continuation, is about to leave. */
  recordStream(stream: StartedStream): void;
  /** The version at which the stream goes on. */
  findVersion(id: string | undefined, service: string): Promise<ResumedVersion>;
}

/** Options of a `StreamVersionTask`. */
export interface StreamVersionTaskOptions {
  readonly context: GatewayContext;
  readonly peers: Pick<PeerTask, "handle" | "notifyOne" | "call">;
  /** Live peers. */
  readonly livePeers: () => readonly PeerAddress[];
  /** Whether the known servers are up to date: the store was read recently, or live peers know nothing newer. */
  readonly fleetIsCurrent: () => boolean;
  /** Adds what the store knows to the version history; rejects if the store can't be read. */
  readonly loadHistory: () => Promise<void>;
  readonly publisher: Pick<StreamPublisher, "streamRecorded" | "read">;
}

/** Answers and asks peers. */
export class StreamVersionTask implements Task, StreamVersionClient {
  readonly name = "stream-versions";
  private readonly mixedServices = new Set<string>();
  /** Revision of the fleet that was observed last. */
  private observedRevision = -1;
  private readonly subscriptions: Disposable[] = [];

  constructor(private readonly options: StreamVersionTaskOptions) {
    const { peers } = options;
    peers.handle("stream.began", (params) => {
      this.onBegan(params);
    });
    peers.handle("stream.version", (params) => this.onVersion(params));
  }

  start(): Promise<void> {
    const { context } = this.options;
    this.observeFleet();
    this.subscriptions.push(
      context.fleetChanged.on(() => {
        this.observeFleet();
      }),
      context.versionHistory.changed.on(() => {
        this.announceMixedServices();
      }),
    );
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    for (const subscription of this.subscriptions) await subscription.dispose();
  }

  recordStream({ timeoutMs, isAnnounced, ...started }: StartedStream): void {
    if (started.id.length > maxIdLength) return;
    const now = performance.now();
    const stream = { ...started, untilMs: now + lifetimeFactor * timeoutMs, own: true };
    this.options.context.streamVersions.record(stream, now);
    if (!this.isMixed(stream.service)) {
      // Peers are told of this stream once the service gets a second version, also if it had several before.
      this.mixedServices.delete(stream.service);
      return;
    }
    if (!isAnnounced) return;
    this.announce([stream]);
    this.options.publisher.streamRecorded();
  }

  async findVersion(id: string | undefined, service: string): Promise<ResumedVersion> {
    const { context } = this.options;
    const now = performance.now();
    this.observeFleet();
    const known = id === undefined ? undefined : context.streamVersions.get(id, now);
    if (known?.service === service) return { source: known.own ? "own" : "told", version: known.version };
    if (await this.isUnversioned(service)) return { source: "unversioned", version: undefined };
    const only = this.onlyVersion(service);
    if (only !== undefined) return { source: "single", version: only };
    const asked = id === undefined ? undefined : await this.askPeers(id, service);
    if (asked !== undefined) return { source: "asked", version: asked };
    const published = await this.findPublished(id, service);
    if (published !== undefined) return { source: "published", version: published };
    await this.completeHistory(service);
    const stored = this.onlyVersion(service);
    return stored === undefined
      ? { source: "unknown", version: undefined }
      : { source: "single", version: stored };
  }

  /** Whether servers of the service are known and none reports a version, or did before. */
  private async isUnversioned(service: string): Promise<boolean> {
    const { fleet, versionHistory } = this.options.context;
    if (versionHistory.versionedServices.includes(service)) return false;
    await this.completeHistory(service);
    if (versionHistory.versionedServices.includes(service)) return false;
    return fleet.all().some((server) => server.service === service);
  }

  private async findPublished(id: string | undefined, service: string): Promise<string | undefined> {
    const streams = await this.options.publisher.read();
    return streams.find((stream) => stream.id === id && stream.service === service)?.version;
  }

  /** After the loss of all nodes' memory, only the store knows whether there were other versions. */
  private async completeHistory(service: string): Promise<void> {
    const { context, loadHistory } = this.options;
    if (context.versionHistory.isComplete(service, performance.now(), this.lifetimeMs)) return;
    try {
      await loadHistory();
    } catch (error) {
      context.log.info({ event: "version-history-not-loaded", detail: toFailure(error).message });
    }
  }

  private observeFleet(): void {
    const { fleet, versionHistory } = this.options.context;
    // Most changes concern models or limits.
    if (fleet.presenceRevision === this.observedRevision) return;
    this.observedRevision = fleet.presenceRevision;
    versionHistory.observe(fleet.softwareVersions(), performance.now());
  }

  /** Longest time for which any stream may be resumed, ms. */
  get lifetimeMs(): number {
    const routes = this.options.context.configuration.current?.configuration.routes ?? [];
    const timeouts = routes.filter(({ resumable }) => resumable).map(({ timeoutMs }) => timeoutMs);
    return timeouts.length === 0 ? defaultLifetimeMs : lifetimeFactor * Math.max(...timeouts);
  }

  private isMixed(service: string): boolean {
    return this.options.context.versionHistory.recent(service, performance.now(), this.lifetimeMs).length > 1;
  }

  private onlyVersion(service: string): string | undefined {
    if (!this.options.fleetIsCurrent()) return undefined;
    return this.options.context.versionHistory.onlyVersion(service, performance.now(), this.lifetimeMs);
  }

  /** Tells peers of the streams in progress once their service gets a second version. */
  private announceMixedServices(): void {
    const { versionHistory, streamVersions } = this.options.context;
    for (const service of versionHistory.versionedServices) {
      const isMixed = this.isMixed(service);
      if (isMixed && !this.mixedServices.has(service))
        this.announce(streamVersions.own(performance.now()).filter((stream) => stream.service === service));
      if (isMixed) this.mixedServices.add(service);
      else this.mixedServices.delete(service);
    }
  }

  private announce(streams: readonly StreamVersion[]): void {
    const { context, peers, livePeers } = this.options;
    const now = performance.now();
    const byAddress = new Map(livePeers().map((peer) => [peer.ip, peer]));
    const messages = new Map<string, (typeof BeganMessage.Type)["streams"][number][]>();
    for (const { id, service, version, untilMs } of streams)
      for (const ip of ownersOf(id, [...byAddress.keys()], toldNodes)) {
        const entry = { id, service, version, leftMs: Math.round(untilMs - now) };
        messages.set(ip, [...(messages.get(ip) ?? []), entry]);
      }
    for (const [ip, entries] of messages) {
      const peer = byAddress.get(ip);
      if (peer === undefined) continue;
      for (let i = 0; i < entries.length; i += maxStreamsPerMessage)
        peers.notifyOne("stream.began", { streams: entries.slice(i, i + maxStreamsPerMessage) }, peer);
    }
    context.metrics.announcedStreams.inc(streams.length);
  }

  private onBegan(params: unknown): void {
    const now = performance.now();
    decodeEither(BeganMessage, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ streams }) => {
        for (const { leftMs, ...stream } of streams)
          this.options.context.streamVersions.record({ ...stream, untilMs: now + leftMs, own: false }, now);
      });
  }

  private onVersion(params: unknown): VersionResult {
    const { id, service } = Schema.decodeUnknownSync(VersionParams)(params);
    const known = this.options.context.streamVersions.get(id, performance.now());
    const only = this.onlyVersion(service);
    return {
      ...(known?.service === service ? { version: known.version } : {}),
      ...(only === undefined ? {} : { only }),
      ...(this.isMixed(service) ? { several: true } : {}),
    };
  }

  /** The version as the first peer that knows the stream states it, or else as the service's history allows. */
  private async askPeers(id: string, service: string): Promise<string | undefined> {
    const byAddress = new Map(this.options.livePeers().map((peer) => [peer.ip, peer]));
    const asked = ownersOf(id, [...byAddress.keys()], askedNodes).flatMap((ip) => byAddress.get(ip) ?? []);
    const results = asked.map((peer) => this.ask(peer, id, service));
    const known = results.map(async (result) => {
      const { version } = await result;
      if (version === undefined) throw new Error("not known");
      return version;
    });
    return Promise.any(known).catch(async () => this.onlyVersionOf(await Promise.all(results), service));
  }

  /** The only version of the service according to peers; undefined if any of them, or this node, knows another one. */
  private onlyVersionOf(results: readonly VersionResult[], service: string): string | undefined {
    const now = performance.now();
    const own = this.options.context.versionHistory.recent(service, now, this.lifetimeMs);
    const stated = results.flatMap(({ only }) => only ?? []);
    const versions = new Set([...stated, ...own.map(({ version }) => version)]);
    if (stated.length === 0 || versions.size > 1 || results.some(({ several }) => several)) return undefined;
    return stated[0];
  }

  private async ask(peer: PeerAddress, id: string, service: string): Promise<VersionResult> {
    const { context, peers } = this.options;
    try {
      const result = await peers.call(peer, "stream.version", { id, service });
      return decodeEither(VersionResult, result).unsafeCoerce();
    } catch (error) {
      const { message } = toFailure(error);
      context.log.debug({ event: "stream-version-not-asked", peer: peer.ip, detail: message });
      return {};
    }
  }
}
