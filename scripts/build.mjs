// Bundles the program into target/, with parsleynotch.cjs as its entry point. The gateway is bundled as a single script
// with a code cache; each of the other subcommands is a chunk that is loaded on demand.
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
  // Names of classes and functions appear in errors and logs.
  keepNames: false,
  legalComments: "none",
};

/** Replaces parts of prom-client that the gateway doesn't use: they would load TLS, compression and child processes at startup. */
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
  // Escapes non-ASCII characters, so that V8 stores the script with one byte per character.
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
