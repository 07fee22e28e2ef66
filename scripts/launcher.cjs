// The start of the built program (target/parsleynotch.cjs). A gateway node runs as one script with V8's code cache beside
// it, so that a start doesn't compile it again; every other subcommand is loaded from modules.
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

/** Undefined where there is none: the script is compiled then, as with a cache of another V8 or other options. */
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
