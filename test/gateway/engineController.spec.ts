import { expect } from "chai";
import { Emitter } from "../../src/common/emitter.ts";
import { createLog } from "../../src/common/log.ts";
import { EngineController } from "../../src/gateway/engineController.ts";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.ts";
import type { BackendServer, Resident } from "../../src/serving/backendServer.ts";
import type { EngineReport, EngineNotice, EngineApi, Order, OrderOutcome } from "../../src/serving/orders.ts";

function engine(residents: Resident[] = []): BackendServer {
  const more = { service: "s", address: "127.0.0.1:1", zone: "a", slots: 4, leaving: false, atHand: [] };
  return { id: "e1", ...more, residents, engine: true };
}

const holding = (...adapters: string[]): Resident[] => [{ model: "m", version: 1, adapters }];

class EngineStandIn implements EngineApi {
  readonly noticeReceived = new Emitter<EngineNotice>();
  readonly orders: Order[] = [];
  readonly outcomes: (OrderOutcome | Promise<OrderOutcome>)[] = [];
  state: EngineReport = { residents: [], busy: false, sequence: 0, atHand: [], coming: [] };

  order(_target: unknown, order: Order): Promise<OrderOutcome> {
    this.orders.push(order);
    return Promise.resolve(this.outcomes.shift() ?? "accepted");
  }

  report(): Promise<EngineReport> {
    return Promise.resolve(this.state);
  }
}

