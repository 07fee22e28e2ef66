/** Connections to backend servers: one pool per incarnation, so that a reused address starts with new connections. */
import type * as http from "node:http";
import type * as net from "node:net";
import type { Disposable } from "../../common/disposables.ts";
import { RequestAgent } from "./requestAgent.ts";

/** Idle connections kept per server. */
const maxIdleConnections = 6;
/**
 * Idle connections kept to all servers; the one unused for longest is closed. With thousands of servers the next request
 * to a server comes later than its idle timeout, and each connection costs memory and a keep-alive probe a second.
 */
const maxTotalIdleConnections = 512;
/** Idle connections are closed this long before the server would, ms, so that no request races with the close. */
const idleMarginMs = 1_000;
/** Idle timeout where the server states none (its own is then below a second), ms. */
const defaultIdleMs = 300;

/** TCP keep-alive delay of idle connections, ms, so that connections to a dead host are closed. */
const keepAliveProbeMs = 1_000;

/** Idle connections to all servers, the one unused for longest first. */
class IdleConnections {
  private readonly sockets = new Set<net.Socket>();

  constructor(private readonly maxCount: number) {}

  add(socket: net.Socket): void {
    this.sockets.add(socket);
    if (this.sockets.size <= this.maxCount) return;
    const [oldest] = this.sockets;
    if (oldest === undefined) return;
    this.sockets.delete(oldest);
    oldest.destroy();
  }

  remove(socket: net.Socket): void {
    this.sockets.delete(socket);
  }
}

/** Keep-alive agent that closes idle connections early, and immediately if they receive unexpected data. */
class ServerAgent extends RequestAgent {
  /** The server's own idle timeout, from its responses, ms. */
  keepAliveMs: number | undefined;
  private readonly idle = new Map<
    net.Socket,
    { readonly timer: NodeJS.Timeout; readonly retire: () => void }
  >();
  /** Listener for closed sockets; Node.js sets `this` to the socket. */
  private readonly stopTracking: () => void;

  constructor(private readonly allIdle: IdleConnections) {
    super({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: "lifo" });
    const { idle } = this;
    this.stopTracking = function forget(this: net.Socket): void {
      clearTimeout(idle.get(this)?.timer);
      idle.delete(this);
      allIdle.remove(this);
    };
  }

  /** Called by Node.js when a response is complete; returning false closes the connection. */
  override keepSocketAlive(socket: net.Socket): boolean {
    const idleMs = this.keepAliveMs === undefined ? defaultIdleMs : this.keepAliveMs - idleMarginMs;
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, keepAliveProbeMs);
    socket.unref();
    const retire = (): void => {
      socket.destroy();
    };
    this.idle.set(socket, { timer: setTimeout(retire, idleMs), retire });
    // A server may send a second response after a complete one. Data on an idle connection belongs to no request and
    // would be taken for the response to the next one, so the connection must not be reused.
    socket.once("data", retire);
    socket.once("close", this.stopTracking);
    this.allIdle.add(socket);
    return true;
  }

  /** Called by Node.js when an idle connection is reused. */
  override reuseSocket(socket: net.Socket, req: http.ClientRequest): void {
    const idle = this.idle.get(socket);
    if (idle !== undefined) {
      clearTimeout(idle.timer);
      socket.removeListener("data", idle.retire);
      socket.removeListener("close", this.stopTracking);
      this.idle.delete(socket);
      this.allIdle.remove(socket);
    }
    super.reuseSocket(socket, req);
  }
}

/** Connection pools of all servers. */
export class UpstreamPool implements Disposable {
  private readonly agents = new Map<string, ServerAgent>();
  private readonly idle: IdleConnections;

  constructor({ maxIdle = maxTotalIdleConnections } = {}) {
    this.idle = new IdleConnections(maxIdle);
  }

  /** The agent for requests to a server incarnation. */
  agent(serverId: string): http.Agent {
    const known = this.agents.get(serverId);
    if (known !== undefined) return known;
    const agent = new ServerAgent(this.idle);
    this.agents.set(serverId, agent);
    return agent;
  }

  /** Sets the idle timeout that the server stated, s. */
  setKeepAlive(serverId: string, seconds: number | undefined): void {
    const agent = this.agents.get(serverId);
    if (agent !== undefined) agent.keepAliveMs = seconds === undefined ? undefined : seconds * 1000;
  }

  /** Closes idle connections of all other servers; connections in use close with their request. */
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
