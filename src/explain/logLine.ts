/** Parses the JSON lines of host logs for `explain`. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../common/decode.ts";

/** The fields that `explain` evaluates; a line has others too. */
const WireLine = Schema.Struct({
  time: Schema.String,
  event: Schema.String,
  requestId: Schema.optionalKey(Schema.String),
  model: Schema.optionalKey(Schema.String),
  tookMs: Schema.optionalKey(Schema.Number),
});

/** One line of one host's log. */
export interface LogLine {
  /** Name of the log that contains it. */
  readonly source: string;
  readonly atMs: number;
  readonly event: string;
  readonly requestId: string | undefined;
  readonly model: string | undefined;
  readonly tookMs: number | undefined;
  /** The fields to print: all except time, level and event. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses the lines of a log; lines that aren't our JSON log lines are skipped and counted. */
export function readLog(source: string, text: string): { lines: LogLine[]; skipped: number } {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const row of text.split("\n")) {
    if (row.trim() === "") continue;
    const line = readLine(source, row);
    if (line === undefined) skipped += 1;
    else lines.push(line);
  }
  return { lines, skipped };
}

function readLine(source: string, row: string): LogLine | undefined {
  // Log collectors may prepend a prefix to a line.
  const start = row.indexOf("{");
  if (start < 0) return undefined;
  const fields = parse(row.slice(start));
  return (
    decodeEither(WireLine, fields)
      .map((line) => ({
        source,
        atMs: Date.parse(line.time),
        event: line.event,
        requestId: line.requestId,
        model: line.model,
        tookMs: line.tookMs,
        fields: withoutCommonFields(fields as Record<string, unknown>),
      }))
      .toMaybe()
      .extractNullable() ?? undefined
  );
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Not one of our log lines; the caller counts it.
    return undefined;
  }
}

function withoutCommonFields(fields: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).filter(([name]) => !["time", "level", "event"].includes(name)),
  );
}
