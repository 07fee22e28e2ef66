/**
 * JSON-lines logging of a long-lived process to standard output. Lines go through a bounded asynchronous
 * buffer: if the reader of standard output stalls, log lines are dropped and requests are not blocked.
 */
// sonic-boom is a CommonJS module: its default export is the one that both Node and the bundler resolve.
import * as sonic from "sonic-boom";
import * as tslog from "tslog";
import { LogRateLimiter } from "./logRateLimiter.ts";
import { logLevel, type Log } from "./log.ts";

/** Bytes buffered while the reader is slow; further lines are dropped and counted. */
const bufferBytes = 1024 * 1024;
/** Lines are batched up to this many bytes, or for this long in ms, before they are written. */
const batchBytes = 4096;
const batchMs = 200;

/** A log, and a way to write out buffered lines before the process exits. */
export interface HostLog {
  readonly log: Log;
  flush(): void;
}

/** Creates the log of a process. */
export function createHostLog(name: string): HostLog {
  const out = new sonic.default.SonicBoom({
    fd: 1,
    sync: false,
    minLength: batchBytes,
    maxLength: bufferBytes,
    periodicFlush: batchMs,
  });
  let dropped = 0;
  out.on("drop", () => {
    dropped += 1;
  });
  out.on("error", () => {
    dropped += 1;
  });
  const log = createFlatLog(name, {
    write: (text) => out.write(text),
    dropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
  });
  return {
    log,
    flush: () => {
      try {
        out.flushSync();
      } catch {
        // The reader has closed the pipe or is not reading; there is nowhere to report the error.
      }
    },
  };
}

/** Destination of log lines. */
export interface LogSink {
  write(text: string): void;
  /** Lines dropped since the last written line; resets the count. */
  dropped(): number;
}

/** Creates a log of flat JSON lines with a rate limit per event. */
export function createFlatLog(name: string, sink: LogSink, minLevel = logLevel()): Log {
  const rateLimiter = new LogRateLimiter();
  return new tslog.Logger<unknown>({
    type: "json",
    name,
    minLevel,
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (record: unknown) => {
        const suppressed = admit(rateLimiter, record as Partial<TslogRecord>);
        if (suppressed === undefined) return;
        sink.write(`${JSON.stringify(flatLine(record, { dropped: sink.dropped(), suppressed }))}\n`);
      },
    },
  });
}

/** A log record as tslog passes it to its transport. */
interface TslogRecord {
  readonly _meta: { readonly date: Date; readonly logLevelName: string };
  readonly event: string;
}

/** Number of suppressed lines of this event before this one; undefined if this one is suppressed too. */
function admit(rateLimiter: LogRateLimiter, { _meta, event }: Partial<TslogRecord>): number | undefined {
  const level = _meta?.logLevelName;
  if (event === undefined || level === "WARN" || level === "ERROR" || level === "FATAL") return 0;
  return rateLimiter.admit(event, performance.now());
}

/** A flat line: time, level, the event's own fields, and how many lines were omitted before it. */
function flatLine(
  record: unknown,
  omitted: { readonly dropped: number; readonly suppressed: number },
): Record<string, unknown> {
  const { _meta, ...fields } = record as Partial<TslogRecord>;
  return {
    time: _meta?.date.toISOString(),
    level: _meta?.logLevelName.toLowerCase(),
    ...fields,
    ...(omitted.dropped > 0 ? { dropped: omitted.dropped } : {}),
    ...(omitted.suppressed > 0 ? { suppressed: omitted.suppressed } : {}),
  };
}
