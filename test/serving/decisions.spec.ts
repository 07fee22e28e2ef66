import { expect } from "chai";
import * as fc from "fast-check";
import { planAdapter } from "../../src/serving/adapterPlan.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { ClockJumpDetector } from "../../src/serving/clockJumpDetector.ts";
import { DemandMeter } from "../../src/serving/demandMeter.ts";
import { EventSplitter } from "../../src/serving/eventSplitter.ts";
import { at } from "../fixtures/positions.ts";
import { Fleet } from "../../src/serving/fleet.ts";
import { LoadTracker } from "../../src/serving/loadTracker.ts";
import { LoadRateLimiter } from "../../src/serving/loadRateLimiter.ts";
import { ModelWaitEstimator } from "../../src/serving/modelWaitEstimator.ts";
import { OutlierDetector } from "../../src/serving/outlierDetector.ts";
import { deadlinesOf } from "../../src/serving/requestDeadlines.ts";
import { PeerTable, type Heartbeat } from "../../src/serving/membership/peerTable.ts";
import { shouldReadStore } from "../../src/serving/membership/storeReaders.ts";
import { RouteTable } from "../../src/serving/routeTable.ts";
import { firstByteTimeoutMs, willMissDeadline, eventGapTimeoutMs } from "../../src/serving/sendRules.ts";
import { chooseServer } from "../../src/serving/serverChoice.ts";
import { configuration, route } from "../fixtures/gateways.ts";

const sound = { ejected: false, unreachable: false, failureShare: 0, slowdown: 1 };
const unloaded = { pendingMs: 0, requests: 0 };

function server(id: string, more: Partial<BackendServer> = {}): BackendServer {
  const rest = {
    service: "s",
    address: "127.0.0.1:1",
    zone: "a",
    slots: 6,
    leaving: false,
    residents: [],
    atHand: [],
  };
  return { id, ...rest, engine: false, ...more };
}

describe("choosing a server", () => {
  const choice = {
    candidates: [server("a", { engine: true }), server("b", { engine: true })],
    zone: "a",
    randomDraw: 0,
    tried: new Set<string>(),
    promptTokens: 4_000,
    prefillFactor: 1,
    overheadMs: 8,
    slotWaitMs: () => 0,
    prefix: [
      { id: "p1", tokens: 3_000 },
      { id: "own", tokens: 1_000 },
    ],
    cacheScope: "m/",
    load: () => unloaded,
    health: () => sound,
  };

  it("should send requests that share a prompt to the same engine, until it is busier than reading anew costs", () => {
    const home = chooseServer(choice)?.server.id;
    const again = {
      ...choice,
      prefix: [
        { id: "p1", tokens: 3_000 },
        { id: "other", tokens: 1_000 },
      ],
    };
    expect(chooseServer(again)?.server.id).to.equal(home);
    const busy = {
      ...choice,
      load: (id: string) => (id === home ? { ...unloaded, pendingMs: 300 } : unloaded),
    };
    expect(chooseServer(busy)?.server.id).to.not.equal(home);
  });

  it("should use an ejected server only if nothing else is left", () => {
    const health = (id: string): typeof sound => (id === "a" ? { ...sound, ejected: true } : sound);
    expect(chooseServer({ ...choice, prefix: [], health })?.server.id).to.equal("b");
    expect(chooseServer({ ...choice, prefix: [], health, tried: new Set(["b"]) })?.server.id).to.equal("a");
    expect(chooseServer({ ...choice, tried: new Set(["a", "b"]) })).to.equal(undefined);
  });

  it("should spread requests over idle servers, whatever node they come to", () => {
    // Hundreds of nodes with a request each now and then all chose the first of six idle servers, and callers of
    // that one waited in line.
    const plain = { ...choice, prefix: [], candidates: ["a", "b", "c", "d"].map((id) => server(id)) };
    const chosen = [0, 0.3, 0.6, 0.9].map((draw) => chooseServer({ ...plain, randomDraw: draw })?.server.id);
    expect(new Set(chosen).size).to.equal(4);
  });

  it("should stay in its availability zone, as long as others have no less to do", () => {
    const near = server("near", { zone: "b" });
    const plain = { ...choice, prefix: [], zone: "b", candidates: [server("far"), near] };
    expect(chooseServer({ ...plain, randomDraw: 0 })?.server.id).to.equal("near");
    const load = (id: string): typeof unloaded => (id === "near" ? { ...unloaded, requests: 3 } : unloaded);
    expect(chooseServer({ ...plain, load })?.server.id).to.equal("far");
  });
});

