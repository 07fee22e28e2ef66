/** Log lines as `explain` reads them. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../common/decode.ts";

/** The fields that `explain` goes by; a line has more. */
const Line = Schema.Struct({
  time: Schema.String,
  event: Schema.String,
  requestId: Schema.optionalKey(Schema.String),
  model: Schema.optionalKey(Schema.String),
  tookMs: Schema.optionalKey(Schema.Number),
});

/** One line of one host's log. */
export interface LogLine {
  /** The log it was read from. */
  readonly source: string;
  readonly atMs: number;
  readonly event: string;
  readonly requestId: string | undefined;
  readonly model: string | undefined;
  readonly tookMs: number | undefined;
  /** All fields but the time, to print. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines of a log; what is no JSON line of ours is passed over and counted. */
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
  // Collectors put words of their own before a line.
  const start = row.indexOf("{");
  if (start < 0) return undefined;
  const fields = parse(row.slice(start));
  return (
    decodeEither(Line, fields)
      .map((line) => ({
        source,
        atMs: Date.parse(line.time),
        event: line.event,
        requestId: line.requestId,
        model: line.model,
        tookMs: line.tookMs,
        fields: withoutHead(fields as Record<string, unknown>),
      }))
      .toMaybe()
      .extractNullable() ?? undefined
  );
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Not a line of ours; the caller counts it.
    return undefined;
  }
}

function withoutHead(fields: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).filter(([name]) => !["time", "level", "event"].includes(name)),
  );
}
