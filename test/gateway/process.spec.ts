import { expect } from "chai";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/** Runs a command and resolves when it exits. */
function run(args: string[]): Promise<{ code: number | null; stderr: string }> {
  const child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
  let stderr = "";
  child.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString()));
  return new Promise((resolve) => {
    child.on("close", (code) => {
      resolve({ code, stderr });
    });
  });
}

describe("the gateway process", () => {
  let folder: string;

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "gateway-"));
  });

  afterEach(() => {
    fs.rmSync(folder, { recursive: true });
  });

  it("should exit with a clear error if the settings file is missing or malformed", async () => {
    const missing = await run([
      "bin/parsleynotch.js",
      "gateway",
      "--settings",
      path.join(folder, "none.toml"),
    ]);
    expect(missing.code).to.equal(78);
    expect(missing.stderr).to.contain("none.toml");
    const file = path.join(folder, "bad.toml");
    fs.writeFileSync(file, 'nodeName = "x"\n[listen]\nfront = 5\n');
    const malformed = await run(["bin/parsleynotch.js", "gateway", "--settings", file]);
    expect(malformed.code).to.equal(78);
    expect(malformed.stderr).to.contain("bad-settings");
  });

  it("should not be blocked by a log that nobody reads", async () => {
    // The reader of standard output stops reading. A process that writes to the pipe synchronously blocks once the pipe
    // is full, and all its requests with it. Here 20 MB of lines are logged, and only lines may be lost.
    const args = ["--import=tsx", "test/fixtures/chattyProcess.ts"];
    const child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
    let stderr = "";
    child.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString()));
    await new Promise((resolve) => child.on("exit", resolve));
    expect(stderr).to.equal("through");
  });
});
