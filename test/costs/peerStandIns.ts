/** Peers of a gateway process: they pulse, and answer a node that stands by. */
import * as dgram from "node:dgram";
import * as http from "node:http";
import type { Heartbeat, NodeStatus } from "../../src/serving/membership/peerTable.ts";

/** Period of pulses, ms. */
const pulseMs = 300;
/** Answer to a node that pulls changes of servers. */
const noChanges = {
  ...{ asOf: { era: 0, version: 5 }, eraStart: { era: 0, version: 0 }, revision: 7, complete: true },
  ...{ registrations: [], gone: [] },
};

/** Options of `PeerStandIns`. */
export interface PeerStandInsOptions {
  readonly ips: readonly string[];
  readonly port: number;
  /** The node under measurement. */
  readonly nodeIp: string;
  readonly zone: string;
  readonly version: number;
  /** Text of the configuration. */
  readonly configuration: string;
}

/** Active nodes of a fleet, as datagrams. */
export class PeerStandIns {
  private readonly sockets = new Map<string, dgram.Socket>();
  private readonly servers: http.Server[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private sent = 0;

  constructor(private readonly options: PeerStandInsOptions) {}

  async start(): Promise<void> {
    for (const [index, ip] of this.options.ips.entries()) {
      const socket = dgram.createSocket("udp4");
      socket.on("message", (message) => {
        this.answer(ip, message);
      });
      await new Promise<void>((resolve) => {
        socket.bind(this.options.port, ip, resolve);
      });
      this.sockets.set(ip, socket);
      await this.serveCalls(ip);
      const timer = setInterval(() => {
        this.pulse(index);
      }, pulseMs);
      this.timers.push(timer);
    }
  }

  /** One pulse of a peer. */
  pulse(index: number): void {
    const ip = this.ip(index);
    const paces = Object.fromEntries(
      Array.from({ length: 8 }, (_, i) => [`chat-kind-${i}`, [1.0625 + i / 8, 40 + i]]),
    ) as Record<string, [number, number]>;
    const pulse: Heartbeat = {
      ...this.standing(index),
      active: true,
      quarantinePosition: { era: 0, version: 0 },
      paces,
    };
    this.tell(ip, "pulse", pulse);
  }

  /** One message of a peer on what it has in flight. */
  loads(index: number): void {
    this.sent += 1;
    const loads = Object.fromEntries(
      Array.from({ length: 5 }, (_, i) => [`chat-${(this.sent + i * 5) % 24}`, [i * 40, 1 + (i % 3)]]),
    );
    this.tell(this.ip(index), "loads", { ip: this.ip(index), loads, whole: false });
  }

  /** No pulses from now on. */
  quiet(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  stop(): void {
    this.quiet();
    for (const socket of this.sockets.values()) socket.close();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** What a node that stands by pulls. */
  private serveCalls(ip: string): Promise<void> {
    const server = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        const { id, method } = JSON.parse(Buffer.concat(chunks).toString()) as { id: number; method: string };
        const { configuration: text } = this.options;
        const result = method === "configuration.get" ? { text } : noChanges;
        res.end(JSON.stringify({ jsonrpc: "2.0", id, result }));
      });
    });
    this.servers.push(server);
    return new Promise((resolve) => server.listen(this.options.port, ip, resolve));
  }

  private ip(index: number): string {
    return this.options.ips[index % this.options.ips.length] ?? "";
  }

  private standing(index: number): NodeStatus {
    const ip = this.ip(index);
    const { port, zone, version } = this.options;
    return {
      ...{ host: `front-${zone}-${index}`, boot: 1, ip, port, zone, callers: `${ip}:8149`, ready: true },
      ...{ strength: 1, busy: 0.2, version, fleetRevision: 7, storeEra: 0 },
      ...(index === 0 ? { token: 1 } : {}),
    };
  }

  private answer(ip: string, message: Buffer): void {
    const { method, params } = JSON.parse(message.toString()) as { method?: string; params: unknown };
    if (method !== "roster.ask") return;
    const { digest } = params as { digest: string };
    const { port, version } = this.options;
    const entries = this.options.ips.map((_, index) => ({ standing: this.standing(index), ageMs: 50 }));
    const head = { host: ip, boot: 1, ip, port, version, fleetRevision: 7, storeEra: 0, digest: "same" };
    const known = { ...head, quarantinePosition: { era: 0, version: 0 }, readAgeMs: 40 };
    this.tell(ip, "roster", digest === "same" ? known : { ...known, entries });
  }

  private tell(ip: string, method: string, params: unknown): void {
    const text = JSON.stringify({ jsonrpc: "2.0", method, params });
    this.sockets.get(ip)?.send(text, this.options.port, this.options.nodeIp);
  }
}
