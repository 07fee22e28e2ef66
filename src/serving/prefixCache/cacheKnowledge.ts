/**
 * What this node knows of the caches of engines: from their readers, on this node or others, and from its own sends, of
 * which the engine's events arrive later. The time is passed as an argument.
 */
import { incarnationOf, type BackendServer } from "../backendServer.ts";
import { hashText, mixHash } from "../../common/textHash.ts";
import { maxEncodedTokens, sequenceModulus, type CacheUpdate } from "./cacheMessage.ts";
import { leadingTokens, minPartTokens, type KeyedPart } from "./partKey.ts";

/** Knowledge counts as fresh for this time after the engine was heard, ms: three renewals. */
const freshMs = 3_000;
/** What this node sent counts as cached for this time, ms, by when the engine's event has arrived. */
const ownSendMs = 3_000;
/** A reader counts as replaced once it was silent for this time, ms. */
const readerSilenceMs = 1_500;
/** Minimum interval between two requests for the whole state of an engine, ms. */
const askIntervalMs = 1_000;
/** Limits of remembered state. */
const maxServers = 512;
const maxPartsPerServer = 1_024;
const maxOwnSends = 256;

/** Leading tokens of a prompt that a server has cached. */
export interface KnownPrefix {
  readonly tokens: number;
  /** Whether no more than that is cached; otherwise only that it is at least that. */
  readonly complete: boolean;
  /** The part of `tokens` that another server can fetch now; the remainder is still being prefilled there. */
  readonly fetchableTokens: number;
  /** Time since the engine was heard, ms. */
  readonly ageMs: number;
}

interface ServerCache {
  parts: Map<number, number>;
  complete: boolean;
  /** IP of the node that reads the engine, and when it was last heard, ms. */
  reader: string;
  readerHeardMs: number;
  sequence: number;
  /** When the engine's answer was received, ms. */
  heardMs: number;
  /** An update was lost; the whole state was requested at this time, ms. */
  askedMs: number;
}

interface OwnSend {
  readonly tokens: number;
  untilMs: number;
  /** The prefill has ended. */
  prefilled: boolean;
}

/** A prompt that was sent to a server; call `started` at the first event and `done` at the end. */
export interface SentPrompt {
  started(nowMs: number): void;
  done(): void;
}

/** An update of which earlier ones are missing: the whole state is to be requested from its sender. */
export interface MissingState {
  readonly server: number;
}

/** Results of `serverKey`: a choice asks for it for each candidate and source. */
const serverKeys = new WeakMap<object, number>();

/** Hash of an incarnation in messages between nodes. */
export function serverKey(server: Pick<BackendServer, "id" | "startedAtMs">): number {
  const known = serverKeys.get(server);
  if (known !== undefined) return known;
  const key = mixHash(hashText(incarnationOf(server)));
  serverKeys.set(server, key);
  return key;
}

/** Caches of the engines, by server key. */
export class CacheKnowledge {
  private readonly servers = new Map<number, ServerCache>();
  private readonly ownSends = new Map<number, Map<number, OwnSend>>();

  /** Applies an update that the reader at `ip` sent; returns what has to be requested from it, if anything. */
  apply(update: CacheUpdate, ip: string, nowMs: number): MissingState | undefined {
    const known = this.servers.get(update.server);
    if (update.whole) {
      this.replace(update, ip, nowMs);
      return undefined;
    }
    const isReader = known?.reader === ip;
    if (known !== undefined && !isReader && nowMs - known.readerHeardMs < readerSilenceMs) return undefined;
    if (known === undefined || !isReader || update.sequence !== (known.sequence + 1) % sequenceModulus)
      return this.askFor(update.server, nowMs);
    known.sequence = update.sequence;
    known.readerHeardMs = nowMs;
    known.heardMs = nowMs - update.ageMs;
    known.complete = update.complete;
    for (const [key, tokens] of update.parts) setPart(known.parts, key, tokens);
    return undefined;
  }

