// Bundles the program into target/: parsleynotch.cjs starts it. The gateway is one script with its code cache; the other
// subcommands are a chunk each that is loaded when named.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as esbuild from "esbuild";
import * as toml from "smol-toml";

const shared = {
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  minify: true,
  // Class and function names show in errors and logs.
  keepNames: false,
  legalComments: "none",
};

/** Parts of prom-client that the gateway doesn't use; they load TLS, compression and child processes at a start. */
const unusedMetricsParts = {
  name: "unused-metrics-parts",
  setup(build) {
    build.onLoad({ filter: /prom-client\/lib\/(pushgateway|cluster|defaultMetrics)\.js$/ }, () => ({
      contents: "module.exports = {};",
    }));
  },
};

fs.rmSync("target", { recursive: true, force: true });

await esbuild.build({
  ...shared,
  entryPoints: { commands: "src/cli/main.ts" },
  outExtension: { ".js": ".mjs" },
  splitting: true,
  format: "esm",
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module"; const require = makeRequire(import.meta.url);',
  },
});

await esbuild.build({
  ...shared,
  entryPoints: { gateway: "src/cli/gatewayMain.ts" },
  outExtension: { ".js": ".cjs" },
  format: "cjs",
  plugins: [unusedMetricsParts],
  // Characters beyond ASCII are escaped, so that the script is held as one byte each.
  charset: "ascii",
  banner: { js: "(function (require) { const module = { exports: {} };" },
  footer: { js: "})" },
});

fs.copyFileSync("scripts/launcher.cjs", "target/parsleynotch.cjs");

const { run } = toml.parse(fs.readFileSync("deploy/system.toml", "utf8")).roles.gateway;
const nodeOptions = run.split(" ").filter((word) => word.startsWith("--"));
childProcess.execFileSync(process.execPath, [
  ...nodeOptions,
  "scripts/writeCodeCache.mjs",
  "target/gateway.cjs",
]);
