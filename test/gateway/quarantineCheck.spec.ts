import { expect } from "chai";
import { createLog } from "../../src/common/log.ts";
import * as requestHeaders from "../../platform/requestHeaders.ts";
import type { AttemptOutcome } from "../../src/gateway/requests/attempt.ts";
import { createGatewayContext, type GatewayContext } from "../../src/gateway/gatewayContext.ts";
import { QuarantineCheck } from "../../src/gateway/quarantine/quarantineCheck.ts";
import type { BackendServer } from "../../src/serving/backendServer.ts";
import { partKeysOf } from "../../src/serving/quarantine/promptParts.ts";

const server = { id: "i-1", service: "s" } as BackendServer;
const metadata = requestHeaders.readRequest({ host: "h", "x-prompt-prefix": "bad:10,own:5" });
const parts = partKeysOf("s", metadata.prefix);

describe("the quarantine check of a request", () => {
  let context: GatewayContext;

  beforeEach(() => {
    context = createGatewayContext({
      ...{ host: "h", ip: "127.0.0.1", zone: "a", drainMs: 2_000, log: createLog("quarantine-test") },
      ...{ codec: requestHeaders, sendingNodes: () => [], nodeCount: () => 1 },
      quotas: { boot: 1, share: () => 1, reportAgeMs: () => 0 },
    });
    context.quarantine.recordPartLoss(parts, new Map(), "i-0", performance.now());
  });

  function send(framed: boolean): void {
    const check = new QuarantineCheck({
      ...{ context, metadata, service: "s", body: undefined },
      runLocks: { acquire: () => Promise.resolve(undefined) },
      req: { method: "POST", url: "/" },
    });
    check.recordSend();
    const response = { metadata: { status: 200, framed } };
    check.recordOutcome(server, { kind: "answered", response } as AttemptOutcome, performance.now());
  }

  // A crash that looked like the clean end of an unframed stream cleared the part that caused it.
  it("should not clear a prompt part by an unframed response without an event", () => {
    send(false);
    expect(context.quarantine.partCrashes(parts).get(parts[0] ?? "")).to.equal(1);
  });

  it("should clear a prompt part by a framed response", () => {
    send(true);
    expect(context.quarantine.partCrashes(parts).get(parts[0] ?? "") ?? 0).to.equal(0);
  });
});
