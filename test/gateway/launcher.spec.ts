import { expect } from "chai";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

describe("the start of the built program", () => {
  let folder: string;
  let script: string;

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "launcher-"));
    fs.copyFileSync("scripts/launcher.cjs", path.join(folder, "parsleynotch.cjs"));
    script = path.join(folder, "gateway.cjs");
    // As the build wraps it.
    const body = 'console.log(require("node:path").basename("a/ran"), process.argv[2])';
    fs.writeFileSync(script, `(function (require) { ${body} })`);
  });

  afterEach(() => {
    fs.rmSync(folder, { recursive: true });
  });

  const node = (...args: string[]): string =>
    childProcess.execFileSync(process.execPath, args, { encoding: "utf8" });
  const start = (...options: string[]): string =>
    node(...options, path.join(folder, "parsleynotch.cjs"), "gateway");

  it("should run the gateway with its code cache", () => {
    node("scripts/writeCodeCache.mjs", script);
    expect(start()).to.equal("ran gateway\n");
  });

  it("should run it where the cache is missing", () => {
    expect(start()).to.equal("ran gateway\n");
  });

  it("should run it where the cache is of other options, or no cache at all", () => {
    node("scripts/writeCodeCache.mjs", script);
    expect(start("--max-semi-space-size=3")).to.equal("ran gateway\n");
    fs.writeFileSync(`${script}.cache`, "no cache");
    expect(start()).to.equal("ran gateway\n");
  });

  it("should only read the cache", () => {
    fs.writeFileSync(`${script}.cache`, "no cache");
    start();
    expect(fs.readFileSync(`${script}.cache`, "utf8")).to.equal("no cache");
    expect(fs.readdirSync(folder).sort()).to.deep.equal([
      "gateway.cjs",
      "gateway.cjs.cache",
      "parsleynotch.cjs",
    ]);
  });
});