describe("the controller of an engine", () => {
  let engines: EngineStandIn;
  let controller: EngineController;

  beforeEach(() => {
    engines = new EngineStandIn();
    controller = new EngineController(engine(), {
      engines,
      log: createLog("test"),
      metrics: new GatewayMetrics(),
      holder: "h",
      tokenFor: () => 7,
    });
  });

  it("should begin with the sequence that the engine reports", async () => {
    // The registration counts heartbeats in a field that looks like the orders' own sequence. Orders that
    // expected it were all refused, so models and adapters were missing for the whole day.
    engines.state = { ...engines.state, sequence: 5 };
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", reason: "demand" });
    expect(engines.orders[0]).to.include({ expectedSequence: 5, fencingToken: 7, holder: "h" });
  });

  it("should not count as verified while an order of an earlier holder is under way", async () => {
    // A holder dies while an engine loads a model. The engine's report shows neither the model nor its memory
    // yet; a successor that built on it would order another model into the same room and the engine would fall over.
    engines.state = { ...engines.state, busy: true };
    await controller.requestReport();
    expect(controller.verified).to.equal(false);
    engines.state = { ...engines.state, busy: false, residents: holding() };
    await controller.requestReport();
    expect(controller.verified).to.equal(true);
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
  });

  it("should count what the engine reports, though its registration is from before an outage", async () => {
    // During an outage of the store adapters were loaded that no registration shows. A new holder that planned
    // from registrations gave the engine more adapters than it has places, and it fell over.
    engines.state = { ...engines.state, residents: holding("a1", "a2", "a3") };
    await controller.requestReport();
    expect(controller.adapters).to.have.members(["m/a1", "m/a2", "m/a3"]);
  });

  it("should count what the engine reports until a registration that was made after it arrives", async () => {
    // Registrations may stay away for longer than usual; the new holder then went by one from before an outage.
    controller.applyRegistration(engine(holding("a1")));
    engines.state = { ...engines.state, residents: holding("a1", "a2") };
    await controller.requestReport();
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    controller.applyRegistration(engine(holding("a1")));
    await new Promise((resolve) => setTimeout(resolve, 1_800));
    expect(controller.adapters).to.have.members(["m/a1", "m/a2"]);
    controller.applyRegistration(engine(holding("a1")));
    expect(controller.adapters).to.have.members(["m/a1"]);
  });

  it("should not count as verified once the store came back from a copy, until the engine is asked again", async () => {
    // What is known of its orders may be of a history that is lost.
    await controller.requestReport();
    controller.invalidateReport();
    expect(controller.verified).to.equal(false);
    engines.state = { ...engines.state, residents: holding("a1"), sequence: 3 };
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", adapter: "a2", reason: "waiting" });
    expect(engines.orders[0]).to.include({ expectedSequence: 3 });
    expect(controller.adapters).to.have.members(["m/a1", "m/a2"]);
  });

  it("should be busy from the moment an order is given, not only once it is answered", async () => {
    // A round of placement starts while the order of the round before is unanswered. It gave the same unload
    // again, three times over, and each was accepted.
    let answer: (outcome: OrderOutcome) => void = () => undefined;
    engines.outcomes.push(new Promise((resolve) => (answer = resolve)));
    const given = controller.order({ action: "unload", model: "m", reason: "demand" });
    expect(controller.busy).to.equal(true);
    await new Promise((resolve) => setTimeout(resolve, 5));
    answer("accepted");
    await given;
    expect(controller.busy).to.equal(true);
  });

  it("should take the memory of an unloading model for used until the registration shows it gone", async () => {
    // An unload waits for the requests that run. Its memory was counted as free at once, and the load that
    // followed was refused every quarter second for two seconds.
    controller.applyRegistration(engine(holding()));
    await controller.order({ action: "unload", model: "m", reason: "demand" });
    controller.applyRegistration(engine(holding()));
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    expect(controller.retainedModels).to.deep.equal([]);
    controller.applyRegistration(engine());
    expect([...controller.occupyingModels]).to.deep.equal([]);
  });

  it("should not choose an adapter to make way twice", async () => {
    // Two requests need room at once. Both unloads of the same adapter are answered as done, but only the first
    // counts in the engine's sequence, and every later order was refused.
    controller.applyRegistration(engine(holding("a1", "a2")));
    const evicted = controller.evictAdapter("m", "a1");
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
    await evicted;
  });

  it("should keep the place of an ordered adapter though older registrations lack it", async () => {
    // An adapter is dropped and loaded again. A registration from before shows it, the next, made between the
    // two orders, doesn't. Its place was given to another adapter and the engine fell over.
    controller.applyRegistration(engine(holding("a1")));
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    controller.reserveAdapter("m/a1");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    controller.applyRegistration(engine(holding("a1")));
    controller.applyRegistration(engine(holding()));
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  it("should let adapters make way that came together, though no registration follows the one that shows them", async () => {
    // An engine writes nothing while nothing changes there. Its places stayed taken until the end of the day.
    for (const adapter of ["a1", "a2"]) {
      controller.reserveAdapter(`m/${adapter}`);
      await controller.order({ action: "load", model: "m", adapter, reason: "waiting" });
    }
    const registered = engine(holding("a1", "a2"));
    controller.applyRegistration(registered);
    expect(controller.evictableAdapters).to.deep.equal([]);
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    controller.applyRegistration(registered);
    expect(controller.evictableAdapters).to.deep.equal(["m/a1", "m/a2"]);
  });

  it("should not send an order that was planned before a late one took its place", async () => {
    // An order for an adapter is left unanswered and carried out seconds later. Meanwhile its place is counted as
    // free and given to another adapter; the count of orders is read again just before that one is sent, so the
    // engine accepts it, has an adapter more than places, and falls over.
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no answer")));
    await controller.order({ action: "load", model: "m", adapter: "late", reason: "waiting" });
    engines.state = { ...engines.state, sequence: 1, residents: holding("late") };
    const outcome = await controller.order({
      action: "load",
      model: "m",
      adapter: "other",
      reason: "waiting",
    });
    expect(outcome).to.equal("outdated");
    expect(engines.orders).to.have.length(1);
    expect(controller.adapters).to.deep.equal(["m/late"]);
  });

  it("should keep the memory of an accepted load though the engine's report is older than the order", async () => {
    // A load is accepted, the next order refused because it is under way, and the engine asked. Its report is some
    // hundred ms old: not busy, and without the model. The memory was taken for free, and the engine fell over.
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", reason: "demand" });
    await controller.requestReport();
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    expect(controller.busy).to.equal(true);
  });

  it("should rest after a refusal instead of asking again at once", async () => {
    engines.outcomes.push("conflict");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    expect(controller.backingOff).to.equal(true);
  });

  it("should keep a load of unknown outcome until another order is accepted after it", async () => {
    // The answer to a load is lost. It may still begin, seconds later, unless the engine has accepted another
    // order meanwhile: until then its memory isn't free.
    engines.outcomes.push(Promise.reject(new Error("no answer")));
    const outcome = await controller.order({ action: "load", model: "m", reason: "demand" });
    expect(outcome).to.equal("unknown");
    await controller.requestReport();
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    await controller.order({ action: "load", model: "n", adapter: "a1", reason: "waiting" });
    expect([...controller.occupyingModels]).to.deep.equal([]);
  });

  it("should give an order again whose answer is lost, under the same count of orders", async () => {
    // An unload is left unanswered and would be carried out up to twelve seconds late. Meanwhile the engine was
    // taken for busy and got no order, while callers waited for models that fitted it.
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no answer")));
    const outcome = await controller.orderWithRetries({ action: "unload", model: "m", reason: "demand" });
    expect(outcome).to.equal("accepted");
    expect(engines.orders.map((order) => order.expectedSequence)).to.deep.equal([0, 0]);
  });

  it("should not wait for an unload whose answer is lost", async () => {
    controller.applyRegistration(engine(holding()));
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no answer")));
    await controller.order({ action: "unload", model: "m", reason: "demand" });
    expect(controller.busy).to.equal(false);
    expect(controller.retainedModels).to.deep.equal(["m"]);
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
  });

  it("should count an adapter that made way for itself and was loaded again", async () => {
    // An adapter was told to make way, the order refused, and the adapter taken for gone all the same. The next request
    // for it chose it to make way for itself: dropped, loaded again and no longer counted, so that one more was
    // loaded than the engine has places, and it fell over.
    controller.applyRegistration(engine(holding("a1")));
    controller.reserveAdapter("m/a1");
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  it("should tell an adapter once to make way while requests still run with it", async () => {
    controller.applyRegistration(engine(holding("a1", "a2")));
    engines.outcomes.push("accepted");
    expect(await controller.evictAdapter("m", "a1")).to.equal(false);
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
    expect(controller.adapters).to.include("m/a1");
    controller.applyRegistration(engine(holding("a2")));
    controller.applyRegistration(engine(holding("a1", "a2")));
    expect(controller.evictableAdapters).to.deep.equal(["m/a1", "m/a2"]);
  });

  it("should not take an adapter for there that was dropped after the engine's report", async () => {
    // A new holder asks an engine and then drops an adapter. The next registration lacks it, but the report from
    // before still showed it: it was loaded again without a place, or made way a second time for nothing, and the
    // engine fell over.
    engines.state = { ...engines.state, residents: holding("a1", "a2") };
    await controller.requestReport();
    controller.applyRegistration(engine(holding("a1", "a2")));
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    controller.applyRegistration(engine(holding("a2")));
    expect(controller.adapters).to.deep.equal(["m/a2"]);
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
  });

  it("should not believe a report that is made of older figures than the last drop", async () => {
    // The same by another way: an order is refused just after the drop and the engine asked, but what it reports is
    // some hundred ms old.
    engines.state = { ...engines.state, residents: holding("a1", "a2") };
    controller.applyRegistration(engine(holding("a1", "a2")));
    await controller.requestReport();
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    await controller.requestReport();
    controller.applyRegistration(engine(holding("a2")));
    expect(controller.adapters).to.deep.equal(["m/a2"]);
  });

  it("should keep a place that an order of unknown outcome may still take, though a later one is refused", () => {
    controller.reserveAdapter("m/a1");
    const release = controller.reserveAdapter("m/a1");
    release();
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  describe("of an engine that restarts under its id", () => {
    const started = (startedAtMs: number, residents: Resident[] = []): BackendServer => ({
      ...engine(residents),
      startedAtMs,
    });

    beforeEach(async () => {
      controller.applyRegistration(started(1_000, holding("a1")));
      engines.state = { ...engines.state, startedAtMs: 1_000, sequence: 3, residents: holding("a1") };
      await controller.requestReport();
    });

    it("should count its memory as empty and its orders from the start", async () => {
      // An engine crashes with a load under way and starts again under its id. Its controller still counted the load,
      // the models and the orders from before: it looked full and refused every order that expected the old count.
      await controller.order({ action: "load", model: "n", reason: "demand" });
      expect(controller.busy).to.equal(true);
      controller.applyRegistration(started(9_000));
      expect(controller.busy).to.equal(false);
      expect([...controller.occupyingModels]).to.deep.equal([]);
      expect(controller.adapters).to.deep.equal([]);
      engines.state = { ...engines.state, startedAtMs: 9_000, sequence: 0, residents: [] };
      await controller.order({ action: "load", model: "n", reason: "demand" });
      expect(engines.orders.at(-1)).to.include({ expectedSequence: 0 });
    });

    it("should learn of it from a report, before the registration tells", async () => {
      engines.state = { ...engines.state, startedAtMs: 9_000, sequence: 0, residents: [] };
      await controller.requestReport();
      expect([...controller.occupyingModels]).to.deep.equal([]);
      expect(controller.applyRegistration(started(1_000, holding("a1")))).to.deep.equal([]);
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });

    it("should not build on a report from before it", async () => {
      controller.applyRegistration(started(9_000));
      await controller.requestReport();
      expect(controller.verified).to.equal(false);
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });

    it("should keep counting an order of unknown outcome, which may still be carried out", async () => {
      // The order has no answer and the engine restarts. It can arrive seconds later and name a count that the new
      // incarnation has by then: ordering another model into its room would overfill the engine.
      engines.outcomes.push(Promise.reject(new Error("no answer")));
      await controller.order({ action: "load", model: "late", reason: "demand" });
      controller.applyRegistration(started(9_000));
      expect([...controller.occupyingModels]).to.deep.equal(["late"]);
    });

    it("should not count an order that the incarnation before it accepted", async () => {
      let answer: (outcome: OrderOutcome) => void = () => undefined;
      engines.outcomes.push(new Promise((resolve) => (answer = resolve)));
      const given = controller.order({ action: "load", model: "n", reason: "demand" });
      await new Promise((resolve) => setTimeout(resolve, 5));
      controller.applyRegistration(started(9_000));
      answer("accepted");
      await given;
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });
  });
});
