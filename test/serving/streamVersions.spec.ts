import { expect } from "chai";
import { ownersOf } from "../../src/serving/membership/owner.ts";
import { StreamVersions, type StreamVersion } from "../../src/serving/streams/streamVersions.ts";
import { VersionHistory } from "../../src/serving/streams/versionHistory.ts";

const windowMs = 30_000;

function present(...versions: string[]): Map<string, Set<string>> {
  return new Map([["s", new Set(versions)]]);
}

describe("the version history of a service", () => {
  it("should name the only version once it was the only one for as long as a stream can last", () => {
    const history = new VersionHistory();
    history.observe(present("v1"), 0);
    expect(history.onlyVersion("s", windowMs - 1, windowMs)).to.equal(undefined);
    expect(history.onlyVersion("s", windowMs, windowMs)).to.equal("v1");
  });

  it("should name none until streams of a version that is gone have ended", () => {
    // Regression: a stream of the old version went on at the new one after the last old server had left.
    const history = new VersionHistory();
    history.markComplete("s");
    history.observe(present("v1"), 0);
    history.observe(present("v1", "v2"), 40_000);
    expect(history.onlyVersion("s", 40_000, windowMs)).to.equal(undefined);
    history.observe(present("v2"), 50_000);
    expect(history.onlyVersion("s", 50_000 + windowMs - 1, windowMs)).to.equal(undefined);
    expect(history.onlyVersion("s", 50_000 + windowMs, windowMs)).to.equal("v2");
  });

  it("should include versions that were seen before a restart", () => {
    const history = new VersionHistory();
    history.observe(present("v2"), 0);
    history.add("s", "v1", -10_000);
    history.markComplete("s");
    expect(history.onlyVersion("s", 10_000, windowMs)).to.equal(undefined);
    expect(history.recent("s", 10_000, windowMs).map(({ version }) => version)).to.have.members(["v1", "v2"]);
    expect(history.onlyVersion("s", 20_000, windowMs)).to.equal("v2");
  });

  it("should not count a version as settled until other nodes have seen it, unless it is the only one", () => {
    const history = new VersionHistory();
    history.observe(present("v1"), 0);
    expect(history.isSettled("s", "v1", 0)).to.equal(true);
    history.observe(present("v1", "v2"), 5_000);
    expect(history.isSettled("s", "v2", 5_500)).to.equal(false);
    expect(history.isSettled("s", "v2", 6_000)).to.equal(true);
  });

  it("should not count a version as settled that is back after it was gone", () => {
    const history = new VersionHistory();
    history.observe(present("v1", "v2"), 0);
    history.observe(present("v2"), 5_000);
    history.observe(present("v1", "v2"), 60_000);
    expect(history.isSettled("s", "v1", 60_500)).to.equal(false);
  });

  it("should report changes of the versions only", () => {
    const history = new VersionHistory();
    let changes = 0;
    history.changed.on(() => (changes += 1));
    history.observe(present("v1"), 0);
    history.observe(present("v1"), 10);
    expect(changes).to.equal(1);
    history.observe(present(), 20);
    expect(changes).to.equal(2);
  });
});

describe("the versions of streams", () => {
  const stream = (more: Partial<StreamVersion> = {}): StreamVersion => ({
    ...{ id: "a", service: "s", version: "v1", untilMs: 1_000, own: false },
    ...more,
  });

  it("should keep the version at which a stream began", () => {
    const streams = new StreamVersions();
    streams.record(stream({ own: true }), 0);
    streams.record(stream({ version: "v2", untilMs: 2_000 }), 500);
    expect(streams.get("a", 1_500)).to.deep.include({ version: "v1", untilMs: 2_000, own: true });
  });

  it("should be forgotten once the stream can't be resumed any more", () => {
    const streams = new StreamVersions();
    streams.record(stream(), 0);
    expect(streams.get("a", 1_000)).to.equal(undefined);
    streams.record(stream({ id: "b", untilMs: 3_000 }), 1_500);
    expect(streams.size).to.equal(1);
  });

  it("should list the node's own streams only", () => {
    const streams = new StreamVersions();
    streams.record(stream(), 0);
    streams.record(stream({ id: "b", own: true }), 0);
    expect(streams.own(10).map(({ id }) => id)).to.deep.equal(["b"]);
  });

  it("should be bounded", () => {
    const streams = new StreamVersions();
    for (let i = 0; i < 25_000; i += 1) streams.record(stream({ id: `q${i}` }), 0);
    expect(streams.size).to.equal(20_000);
    expect(streams.get("q24999", 0)).to.not.equal(undefined);
  });
});

describe("the owners of a key", () => {
  it("should keep their order when other nodes come and go", () => {
    const nodes = Array.from({ length: 12 }, (_, i) => `10.0.0.${i}`);
    const before = ownersOf("key", nodes, 6);
    const [first, second] = before;
    const remaining = nodes.filter((node) => node !== first);
    expect(ownersOf("key", remaining, 6)[0]).to.equal(second);
    expect(before.slice(1)).to.deep.equal(ownersOf("key", remaining, 6).slice(0, 5));
  });
});
