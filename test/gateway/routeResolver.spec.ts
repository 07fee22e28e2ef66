import { expect } from "chai";
import { Failure } from "../../src/common/errors.ts";
import { createLog } from "../../src/common/log.ts";
import { ActiveConfiguration } from "../../src/gateway/store/activeConfiguration.ts";
import {
  ConfigurationRefresh,
  type ConfigurationSource,
} from "../../src/gateway/store/configurationRefresh.ts";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.ts";
import { RouteResolver } from "../../src/gateway/requests/routeResolver.ts";
import { configurationAgeLimits } from "../../src/serving/configurationAge.ts";
import type { RequestMetadata } from "../../src/serving/exchange.ts";
import { hashApiKey } from "../../src/serving/customers/apiKey.ts";
import { RouteTable } from "../../src/serving/routeTable.ts";
import { configuration, route } from "../fixtures/gateways.ts";

const applyMs = 2_000;
const limits = configurationAgeLimits(applyMs);
const oldMs = 10_000;

const metadata: RequestMetadata = {
  ...{
    requestId: "q",
    host: "h.example",
    apiKey: undefined,
    deadlineMs: 3_000,
    model: undefined,
    adapter: undefined,
  },
  ...{ promptTokens: 0, outputTokens: 0, outputHint: undefined, prefix: [], lastEventId: undefined },
  resumedRequestId: undefined,
};

const never: ConfigurationSource = () => new Promise(() => undefined);
const failing: ConfigurationSource = () => Promise.reject(new Failure("platform-unavailable", "away"));

function tableOf(version: number, ...paths: string[]): RouteTable {
  return new RouteTable(
    configuration(
      version,
      paths.map((pathPrefix) => route({ pathPrefix })),
    ),
  );
}

