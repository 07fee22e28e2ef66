import { expect } from "chai";
import { Fleet, type Registration } from "../../src/serving/fleet.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { at } from "../fixtures/positions.ts";
import { engineWithId } from "../fixtures/registrations.ts";

const holding = (...adapters: string[]): Partial<BackendServer> => ({
  residents: [{ model: "m", version: 1, adapters }],
});

describe("the fleet, after the store was restored from a backup", () => {
  let fleet: Fleet;

  const applyRegistration = (version: number, era: number, value: BackendServer, nowMs: number): boolean =>
    fleet.applyRegistration({ server: value, position: at(version, era) }, nowMs);
  const adaptersOf = (id: string): readonly string[] | undefined => fleet.get(id)?.residents[0]?.adapters;
  const availableIds = (): string[] => fleet.available("s").map(({ id }) => id);

  beforeEach(() => {
    fleet = new Fleet();
    applyRegistration(640, 0, engineWithId("e1", holding("a1", "a2")), 0);
    applyRegistration(12, 0, engineWithId("e2"), 0);
  });

  it("should apply writes of the new era although their versions are lower than the known ones", () => {
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(501, 1, engineWithId("e1", holding("a2", "a3")), 1_010);
    expect(adaptersOf("e1")).to.deep.equal(["a2", "a3"]);
    expect(fleet.remove("e1", at(502, 1), 5_000)).to.equal(true);
  });

  it("should keep its known state over the backup's until servers had time to register again", () => {
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(480, 1, engineWithId("e1", holding("a1")), 1_010);
    expect(adaptersOf("e1")).to.deep.equal(["a1", "a2"]);
    fleet.expire(3_100);
    expect(adaptersOf("e1")).to.deep.equal(["a1", "a2"]);
    expect(fleet.expire(3_201)).to.equal(true);
    expect(adaptersOf("e1")).to.deep.equal(["a1"]);
  });

  it("should keep a registration of the new era when the hold period of the backup's ends", () => {
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(480, 1, engineWithId("e1", holding("a1")), 1_010);
    applyRegistration(503, 1, engineWithId("e1", holding("a3")), 1_500);
    fleet.expire(3_201);
    expect(adaptersOf("e1")).to.deep.equal(["a3"]);
  });

  it("should apply at once that a server is shutting down, and send that to peers with a position of the new era", () => {
    const peer = new Fleet();
    const sent = fleet.changesAfter(0, "all");
    for (const registration of sent.registrations) peer.applyRegistration(registration, 0);
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(499, 1, engineWithId("e1", { leaving: true }), 1_010);
    expect(availableIds()).to.deep.equal(["e2"]);
    peer.enterEra(fleet.eraStart, 1_020);
    for (const registration of fleet.changesAfter(sent.revision, "all").registrations)
      peer.applyRegistration(registration, 1_020);
    expect(peer.available("s").map(({ id }) => id)).to.deep.equal(["e2"]);
  });

  it("should keep a server unavailable that is shutting down although the backup shows it as ready", () => {
    applyRegistration(650, 0, engineWithId("e1", { leaving: true }), 500);
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(480, 1, engineWithId("e1"), 1_010);
    fleet.expire(9_000);
    applyRegistration(501, 1, engineWithId("e1"), 9_001);
    expect(availableIds()).to.deep.equal(["e2"]);
  });

  it("should keep a server removed that the backup names, unless it is still registered later", () => {
    fleet.remove("e1", at(650, 0), 500);
    fleet.enterEra(at(500, 1), 1_000);
    const restored = engineWithId("e1");
    expect(applyRegistration(480, 1, restored, 1_010)).to.equal(false);
    fleet.expire(6_900);
    expect(availableIds()).to.deep.equal(["e2"]);
    fleet.expire(7_001);
    expect(availableIds()).to.deep.equal(["e2", "e1"]);
  });

  it("should drop a server that the backup names when the store removes it", () => {
    fleet.remove("e1", at(650, 0), 500);
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(480, 1, engineWithId("e1"), 1_010);
    fleet.remove("e1", at(510, 1), 4_000);
    fleet.expire(7_001);
    expect(availableIds()).to.deep.equal(["e2"]);
  });

  it("should keep a server that the backup lacks for a grace period", () => {
    applyRegistration(700, 0, engineWithId("e3"), 500);
    fleet.enterEra(at(500, 1), 1_000);
    const complete: Registration[] = [
      { server: engineWithId("e1"), position: at(480, 1) },
      { server: engineWithId("e2"), position: at(12, 1) },
    ];
    expect(fleet.idsMissingFrom(complete, at(500, 1))).to.deep.equal(["e3"]);
    expect(fleet.remove("e3", at(500, 1), 1_010)).to.equal(false);
    expect(availableIds()).to.deep.equal(["e1", "e2", "e3"]);
    applyRegistration(505, 1, engineWithId("e3"), 2_000);
    fleet.expire(3_201);
    expect(availableIds()).to.deep.equal(["e1", "e2", "e3"]);
  });

  it("should reject registrations and removals of an earlier era from a peer that knows no later one", () => {
    fleet.enterEra(at(500, 1), 1_000);
    applyRegistration(501, 1, engineWithId("e1", holding("a3")), 1_010);
    expect(applyRegistration(900, 0, engineWithId("e1", holding("a9")), 1_020)).to.equal(false);
    expect(fleet.remove("e1", at(900, 0), 1_030)).to.equal(false);
    expect(adaptersOf("e1")).to.deep.equal(["a3"]);
  });

  it("should keep removals and shutdowns through several restores in a row", () => {
    applyRegistration(650, 0, engineWithId("e1", { leaving: true }), 500);
    fleet.remove("e2", at(651, 0), 500);
    for (const era of [1, 2, 3]) {
      const nowMs = 1_000 * era;
      fleet.enterEra(at(500 - era, era), nowMs);
      applyRegistration(480, era, engineWithId("e1"), nowMs + 10);
      applyRegistration(12, era, engineWithId("e2"), nowMs + 10);
      fleet.expire(nowMs + 900);
    }
    expect(availableIds()).to.deep.equal([]);
  });
});
