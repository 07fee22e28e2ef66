/** Tells what happened to one request, from the logs of all hosts: its own lines and the beliefs in force. */
import { Failure } from "../common/errors.ts";
import type { LogLine } from "./logLine.ts";

/** Changes of belief this long before the request's arrival may still bear on it, ms: the longest load, twice. */
const beforeMs = 12_000;
/** Lines this long after its end still belong to it, ms: clocks of hosts differ a little. */
const afterMs = 500;

/** Beliefs of the host that had the request, of which the last before its arrival was in force. */
const standing = new Set([
  "configuration-applied",
  "store-lost",
  "store-regained",
  "store-era-changed",
  "started",
]);
/** Events about servers and placement that bear on any request near them. */
const placement = new Set(["lease-taken", "lease-lost", "lease-released"]);
const servers = new Set(["server-found", "server-leaving", "server-removed"]);
const life = new Set(["started", "stopping", "stopped"]);

/** The story, a line each, in order of time. */
export function requestTimeline(lines: readonly LogLine[], requestId: string): string[] {
  const own = lines.filter((line) => line.requestId === requestId);
  const end = own.find((line) => line.event === "request") ?? own.at(-1);
  if (end === undefined) {
    throw new Failure("unknown-request", `no line of request ${requestId}; served ones are logged at debug`);
  }
  const arrivedMs = end.atMs - (end.tookMs ?? 0);
  const told = [
    ...own,
    ...inForce(lines, end.source, arrivedMs),
    ...lines.filter((line) => bears(line, end, arrivedMs)),
  ];
  const inOrder = [...new Set(told)].sort((a, b) => a.atMs - b.atMs);
  return inOrder.map((line) => tell(line, arrivedMs));
}

/** The newest line of each standing belief before the arrival. */
function inForce(lines: readonly LogLine[], source: string, arrivedMs: number): LogLine[] {
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.source !== source || !standing.has(line.event) || line.atMs > arrivedMs) continue;
    const known = newest.get(line.event);
    if (known === undefined || known.atMs <= line.atMs) newest.set(line.event, line);
  }
  return [...newest.values()];
}

function bears(line: LogLine, end: LogLine, arrivedMs: number): boolean {
  if (line.atMs < arrivedMs - beforeMs || line.atMs > end.atMs + afterMs) return false;
  if (line.event === "order") return end.model !== undefined && isAbout(line, end.model);
  if (placement.has(line.event)) return end.model !== undefined;
  return line.source === end.source && (servers.has(line.event) || life.has(line.event));
}

function isAbout(order: LogLine, model: string): boolean {
  return order.model === model || order.fields.inFavourOf === model;
}

function tell(line: LogLine, arrivedMs: number): string {
  const offset = ((line.atMs - arrivedMs) / 1000).toFixed(3);
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${text(value)}`);
  return `${offset.startsWith("-") ? offset : `+${offset}`} s  ${line.source}  ${line.event}  ${fields.join(" ")}`;
}

function text(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