  /** What the server is known to have cached of a prompt; undefined without fresh knowledge. */
  lookup(server: BackendServer, parts: readonly KeyedPart[], nowMs: number): KnownPrefix | undefined {
    const key = serverKey(server);
    const known = this.servers.get(key);
    const ageMs = known === undefined ? Number.POSITIVE_INFINITY : nowMs - known.heardMs;
    if (known === undefined || ageMs > freshMs) return undefined;
    const own = this.ownSends.get(key);
    const ownTokens = (part: number, fetchable: boolean): number => {
      const send = own?.get(part);
      if (send === undefined || send.untilMs < nowMs || (fetchable && !send.prefilled)) return 0;
      return send.tokens;
    };
    const tokensWith = (fetchable: boolean): number =>
      leadingTokens(parts, (part) => {
        const reported = known.parts.get(part) ?? 0;
        const tokens = Math.max(reported, ownTokens(part, fetchable));
        return tokens === maxEncodedTokens ? Number.POSITIVE_INFINITY : tokens;
      });
    return { tokens: tokensWith(false), complete: known.complete, fetchableTokens: tokensWith(true), ageMs };
  }

  /** A request with these parts was sent to the server. */
  recordSend(server: BackendServer, parts: readonly KeyedPart[], nowMs: number): SentPrompt {
    const key = serverKey(server);
    const own = this.ownSends.get(key) ?? new Map<number, OwnSend>();
    const sends = parts
      .filter(({ tokens }) => tokens >= minPartTokens)
      .map((part) => ({
        part: part.key,
        send: { tokens: part.tokens, untilMs: nowMs + ownSendMs, prefilled: false },
      }));
    for (const { part, send } of sends) {
      // A part that was prefilled before stays so while it is fetched or read again.
      const before = own.get(part);
      if (before?.prefilled === true && before.untilMs > nowMs) send.prefilled = true;
      own.delete(part);
      own.set(part, send);
    }
    trim(own, maxOwnSends);
    if (sends.length > 0) this.ownSends.set(key, own);
    trim(this.ownSends, maxServers);
    let hasStarted = false;
    return {
      started: (startedMs) => {
        hasStarted = true;
        for (const { send } of sends) {
          send.prefilled = true;
          send.untilMs = startedMs + ownSendMs;
        }
      },
      done: () => {
        if (hasStarted) return;
        // It was refused or failed, so it may not have been prefilled.
        for (const { part, send } of sends) if (own.get(part) === send) own.delete(part);
      },
    };
  }

  /** Age of the knowledge of each server that is known at all, ms. */
  agesMs(nowMs: number): number[] {
    return [...this.servers.values()].map(({ heardMs }) => nowMs - heardMs);
  }

  /** Drops servers that no longer exist. */
  retain(servers: readonly BackendServer[]): void {
    const keys = new Set(servers.map((server) => serverKey(server)));
    for (const key of this.servers.keys()) if (!keys.has(key)) this.servers.delete(key);
    for (const key of this.ownSends.keys()) if (!keys.has(key)) this.ownSends.delete(key);
  }

  private replace(
    { server, parts, complete, sequence, ageMs }: CacheUpdate,
    ip: string,
    nowMs: number,
  ): void {
    const cached = new Map<number, number>();
    for (const [key, tokens] of parts) setPart(cached, key, tokens);
    const heard = { reader: ip, readerHeardMs: nowMs, heardMs: nowMs - ageMs };
    const askedMs = Number.NEGATIVE_INFINITY;
    this.servers.delete(server);
    this.servers.set(server, { parts: cached, complete, sequence, askedMs, ...heard });
    trim(this.servers, maxServers);
  }

  /** Nothing is known until the whole state has been received. */
  private askFor(server: number, nowMs: number): MissingState | undefined {
    const askedMs = this.servers.get(server)?.askedMs ?? Number.NEGATIVE_INFINITY;
    if (nowMs - askedMs < askIntervalMs) return undefined;
    this.servers.set(server, {
      ...{ parts: new Map(), complete: false, reader: "", sequence: -1, askedMs: nowMs },
      ...{ readerHeardMs: Number.NEGATIVE_INFINITY, heardMs: Number.NEGATIVE_INFINITY },
    });
    trim(this.servers, maxServers);
    return { server };
  }
}

function setPart(parts: Map<number, number>, key: number, tokens: number): void {
  parts.delete(key);
  if (tokens > 0) parts.set(key, tokens);
  trim(parts, maxPartsPerServer);
}

/** Drops the entries that were set first. */
function trim(map: Map<number, unknown>, maxSize: number): void {
  if (map.size <= maxSize) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
