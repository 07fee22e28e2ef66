/**
 * Messages between gateway nodes: JSON-RPC 2.0 over datagrams. A few times a second each node tells its
 * peers what it has in flight, what is asked of it, and whether it takes callers; small calls ride beside.
 */
import * as dgram from "node:dgram";
import * as rpc from "json-rpc-2.0";
import { Emitter } from "../common/emitter.ts";
import { decodeEither } from "../common/decode.ts";
import { waitForPendingInput } from "../common/readWatermark.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import type { Endpoint } from "../serving/hostSettings.ts";
import type { LoadsMessage } from "../serving/loadTracker.ts";
import {
  Heartbeat,
  type CallerDemand,
  type PeerAddress,
  type PeerTable,
} from "../serving/membership/peerTable.ts";

/** Period of pulses, ms. */
const pulseMs = 300;
/**
 * Period of messages about loads, ms: a prompt is read in some ten ms, so loads of a third of a second ago send
 * several nodes to the same engine at once.
 */
const loadsMs = 100;
/**
 * The same for each node told, ms, where this is longer: what a node hears in a second then doesn't grow with the number
 * of nodes, some 70 messages.
 */
const loadsPerPeerMs = 14;
/** A node that stands by looks this often whether its callers ask anything of the holder, ms. */
const standbyMs = 500;
/** Every so many pulses one goes to silent and listed nodes too. */
const everyoneEvery = 4;
/** A lost datagram is sent again after this time, ms: some ten round trips between zones. */
const resendMs = 60;
/** Sends of one call. */
const sends = 3;

/** Options of a `PeerTask`. */
export interface PeerTaskOptions {
  readonly endpoint: Endpoint;
  readonly log: Log;
  readonly table: PeerTable;
  /** Everything that arrived before this moment has been read, ms: a peer is silent as of then, not as of now. */
  readonly readUntilMs: () => number;
  /** A datagram was read. */
  readonly onDatagram: () => void;
  /** What to tell peers now. */
  readonly pulse: () => Heartbeat;
  /** Work in flight of this node that peers don't know. */
  readonly loads: () => Pick<LoadsMessage, "loads" | "whole"> | undefined;
  /** What to tell the holder of the placement lease besides. */
  readonly demand: () => CallerDemand;
  /** Does this node take callers, rather than stand by? */
  readonly active: () => boolean;
  /** Was anything asked of this node lately? */
  readonly inUse: () => boolean;
}

/** Owns the datagram socket. */
export class PeerTask implements Task {
  readonly name = "peers";
  /** A pulse of a peer, newer than the last. */
  readonly heartbeatReceived = new Emitter<Heartbeat>();
  private readonly socket = dgram.createSocket("udp4");
  // Failures are answered to the peer, which logs them; the library's own console output is off.
  private readonly server = new rpc.JSONRPCServer({ errorListener: () => undefined });
  private readonly handlers = new Map<string, (params: unknown) => unknown>();
  private readonly pending = new Map<string, (response: rpc.JSONRPCResponse) => void>();
  private timer: NodeJS.Timeout | undefined;
  private rounds = 0;
  private toldMs = Number.NEGATIVE_INFINITY;
  private calls = 0;

  constructor(private readonly options: PeerTaskOptions) {
    this.handle("pulse", (params) => {
      this.takePulse(params);
      return true;
    });
  }

  /** Serves a method; the handler gets the raw parameters and decodes them. */
  handle(method: string, handler: (params: unknown) => unknown): void {
    this.handlers.set(method, handler);
    this.server.addMethod(method, handler);
  }

  async start(): Promise<void> {
    this.socket.on("message", (message, from) => {
      this.options.onDatagram();
      void this.receive(message, { ip: from.address, port: from.port });
    });
    this.socket.on("error", (error) => {
      this.options.log.warn({ event: "peer-socket", detail: error.message });
    });
    const { ip, port } = this.options.endpoint;
    await new Promise<void>((resolve) => {
      this.socket.bind(port, ip, resolve);
    });
    this.sendHeartbeat();
    this.schedule();
  }

  /**
   * Sends a pulse now, as something changed that peers should know. A node that stands by tells only the holder of the
   * placement lease, and only while callers use it.
   */
  sendHeartbeat(): void {
    this.rounds += 1;
    if (this.options.active()) this.tellPeers(this.rounds % everyoneEvery === 1);
    else if (this.options.inUse()) this.tellHolder();
  }

  /** Tells all that may listen: this node became active, or stands by from now on. */
  tellEveryone(): void {
    this.tellPeers(true);
  }

  /** Tells one peer; nothing comes back. */
  tellOne(method: string, params: unknown, peer: PeerAddress): void {
    this.send(notification(method, params), peer);
  }

  /** Tells every live peer; nothing comes back. */
  notify(method: string, params: unknown): void {
    const bytes = notification(method, params);
    for (const peer of this.options.table.recipients(this.options.readUntilMs(), false))
      this.send(bytes, peer);
  }

