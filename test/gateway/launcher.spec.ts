import { expect } from "chai";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

describe("the launcher of the built program", () => {
  let folder: string;
  let script: string;

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "launcher-"));
    fs.copyFileSync("scripts/launcher.cjs", path.join(folder, "parsleynotch.cjs"));
    script = path.join(folder, "gateway.cjs");
    // Wrapped in the same way as by the build.
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

  it("should run it if the cache is missing", () => {
    expect(start()).to.equal("ran gateway\n");
  });

  it("should run it if the cache was created with other options or is invalid", () => {
    node("scripts/writeCodeCache.mjs", script);
    expect(start("--max-semi-space-size=3")).to.equal("ran gateway\n");
    fs.writeFileSync(`${script}.cache`, "no cache");
    expect(start()).to.equal("ran gateway\n");
  });

  it("should not write the cache", () => {
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
