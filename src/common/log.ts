/** JSON-lines logging through tslog, written to stderr so that stdout remains for a command's own output. */
import * as tslog from "tslog";

/** A structured logger; each call writes one JSON line. */
export type Log = tslog.Logger<unknown>;

const levels: Readonly<Record<string, number>> = {
  silly: 0,
  trace: 1,
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
  fatal: 6,
};

/** The minimum level that is logged: `PARSLEYNOTCH_LOG_LEVEL`, `info` by default. */
export function logLevel(): number {
  return levels[process.env.PARSLEYNOTCH_LOG_LEVEL ?? "info"] ?? 3;
}

/** Creates the logger of one component. */
export function createLog(name: string): Log {
  return new tslog.Logger({
    type: "json",
    name,
    minLevel: logLevel(),
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (record: unknown) => {
        process.stderr.write(`${JSON.stringify(record)}\n`);
      },
    },
  });
}