  /** Pulses at their period, and loads between them. */
  private schedule(): void {
    const peers = this.options.table.alive(this.options.readUntilMs()).length;
    const periodMs = Math.min(pulseMs, Math.max(loadsMs, peers * loadsPerPeerMs));
    this.timer = setTimeout(
      () => {
        const pulseIsDue = performance.now() - this.toldMs >= pulseMs - periodMs / 2;
        if (pulseIsDue) this.sendHeartbeat();
        this.tellLoads();
        this.schedule();
      },
      this.options.active() ? periodMs : standbyMs,
    );
  }

  private tellPeers(everyone: boolean): void {
    this.toldMs = performance.now();
    const { table, pulse, demand: asked, readUntilMs } = this.options;
    const readMs = readUntilMs();
    const told = pulse();
    const bytes = notification("pulse", told);
    const holder = table.leaseHolder(readMs);
    for (const peer of table.recipients(readMs, everyone)) {
      const toHolder = peer.ip === holder?.ip;
      this.send(toHolder ? notification("pulse", { ...told, asked: asked() }) : bytes, peer);
    }
  }

  private tellHolder(): void {
    const holder = this.options.table.leaseHolder(this.options.readUntilMs());
    if (holder !== undefined)
      this.tellOne("pulse", { ...this.options.pulse(), asked: this.options.demand() }, holder);
  }

  /** Says what is in flight here, where it changed. */
  private tellLoads(): void {
    const news = this.options.active() ? this.options.loads() : undefined;
    if (news !== undefined) this.notify("loads", { ip: this.options.endpoint.ip, ...news });
  }

  /** Calls a peer; sends again when the datagram seems lost, so the method must be idempotent. */
  call(peer: PeerAddress, method: string, params: unknown): Promise<unknown> {
    this.calls += 1;
    const id = `${this.options.endpoint.ip} ${this.calls}`;
    const bytes = Buffer.from(JSON.stringify(rpc.createJSONRPCRequest(id, method, params)));
    return new Promise((resolve, reject) => {
      let left = sends;
      const attempt = (): void => {
        if (left === 0) {
          this.pending.delete(id);
          reject(new Error(`peer ${peer.ip} did not answer ${method}`));
          return;
        }
        left -= 1;
        this.send(bytes, peer);
        // The answer may be there and not yet read.
        timer = setTimeout(() => void waitForPendingInput().then(again), resendMs);
      };
      const again = (): void => {
        if (this.pending.has(id)) attempt();
      };
      let timer: NodeJS.Timeout | undefined;
      this.pending.set(id, (response) => {
        clearTimeout(timer);
        this.pending.delete(id);
        if (response.error === undefined) resolve(response.result);
        else reject(new Error(response.error.message));
      });
      attempt();
    });
  }

  dispose(): Promise<void> {
    clearTimeout(this.timer);
    return new Promise((resolve) => {
      this.socket.close(() => {
        resolve();
      });
    });
  }

  private send(bytes: Buffer, peer: PeerAddress): void {
    this.socket.send(bytes, peer.port, peer.ip, (error) => {
      if (error !== null)
        this.options.log.debug({ event: "peer-send-failed", peer: peer.ip, detail: error.message });
    });
  }

  private async receive(message: Buffer, from: PeerAddress): Promise<void> {
    // Whatever arrives on the port must not end the process.
    try {
      await this.dispatch(
        JSON.parse(message.toString("utf8")) as rpc.JSONRPCRequest | rpc.JSONRPCResponse,
        from,
      );
    } catch (error) {
      this.options.log.warn({ event: "peer-message-rejected", peer: from.ip, detail: String(error) });
    }
  }

  private async dispatch(value: rpc.JSONRPCRequest | rpc.JSONRPCResponse, from: PeerAddress): Promise<void> {
    if (rpc.isJSONRPCResponse(value)) {
      this.pending.get(String(value.id))?.(value);
      return;
    }
    if (value.id === undefined && rpc.isJSONRPCRequest(value)) {
      await this.notified(value);
      return;
    }
    const response = await this.server.receive(value);
    if (response !== null) this.send(Buffer.from(JSON.stringify(response)), from);
  }

  /** Hands a notification over without the library's middleware: most messages are one, and nothing is answered. */
  private async notified({ method, params }: rpc.JSONRPCRequest): Promise<void> {
    try {
      await this.handlers.get(method)?.(params);
    } catch {
      // As with the library: the sender isn't told, and what was wrong is for the handler to log.
    }
  }

  private takePulse(params: unknown): void {
    decodeEither(Heartbeat, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((pulse) => {
        if (this.options.table.recordHeartbeat(pulse, performance.now())) this.heartbeatReceived.fire(pulse);
      });
  }
}

function notification(method: string, params: unknown): Buffer {
  return Buffer.from(JSON.stringify(rpc.createJSONRPCNotification(method, params)));
}
