// Entry point of the built program (target/parsleynotch.cjs). The gateway runs as a single script with V8's code cache
// next to it, so that it isn't compiled again at every start; all other subcommands are loaded as modules.
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

/** Returns undefined if there is no cache; the script is then compiled, as with a cache of another V8 version or options. */
function readCache(file) {
  try {
    return fs.readFileSync(file);
  } catch {
    return undefined;
  }
}

if (process.argv[2] === "gateway") {
  const filename = path.join(__dirname, "gateway.cjs");
  const cachedData = readCache(`${filename}.cache`);
  const script = new vm.Script(fs.readFileSync(filename, "latin1"), { filename, cachedData });
  script.runInThisContext()(require);
} else {
  void import("./commands.mjs");
}
