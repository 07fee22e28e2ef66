import { expect } from "chai";
import { isPartKey, partKeysOf } from "../../src/serving/quarantine/promptParts.ts";
import { Quarantine } from "../../src/serving/quarantine/quarantine.ts";

/** Sends a request with these parts, whose server crashes before its first event. */
function crash(quarantine: Quarantine, keys: readonly string[], incarnation: string, nowMs: number): void {
  quarantine.recordPartLoss(keys, quarantine.partRounds(keys), incarnation, nowMs);
}

/** Passes what was recorded at one node on to another. */
function gossip(from: Quarantine, to: Quarantine, nowMs: number): void {
  const update = from.takeUpdate();
  if (update !== undefined) to.applyUpdate(JSON.parse(JSON.stringify(update)) as typeof update, false, nowMs);
}

const [shared, sound, bad, other] = partKeysOf(
  "s",
  ["a", "b", "c", "d", "own"].map((id) => ({ id, tokens: 1 })),
) as [string, string, string, string];

describe("prompt parts in quarantine", () => {
  let quarantine: Quarantine;
  const leftMs = (...keys: string[]): number => quarantine.timeLeftOfAll(keys, 1_000);

  beforeEach(() => {
    quarantine = new Quarantine();
  });

  it("should be the parts that requests of a service share", () => {
    const parts = ["a", "b", "a", "own"].map((id) => ({ id, tokens: 1 }));
    expect(partKeysOf("s", parts)).to.have.length(2);
    expect(partKeysOf("s", parts).every(isPartKey)).to.equal(true);
    expect(partKeysOf("t", parts)).to.not.include(partKeysOf("s", parts)[0]);
    const long = partKeysOf("s", [
      { id: "f".repeat(10_000), tokens: 1 },
      { id: "own", tokens: 1 },
    ]);
    expect(long[0]?.length).to.be.at.most(100);
  });

  it("should be refused after three crashes that follow one another, whatever else the requests hold", () => {
    crash(quarantine, [shared, bad], "i-1", 0);
    quarantine.recordFirstEvent([shared], 10);
    crash(quarantine, [bad, sound], "i-2", 20);
    quarantine.recordFirstEvent([sound], 30);
    expect(leftMs(bad)).to.equal(0);
    crash(quarantine, [shared, bad], "i-3", 40);
    expect(leftMs(shared, bad)).to.be.above(100_000);
    expect(leftMs(shared, sound)).to.equal(0);
  });

  it("should be cleared by the first event of any request that has them", () => {
    crash(quarantine, [shared, bad], "i-1", 0);
    expect(quarantine.isSuspected(shared, 1)).to.equal(true);
    quarantine.recordFirstEvent([shared], 10);
    expect(quarantine.isSuspected(shared, 11)).to.equal(false);
    expect(quarantine.isSuspected(bad, 11)).to.equal(true);
  });

  // Half of the servers crashed at once, and a part that all requests share was on each of them.
  it("should not be refused because several servers crash at the same moment", () => {
    const before = quarantine.partRounds([shared]);
    for (let i = 0; i < 6; i += 1) quarantine.recordPartLoss([shared], before, `i-${i}`, i);
    expect(leftMs(shared)).to.equal(0);
    const peer = new Quarantine();
    for (let i = 6; i < 12; i += 1) peer.recordPartLoss([shared], before, `i-${i}`, i);
    gossip(peer, quarantine, 20);
    expect(leftMs(shared)).to.equal(0);
  });

  it("should add up over nodes", () => {
    const peer = new Quarantine();
    crash(quarantine, [bad], "i-1", 0);
    gossip(quarantine, peer, 1);
    crash(peer, [bad], "i-2", 10);
    gossip(peer, quarantine, 11);
    crash(quarantine, [bad], "i-3", 20);
    gossip(quarantine, peer, 21);
    expect(leftMs(bad)).to.be.above(0);
    expect(peer.timeLeftOfAll([bad], 1_000)).to.be.above(0);
  });

  // Bad requests followed one another by chance, and the part that all requests share was refused with theirs.
  it("should bear more crashes if they were served a short time before", () => {
    quarantine.recordFirstEvent([shared], 0);
    for (let i = 1; i <= 4; i += 1) crash(quarantine, [shared], `i-${i}`, i);
    expect(leftMs(shared)).to.equal(0);
    crash(quarantine, [shared], "i-5", 5);
    expect(leftMs(shared)).to.be.above(0);
  });

  it("should run without those that explain all of their crashes, and be released when served", () => {
    for (let i = 1; i <= 3; i += 1) crash(quarantine, [sound, bad], `i-${i}`, i);
    expect(leftMs(sound, bad)).to.be.above(0);
    expect(leftMs(sound, other)).to.equal(0);
    expect(quarantine.isSuspected(sound, 10)).to.equal(true);
    quarantine.recordFirstEvent([sound, other], 20);
    expect(quarantine.isSuspected(sound, 21)).to.equal(false);
    expect(leftMs(bad)).to.be.above(0);
  });

  // Each new request with the bad part was taken for the one that shows whether the part is bad.
  it("should be refused alone too once they crashed a server without those that explained their crashes", () => {
    for (let i = 1; i <= 3; i += 1) crash(quarantine, [sound, bad], `i-${i}`, i);
    expect(leftMs(bad)).to.equal(0);
    crash(quarantine, [bad], "i-4", 10);
    expect(leftMs(bad)).to.be.above(0);
    expect(leftMs(sound)).to.equal(0);
  });

  // A part was never refused, as the round of each further crash was known already.
  it("should be refused although an earlier connection loss turns out to be no crash", () => {
    crash(quarantine, [bad], "i-1", 0);
    crash(quarantine, [bad], "i-2", 10);
    quarantine.recordResponse("i-1", 20, 30);
    crash(quarantine, [bad], "i-3", 40);
    expect(leftMs(bad)).to.equal(0);
    crash(quarantine, [bad], "i-4", 50);
    expect(leftMs(bad)).to.be.above(0);
  });

  // Of two requests that a server crashed under, the one that had been sent before the last crash was recorded last.
  it("should be counted by the latest of the requests that a server crashed under", () => {
    const before = quarantine.partRounds([bad]);
    crash(quarantine, [bad], "i-1", 0);
    const peer = new Quarantine();
    for (const rounds of [quarantine.partRounds([bad]), before]) {
      quarantine.recordPartLoss([bad], rounds, "i-2", 10);
      peer.recordPartLoss([bad], rounds, "i-2", 10);
    }
    expect(quarantine.partCrashes([bad]).get(bad)).to.equal(2);
    const other = new Quarantine();
    crash(other, [bad], "i-1", 0);
    gossip(peer, other, 20);
    expect(other.partCrashes([bad]).get(bad)).to.equal(2);
  });

  it("should not be refused if the servers are alive", () => {
    for (let i = 1; i <= 2; i += 1) {
      crash(quarantine, [shared], `i-${i}`, i);
      quarantine.recordResponse(`i-${i}`, i + 10, i + 20);
    }
    crash(quarantine, [shared], "i-3", 50);
    expect(leftMs(shared)).to.equal(0);
    expect(quarantine.partCrashes([shared]).get(shared)).to.equal(1);
  });

  it("should be watched after two crashes, so that a node that starts counts on", () => {
    crash(quarantine, [bad], "i-1", 0);
    crash(quarantine, [bad], "i-2", 10);
    const [[key, entry] = []] = quarantine.entries.unsaved(20);
    expect(key).to.equal(bad);
    const started = new Quarantine();
    if (key !== undefined && entry !== undefined) started.applyEntry(key, entry, { era: 1, version: 1 }, 30);
    expect(started.timeLeftOfAll([bad], 40)).to.equal(0);
    crash(started, [bad], "i-3", 50);
    expect(started.timeLeftOfAll([bad], 60)).to.be.above(0);
  });

  it("should stay bounded in number", () => {
    for (let i = 0; i < 3_000; i += 1) crash(quarantine, [`${bad} ${i}`], "i-1", i);
    const suspected = Array.from({ length: 3_000 }, (_, i) => `${bad} ${i}`).filter((key) =>
      quarantine.isSuspected(key, 5_000),
    );
    expect(suspected.length).to.be.at.most(2_000);
  });
});
