import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { andes } from "../src/cli/sampleTemplates.ts";
import { Processes, waitUntil, type RoleProcess } from "./fixtures/processes.ts";

describe("end to end, as separate processes", function () {
  this.timeout(60_000);
  const processes = new Processes();
  let platform: RoleProcess;
  let entry: RoleProcess;
  let catalog: RoleProcess;
  let templateFile: string;

  before(async () => {
    platform = await processes.start(["platform", "--port", "0", "--host-lag-ms", "0"]);
    const engineArgs = ["--port", "0", "--platform", platform.url, "--register", "--capacity-mb", "40000"];
    await processes.start(["engine", "--id", "engine-1", "--zone", "zone-a", ...engineArgs]);
    await processes.start(["engine", "--id", "engine-2", "--zone", "zone-b", ...engineArgs]);
    catalog = await processes.start(["service", "--name", "catalog", "--port", "0"]);
    const template = andes({ catalog: catalog.url, weighbridge: catalog.url, slips: catalog.url });
    templateFile = path.join(await fs.mkdtemp(path.join(os.tmpdir(), "pn-")), "andes.json");
    await fs.writeFile(templateFile, JSON.stringify(template));
    const created = await processes.run(["template", "create", templateFile, "--platform", platform.url]);
    expect(created.code, created.stderr).to.equal(0);
    entry = await processes.start(["entry", "--port", "0", "--platform", platform.url, "--poll-ms", "100"]);
    await waitUntil(async () => (await complete({ model: "syllabus-8b", prompt: "warm up" })).status === 200);
    await waitUntil(async () => (await complete({ model: "counter-3b", prompt: "warm up" })).status === 200);
  });

  after(() => {
    processes.stopAll();
  });

  const complete = (body: unknown, customer = "andes"): Promise<Response> =>
    fetch(`${entry.url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json", "x-customer": customer },
      body: typeof body === "string" ? body : JSON.stringify(body),
    });

  it("should serve a non-streamed chat completion with the caller's own complete response", async () => {
    const response = await complete({
      model: "syllabus-8b",
      max_tokens: 5,
      messages: [{ role: "user", content: "alpha beta gamma" }],
    });
    const body = (await response.json()) as {
      choices: { message: { content: string }; finish_reason: string }[];
    };
    expect(response.status).to.equal(200);
    expect(body.choices[0]?.message.content).to.equal("alpha beta gamma alpha beta");
    expect(body.choices[0]?.finish_reason).to.equal("length");
  });

  it("should stream each caller its own complete response when many stream at once", async () => {
    const texts = await Promise.all(
      Array.from({ length: 8 }, async (_, i) => {
        const response = await complete({
          model: "syllabus-8b",
          stream: true,
          max_tokens: 6,
          prompt: `caller${i} word${i}`,
        });
        const raw = await response.text();
        return raw
          .split("\n\n")
          .filter((event) => event.startsWith("data: {"))
          .map(
            (event) =>
              (JSON.parse(event.slice(6)) as { choices: { delta: { content?: string } }[] }).choices[0]?.delta
                .content ?? "",
          )
          .join("");
      }),
    );
    texts.forEach((text, i) => {
      expect(text).to.equal(`caller${i} word${i} caller${i} word${i} caller${i} word${i}`);
    });
  });

  it("should run a non-idempotent reservation once when the caller retries with the same key", async () => {
    const reserve = (): Promise<Response> =>
      fetch(`${entry.url}/v1/services/catalog/reserve`, {
        method: "POST",
        headers: { "content-type": "application/json", "x-customer": "andes", "idempotency-key": "res-1" },
        body: JSON.stringify({ isbn: "978-1" }),
      });
    const first = (await (await reserve()).json()) as { ticket: string };
    const second = (await (await reserve()).json()) as { ticket: string };
    expect(second.ticket).to.equal(first.ticket);
    const log = (await (await fetch(`${catalog.url}/log`)).json()) as { executions: { call: string }[] };
    expect(log.executions.filter((e) => e.call === "reserve")).to.have.length(1);
  });

  it("should refuse malformed JSON with bad-request", async () => {
    const response = await complete("{not json");
    expect(response.status).to.equal(400);
    expect(((await response.json()) as { error: { kind: string } }).error.kind).to.equal("bad-request");
  });

  it("should refuse a model the customer's templates do not name with unknown-model", async () => {
    const response = await complete({ model: "no-such-model", prompt: "x" });
    expect(response.status).to.equal(404);
    expect(((await response.json()) as { error: { kind: string } }).error.kind).to.equal("unknown-model");
  });

  it("should refuse an unknown customer with unknown-customer", async () => {
    const response = await complete({ model: "syllabus-8b", prompt: "x" }, "nobody");
    expect(response.status).to.equal(401);
  });

  it("should refuse an oversize body with body-too-large", async () => {
    const response = await complete({ model: "syllabus-8b", prompt: "x".repeat(2 * 1024 * 1024) });
    expect(response.status).to.equal(413);
  });

  it("should list the entry addresses to callers, with a TTL", async () => {
    const body = (await (await fetch(`${entry.url}/v1/addresses?zone=zone-a`)).json()) as {
      ttlSeconds: number;
      addresses: { address: string }[];
    };
    expect(body.ttlSeconds).to.be.greaterThan(0);
    expect(body.addresses.map((a) => a.address)).to.include(entry.url);
  });

  it("should refuse a bad setting at start with a clear error and exit code", async () => {
    const result = await processes.run(["entry", "--port", "not-a-port"]);
    expect(result.code).to.equal(78);
    expect(result.stderr).to.contain("bad-settings");
  });

  it("should refuse a bad template and change nothing", async () => {
    const bad = path.join(path.dirname(templateFile), "bad.json");
    await fs.writeFile(bad, JSON.stringify({ name: "andes-prestamos", customer: "andes" }));
    const applied = await processes.run(["template", "apply", bad, "--platform", platform.url]);
    expect(applied.code).to.equal(65);
    const listed = await processes.run(["template", "list", "--platform", platform.url]);
    expect(JSON.parse(listed.stdout)).to.deep.equal([
      { name: "andes-prestamos", customer: "andes", version: 1, retired: false },
    ]);
  });
});
