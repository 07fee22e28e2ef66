import { expect } from "chai";
import { Fleet, type Registration } from "../../src/serving/fleet.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { at } from "../fixtures/positions.ts";
import { engineWithId } from "../fixtures/registrations.ts";

const holding = (...adapters: string[]): Partial<BackendServer> => ({
  residents: [{ model: "m", version: 1, adapters }],
});

describe("the fleet, after the store came back from a copy", () => {
  let fleet: Fleet;

  const learn = (version: number, era: number, value: BackendServer, nowMs: number): boolean =>
    fleet.applyRegistration({ server: value, position: at(version, era) }, nowMs);
  const adaptersOf = (id: string): readonly string[] | undefined => fleet.get(id)?.residents[0]?.adapters;
  const availableIds = (): string[] => fleet.available("s").map(({ id }) => id);

  beforeEach(() => {
    fleet = new Fleet();
    learn(640, 0, engineWithId("e1", holding("a1", "a2")), 0);
    learn(12, 0, engineWithId("e2"), 0);
  });

  it("should take what is written since, though its version is lower than the one known", () => {
    fleet.enterEra(at(500, 1), 1_000);
    learn(501, 1, engineWithId("e1", holding("a2", "a3")), 1_010);
    expect(adaptersOf("e1")).to.deep.equal(["a2", "a3"]);
    expect(fleet.remove("e1", at(502, 1), 5_000)).to.equal(true);
  });

  it("should not believe the copy over what it knows, until servers had the time to write again", () => {
    fleet.enterEra(at(500, 1), 1_000);
    learn(480, 1, engineWithId("e1", holding("a1")), 1_010);
    expect(adaptersOf("e1")).to.deep.equal(["a1", "a2"]);
    fleet.expire(3_100);
    expect(adaptersOf("e1")).to.deep.equal(["a1", "a2"]);
    expect(fleet.expire(3_201)).to.equal(true);
    expect(adaptersOf("e1")).to.deep.equal(["a1"]);
  });

  it("should not take a later word back for the copy's when the time is over", () => {
    fleet.enterEra(at(500, 1), 1_000);
    learn(480, 1, engineWithId("e1", holding("a1")), 1_010);
    learn(503, 1, engineWithId("e1", holding("a3")), 1_500);
    fleet.expire(3_201);
    expect(adaptersOf("e1")).to.deep.equal(["a3"]);
  });

  it("should believe at once that a server leaves, and tell it to peers in terms of the new era", () => {
    const peer = new Fleet();
    const told = fleet.changesAfter(0, "all");
    for (const registration of told.registrations) peer.applyRegistration(registration, 0);
    fleet.enterEra(at(500, 1), 1_000);
    learn(499, 1, engineWithId("e1", { leaving: true }), 1_010);
    expect(availableIds()).to.deep.equal(["e2"]);
    peer.enterEra(fleet.eraStart, 1_020);
    for (const registration of fleet.changesAfter(told.revision, "all").registrations)
      peer.applyRegistration(registration, 1_020);
    expect(peer.available("s").map(({ id }) => id)).to.deep.equal(["e2"]);
  });

  it("should keep a leaving server leaving though the copy shows it ready", () => {
    learn(650, 0, engineWithId("e1", { leaving: true }), 500);
    fleet.enterEra(at(500, 1), 1_000);
    learn(480, 1, engineWithId("e1"), 1_010);
    fleet.expire(9_000);
    learn(501, 1, engineWithId("e1"), 9_001);
    expect(availableIds()).to.deep.equal(["e2"]);
  });

  it("should keep a server gone that the copy names, and take one back that is still there later", () => {
    fleet.remove("e1", at(650, 0), 500);
    fleet.enterEra(at(500, 1), 1_000);
    const copied = engineWithId("e1");
    expect(learn(480, 1, copied, 1_010)).to.equal(false);
    fleet.expire(6_900);
    expect(availableIds()).to.deep.equal(["e2"]);
    fleet.expire(7_001);
    expect(availableIds()).to.deep.equal(["e2", "e1"]);
  });

  it("should forget a server that the copy names once the store drops it", () => {
    fleet.remove("e1", at(650, 0), 500);
    fleet.enterEra(at(500, 1), 1_000);
    learn(480, 1, engineWithId("e1"), 1_010);
    fleet.remove("e1", at(510, 1), 4_000);
    fleet.expire(7_001);
    expect(availableIds()).to.deep.equal(["e2"]);
  });

  it("should keep a server for a while that the copy lacks", () => {
    learn(700, 0, engineWithId("e3"), 500);
    fleet.enterEra(at(500, 1), 1_000);
    const complete: Registration[] = [
      { server: engineWithId("e1"), position: at(480, 1) },
      { server: engineWithId("e2"), position: at(12, 1) },
    ];
    expect(fleet.idsMissingFrom(complete, at(500, 1))).to.deep.equal(["e3"]);
    expect(fleet.remove("e3", at(500, 1), 1_010)).to.equal(false);
    expect(availableIds()).to.deep.equal(["e1", "e2", "e3"]);
    learn(505, 1, engineWithId("e3"), 2_000);
    fleet.expire(3_201);
    expect(availableIds()).to.deep.equal(["e1", "e2", "e3"]);
  });

  it("should not take word of an earlier era from a peer that knows no later one", () => {
    fleet.enterEra(at(500, 1), 1_000);
    learn(501, 1, engineWithId("e1", holding("a3")), 1_010);
    expect(learn(900, 0, engineWithId("e1", holding("a9")), 1_020)).to.equal(false);
    expect(fleet.remove("e1", at(900, 0), 1_030)).to.equal(false);
    expect(adaptersOf("e1")).to.deep.equal(["a3"]);
  });

  it("should hold through several losses in a row", () => {
    learn(650, 0, engineWithId("e1", { leaving: true }), 500);
    fleet.remove("e2", at(651, 0), 500);
    for (const era of [1, 2, 3]) {
      const nowMs = 1_000 * era;
      fleet.enterEra(at(500 - era, era), nowMs);
      learn(480, era, engineWithId("e1"), nowMs + 10);
      learn(12, era, engineWithId("e2"), nowMs + 10);
      fleet.expire(nowMs + 900);
    }
    expect(availableIds()).to.deep.equal([]);
  });
});