describe("outliers", () => {
  it("should take out a server that can't be reached, and let it back after a time that grows", () => {
    const outliers = new OutlierDetector();
    outliers.recordUnreachable("a", 0);
    expect(outliers.health("a", 500).ejected).to.equal(true);
    expect(outliers.health("a", 700).ejected).to.equal(false);
    outliers.recordUnreachable("a", 700);
    expect(outliers.health("a", 1_800).ejected).to.equal(true);
  });

  it("should not take out a server for one failed request", () => {
    const outliers = new OutlierDetector();
    outliers.recordFailure("a", 0);
    expect(outliers.health("a", 1).ejected).to.equal(false);
    outliers.recordFailure("a", 1);
    expect(outliers.health("a", 2).ejected).to.equal(true);
  });
});

describe("the fleet", () => {
  const known = (fleet: Fleet): string[] => fleet.available("s").map((s) => s.id);

  it("should not bring a leaving server back from an older registration", () => {
    const fleet = new Fleet();
    fleet.applyRegistration({ server: server("a", { leaving: true }), position: at(5) }, 0);
    fleet.applyRegistration({ server: server("a"), position: at(4) }, 0);
    expect(known(fleet)).to.deep.equal([]);
  });

  it("should keep servers whose registration lapsed while the store was away, for a while", () => {
    // The store is down for seconds, registrations lapse, and it returns without them. Their servers live and
    // register again within two seconds; taking them out at once would refuse every request meanwhile.
    const fleet = new Fleet();
    fleet.applyRegistration({ server: server("a"), position: at(1) }, 0);
    fleet.storeRecovered(10_000);
    fleet.remove("a", at(5), 10_100);
    expect(known(fleet)).to.deep.equal(["a"]);
    fleet.expire(12_300);
    expect(known(fleet)).to.deep.equal([]);
  });

  it("should not take a server that left from a peer that missed its leaving", () => {
    // The store turned one node away. A server's registration was removed meanwhile; the node came back, kept what had
    // lapsed for two seconds and told it to its peers, who had removed it. They sent requests to the server for two
    // seconds more.
    const fleet = new Fleet();
    const old = { server: server("a"), position: at(7) };
    fleet.applyRegistration(old, 0);
    expect(fleet.remove("a", at(9), 100)).to.equal(true);
    expect(fleet.applyRegistration(old, 200)).to.equal(false);
    expect(fleet.available("s")).to.have.length(0);
    expect(fleet.applyRegistration({ ...old, position: at(10) }, 300)).to.equal(true);
    expect(fleet.available("s")).to.have.length(1);
  });

  it("should tell which servers a complete reading lacks, but not those learned since", () => {
    const fleet = new Fleet();
    fleet.applyRegistration({ server: server("old"), position: at(3) }, 0);
    fleet.applyRegistration({ server: server("new"), position: at(9) }, 0);
    expect(fleet.idsMissingFrom([], at(5))).to.deep.equal(["old"]);
  });

  it("should hide a model that is being unloaded until its registration agrees", () => {
    // An unload waits for the requests that run. Meanwhile the registration still shows the model, and every
    // request that was sent there was refused: 266 of them on one day.
    const fleet = new Fleet();
    const holding = server("a", { residents: [{ model: "m", version: 1, adapters: [] }] });
    fleet.applyRegistration({ server: holding, position: at(1) }, 0);
    fleet.applyChange({ serverId: "a", model: "m", present: false }, 0);
    fleet.applyRegistration({ server: holding, position: at(2) }, 5_000);
    expect(fleet.reachable("s", "m", undefined)).to.equal(false);
  });

  it("should hold nothing of an engine that restarted under its id, whatever is heard late", () => {
    // An engine crashes and starts again under its id, empty. Its last word from before, an order's effect and a
    // peer's older view arrive after its first word from after: callers were sent to a model that was gone.
    const fleet = new Fleet();
    const holding = server("a", {
      residents: [{ model: "m", version: 1, adapters: [] }],
      startedAtMs: 1_000,
    });
    const restarted = server("a", { startedAtMs: 9_000 });
    fleet.applyRegistration({ server: holding, position: at(1) }, 0);
    fleet.applyChange({ serverId: "a", startedAtMs: 1_000, model: "n", present: true }, 0);
    expect(fleet.applyRegistration({ server: restarted, position: at(4) }, 10)).to.equal(true);
    expect(fleet.applyRegistration({ server: holding, position: at(5) }, 20)).to.equal(false);
    fleet.applyChange({ serverId: "a", startedAtMs: 1_000, model: "m", present: true }, 30);
    expect(fleet.get("a")?.residents).to.deep.equal([]);
    expect(fleet.applyRegistration({ server: { ...restarted, slots: 7 }, position: at(6) }, 40)).to.equal(
      true,
    );
  });

  it("should hear of a restart from a message that is older by the store's count", () => {
    // The store takes the old incarnation's late word after the new one's; a peer tells of the new one afterwards.
    const fleet = new Fleet();
    fleet.applyRegistration(
      { server: server("a", { leaving: true, startedAtMs: 1_000 }), position: at(8) },
      0,
    );
    expect(
      fleet.applyRegistration({ server: server("a", { startedAtMs: 9_000 }), position: at(7) }, 10),
    ).to.equal(true);
    expect(known(fleet)).to.deep.equal(["a"]);
  });

  it("should show an adapter as soon as its order was accepted", () => {
    const fleet = new Fleet();
    fleet.applyRegistration(
      { server: server("a", { residents: [{ model: "m", version: 1, adapters: [] }] }), position: at(1) },
      0,
    );
    fleet.applyChange({ serverId: "a", model: "m", adapter: "a1", present: true }, 0);
    expect(fleet.reachable("s", "m", "a1")).to.equal(true);
  });
});

