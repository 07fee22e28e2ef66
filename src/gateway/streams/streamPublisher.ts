/**
 * Publishes the software versions of this node's streams in the store while it is cut off from most of its peers, whose
 * callers may resume them elsewhere: one row per node, written at most a few times a second however many streams there are.
 */
import * as Schema from "effect/Schema";
import { decode } from "../../common/decode.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import type { Task } from "../../common/supervisor.ts";
import type { Store } from "../../serving/store.ts";
import type { StreamVersion } from "../../serving/streams/streamVersions.ts";

const table = "parsleynotch_streams";
/** Shortest time between two writes, ms. */
const writePeriodMs = 250;
/** Shortest time between two reads, ms: streams that are resumed meanwhile share one. */
const readPeriodMs = 100;
/** Timeout of a call, ms. */
const callTimeoutMs = 400;
/** Streams in the row at most, the latest ones: a row holds 24 KB. */
const maxStreams = 250;

const PublishedStreams = Schema.Array(
  Schema.Struct({ id: Schema.String, service: Schema.String, version: Schema.String }),
);
/** A stream in a node's row. */
export type PublishedStream = (typeof PublishedStreams.Type)[number];

/** Options of a `StreamPublisher`. */
export interface StreamPublisherOptions {
  readonly store: Store;
  readonly log: Log;
  readonly ip: string;
  /** Whether this node is cut off from most of its peers. */
  readonly isIsolated: () => boolean;
  /** The streams of this node that may be resumed, oldest first. */
  readonly streams: () => readonly StreamVersion[];
}

/** Owns this node's row. */
export class StreamPublisher implements Task {
  readonly name = "stream-publisher";
  private timer: NodeJS.Timeout | undefined;
  private hasRow = false;
  private lastRead:
    { readonly atMs: number; readonly streams: Promise<readonly PublishedStream[]> } | undefined;

  constructor(private readonly options: StreamPublisherOptions) {}

  start(): Promise<void> {
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  /** A stream of this node began or was resumed. */
  streamRecorded(): void {
    if (this.timer !== undefined || (!this.hasRow && !this.options.isIsolated())) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.write();
    }, writePeriodMs);
    this.timer.unref();
  }

  /** The streams that any node published; none if the store can't be read. */
  read(): Promise<readonly PublishedStream[]> {
    const now = performance.now();
    if (this.lastRead === undefined || now - this.lastRead.atMs >= readPeriodMs)
      this.lastRead = { atMs: now, streams: this.readNow() };
    return this.lastRead.streams;
  }

  private async write(): Promise<void> {
    const { store, ip, streams, isIsolated, log } = this.options;
    const entries = isIsolated() ? streams().slice(-maxStreams) : [];
    const value = JSON.stringify(entries.map(({ id, service, version }) => ({ id, service, version })));
    const change = entries.length === 0 ? { table, key: ip } : { table, key: ip, value };
    try {
      await store.commit([change], { timeoutMs: callTimeoutMs });
      this.hasRow = entries.length > 0;
    } catch (error) {
      log.info({ event: "streams-not-published", detail: toFailure(error).message });
    }
  }

  private async readNow(): Promise<readonly PublishedStream[]> {
    const { store, log } = this.options;
    try {
      const { rows } = await store.list(table, { timeoutMs: callTimeoutMs });
      return rows.flatMap(({ value }) => decode(PublishedStreams, JSON.parse(value)));
    } catch (error) {
      log.info({ event: "published-streams-not-read", detail: toFailure(error).message });
      return [];
    }
  }
}