describe("finding the route of a request", () => {
  let active: ActiveConfiguration;
  let sources: ConfigurationSource[];
  let resolver: RouteResolver;
  const resolve = (path: string): Promise<unknown> => resolver.resolve(metadata, path, performance.now());
  const outcomeOf = (path: string): Promise<string> =>
    resolve(path).then(
      () => "found",
      (error: unknown) => (error as Failure).kind,
    );

  beforeEach(() => {
    active = new ActiveConfiguration();
    active.applyIfNewer(tableOf(1, "/first/"));
    sources = [];
    const refresh = new ConfigurationRefresh({
      log: createLog("route-test"),
      metrics: new GatewayMetrics(),
      configuration: active,
      limits,
      sources: () => sources,
    });
    resolver = new RouteResolver({ configuration: active, refresh });
  });

  const learnsOfSecond: ConfigurationSource = () => {
    active.applyIfNewer(tableOf(2, "/first/", "/second/"));
    active.confirm(0, "store");
    return Promise.resolve();
  };

  // A host that went on after a pause denied a route that had been added meanwhile.
  it("should confirm a configuration of unknown or old age before it decides", async () => {
    sources = [learnsOfSecond];
    expect(await outcomeOf("/second/")).to.equal("found");
  });

  describe("with customers", () => {
    const tableWith = (version: number, ...keys: string[]): RouteTable =>
      new RouteTable(
        configuration(version, [route({ pathPrefix: "/a/" }), route({ pathPrefix: "/open/", open: true })], {
          customers: [{ name: "c", keyHashes: keys.map(hashApiKey), priority: 0 }],
        }),
      );
    const resultOf = (apiKey: string | undefined, path = "/a/", forwardedFor?: string): Promise<string> =>
      resolver.resolve({ ...metadata, apiKey }, path, performance.now(), forwardedFor).then(
        ({ customer }) => customer?.name ?? "none",
        (error: unknown) => (error as Failure).kind,
      );

    beforeEach(() => {
      active.applyIfNewer(tableWith(2, "first"));
    });

    it("should find the customer that holds the key, and deny a request without a known one", async () => {
      active.confirm(0, "store");
      expect(await resultOf("first")).to.equal("c");
      expect(await resultOf("other")).to.equal("unknown-customer");
      expect(await resultOf(undefined)).to.equal("unknown-customer");
      expect(await resultOf("first, first")).to.equal("unknown-customer");
    });

    it("should serve an open route without a key, and a request for the customer that another node found", async () => {
      active.confirm(0, "store");
      expect(await resultOf(undefined, "/open/")).to.equal("none");
      expect(await resultOf("first", "/open/")).to.equal("c");
      expect(await resultOf(undefined, "/a/", "d")).to.equal("d");
    });

    // A key that had just been added was denied.
    it("should confirm the configuration before it denies a key", async () => {
      sources = [
        () => {
          active.applyIfNewer(tableWith(3, "first", "second"));
          active.confirm(0, "store");
          return Promise.resolve();
        },
      ];
      active.announce(3);
      active.confirm(0, "peer");
      expect(await resultOf("second")).to.equal("c");
    });

    it("should deny no key, and serve the known ones, while nobody knows whether they are in force", async () => {
      sources = [failing];
      active.confirm(oldMs, "peer");
      expect(await resultOf("first")).to.equal("c");
      expect(await resultOf("other")).to.equal("no-configuration");
    });

    it("should serve a key only for a time without knowledge of whether it still exists, if there is a limit", async () => {
      const strict = new RouteResolver({
        configuration: active,
        refresh: {
          state: "store-away",
          ensureCurrent: () => Promise.resolve(),
          ensureNewest: () => Promise.resolve(),
        },
        maxKeyAgeMs: 5_000,
      });
      active.confirm(4_000, "peer");
      resolver = strict;
      expect(await resultOf("first")).to.equal("c");
      active.applyIfNewer(tableWith(3, "first"));
      const stale = new ActiveConfiguration();
      stale.applyIfNewer(tableWith(3, "first"));
      stale.confirm(6_000, "peer");
      resolver = new RouteResolver({
        configuration: stale,
        refresh: {
          state: "store-away",
          ensureCurrent: () => Promise.resolve(),
          ensureNewest: () => Promise.resolve(),
        },
        maxKeyAgeMs: 5_000,
      });
      expect(await resultOf("first")).to.equal("no-configuration");
      expect(await resultOf(undefined, "/open/")).to.equal("none");
    });

    it("should not name the key in a failure", async () => {
      active.confirm(0, "store");
      const failure = await resolver
        .resolve({ ...metadata, apiKey: "a-secret" }, "/a/", performance.now())
        .catch((error: unknown) => error as Failure);
      expect(JSON.stringify((failure as Failure).toBody())).not.to.contain("a-secret");
    });
  });

  // A request was sent to the service that had served its route before.
  it("should confirm an old configuration also for a route that it has", async () => {
    active.confirm(oldMs, "peer");
    sources = [
      () => {
        active.applyIfNewer(tableOf(2, "/second/"));
        active.confirm(0, "store");
        return Promise.resolve();
      },
    ];
    expect(await outcomeOf("/first/")).to.equal("unknown-route");
  });

  it("should decide at once by a fresh configuration", async () => {
    active.confirm(0, "store");
    sources = [never];
    const startedMs = performance.now();
    expect(await outcomeOf("/first/")).to.equal("found");
    expect(await outcomeOf("/second/")).to.equal("unknown-route");
    expect(performance.now() - startedMs).to.be.below(50);
  });

  // A host that had heard of a newer version, and not read it yet, denied its routes.
  it("should read a version that a peer has announced before it denies a route", async () => {
    active.confirm(0, "peer");
    active.announce(2);
    sources = [learnsOfSecond];
    expect(await outcomeOf("/second/")).to.equal("found");
  });

  // A dead connection to a peer and to the store each cost a timeout, one after the other.
  it("should ask the next source while one doesn't answer", async () => {
    sources = [never, never, learnsOfSecond];
    const startedMs = performance.now();
    expect(await outcomeOf("/second/")).to.equal("found");
    expect(performance.now() - startedMs).to.be.below(300);
  });

  it("should serve known routes and deny none while neither peers nor the store can tell", async () => {
    active.confirm(oldMs, "peer");
    sources = [failing, failing];
    expect(await outcomeOf("/first/")).to.equal("found");
    expect(await outcomeOf("/second/")).to.equal("no-configuration");
  });

  // While the store was away, each refresh that was tried held the requests that came meanwhile.
  it("should hold no request once the store is known to be away", async () => {
    active.confirm(oldMs, "peer");
    const slow: ConfigurationSource = async () => {
      await new Promise((done) => setTimeout(done, 300));
      await failing();
    };
    sources = [slow];
    expect(await outcomeOf("/first/")).to.equal("found");
    for (let i = 0; i < 40; i += 1) {
      const startedMs = performance.now();
      expect(await outcomeOf("/first/")).to.equal("found");
      expect(performance.now() - startedMs).to.be.below(50);
      await new Promise((done) => setTimeout(done, 50));
    }
    sources = [learnsOfSecond];
    await new Promise((done) => setTimeout(done, 900));
    expect(await outcomeOf("/second/")).to.equal("found");
  });

  // A host whose reads were lost on a full link took the store for away and went on with a version that peers had replaced.
  it("should refuse while it can't read a version that a peer has announced", async () => {
    active.confirm(oldMs, "peer");
    active.announce(2);
    sources = [failing];
    expect(await outcomeOf("/first/")).to.equal("no-configuration");
    expect(await outcomeOf("/second/")).to.equal("no-configuration");
  });

  it("should refuse after a bounded wait while the sources don't answer", async () => {
    active.confirm(oldMs, "peer");
    sources = [never];
    const startedMs = performance.now();
    expect(await outcomeOf("/first/")).to.equal("no-configuration");
    expect(performance.now() - startedMs).to.be.within(900, 1_500);
  });

  it("should confirm once for all requests that wait", async () => {
    let calls = 0;
    sources = [
      async () => {
        calls += 1;
        await new Promise((done) => setTimeout(done, 30));
        await learnsOfSecond();
      },
    ];
    const outcomes = await Promise.all(Array.from({ length: 20 }, () => outcomeOf("/second/")));
    expect(new Set(outcomes)).to.deep.equal(new Set(["found"]));
    expect(calls).to.equal(1);
  });

  it("should keep the more recent of two confirmations", () => {
    active.confirm(100, "store");
    active.confirm(oldMs, "peer");
    expect(active.ageMs).to.be.below(200);
    expect(active.source).to.equal("store");
  });

  it("should leave time between the limit of the age and the time in which a version has to be in force", () => {
    for (const apply of [2_000, 3_000, 7_000]) {
      const { maxAgeMs, refreshAgeMs, waitMs } = configurationAgeLimits(apply);
      expect(maxAgeMs).to.be.at.most(apply - 500);
      // A reader's wait and a heartbeat pass before the next confirmation reaches the other nodes.
      expect(waitMs + 300).to.be.below(refreshAgeMs);
      expect(refreshAgeMs).to.be.below(maxAgeMs);
    }
  });
});
