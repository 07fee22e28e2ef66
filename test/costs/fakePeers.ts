/** Fake peers of a gateway process: they send heartbeats and respond to the requests of a standby node. */
import * as dgram from "node:dgram";
import * as http from "node:http";
import type { Heartbeat, NodeStatus } from "../../src/serving/membership/peerTable.ts";

/** Period of heartbeats, ms. */
const heartbeatMs = 300;
/** Response to a node that requests the changes of servers. */
const noChanges = {
  ...{ asOf: { era: 0, version: 5 }, eraStart: { era: 0, version: 0 }, revision: 7, complete: true },
  ...{ registrations: [], gone: [] },
};

/** Options of `FakePeers`. */
export interface FakePeersOptions {
  readonly ips: readonly string[];
  readonly port: number;
  /** The node being measured. */
  readonly nodeIp: string;
  readonly zone: string;
  readonly version: number;
  /** The configuration as JSON text. */
  readonly configuration: string;
}

/** Active nodes of a fleet that communicate by datagrams. */
export class FakePeers {
  private readonly sockets = new Map<string, dgram.Socket>();
  private readonly servers: http.Server[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private loadMessageCount = 0;

  constructor(private readonly options: FakePeersOptions) {}

  async start(): Promise<void> {
    for (const [index, ip] of this.options.ips.entries()) {
      const socket = dgram.createSocket("udp4");
      socket.on("message", (message) => {
        this.respondToRosterRequest(ip, message);
      });
      await new Promise<void>((resolve) => {
        socket.bind(this.options.port, ip, resolve);
      });
      this.sockets.set(ip, socket);
      await this.serveCalls(ip);
      const timer = setInterval(() => {
        this.sendHeartbeat(index);
      }, heartbeatMs);
      this.timers.push(timer);
    }
  }

  /** Sends one heartbeat of a peer. */
  sendHeartbeat(index: number): void {
    const ip = this.ip(index);
    const paces = Object.fromEntries(
      Array.from({ length: 8 }, (_, i) => [`chat-kind-${i}`, [1.0625 + i / 8, 40 + i]]),
    ) as Record<string, [number, number]>;
    const heartbeat: Heartbeat = {
      ...this.nodeStatus(index),
      active: true,
      quarantinePosition: { era: 0, version: 0 },
      paces,
    };
    this.sendMessage(ip, "pulse", heartbeat);
  }

  /** Sends one message of a peer about its requests in flight. */
  sendLoads(index: number): void {
    this.loadMessageCount += 1;
    const loads = Object.fromEntries(
      Array.from({ length: 5 }, (_, i) => [
        `chat-${(this.loadMessageCount + i * 5) % 24}`,
        [i * 40, 1 + (i % 3)],
      ]),
    );
    this.sendMessage(this.ip(index), "loads", { ip: this.ip(index), loads, whole: false });
  }

  /** Stops the periodic heartbeats. */
  stopHeartbeats(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  stop(): void {
    this.stopHeartbeats();
    for (const socket of this.sockets.values()) socket.close();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Serves what a standby node requests. */
  private serveCalls(ip: string): Promise<void> {
    const server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        const { id, method } = JSON.parse(Buffer.concat(chunks).toString()) as { id: number; method: string };
        const { configuration: text, version } = this.options;
        const result = method === "configuration.get" ? { text, version, ageMs: 0 } : noChanges;
        res.end(JSON.stringify({ jsonrpc: "2.0", id, result }));
      });
    });
    this.servers.push(server);
    return new Promise((resolve) => server.listen(this.options.port, ip, resolve));
  }

  private ip(index: number): string {
    return this.options.ips[index % this.options.ips.length] ?? "";
  }

  private nodeStatus(index: number): NodeStatus {
    const ip = this.ip(index);
    const { port, zone, version } = this.options;
    return {
      ...{ host: `front-${zone}-${index}`, boot: 1, ip, port, zone, callers: `${ip}:8149`, ready: true },
      ...{ strength: 1, busy: 0.2, version, configurationAgeMs: 0, fleetRevision: 7, storeEra: 0 },
      ...(index === 0 ? { token: 1 } : {}),
    };
  }

  private respondToRosterRequest(ip: string, message: Buffer): void {
    const { method, params } = JSON.parse(message.toString()) as { method?: string; params: unknown };
    if (method !== "roster.ask") return;
    const { digest } = params as { digest: string };
    const { port, version } = this.options;
    const entries = this.options.ips.map((_, index) => ({ standing: this.nodeStatus(index), ageMs: 50 }));
    const confirmed = { version, configurationAgeMs: 0 };
    const header = {
      host: ip,
      boot: 1,
      ip,
      port,
      ...confirmed,
      fleetRevision: 7,
      storeEra: 0,
      digest: "same",
    };
    const known = { ...header, quarantinePosition: { era: 0, version: 0 }, readAgeMs: 40 };
    this.sendMessage(ip, "roster", digest === "same" ? known : { ...known, entries });
  }

  private sendMessage(ip: string, method: string, params: unknown): void {
    const text = JSON.stringify({ jsonrpc: "2.0", method, params });
    this.sockets.get(ip)?.send(text, this.options.port, this.options.nodeIp);
  }
}
