/**
 * Messages between gateway nodes: JSON-RPC 2.0 over UDP. A few times a second each node sends its peers its requests in
 * flight, its callers' demand and whether it is active; small calls use the same socket.
 */
import * as dgram from "node:dgram";
import * as Schema from "effect/Schema";
import * as rpc from "json-rpc-2.0";
import { Emitter } from "../../common/emitter.ts";
import { decodeEither } from "../../common/decode.ts";
import { waitForPendingInput } from "../../common/readWatermark.ts";
import type { Log } from "../../common/log.ts";
import type { Task } from "../../common/supervisor.ts";
import type { Endpoint } from "../../serving/hostSettings.ts";
import type { QuotaReport } from "../../serving/customers/quotas.ts";
import type { LoadsMessage } from "../../serving/loadTracker.ts";
import type { AnswerReport } from "../../serving/pace/answerReport.ts";
import { BriefPulse, type CarriedPulse } from "../../serving/zones/briefFields.ts";
import { baseOf, BriefPulses, carriedPulseOf, changedPaces } from "../../serving/zones/briefPulse.ts";
import { LoadKeys } from "../../serving/zones/compactLoads.ts";
import { compressMessage, expandMessage } from "../../serving/zones/messageCompression.ts";
import {
  Heartbeat,
  type CallerDemand,
  type PeerAddress,
  type PeerTable,
} from "../../serving/membership/peerTable.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import { encodeNotification, LoadsForms } from "./loadsForms.ts";

/** Period of heartbeats, ms. */
const heartbeatPeriodMs = 300;
/**
 * Period of load messages, ms: prefill takes some ten ms, so with loads as old as a third of a second several nodes would
 * choose the same engine at once.
 */
const loadsPeriodMs = 100;
/**
 * Period of load messages per peer, ms, if this gives a longer period: a node then receives some 70 messages a second,
 * however many nodes there are.
 */
const loadsPeriodPerPeerMs = 14;
/** Interval at which a standby node checks whether its callers need anything from the lease holder, ms. */
const standbyCheckMs = 500;
/** One in this many heartbeats also goes to unresponsive nodes and to nodes known only from settings or the store's list. */
const broadcastEvery = 4;
/** One in this many heartbeats is full for live peers that ask for a full one if they lack it. */
const fullEvery = 16;
/** An unanswered datagram is sent again after this time, ms: some ten round trips between zones. */
const resendMs = 60;
/** Maximum number of sends of one call. */
const maxSends = 3;

/** Minimum time between a heartbeat and the next one that is sent with loads, relative to the minimum interval. */
const minCarryRatio = 0.9;

/** A peer asks for the next heartbeat to be full, as it lacks the one that a short one refers to. */
const FullPulseRequest = Schema.Struct({ ip: Schema.String });

/** A short heartbeat that is sent with the next load message, and the peers that get it so. */
interface CarriedHeartbeat {
  readonly pulse: CarriedPulse;
  readonly ips: ReadonlySet<string>;
}

/** Options of a `PeerTask`. */
export interface PeerTaskOptions {
  readonly endpoint: Endpoint;
  readonly log: Log;
  readonly table: PeerTable;
  /** All input that arrived before this time has been read, ms; a peer's silence is measured up to it, not up to now. */
  readonly readUpToMs: () => number;
  /** Called when a datagram has been read. */
  readonly onDatagram: () => void;
  readonly metrics: GatewayMetrics;
  /** The heartbeat to send now. */
  readonly heartbeat: () => Heartbeat;
  /** Changes in this node's requests in flight that peers don't know; undefined if there are none. */
  readonly loads: () => Pick<LoadsMessage, "loads" | "whole" | "decoding"> | undefined;
  /** This node's use of customers' quotas, sent with the loads; undefined if it didn't change. */
  readonly quotas: () => QuotaReport | undefined;
  /** What this node observed of servers since the last call, sent with the loads; undefined if nothing. */
  readonly answers: () => AnswerReport | undefined;
  /** What this node read of the caches of engines, sent with the loads; undefined if there is nothing new. */
  readonly caches?: () => string | undefined;
  /** Callers' demand, sent to the lease holder with the heartbeat. */
  readonly demand: () => CallerDemand;
  /** Whether this node is active, rather than on standby. */
  readonly active: () => boolean;
  /** Whether callers use this node. */
  readonly inUse: () => boolean;
}