describe("the event splitter", () => {
  it("should give whole events only, however the bytes are cut", () => {
    const text = [1, 2, 3].map((id) => `id: ${id}\ndata: x${id}\n\n`).join("");
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 6 }), (cuts) => {
        const splitter = new EventSplitter();
        const edges = [0, ...[...new Set(cuts)].sort((a, b) => a - b), text.length];
        const events = edges
          .slice(1)
          .flatMap((to, i) => splitter.push(Buffer.from(text.slice(edges[i], to))));
        expect(events.map((event) => event.id)).to.deep.equal([1, 2, 3]);
        expect(Buffer.concat(events.map((event) => event.bytes)).toString()).to.equal(text);
        expect(splitter.incomplete).to.have.length(0);
      }),
      { seed: 1, numRuns: 200 },
    );
  });
});

describe("limits on what is asked of engines and callers", () => {
  it("should let no more loads begin in a window than the weight store's ceiling", () => {
    const ceiling = new LoadRateLimiter({ windowMs: 5_000, overage: 1.1 });
    let begun = 0;
    while (ceiling.remaining(1.1, 0) > 0) {
      ceiling.record(0);
      begun += 1;
    }
    expect(begun).to.equal(8);
    expect(ceiling.remaining(1.1, 5_001)).to.equal(8);
  });

  it("should evict the adapter longest unused, and none that is in use", () => {
    const engine = {
      id: "e",
      adapters: ["m/a1", "m/a2"],
      evictable: ["m/a1", "m/a2"],
      expectedMs: 0,
      busy: false,
    };
    const used: Record<string, number> = { "m/a1": 9_900, "m/a2": 5_000 };
    const view = { engines: [engine], slots: 2, lastUsedMs: (name: string) => used[name], nowMs: 10_000 };
    expect(planAdapter(view)).to.deep.equal({ engineId: "e", evict: "m/a2" });
    used["m/a2"] = 9_950;
    expect(planAdapter(view)).to.equal(undefined);
  });

  it("should refuse a request for a model that comes only after its caller has left", () => {
    const waits = new ModelWaitEstimator();
    const model = { name: "m", sizeMb: 1, adapters: 0, adapterMb: 0, loadS: 5 };
    expect(waits.estimateMs("s m", model, [], 0)).to.equal(6_200);
    expect(waits.estimateMs("s m", model, [], 5_000)).to.equal(1_200);
    expect(waits.estimateMs("s n", model, [server("a", { atHand: ["m"] })], 0)).to.equal(2_000);
  });

  it("should wait for the first event as long as the caller does, not until its deadline", () => {
    // Callers left after 3.2 s while their requests were held for their deadline of 15 s: 57 of 255 on one day.
    const stream = route({ kind: "stream", timeoutMs: 15_000, targetMs: 500, pauseMs: 400 });
    expect(deadlinesOf(stream, 15_000, 0)).to.deep.equal({
      responseDeadlineMs: 15_000,
      firstByteDeadlineMs: 2_950,
    });
    expect(deadlinesOf(route({ timeoutMs: 900 }), 600, 100)).to.deep.equal({
      responseDeadlineMs: 700,
      firstByteDeadlineMs: 700,
    });
  });

  it("should give a busy server more time than a silent one, and all of it if no other may be asked", () => {
    // Engines that were busy counted as silent: their work was thrown away and done again on others that were
    // as busy, and the streams that ran out of servers were broken off.
    const stream = route({ kind: "stream", resumable: true, targetMs: 500, pauseMs: 400 });
    const idle = {
      route: stream,
      priorRuns: 0,
      remainingMs: 2_950,
      expectedFirstByteMs: 50,
      hasAlternative: true,
    };
    expect(firstByteTimeoutMs(idle)).to.equal(1_250);
    expect(firstByteTimeoutMs({ ...idle, expectedFirstByteMs: 900 })).to.equal(2_300);
    expect(firstByteTimeoutMs({ ...idle, priorRuns: 1 })).to.equal(2_950);
    expect(firstByteTimeoutMs({ ...idle, hasAlternative: false })).to.equal(2_950);
    expect(eventGapTimeoutMs(stream, 0)).to.equal(1_920);
    expect(eventGapTimeoutMs({ ...stream, resumable: false }, 0)).to.equal(3_200);
    expect(
      firstByteTimeoutMs({ ...idle, route: route(), remainingMs: 1_500, expectedFirstByteMs: 40 }),
    ).to.equal(450);
  });

  it("should refuse only what is sure to come too late", () => {
    expect(willMissDeadline(4_000, 2_950)).to.equal(false);
    expect(willMissDeadline(4_500, 2_950)).to.equal(true);
  });

  it("should follow demand up within a second and forget it when it ends", () => {
    const meter = new DemandMeter();
    for (let ms = 0; ms < 1_000; ms += 100) meter.add("m", 50, ms);
    expect(meter.level("m", 1_000)).to.be.greaterThan(150);
    expect(meter.levels(120_000)).to.deep.equal({});
  });

  it("should believe a lull where many requests are expected, and doubt it where few are", () => {
    // Demand moves from one model to the next. Ten seconds after its last caller the first still held an engine by
    // the demand of the slow average, and the second's callers waited beside it.
    const [busy, rare] = [new DemandMeter(), new DemandMeter()];
    for (let ms = 0; ms < 20_000; ms += 40) busy.add("m", 40, ms);
    for (let ms = 0; ms < 20_000; ms += 2_000) rare.add("m", 2_000, ms);
    expect(busy.level("m", 20_000)).to.be.closeTo(1_000, 100);
    expect(busy.level("m", 25_000)).to.be.lessThan(150);
    expect(rare.level("m", 25_000)).to.be.greaterThan(200);
  });
});

