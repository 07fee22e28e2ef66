import { expect } from "chai";
import { Emitter } from "../../src/common/emitter.ts";
import { createLog } from "../../src/common/log.ts";
import { ActivationTask } from "../../src/gateway/membership/activationTask.ts";
import { PeerTable, type Heartbeat, type NodeStatus } from "../../src/serving/membership/peerTable.ts";
import { initialPosition } from "../../src/serving/storePosition.ts";

const heartbeatPeriodMs = 300;
const broadcastEvery = 4;
const size = 66;

const ipOf = (i: number): string => `10.${(i % 3) + 1}.0.${Math.floor(i / 3) + 100}`;

/** Nodes that exchange messages in memory, as `PeerTask` does over datagrams. */
class SimulatedCluster {
  readonly nodes: SimulatedNode[] = [];
  /** Number of rosters with entries that were sent. */
  fullRosterCount = 0;
  /** CPU utilization of a node, from 0 to 1. */
  usageOf: (node: SimulatedNode) => number = () => 0;

  async start(): Promise<void> {
    for (let i = 0; i < size; i += 1) this.nodes.push(new SimulatedNode(this, i));
    for (const node of this.nodes)
      node.table.addListedNodes(
        this.nodes.map(({ member }) => member),
        performance.now(),
      );
    await Promise.all(this.nodes.map((node) => node.start()));
  }

  get active(): SimulatedNode[] {
    return this.nodes.filter((node) => node.task.active);
  }

  /** Distributes a load of `cores` cores over the active nodes in proportion to their CPU capacity. */
  setLoad(cores: number): void {
    this.usageOf = () => Math.min(1, cores / this.totalCores(this.active));
  }

  totalCores(nodes: readonly SimulatedNode[]): number {
    return nodes.reduce((sum, { member }) => sum + member.strength, 0);
  }

  /** Active nodes whose view of the other active nodes is wrong. */
  get misinformed(): SimulatedNode[] {
    const now = performance.now();
    return this.active.filter((node) => {
      const others = this.active.filter((other) => other !== node).map(({ member }) => member.ip);
      const known = node.table.alive(now).map(({ status }) => status.ip);
      return others.length !== known.length || others.some((ip) => !known.includes(ip));
    });
  }

  send(method: string, params: unknown, ip: string): void {
    if (method === "roster" && (params as { entries?: unknown }).entries !== undefined)
      this.fullRosterCount += 1;
    const text = JSON.stringify(params);
    setTimeout(() => this.nodes.find(({ member }) => member.ip === ip)?.receive(method, JSON.parse(text)), 1);
  }

  async dispose(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.dispose()));
  }
}

class SimulatedNode {
  readonly member;
  readonly table: PeerTable;
  readonly task: ActivationTask;
  private readonly handlers = new Map<string, (params: unknown) => unknown>();
  private readonly heartbeatReceived = new Emitter<Heartbeat>();
  private timer: NodeJS.Timeout | undefined;
  private heartbeatCount = 0;
  private activeSinceMs: number | undefined;

  constructor(
    private readonly cluster: SimulatedCluster,
    i: number,
  ) {
    this.member = {
      ip: ipOf(i),
      port: 1,
      zone: "abc"[i % 3] ?? "",
      strength: 1.35 - (1.03 * i) / (size - 1),
    };
    this.table = new PeerTable(this.member);
    this.task = new ActivationTask({
      log: createLog("activation-test"),
      table: this.table,
      readUpToMs: () => performance.now(),
      peers: {
        heartbeatReceived: this.heartbeatReceived,
        handle: (method, handler) => this.handlers.set(method, handler),
        notifyOne: (method, params, { ip }) => {
          cluster.send(method, params, ip);
        },
        broadcastHeartbeat: () => {
          this.sendHeartbeats(true);
        },
      },
      nodeStatus: () => this.nodeStatus(),
      presenceRevision: () => 0,
      quarantinePosition: () => initialPosition,
      readAgeMs: () => 0,
      holdsLease: () => false,
      stepDown: () => Promise.resolve(),
      membershipKnown: () => true,
      maxPerStep: Infinity,
    });
  }

  async start(): Promise<void> {
    await this.task.start();
    this.timer = setInterval(() => {
      this.heartbeatCount += 1;
      if (this.task.active) this.sendHeartbeats(this.heartbeatCount % broadcastEvery === 1);
    }, heartbeatPeriodMs);
  }

  receive(method: string, params: unknown): void {
    if (method !== "pulse") this.handlers.get(method)?.(params);
    else if (this.table.recordHeartbeat(params as Heartbeat, performance.now()))
      this.heartbeatReceived.fire(params as Heartbeat);
  }

  async dispose(): Promise<void> {
    clearInterval(this.timer);
    await this.task.dispose();
  }

  private sendHeartbeats(toAll: boolean): void {
    const heartbeat = { ...this.nodeStatus(), active: this.task.active };
    for (const { ip } of this.table.recipients(performance.now(), toAll))
      this.cluster.send("pulse", heartbeat, ip);
  }

  /** As with `Utilization`, a node that has just become active doesn't report its utilization yet. */
  private get settled(): boolean {
    this.activeSinceMs = this.task.active ? (this.activeSinceMs ?? performance.now()) : undefined;
    return this.activeSinceMs !== undefined && performance.now() - this.activeSinceMs > 1_500;
  }

  private nodeStatus(): NodeStatus {
    const { ip } = this.member;
    return {
      ...this.member,
      ...{ host: ip, boot: 1, callers: `${ip}:80`, ready: true, version: 1, fleetRevision: 0 },
      busy: this.settled ? this.cluster.usageOf(this) : 0,
    };
  }
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function waitUntil(condition: () => boolean, limitMs: number): Promise<number> {
  const startedMs = performance.now();
  while (!condition()) {
    if (performance.now() - startedMs > limitMs) throw new Error(`not after ${limitMs} ms`);
    await pause(20);
  }
  return performance.now() - startedMs;
}

describe("activation of many nodes", () => {
  let cluster: SimulatedCluster;

  beforeEach(async () => {
    cluster = new SimulatedCluster();
    await cluster.start();
    await waitUntil(() => cluster.active.length === 12 && cluster.misinformed.length === 0, 8_000);
    await pause(1_500);
  });

  afterEach(() => cluster.dispose());

  it("should let all that a load needs become active in about a second", async () => {
    // Regression: twelve nodes were active when a load for thirty started, and more became active only one by one, over ten
    // seconds.
    cluster.setLoad(0.45 * cluster.totalCores(cluster.nodes.slice(0, 30)));
    await waitUntil(() => cluster.active.length >= 30, 1_200);
    await pause(3_000);
    expect(cluster.active).to.have.length.within(30, 33);
  });

  it("should let nodes that become active together learn of each other", async () => {
    cluster.setLoad(1.5 * cluster.totalCores(cluster.active));
    await waitUntil(() => cluster.active.length >= 30, 2_500);
    await waitUntil(() => cluster.misinformed.length === 0, 2_000);
  });

  it("should send standby nodes no rosters while utilization fluctuates below the level that needs more nodes", async () => {
    // The strongest node of each zone fluctuates around half of its CPU time; the zone's mean is two fifths.
    const strongest = cluster.nodes.slice(0, 3);
    cluster.usageOf = (node) => (strongest.includes(node) ? 0.4 + 0.2 * Math.round(Math.random()) : 0.3);
    await pause(1_000);
    cluster.fullRosterCount = 0;
    await pause(3_000);
    expect(cluster.active).to.have.length(12);
    expect(cluster.fullRosterCount).to.equal(0);
  });
});
