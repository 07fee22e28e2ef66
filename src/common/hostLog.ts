/**
 * JSON-line logs of a long-lived process, on standard output. Lines go through a bounded asynchronous
 * buffer: a reader that stops reading costs log lines, never requests.
 */
// A CommonJS module: its default export is the one that both Node and the bundler see.
import * as sonic from "sonic-boom";
import * as tslog from "tslog";
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
  const log = new tslog.Logger<unknown>({
    type: "json",
    name,
    minLevel: logLevel(),
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (record: unknown) => {
        const lost = dropped;
        dropped = 0;
        out.write(`${JSON.stringify(line(record, lost))}\n`);
      },
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

/** A flat line: time, level, the event's own fields, and how many lines were dropped before it. */
function line(record: unknown, dropped: number): Record<string, unknown> {
  const { _meta, ...fields } = record as { _meta?: { date: Date; logLevelName: string } };
  return {
    time: _meta?.date.toISOString(),
    level: _meta?.logLevelName.toLowerCase(),
    ...fields,
    ...(dropped > 0 ? { dropped } : {}),
  };
}