describe("what nodes know of one another", () => {
  const pulse = (ip: string, more: Partial<Heartbeat> = {}): Heartbeat => ({
    host: ip,
    boot: 1,
    ip,
    port: 1,
    zone: "a",
    callers: `${ip}:80`,
    ready: true,
    strength: 1,
    busy: 0,
    active: true,
    version: 1,
    fleetRevision: 0,
    ...more,
  });

  it("should take a silent peer for dead, and the newest token for the holder's", () => {
    const peers = new PeerTable({ ip: "10.0.0.1", zone: "a", strength: 1 });
    peers.recordHeartbeat(pulse("10.0.0.2", { token: 3 }), 0);
    peers.recordHeartbeat(pulse("10.0.0.3", { token: 4 }), 0);
    expect(peers.leaseHolder(100)?.ip).to.equal("10.0.0.3");
    peers.recordHeartbeat(pulse("10.0.0.2"), 1_500);
    expect(peers.alive(2_000).map((peer) => peer.status.ip)).to.deep.equal(["10.0.0.2"]);
  });

  it("should hear a node that restarted after its time of day was set back", () => {
    // The host's clock was set back by seconds and its process restarted: its start looked earlier than the one
    // before, and no other node told callers of it any more.
    const peers = new PeerTable({ ip: "10.0.0.1", zone: "a", strength: 1 });
    peers.recordHeartbeat(pulse("10.0.0.2", { boot: 9_000 }), 0);
    expect(peers.recordHeartbeat(pulse("10.0.0.2", { boot: 4_000 }), 2_000)).to.equal(true);
    expect(peers.alive(2_100)).to.have.length(1);
  });

  it("should ignore a pulse from before a peer's restart", () => {
    const peers = new PeerTable({ ip: "10.0.0.1", zone: "a", strength: 1 });
    peers.recordHeartbeat(pulse("10.0.0.2", { boot: 2, ready: false }), 0);
    expect(peers.recordHeartbeat(pulse("10.0.0.2", { boot: 1 }), 1)).to.equal(false);
  });

  it("should let two nodes read the store, the lease holder first", () => {
    const reader = (
      ip: string,
      readAgeMs = 100,
      holder = false,
    ): { ip: string; readAgeMs: number; isLeaseHolder: boolean } => ({
      ip,
      readAgeMs,
      isLeaseHolder: holder,
    });
    const peers = [reader("2"), reader("3"), reader("9", 100, true)];
    expect(shouldReadStore(reader("1"), peers)).to.equal(true);
    expect(shouldReadStore(reader("4"), peers)).to.equal(false);
    expect(shouldReadStore(reader("4"), [reader("2", 5_000)])).to.equal(true);
    expect(shouldReadStore(reader("1", Number.POSITIVE_INFINITY), [reader("2")])).to.equal(false);
  });

  it("should add up work in flight over all nodes, and forget a silent peer's", () => {
    const board = new LoadTracker();
    const inFlight = board.begin("s", 40);
    board.applyPeerLoads({ ip: "10.0.0.2", loads: { s: [10, 2] }, whole: true }, 0);
    expect(board.loadOf("s", 100)).to.deep.equal({ pendingMs: 50, requests: 3 });
    inFlight.started();
    inFlight.done();
    inFlight.done();
    expect(board.loadOf("s", 5_000)).to.deep.equal({ pendingMs: 0, requests: 0 });
  });

  it("should tell peers what changed in flight, all of it twice a second, and the end of it", () => {
    // Each node told all of its work at 80 engines ten times a second to each other one, though little of it had
    // changed: bytes between zones that are paid for, and time to read them on every host.
    const [board, peer] = [new LoadTracker(), new LoadTracker()];
    const tell = (nowMs: number): string[] => {
      const news = board.nextUpdate(nowMs);
      if (news !== undefined) peer.applyPeerLoads({ ip: "10.0.0.2", ...news }, nowMs);
      return Object.keys(news?.loads ?? {});
    };
    board.begin("s1", 40);
    const second = board.begin("s2", 30);
    expect(tell(0)).to.deep.equal(["s1", "s2"]);
    expect(tell(100)).to.deep.equal([]);
    second.started();
    expect(tell(200)).to.deep.equal(["s2"]);
    expect(peer.loadOf("s2", 200)).to.deep.equal({ pendingMs: 0, requests: 1 });
    second.done();
    expect(tell(300)).to.deep.equal(["s2"]);
    expect(peer.loadOf("s2", 300)).to.deep.equal({ pendingMs: 0, requests: 0 });
    expect(peer.loadOf("s1", 300)).to.deep.equal({ pendingMs: 40, requests: 1 });
    expect(tell(600)).to.deep.equal(["s1"]);
  });

  it("should make good a change of work in flight that was lost on its way", () => {
    const [board, peer] = [new LoadTracker(), new LoadTracker()];
    const first = board.begin("s1", 40);
    peer.applyPeerLoads({ ip: "10.0.0.2", ...(board.nextUpdate(0) ?? { loads: {}, whole: true }) }, 0);
    first.done();
    board.begin("s2", 10);
    // Lost.
    board.nextUpdate(100);
    peer.applyPeerLoads({ ip: "10.0.0.2", ...(board.nextUpdate(500) ?? { loads: {}, whole: false }) }, 500);
    expect(peer.loadOf("s1", 500).requests).to.equal(0);
    expect(peer.loadOf("s2", 500).requests).to.equal(1);
  });

  it("should notice that the host stood still", () => {
    const clocks = new ClockJumpDetector();
    expect(clocks.detectJump({ monotonicMs: 0, wallMs: 1_000 })).to.equal(false);
    expect(clocks.detectJump({ monotonicMs: 500, wallMs: 1_510 })).to.equal(false);
    expect(clocks.detectJump({ monotonicMs: 600, wallMs: 5_600 })).to.equal(true);
  });
});

describe("the route table", () => {
  it("should match the longest prefix of the host, and keep a request on one side of a split", () => {
    const split = route({
      pathPrefix: "/a/b/",
      shares: [
        { service: "s", weight: 90 },
        { service: "t", weight: 10 },
      ],
    });
    const table = new RouteTable(configuration(1, [route({ pathPrefix: "/a/" }), split]));
    expect(table.match("h.example", "/a/b/c")).to.equal(split);
    expect(table.match("h.example", "/a/x")?.pathPrefix).to.equal("/a/");
    expect(table.match("h.example", "/b/")).to.equal(undefined);
    const picks = Array.from({ length: 500 }, (_, i) => table.selectService(split, `request-${i}`));
    expect(picks.filter((service) => service === "t").length).to.be.within(25, 85);
    expect(table.selectService(split, "request-7")).to.equal(picks[7]);
  });
});
