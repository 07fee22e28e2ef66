import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { ScriptedPool, type Exchange, type Script } from "./fixtures/scriptedPool.ts";
import { waitUntil } from "./fixtures/processes.ts";

const words = ["uno", " dos", " tres", " cuatro"];

/** Sends the words after those that the caller already has. */
const complete: Script = ({ request, res, token, end }) => {
  res.end(
    words
      .slice(request.resume ?? 0)
      .map(token)
      .join("") + end,
  );
};

/** Sends the first two words, then calls `applyFault`. */
const failingAfterTwo =
  (applyFault: (exchange: Exchange) => void): Script =>
  async (exchange) => {
    exchange.res.write(
      words
        .slice(exchange.request.resume ?? 0, 2)
        .map(exchange.token)
        .join(""),
    );
    await sleep(50);
    applyFault(exchange);
  };

const textOf = async (response: Response): Promise<string> =>
  ((await response.json()) as { choices: { text: string }[] }).choices[0]?.text ?? "";

const streamed = (raw: string): string =>
  raw
    .split("\n\n")
    .filter((event) => event.startsWith('data: {"id"'))
    .map((event) => JSON.parse(event.slice(6)) as { choices: { delta: { content?: string } }[] })
    .map((chunk) => chunk.choices[0]?.delta.content ?? "")
    .join("");

