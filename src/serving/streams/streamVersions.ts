/** The software version at which each recent stream began, by the id of the request that brought its first event. */

/** Streams remembered at most, so that memory stays bounded; the oldest are forgotten first. */
const maxStreams = 20_000;

/** A stream and the version at which it goes on. */
export interface StreamVersion {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** Until when it may be resumed, ms. */
  readonly untilMs: number;
  /** Whether this node delivered some of its events, rather than being told of it. */
  readonly own: boolean;
}

/** Streams known to one node; times are of `performance.now()`. */
export class StreamVersions {
  private readonly streams = new Map<string, StreamVersion>();

  get size(): number {
    return this.streams.size;
  }

  /** Records a stream that began, or was resumed. The version of a known stream doesn't change. */
  record(stream: StreamVersion, nowMs: number): void {
    const known = this.get(stream.id, nowMs);
    this.streams.delete(stream.id);
    const merged = {
      ...stream,
      version: known?.version ?? stream.version,
      untilMs: Math.max(stream.untilMs, known?.untilMs ?? 0),
      own: stream.own || known?.own === true,
    };
    this.streams.set(stream.id, merged);
    this.dropOldest(nowMs);
  }

  /** The stream with this id; undefined if it isn't known or can't be resumed any more. */
  get(id: string, nowMs: number): StreamVersion | undefined {
    const stream = this.streams.get(id);
    return stream === undefined || stream.untilMs <= nowMs ? undefined : stream;
  }

  /** The streams whose events this node delivered, the least recently recorded ones first. */
  own(nowMs: number): StreamVersion[] {
    return [...this.streams.values()].filter(({ own, untilMs }) => own && untilMs > nowMs);
  }

  /** Drops streams from the front, where the least recently recorded ones are. */
  private dropOldest(nowMs: number): void {
    for (const [id, { untilMs }] of this.streams) {
      if (untilMs > nowMs && this.streams.size <= maxStreams) return;
      this.streams.delete(id);
    }
  }
}
