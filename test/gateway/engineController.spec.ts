import { expect } from "chai";
import { Emitter } from "../../src/common/emitter.ts";
import { createLog } from "../../src/common/log.ts";
import { EngineController } from "../../src/gateway/placement/engineController.ts";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.ts";
import type { BackendServer, Resident } from "../../src/serving/backendServer.ts";
import type { EngineReport, EngineNotice, EngineApi, Order, OrderOutcome } from "../../src/serving/orders.ts";

function engine(residents: Resident[] = []): BackendServer {
  const more = { service: "s", address: "127.0.0.1:1", zone: "a", slots: 4, leaving: false, atHand: [] };
  return { id: "e1", ...more, residents, engine: true };
}

const holding = (...adapters: string[]): Resident[] => [{ model: "m", version: 1, adapters }];

class FakeEngine implements EngineApi {
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

describe("an engine controller", () => {
  let engines: FakeEngine;
  let controller: EngineController;

  beforeEach(() => {
    engines = new FakeEngine();
    controller = new EngineController(engine(), {
      engines,
      log: createLog("test"),
      metrics: new GatewayMetrics(),
      holder: "h",
      tokenFor: () => 7,
    });
  });

  it("should start with the sequence that the engine reports", async () => {
    // The registration has a heartbeat counter that looks like the order sequence. Orders that expected it were all
    // refused, so models and adapters were missing for a whole day.
    engines.state = { ...engines.state, sequence: 5 };
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", reason: "demand" });
    expect(engines.orders[0]).to.include({ expectedSequence: 5, fencingToken: 7, holder: "h" });
  });

  it("should not be verified while an order of an earlier lease holder is in progress", async () => {
    // A lease holder crashes while an engine loads a model. The engine's report shows neither the model nor its memory
    // yet; a successor relying on it would order another model into the same memory and crash the engine.
    engines.state = { ...engines.state, busy: true };
    await controller.requestReport();
    expect(controller.verified).to.equal(false);
    engines.state = { ...engines.state, busy: false, residents: holding() };
    await controller.requestReport();
    expect(controller.verified).to.equal(true);
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
  });

  it("should count what the engine reports although its registration predates a store outage", async () => {
    // Adapters loaded during a store outage are in no registration. A new lease holder that planned from registrations
    // ordered more adapters than the engine has slots and crashed it.
    engines.state = { ...engines.state, residents: holding("a1", "a2", "a3") };
    await controller.requestReport();
    expect(controller.adapters).to.have.members(["m/a1", "m/a2", "m/a3"]);
  });

  it("should count what the engine reports until a newer registration arrives", async () => {
    // Registrations may be delayed for longer than usual; the new holder then used one from before the outage.
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

  it("should not be verified after the store was restored from a backup until the engine reports again", async () => {
    // The known orders may belong to a lost history of the store.
    await controller.requestReport();
    controller.invalidateReport();
    expect(controller.verified).to.equal(false);
    engines.state = { ...engines.state, residents: holding("a1"), sequence: 3 };
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", adapter: "a2", reason: "waiting" });
    expect(engines.orders[0]).to.include({ expectedSequence: 3 });
    expect(controller.adapters).to.have.members(["m/a1", "m/a2"]);
  });

  it("should be busy as soon as an order is sent, not only after the response", async () => {
    // A placement round starts before the order of the previous round got a response. The same unload was sent three
    // more times, and each one was accepted.
    let respond: (outcome: OrderOutcome) => void = () => undefined;
    engines.outcomes.push(new Promise((resolve) => (respond = resolve)));
    const orderDone = controller.order({ action: "unload", model: "m", reason: "demand" });
    expect(controller.busy).to.equal(true);
    await new Promise((resolve) => setTimeout(resolve, 5));
    respond("accepted");
    await orderDone;
    expect(controller.busy).to.equal(true);
  });

  it("should count the memory of an unloading model as used until the registration confirms the unload", async () => {
    // An unload waits for running requests. Its memory was counted as free immediately, and the following load was
    // refused every 250 ms for two seconds.
    controller.applyRegistration(engine(holding()));
    await controller.order({ action: "unload", model: "m", reason: "demand" });
    controller.applyRegistration(engine(holding()));
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    expect(controller.retainedModels).to.deep.equal([]);
    controller.applyRegistration(engine());
    expect([...controller.occupyingModels]).to.deep.equal([]);
  });

  it("should not evict an adapter twice", async () => {
    // Two requests need a slot at the same time. Both unloads of the same adapter are confirmed, but only the first one
    // counts in the engine's sequence, and every later order was refused.
    controller.applyRegistration(engine(holding("a1", "a2")));
    const evicted = controller.evictAdapter("m", "a1");
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
    await evicted;
  });

  it("should keep the slot of an ordered adapter although older registrations lack it", async () => {
    // An adapter is unloaded and loaded again. A registration from before lists it, the next one, from between the two
    // orders, does not. Its slot was given to another adapter and the engine crashed.
    controller.applyRegistration(engine(holding("a1")));
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    controller.reserveAdapter("m/a1");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    controller.applyRegistration(engine(holding("a1")));
    controller.applyRegistration(engine(holding()));
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  it("should allow evicting adapters that were loaded together although no newer registration follows", async () => {
    // An engine does not register again while nothing changes. Its slots stayed occupied for the rest of the day.
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

  it("should not send an order that was planned before a late one took its slot", async () => {
    // An adapter order gets no response and is executed seconds later. Meanwhile its slot counts as free and is given
    // to another adapter. The sequence was read again just before that order was sent, so the engine accepted it, held one
    // adapter more than it has slots, and crashed.
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no response")));
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

  it("should keep the memory of an accepted load although the engine's report predates the order", async () => {
    // A load is accepted, the next order is refused because the load is in progress, and a report is requested. It is
    // some 100 ms old: not busy, and without the model. The memory was counted as free and the engine crashed.
    await controller.requestReport();
    await controller.order({ action: "load", model: "m", reason: "demand" });
    await controller.requestReport();
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    expect(controller.busy).to.equal(true);
  });

  it("should back off after a refusal instead of retrying immediately", async () => {
    engines.outcomes.push("conflict");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    expect(controller.backingOff).to.equal(true);
  });

  it("should keep a load of unknown outcome until another order is accepted after it", async () => {
    // The response to a load is lost. The load may still start seconds later unless the engine accepted another order
    // meanwhile, so until then its memory isn't free.
    engines.outcomes.push(Promise.reject(new Error("no response")));
    const outcome = await controller.order({ action: "load", model: "m", reason: "demand" });
    expect(outcome).to.equal("unknown");
    await controller.requestReport();
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
    await controller.order({ action: "load", model: "n", adapter: "a1", reason: "waiting" });
    expect([...controller.occupyingModels]).to.deep.equal([]);
  });

  it("should resend an order whose response is lost with the same sequence", async () => {
    // An unload gets no response and may be executed up to 12 s late. Meanwhile the engine counted as busy and got no
    // orders, while callers waited for models that would have fitted.
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no response")));
    const outcome = await controller.orderWithRetries({ action: "unload", model: "m", reason: "demand" });
    expect(outcome).to.equal("accepted");
    expect(engines.orders.map((order) => order.expectedSequence)).to.deep.equal([0, 0]);
  });

  it("should not wait for an unload whose response is lost", async () => {
    controller.applyRegistration(engine(holding()));
    await controller.requestReport();
    engines.outcomes.push(Promise.reject(new Error("no response")));
    await controller.order({ action: "unload", model: "m", reason: "demand" });
    expect(controller.busy).to.equal(false);
    expect(controller.retainedModels).to.deep.equal(["m"]);
    expect([...controller.occupyingModels]).to.deep.equal(["m"]);
  });

  it("should count an adapter that was evicted for itself and loaded again", async () => {
    // The eviction of an adapter was refused, but the adapter counted as unloaded. The next request for it evicted the
    // adapter for itself: it was unloaded, loaded again and no longer counted, so that one adapter more than the engine
    // has slots was loaded, and it crashed.
    controller.applyRegistration(engine(holding("a1")));
    controller.reserveAdapter("m/a1");
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    await controller.order({ action: "load", model: "m", adapter: "a1", reason: "waiting" });
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  it("should evict an adapter only once while requests still use it", async () => {
    controller.applyRegistration(engine(holding("a1", "a2")));
    engines.outcomes.push("accepted");
    expect(await controller.evictAdapter("m", "a1")).to.equal(false);
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
    expect(controller.adapters).to.include("m/a1");
    controller.applyRegistration(engine(holding("a2")));
    controller.applyRegistration(engine(holding("a1", "a2")));
    expect(controller.evictableAdapters).to.deep.equal(["m/a1", "m/a2"]);
  });

  it("should not count an adapter that was unloaded after the engine's report", async () => {
    // A new lease holder gets a report and then unloads an adapter. The next registration lacks the adapter, but the
    // older report still listed it: it was loaded again without a free slot, or evicted a second time to no effect, and
    // the engine crashed.
    engines.state = { ...engines.state, residents: holding("a1", "a2") };
    await controller.requestReport();
    controller.applyRegistration(engine(holding("a1", "a2")));
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    controller.applyRegistration(engine(holding("a2")));
    expect(controller.adapters).to.deep.equal(["m/a2"]);
    expect(controller.evictableAdapters).to.deep.equal(["m/a2"]);
  });

  it("should not rely on a report with data from before the last unload", async () => {
    // The same failure in another way: an order is refused just after the unload and a report is requested, but its
    // data is some 100 ms old.
    engines.state = { ...engines.state, residents: holding("a1", "a2") };
    controller.applyRegistration(engine(holding("a1", "a2")));
    await controller.requestReport();
    engines.outcomes.push("already-holds");
    await controller.evictAdapter("m", "a1");
    await controller.requestReport();
    controller.applyRegistration(engine(holding("a2")));
    expect(controller.adapters).to.deep.equal(["m/a2"]);
  });

  it("should keep a slot that an order of unknown outcome may still take although a later one is refused", () => {
    controller.reserveAdapter("m/a1");
    const release = controller.reserveAdapter("m/a1");
    release();
    expect(controller.adapters).to.deep.equal(["m/a1"]);
  });

  describe("of an engine that restarts under the same id", () => {
    const started = (startedAtMs: number, residents: Resident[] = []): BackendServer => ({
      ...engine(residents),
      startedAtMs,
    });

    beforeEach(async () => {
      controller.applyRegistration(started(1_000, holding("a1")));
      engines.state = { ...engines.state, startedAtMs: 1_000, sequence: 3, residents: holding("a1") };
      await controller.requestReport();
    });

    it("should count its memory as empty and its orders from zero", async () => {
      // An engine crashes during a load and restarts under the same id. The load, models and sequence from before were
      // still counted: the engine looked full and refused every order that expected the old sequence.
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

    it("should detect the restart from a report before a registration shows it", async () => {
      engines.state = { ...engines.state, startedAtMs: 9_000, sequence: 0, residents: [] };
      await controller.requestReport();
      expect([...controller.occupyingModels]).to.deep.equal([]);
      expect(controller.applyRegistration(started(1_000, holding("a1")))).to.deep.equal([]);
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });

    it("should not rely on a report from before the restart", async () => {
      controller.applyRegistration(started(9_000));
      await controller.requestReport();
      expect(controller.verified).to.equal(false);
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });

    it("should keep counting an order of unknown outcome, which may still be executed", async () => {
      // An order gets no response and the engine restarts. The order may arrive seconds later with a sequence that the
      // new incarnation has reached by then; another model in the same memory would over-commit the engine.
      engines.outcomes.push(Promise.reject(new Error("no response")));
      await controller.order({ action: "load", model: "late", reason: "demand" });
      controller.applyRegistration(started(9_000));
      expect([...controller.occupyingModels]).to.deep.equal(["late"]);
    });

    it("should not count an order that the previous incarnation accepted", async () => {
      let respond: (outcome: OrderOutcome) => void = () => undefined;
      engines.outcomes.push(new Promise((resolve) => (respond = resolve)));
      const orderDone = controller.order({ action: "load", model: "n", reason: "demand" });
      await new Promise((resolve) => setTimeout(resolve, 5));
      controller.applyRegistration(started(9_000));
      respond("accepted");
      await orderDone;
      expect([...controller.occupyingModels]).to.deep.equal([]);
    });
  });
});