/** Owns the datagram socket. */
export class PeerTask implements Task {
  readonly name = "peers";
  /** Fired with each heartbeat of a peer that is newer than its last. */
  readonly heartbeatReceived = new Emitter<Heartbeat>();
  private readonly socket = dgram.createSocket("udp4");
  // Failures are returned to the peer, which logs them; the library's own console output is off.
  private readonly server = new rpc.JSONRPCServer({ errorListener: () => undefined });
  private readonly handlers = new Map<string, (params: unknown, from?: PeerAddress) => unknown>();
  private readonly pulses = new BriefPulses();
  private readonly loadKeys = new LoadKeys();
  /** Compressed forms of messages, as most go to several nodes. */
  private readonly compressed = new WeakMap<Buffer, Buffer>();
  private readonly pending = new Map<string, (response: rpc.JSONRPCResponse) => void>();
  private timer: NodeJS.Timeout | undefined;
  /** Timer of a heartbeat about changes soon after the last one. */
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private heartbeatCount = 0;
  private lastHeartbeatMs = Number.NEGATIVE_INFINITY;
  private callCount = 0;
  /** Prefill factors that all peers were sent. */
  private sentPaces: Heartbeat["paces"];

  constructor(private readonly options: PeerTaskOptions) {
    this.handle("pulse", (params) => {
      this.decodeMessage(Heartbeat, params, (heartbeat) => {
        this.pulses.recordFull(heartbeat);
        this.onHeartbeat(heartbeat);
      });
      return true;
    });
    this.handle("pulse.brief", (params, from) => {
      this.decodeMessage(BriefPulse, params, (brief) => {
        this.onBriefHeartbeat(brief, from);
      });
      return true;
    });
    this.handle("pulse.ask", (params) => {
      this.decodeMessage(FullPulseRequest, params, ({ ip }) => {
        this.pulses.forgetSends(ip);
      });
      return true;
    });
  }

  /** Serves a method; the handler gets the raw parameters and decodes them, and of notifications the sender's address. */
  handle(method: string, handler: (params: unknown, from?: PeerAddress) => unknown): void {
    this.handlers.set(method, handler);
    this.server.addMethod(method, (params: unknown) => handler(params));
  }

