/** Keep-alive agent that never sends a request id twice on one connection. */
import * as http from "node:http";
import type { Duplex } from "node:stream";

/** Request ids remembered per connection; the oldest are forgotten first. */
const maxRememberedIds = 64;

/** Options of a request sent through a `RequestAgent`. */
export interface RequestAgentOptions extends http.RequestOptions {
  /** Id that the response to the request echoes. */
  readonly requestId?: string;
}

/** Called by `http.request` to get a connection; not part of the published types. */
interface ConnectionSource {
  addRequest(req: http.ClientRequest, options: RequestAgentOptions): void;
}

const source = http.Agent.prototype as unknown as ConnectionSource;

/**
 * A response is matched to its request by the echoed id. A late copy of an earlier response to the same id can't be told
 * from the response to a new send on the same connection, so a repeated send gets another connection.
 */
export class RequestAgent extends http.Agent implements ConnectionSource {
  private readonly sentIds = new WeakMap<Duplex, Set<string>>();

  /** Called by Node.js for each request: assigns an idle connection or opens a new one. */
  addRequest(req: http.ClientRequest, options: RequestAgentOptions): void {
    const { requestId } = options;
    if (requestId === undefined) {
      source.addRequest.call(this, req, options);
      return;
    }
    req.once("socket", (socket) => {
      this.recordSend(socket, requestId);
    });
    const restore = this.hideConnectionsOf(requestId, this.getName(options));
    source.addRequest.call(this, req, options);
    restore();
  }

  /** Takes the idle connections that carried the id out of the idle list until the returned function is called. */
  private hideConnectionsOf(requestId: string, name: string): () => void {
    const idle = this.freeSockets as Record<string, Duplex[] | undefined>;
    const connections = idle[name] ?? [];
    const hidden = connections.filter((socket) => this.sentIds.get(socket)?.has(requestId));
    if (hidden.length === 0) return () => undefined;
    const usable = connections.filter((socket) => !hidden.includes(socket));
    if (usable.length > 0) idle[name] = usable;
    else Reflect.deleteProperty(idle, name);
    return () => {
      idle[name] = [...hidden, ...(idle[name] ?? [])];
    };
  }

  private recordSend(socket: Duplex, requestId: string): void {
    const ids = this.sentIds.get(socket) ?? new Set();
    this.sentIds.set(socket, ids.add(requestId));
    if (ids.size <= maxRememberedIds) return;
    const [oldest] = ids;
    if (oldest !== undefined) ids.delete(oldest);
  }
}
