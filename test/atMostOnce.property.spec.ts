import { expect } from "chai";
import * as fc from "fast-check";
import { Failure } from "../src/common/errors.ts";
import { PlatformClient } from "../src/common/platformClient.ts";
import { Ledger } from "../src/entry/ledger.ts";
import { ServiceCaller } from "../src/entry/serviceCaller.ts";
import { PlatformServer } from "../src/platform/platformServer.ts";
import { ServiceServer } from "../src/service/serviceServer.ts";

/** One retry of the same call under one set of platform faults. */
const Step = fc.record({ loseAcks: fc.integer({ min: 0, max: 3 }), down: fc.boolean() });

describe("at-most-once under random fault schedules", function () {
  this.timeout(60_000);

  it("should run a non-idempotent call at most once and say not-run only when it did not run", async () => {
    // A non-idempotent call is retried with the same key while the table service loses write acknowledgements
    // (applied, response lost, up to three in a row) and fails and recovers between attempts. In any order, the
    // call runs at most once, every success returns the first ticket, and an attempt during which the call ran
    // never gets "not-run".
    const platform = new PlatformServer();
    const client = new PlatformClient({ url: `http://127.0.0.1:${await platform.start()}` });
    const service = new ServiceServer({ name: "slips", callMs: 1 });
    const serviceUrl = `http://127.0.0.1:${await service.start()}`;
    const caller = new ServiceCaller(new Ledger({ platform: client }));
    let run = 0;
    try {
      await fc.assert(
        fc.asyncProperty(fc.array(Step, { minLength: 1, maxLength: 6 }), async (steps) => {
          run += 1;
          const key = `slip-${run}`;
          const tickets = new Set<string>();
          for (const [i, step] of steps.entries()) {
            await client.setFaults({ down: step.down, slowMs: 0, loseAcks: step.loseAcks });
            const before = service.executions.filter((e) => e.idempotencyKey === key).length;
            const outcome = await caller
              .run({
                customer: "ovaseker",
                service: { name: "slips", servers: [serviceUrl], calls: [] },
                call: { name: "sugar-slip", idempotent: false },
                idempotencyKey: key,
                requestId: `${key}-try-${i}`,
                body: {},
                deadline: Date.now() + 2000,
              })
              .catch((error: unknown) => error);
            const after = service.executions.filter((e) => e.idempotencyKey === key).length;
            expect(after, "executions of one key").to.be.at.most(1);
            if (outcome instanceof Failure) {
              if (outcome.kind === "not-run") expect(after, "said not-run but it ran").to.equal(before);
              else expect(outcome.kind).to.be.oneOf(["in-progress", "outcome-unknown"]);
            } else {
              tickets.add((outcome as { ticket: string }).ticket);
            }
          }
          expect(tickets.size, "distinct tickets answered").to.be.at.most(1);
        }),
        { seed: 20261202, numRuns: 60 },
      );
    } finally {
      await client.setFaults({ down: false, slowMs: 0, loseAcks: 0 });
      await service.dispose();
      await platform.dispose();
    }
  });
});