  /** A heartbeat that came with another message of the peer. */
  onBriefHeartbeat(brief: BriefPulse, from?: PeerAddress): void {
    const heartbeat = this.pulses.expand(brief);
    if (heartbeat !== undefined) this.onHeartbeat(heartbeat);
    else if (from !== undefined) this.notifyOne("pulse.ask", { ip: this.options.endpoint.ip }, from);
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
   * Sends a heartbeat, as something changed that peers should know: at once, or `minIntervalMs` after the last one. While
   * servers crash, something changes all the time on every node, and a heartbeat for each change would fill small links. A
   * standby node sends it only to the lease holder, and only while callers use this node.
   */
  sendHeartbeat(): void {
    if (this.heartbeatTimer !== undefined) return;
    const waitMs = this.lastHeartbeatMs + this.minIntervalMs - performance.now();
    if (waitMs <= 0) {
      this.sendHeartbeatNow();
      return;
    }
    this.heartbeatTimer = setTimeout(() => {
      this.heartbeatTimer = undefined;
      this.sendHeartbeatNow();
    }, waitMs);
  }

  /** Sends a heartbeat to all nodes that may exist, as when this node becomes active or returns to standby. */
  broadcastHeartbeat(): void {
    this.lastHeartbeatMs = performance.now();
    this.sendHeartbeats({ toAll: true, full: true });
  }

  /** Sends a notification to one peer; there is no response. */
  notifyOne(method: string, params: unknown, peer: PeerAddress): void {
    this.send(method, encodeNotification(method, params), peer);
  }

  /** Sends a notification to every live peer; there is no response. */
  notify(method: string, params: unknown): void {
    const bytes = encodeNotification(method, params);
    for (const peer of this.options.table.recipients(this.options.readUpToMs(), false))
      this.send(method, bytes, peer);
  }

  /** With `carries`, returns the short heartbeat to send with the next load message, and leaves it out here. */
  private sendHeartbeatNow(carries = false): CarriedHeartbeat | undefined {
    this.heartbeatCount += 1;
    this.lastHeartbeatMs = performance.now();
    if (this.options.active()) {
      const toAll = this.heartbeatCount % broadcastEvery === 1;
      return this.sendHeartbeats({ toAll, full: this.heartbeatCount % fullEvery === 1, carries });
    }
    if (this.options.inUse()) this.sendHeartbeatToLeaseHolder();
    return undefined;
  }

  /** Minimum interval between two messages of a kind to all peers, ms. */
  get minIntervalMs(): number {
    const peers = this.options.table.alive(this.options.readUpToMs()).length;
    return Math.min(heartbeatPeriodMs, Math.max(loadsPeriodMs, peers * loadsPeriodPerPeerMs));
  }

  /** Schedules the next load message, and the heartbeats at their longer period. */
  private schedule(): void {
    const periodMs = this.minIntervalMs;
    this.timer = setTimeout(
      () => {
        const sinceMs = performance.now() - this.lastHeartbeatMs;
        const isDue = sinceMs >= heartbeatPeriodMs - periodMs / 2 && this.heartbeatTimer === undefined;
        // Timers are inexact; a heartbeat about a change may have been sent since the last period.
        const mayCarry = sinceMs >= minCarryRatio * this.minIntervalMs;
        if (isDue && !mayCarry) this.sendHeartbeat();
        this.sendLoads(isDue && mayCarry ? this.sendHeartbeatNow(true) : undefined);
        this.schedule();
      },
      this.options.active() ? periodMs : standbyCheckMs,
    );
  }

  /** Sends a heartbeat to the live peers, or `toAll` that may exist; `full` ones also to peers that could do without. */
  private sendHeartbeats(form: {
    readonly toAll: boolean;
    readonly full: boolean;
    readonly carries?: boolean;
  }): CarriedHeartbeat | undefined {
    const { toAll, full, carries = false } = form;
    const { table, heartbeat: createHeartbeat, demand, readUpToMs } = this.options;
    const readMs = readUpToMs();
    const created = createHeartbeat();
    const base = baseOf(created);
    const heartbeat = { ...created, base };
    const bytes = encodeNotification("pulse", heartbeat);
    const paces = toAll ? changedPaces(this.sentPaces, created.paces) : undefined;
    if (toAll) this.sentPaces = created.paces;
    const pulse = { ...carriedPulseOf(created, base), ...(paces === undefined ? {} : { paces }) };
    let briefBytes: Buffer | undefined;
    const holder = table.leaseHolder(readMs);
    const live = new Set(table.recipients(readMs, false).map(({ ip }) => ip));
    const carriedIps = new Set<string>();
    for (const peer of table.recipients(readMs, toAll)) {
      const toHolder = peer.ip === holder?.ip;
      const compactPeer = table.compactPeer(peer.ip);
      const isCombined = compactPeer?.combinedMessages === true && live.has(peer.ip);
      const isFullDue = toHolder || (isCombined ? full : toAll);
      if (!isFullDue && compactPeer !== undefined && this.pulses.mayBeBrief(compactPeer, base)) {
        if (carries && isCombined) {
          carriedIps.add(peer.ip);
          continue;
        }
        briefBytes ??= this.encodeBrief(pulse);
        this.send("pulse.brief", briefBytes, peer);
        continue;
      }
      if (compactPeer !== undefined) this.pulses.recordFullSend(compactPeer, base);
      const message = toHolder ? encodeNotification("pulse", { ...heartbeat, asked: demand() }) : bytes;
      this.send("pulse", message, peer);
    }
    return { pulse, ips: carriedIps };
  }

  private sendHeartbeatToLeaseHolder(): void {
    const holder = this.options.table.leaseHolder(this.options.readUpToMs());
    if (holder !== undefined)
      this.notifyOne("pulse", { ...this.options.heartbeat(), asked: this.options.demand() }, holder);
  }

  /**
   * Sends changes in this node's requests in flight, in its use of quotas and in the caches that it reads, and what it
   * observed of servers; `carried` is sent with them, or alone if there are none.
   */
  sendLoads(carried?: CarriedHeartbeat): void {
    if (!this.options.active()) return;
    const { table, readUpToMs } = this.options;
    const recipients = table.recipients(readUpToMs(), false);
    const message = this.nextLoadsMessage();
    if (message === undefined) {
      if (carried === undefined || carried.ips.size === 0) return;
      const bytes = this.encodeBrief(carried.pulse);
      for (const peer of recipients) if (carried.ips.has(peer.ip)) this.send("pulse.brief", bytes, peer);
      return;
    }
    const forms = new LoadsForms(message, this.loadKeys, carried?.pulse);
    for (const peer of recipients) {
      const withPulse = carried?.ips.has(peer.ip) === true;
      this.send("loads", forms.encodedFor(table.compactPeer(peer.ip), withPulse), peer);
    }
  }

  private encodeBrief(pulse: CarriedPulse): Buffer {
    return encodeNotification("pulse.brief", { ip: this.options.endpoint.ip, ...pulse });
  }

  private nextLoadsMessage(): LoadsMessage | undefined {
    const loads = this.options.loads();
    const quotas = this.options.quotas();
    const answers = this.options.answers();
    const caches = this.options.caches?.();
    if ([loads, quotas, answers, caches].every((part) => part === undefined)) return undefined;
    return {
      ip: this.options.endpoint.ip,
      ...(loads ?? { loads: {}, whole: false }),
      ...(quotas === undefined ? {} : { quotas }),
      ...(answers === undefined ? {} : { answers }),
      ...(caches === undefined ? {} : { caches }),
    };
  }

  /** Calls a peer; the request is sent again if no response comes in time, so the method must be idempotent. */
  call(peer: PeerAddress, method: string, params: unknown): Promise<unknown> {
    this.callCount += 1;
    const id = `${this.options.endpoint.ip} ${this.callCount}`;
    const bytes = Buffer.from(JSON.stringify(rpc.createJSONRPCRequest(id, method, params)));
    return new Promise((resolve, reject) => {
      let sendsLeft = maxSends;
      const attempt = (): void => {
        if (sendsLeft === 0) {
          this.pending.delete(id);
          reject(new Error(`peer ${peer.ip} did not answer ${method}`));
          return;
        }
        sendsLeft -= 1;
        this.send(method, bytes, peer);
        // The response may have arrived and not been read yet.
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
    clearTimeout(this.heartbeatTimer);
    return new Promise((resolve) => {
      this.socket.close(() => {
        resolve();
      });
    });
  }

  private send(method: string, message: Buffer, peer: PeerAddress): void {
    const { metrics, table } = this.options;
    const bytes = table.readsCompressed(peer.ip) ? this.compressedOf(message) : message;
    metrics.recordPeerMessage(method, bytes.length);
    if (table.isInOtherZone(peer.ip)) metrics.recordCrossZone(`message:${method}`, bytes.length);
    this.socket.send(bytes, peer.port, peer.ip, (error) => {
      if (error !== null)
        this.options.log.debug({ event: "peer-send-failed", peer: peer.ip, detail: error.message });
    });
  }

  private compressedOf(message: Buffer): Buffer {
    const compressed = this.compressed.get(message) ?? compressMessage(message);
    this.compressed.set(message, compressed);
    return compressed;
  }

  private async receive(message: Buffer, from: PeerAddress): Promise<void> {
    // Nothing that arrives on the port may crash the process.
    try {
      await this.dispatch(
        JSON.parse(expandMessage(message).toString("utf8")) as rpc.JSONRPCRequest | rpc.JSONRPCResponse,
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
      await this.handleNotification(value, from);
      return;
    }
    const response = await this.server.receive(value);
    if (response !== null) this.send("response", Buffer.from(JSON.stringify(response)), from);
  }

  /** Calls the handler without the library's middleware: most messages are notifications, and they have no response. */
  private async handleNotification({ method, params }: rpc.JSONRPCRequest, from: PeerAddress): Promise<void> {
    try {
      await this.handlers.get(method)?.(params, from);
    } catch {
      // As with the library, the sender gets no error; logging is up to the handler.
    }
  }

  private onHeartbeat(heartbeat: Heartbeat): void {
    if (this.options.table.recordHeartbeat(heartbeat, performance.now()))
      this.heartbeatReceived.fire(heartbeat);
  }

  private decodeMessage<A>(
    schema: Schema.Codec<A, unknown>,
    params: unknown,
    action: (message: A) => void,
  ): void {
    decodeEither(schema, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(action);
  }
}