describe("responses when engines fail", function () {
  this.timeout(20_000);
  let pool: ScriptedPool;

  afterEach(async () => {
    await pool.dispose();
  });

  const start = async (...args: ConstructorParameters<typeof ScriptedPool>): Promise<void> => {
    pool = new ScriptedPool(...args);
    await pool.start();
  };

  it("should keep a character whole when its bytes arrive in two chunks", async () => {
    // The network splits the stream between the two bytes of "ş". Decoding each chunk separately would give
    // "Ova\uFFFD\uFFFDeker".
    await start([
      async ({ res, token, end }) => {
        const bytes = Buffer.from(token("Ovaşeker") + end);
        const inside = bytes.indexOf(Buffer.from("ş")) + 1;
        res.write(bytes.subarray(0, inside));
        await sleep(50);
        res.end(bytes.subarray(inside));
      },
    ]);
    expect(await textOf(await pool.complete())).to.equal("Ovaşeker");
    expect(streamed(await (await pool.complete({ stream: true })).text())).to.equal("Ovaşeker");
  });

  for (const [fault, applyFault] of [
    ["crashes", ({ res }) => res.destroy()],
    ["ends its stream early", ({ res }) => res.end()],
    ["stops sending", () => undefined],
    ["sends a chunk of another request", ({ res, token, id }) => res.write(token("X").replace(id, "other"))],
    ["cancels the stream", ({ res, end }) => res.end(end.replace("length", "cancelled"))],
  ] as [string, (exchange: Exchange) => void][]) {
    it(`should deliver the complete response once when an engine ${fault} in the middle of it`, async () => {
      // An engine fails in the middle of a response. The caller must not get a truncated response, or one that
      // passes for complete: the entry node knows how many tokens it has sent and resumes on another engine, so
      // that every word arrives once and in order, streamed or not.
      await start([failingAfterTwo(applyFault), failingAfterTwo(applyFault), complete], {
        attempts: 3,
        idleTimeoutMs: 300,
      });
      // The engine with the highest load is chosen last, so both responses start on one that fails.
      pool.statuses[2] = { load: 3 };
      await pool.entry.fleet.refresh();
      const stream = await (await pool.complete({ stream: true })).text();
      expect(pool.received).to.deep.equal([1, 1, 1]);
      expect(streamed(stream)).to.equal(words.join(""));
      expect(stream.trimEnd().endsWith("data: [DONE]")).to.equal(true);
      await waitUntil(() => Promise.resolve(pool.entry.fleet.usable().length === 3));
      const response = await pool.complete();
      expect(response.status).to.equal(200);
      expect(await textOf(response)).to.equal(words.join(""));
      expect(pool.received).to.deep.equal([2, 2, 2]);
    });
  }

  it("should send a streaming caller the failure at once when its response cannot be completed", async () => {
    // The only engine with the model crashes in the middle of a stream, which cannot be completed. With an open or
    // silently closed stream the caller would wait, or take a truncated response for a complete one. It gets
    // the failure as the last event, without [DONE], long before its deadline.
    await start([failingAfterTwo(({ res }) => res.destroy())]);
    const started = Date.now();
    const text = await (await pool.complete({ stream: true })).text();
    expect(text).to.contain('"kind":"upstream-failed"');
    expect(text).to.not.contain("[DONE]");
    expect(Date.now() - started).to.be.lessThan(1000);
  });

  it("should serve a non-streamed response that takes longer than the idle timeout", async () => {
    // A response without streaming takes 600 ms. If the engine sent no byte until its end, the idle timeout
    // (200 ms) would abort it and retry elsewhere again and again. The entry node always streams from engines, so
    // tokens show that the engine is alive.
    await start(
      [
        async ({ request, res, token, end }) => {
          for (const word of words) {
            if (request.stream === true) res.write(token(word));
            await sleep(150);
          }
          res.end((request.stream === true ? "" : words.map(token).join("")) + end);
        },
      ],
      { idleTimeoutMs: 200 },
    );
    const response = await pool.complete();
    expect(response.status).to.equal(200);
    expect(await textOf(response)).to.equal(words.join(""));
    expect(pool.received).to.deep.equal([1]);
  });

  it("should free the engine when its caller disconnects", async () => {
    // A caller disconnects in the middle of a stream. If the entry node read the response to its end, the engine's
    // slot would stay occupied for no one.
    let closed = false;
    await start([
      ({ res, token }) => {
        res.on("close", () => (closed = true));
        res.write(token("uno"));
      },
    ]);
    const abort = new AbortController();
    const response = await pool.complete({ stream: true }, { signal: abort.signal });
    expect(response.status).to.equal(200);
    abort.abort();
    await waitUntil(() => Promise.resolve(closed), 1000);
  });

  it("should route to an engine again after it drained and restarted", async () => {
    // An engine reports that it is draining, stops, and is restarted at the same address. If the notice were
    // kept by address, the new process would never get a request again. It is valid only for the boot that gave it.
    await start([complete]);
    pool.statuses[0] = { draining: true };
    await waitUntil(() => Promise.resolve(pool.entry.fleet.usable().length === 0), 2000);
    pool.statuses[0] = { boot: "boot-2" };
    await waitUntil(async () => (await pool.complete()).status === 200, 2000);
  });

  it("should not count an exceeded deadline as an engine failure", async () => {
    // A busy engine is in the middle of two responses when their deadlines pass. Aborting the exchanges surfaces
    // as two aborted responses; counted as failures, they would eject the engine and its models would be
    // placed elsewhere.
    await start([failingAfterTwo(() => undefined)], { idleTimeoutMs: 2000, pollMs: 400 });
    const late = await Promise.all(
      [0, 1].map(() =>
        pool.complete(
          {},
          {
            headers: { "content-type": "application/json", "x-customer": "andes", "x-deadline-ms": "200" },
          },
        ),
      ),
    );
    expect(late.map((response) => response.status)).to.deep.equal([504, 504]);
    expect(pool.entry.fleet.usable()).to.have.length(1);
  });

  it("should refuse at once, with a retry hint, a request that a saturated engine cannot serve in time", async () => {
    // The only engine with the model is saturated: four slots, a load of 12, 300 ms per stream. A request with a
    // deadline of 500 ms would be queued behind them and miss it, taking a slot from others.
    await start([
      async ({ res, token, end }) => {
        await sleep(300);
        res.end(token("uno") + end);
      },
    ]);
    expect((await pool.complete()).status).to.equal(200);
    pool.statuses[0] = { load: 12 };
    await waitUntil(() => Promise.resolve(pool.entry.fleet.usable()[0]?.status?.load === 12));
    const started = Date.now();
    const response = await pool.complete(
      {},
      {
        headers: { "content-type": "application/json", "x-customer": "andes", "x-deadline-ms": "500" },
      },
    );
    expect(response.status).to.equal(503);
    expect(response.headers.get("retry-after")).to.equal("1");
    expect(((await response.json()) as { error: { kind: string } }).error.kind).to.equal("overloaded");
    expect(Date.now() - started).to.be.lessThan(200);
    expect(pool.received).to.deep.equal([1]);
  });

  it("should send a request to no more engines once three have crashed while running it", async () => {
    // A caller retries a poison request that crashes each engine. If each retry counted as a new request, all
    // eight engines would crash, each with everything running on it.
    const crashed: number[] = [];
    const crash =
      (engine: number): Script =>
      (exchange) => {
        if (exchange.request.prompt !== "deadly") return complete(exchange);
        crashed.push(engine);
        pool.statuses[engine] = { boot: "boot-2" };
        exchange.res.destroy();
      };
    await start(Array.from({ length: 8 }, (_, engine) => crash(engine)));
    const statuses: number[] = [];
    for (let i = 0; i < 6; i += 1) statuses.push((await pool.complete({ prompt: "deadly" })).status);
    // A restarted engine may be chosen again; its second crash counts as well.
    expect(crashed).to.have.length(3);
    expect(statuses.at(-1)).to.equal(503);
    expect((await pool.complete()).status).to.equal(200);
  });
});
