/** Finds the incarnation that a short key of a peer's report stands for. */
import { incarnationOf, type BackendServer } from "../backendServer.ts";
import { loadKeyOf } from "./compactLoads.ts";

/** Minimum interval between two looks at the servers for unknown keys, ms: peers know new servers earlier than this node. */
const refreshIntervalMs = 500;

/** Options of `ServerNames`. */
export interface ServerNamesOptions {
  /** All known servers, and a number that changes with them. */
  readonly servers: () => readonly BackendServer[];
  readonly revision: () => number;
}

/** Incarnations of the known servers by key. */
export class ServerNames {
  private incarnations = new Map<string, string>();
  private revision: number | undefined;
  private refreshedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ServerNamesOptions) {}

  /** The report by incarnation; entries of servers that this node doesn't know are left out, as it sends them nothing. */
  expand<T>(report: Readonly<Record<string, T>>, nowMs: number): Record<string, T> {
    const expanded: Record<string, T> = {};
    for (const key of Object.keys(report)) {
      const incarnation = this.incarnationOf(key, nowMs);
      if (incarnation !== undefined) expanded[incarnation] = report[key] as T;
    }
    return expanded;
  }

  private incarnationOf(key: string, nowMs: number): string | undefined {
    const known = this.incarnations.get(key);
    if (known !== undefined) return known;
    const revision = this.options.revision();
    if (revision === this.revision || nowMs - this.refreshedMs < refreshIntervalMs) return undefined;
    this.refreshedMs = nowMs;
    this.revision = revision;
    const incarnations = this.options.servers().map((server) => incarnationOf(server));
    this.incarnations = new Map(incarnations.map((incarnation) => [loadKeyOf(incarnation), incarnation]));
    return this.incarnations.get(key);
  }
}
