/**
 * JSON-line logs of a long-lived process, on standard output. Lines go through a bounded asynchronous
 * buffer: a reader that stops reading costs log lines, never requests.
 */
// A CommonJS module: its default export is the one that both Node and the bundler see.
import * as sonic from "sonic-boom";
import * as tslog from "tslog";
import { LogRateLimiter } from "./logRateLimiter.ts";
import { logLevel, type Log } from "./log.ts";

/** Bytes kept while the reader is slow; lines beyond are dropped and counted. */
const bufferBytes = 1024 * 1024;
/** Lines are gathered up to this many bytes, or for this long, ms, before they are written. */
const batchBytes = 4096;
const batchMs = 200;

/** A log, and a way to write out what is gathered before the process ends. */
export interface HostLog {
  readonly log: Log;
  flush(): void;
}

/** Makes the log of a process. */
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
      const lost = dropped;
      dropped = 0;
      return lost;
    },
  });
  return {
    log,
    flush: () => {
      try {
        out.flushSync();
      } catch {
        // The reader is gone or doesn't read; there is nobody left to tell.
      }
    },
  };
}

/** Where lines go. */
export interface LineSink {
  write(text: string): void;
  /** Lines lost since the last one that was written. */
  dropped(): number;
}

/** Makes a log of flat lines, each event's number of lines bounded. */
export function createFlatLog(name: string, sink: LineSink, minLevel = logLevel()): Log {
  const limit = new LogRateLimiter();
  return new tslog.Logger<unknown>({
    type: "json",
    name,
    minLevel,
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (record: unknown) => {
        const suppressed = allow(limit, record as Partial<LogRecord>);
        if (suppressed === undefined) return;
        sink.write(`${JSON.stringify(line(record, { dropped: sink.dropped(), suppressed }))}\n`);
      },
    },
  });
}

/** What the log library makes of a line. */
interface LogRecord {
  readonly _meta: { readonly date: Date; readonly logLevelName: string };
  readonly event: string;
}

/** Lines of this event left out before this one; undefined if it is left out too. */
function allow(limit: LogRateLimiter, { _meta, event }: Partial<LogRecord>): number | undefined {
  const level = _meta?.logLevelName;
  if (event === undefined || level === "WARN" || level === "ERROR" || level === "FATAL") return 0;
  return limit.pass(event, performance.now());
}

/** A flat line: time, level, the event's own fields, and how many lines are missing before it. */
function line(
  record: unknown,
  missing: { readonly dropped: number; readonly suppressed: number },
): Record<string, unknown> {
  const { _meta, ...fields } = record as Partial<LogRecord>;
  return {
    time: _meta?.date.toISOString(),
    level: _meta?.logLevelName.toLowerCase(),
    ...fields,
    ...(missing.dropped > 0 ? { dropped: missing.dropped } : {}),
    ...(missing.suppressed > 0 ? { suppressed: missing.suppressed } : {}),
  };
}
