/** JSON-line logs through tslog, written to stderr so that stdout stays for a command's own output. */
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

/** Makes the logger of one component; `PARSLEYNOTCH_LOG_LEVEL` (default `info`) sets the lowest level written. */
export function createLog(name: string): Log {
  const level = levels[process.env.PARSLEYNOTCH_LOG_LEVEL ?? "info"] ?? 3;
  return new tslog.Logger({
    type: "json",
    name,
    minLevel: level,
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: (record: unknown) => {
        process.stderr.write(`${JSON.stringify(record)}\n`);
      },
    },
  });
}
