/** Builds the timeline of one request from the logs of all hosts: its own lines and the known state at its arrival. */
import { Failure } from "../common/errors.ts";
import type { LogLine } from "./logLine.ts";

/** Events up to this long before the request's arrival may be relevant to it, ms: twice the longest load. */
const contextBeforeMs = 12_000;
/** Events up to this long after its end are included, ms, as the clocks of hosts differ slightly. */
const contextAfterMs = 500;

/** State changes on the request's host: the last of each kind before its arrival was current. */
const stateEvents = new Set([
  "configuration-applied",
  "configuration-refreshed",
  "store-lost",
  "store-regained",
  "store-era-changed",
  "servers-reached",
  "started",
]);
/** Events of the lease, of servers and of the process that are relevant to any request near them in time. */
const leaseEvents = new Set(["lease-taken", "lease-lost", "lease-released"]);
const serverEvents = new Set(["server-found", "server-leaving", "server-removed"]);
const lifecycleEvents = new Set(["started", "stopping", "stopped"]);

/** Returns the lines of the timeline in chronological order. */
export function requestTimeline(lines: readonly LogLine[], requestId: string): string[] {
  const own = linesOfStream(lines, requestId);
  // A node that the request was passed on to logs a line of its own, with the node that the caller asked.
  const ends = own.filter((line) => line.event === "request");
  const ofCaller = ends.filter((line) => line.fields.from === undefined);
  const end = ofCaller.find((line) => line.requestId === requestId) ?? ofCaller[0] ?? ends[0] ?? own.at(-1);
  if (end === undefined) {
    throw new Failure(
      "unknown-request",
      `no line of request ${requestId}; served requests are logged at debug level`,
    );
  }
  const arrivedMs = end.atMs - (end.tookMs ?? 0);
  const selected = [
    ...own,
    ...statesAtArrival(lines, end.source, arrivedMs),
    ...lines.filter((line) => isRelevant(line, end, arrivedMs)),
  ];
  const chronological = [...new Set(selected)].sort((a, b) => a.atMs - b.atMs);
  return chronological.map((line) => formatLine(line, arrivedMs));
}

/** The lines of the request, of the one that began the stream that it resumes, and of those that resumed it. */
function linesOfStream(lines: readonly LogLine[], requestId: string): LogLine[] {
  const isOwn = (line: LogLine): boolean => line.requestId === requestId;
  const resumed = lines.find((line) => isOwn(line) && line.fields.resumes !== undefined)?.fields.resumes;
  const first = typeof resumed === "string" ? resumed : requestId;
  return lines.filter((line) => isOwn(line) || line.requestId === first || line.fields.resumes === first);
}

/** Returns the newest line of each state event before the arrival. */
function statesAtArrival(lines: readonly LogLine[], source: string, arrivedMs: number): LogLine[] {
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.source !== source || !stateEvents.has(line.event) || line.atMs > arrivedMs) continue;
    const latest = newest.get(line.event);
    if (latest === undefined || latest.atMs <= line.atMs) newest.set(line.event, line);
  }
  return [...newest.values()];
}

function isRelevant(line: LogLine, end: LogLine, arrivedMs: number): boolean {
  if (line.atMs < arrivedMs - contextBeforeMs || line.atMs > end.atMs + contextAfterMs) return false;
  if (line.event === "order") return end.model !== undefined && concernsModel(line, end.model);
  if (leaseEvents.has(line.event)) return end.model !== undefined;
  return line.source === end.source && (serverEvents.has(line.event) || lifecycleEvents.has(line.event));
}

function concernsModel(order: LogLine, model: string): boolean {
  return order.model === model || order.fields.inFavourOf === model;
}

function formatLine(line: LogLine, arrivedMs: number): string {
  const offset = ((line.atMs - arrivedMs) / 1000).toFixed(3);
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${offset.startsWith("-") ? offset : `+${offset}`} s  ${line.source}  ${line.event}  ${fields.join(" ")}`;
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
