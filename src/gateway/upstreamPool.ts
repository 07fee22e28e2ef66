/** Connections to backend servers: one pool per incarnation, so an address that is used again starts clean. */
import * as http from "node:http";
import type * as net from "node:net";
import type { Disposable } from "../common/disposables.ts";

/** Idle connections kept per server. */
const maxIdleConnections = 6;
/** Retired this long before the server would close it, ms: a request must not meet the closing. */
const idleMarginMs = 1_000;
/** Idle time kept where the server names none (its own is then below a second), ms. */
const defaultIdleMs = 300;

/** Idle connections are probed after this time, ms, so that one to a dead host ends by itself. */
const keepAliveProbeMs = 1_000;

/** A kept-alive agent that retires idle connections early and ends those on which bytes come unasked. */
class ServerAgent extends http.Agent {
  /** The server's own idle time, from its answers, ms. */
  keepAliveMs: number | undefined;
  private readonly idle = new Map<
    net.Socket,
    { readonly timer: NodeJS.Timeout; readonly retire: () => void }
  >();
  /** A listener for closed connections; `this` is the socket, as Node calls it. */
  private readonly stopTracking: () => void;

  constructor() {
    super({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: "lifo" });
    const { idle } = this;
    this.stopTracking = function forget(this: net.Socket): void {
      clearTimeout(idle.get(this)?.timer);
      idle.delete(this);
    };
  }

  /** Called by Node when an answer is complete; false closes the connection. */
  override keepSocketAlive(socket: net.Socket): boolean {
    const idleMs = this.keepAliveMs === undefined ? defaultIdleMs : this.keepAliveMs - idleMarginMs;
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, keepAliveProbeMs);
    socket.unref();
    const retire = (): void => {
      socket.destroy();
    };
    this.idle.set(socket, { timer: setTimeout(retire, idleMs), retire });
    // Guards "an answer is given to the wrong request": a server may send a second answer after a complete
    // one. Bytes on an idle connection belong to no request, so the connection must not carry another.
    socket.once("data", retire);
    socket.once("close", this.stopTracking);
    return true;
  }

  /** Called by Node when an idle connection gets a request. */
  override reuseSocket(socket: net.Socket, req: http.ClientRequest): void {
    const idle = this.idle.get(socket);
    if (idle !== undefined) {
      clearTimeout(idle.timer);
      socket.removeListener("data", idle.retire);
      socket.removeListener("close", this.stopTracking);
      this.idle.delete(socket);
    }
    super.reuseSocket(socket, req);
  }
}

/** The pools of all servers. */
export class UpstreamPool implements Disposable {
  private readonly agents = new Map<string, ServerAgent>();

  /** The agent for requests to this incarnation. */
  agent(serverId: string): http.Agent {
    const known = this.agents.get(serverId);
    if (known !== undefined) return known;
    const agent = new ServerAgent();
    this.agents.set(serverId, agent);
    return agent;
  }

  /** The server named its idle time, s. */
  setKeepAlive(serverId: string, seconds: number | undefined): void {
    const agent = this.agents.get(serverId);
    if (agent !== undefined) agent.keepAliveMs = seconds === undefined ? undefined : seconds * 1000;
  }

  /** Closes idle connections of servers that are gone; those in use end with their request. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.agents.keys()) if (!serverIds.has(id)) this.forget(id);
  }

  /** Closes idle connections to the server; the next request opens a new one. */
  forget(serverId: string): void {
    const agent = this.agents.get(serverId);
    if (agent === undefined) return;
    this.agents.delete(serverId);
    for (const sockets of Object.values(agent.freeSockets)) sockets?.forEach((s) => s.destroy());
  }

  dispose(): void {
    for (const agent of this.agents.values()) agent.destroy();
    this.agents.clear();
  }
}
