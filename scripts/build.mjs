// Bundles the program into target/parsleynotch: one file, plus a chunk per subcommand that is loaded when named.
import * as fs from "node:fs";
import * as esbuild from "esbuild";

fs.rmSync("target", { recursive: true, force: true });

await esbuild.build({
  entryPoints: { parsleynotch: "src/cli/main.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  splitting: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  // Class and function names show in errors and logs.
  keepNames: false,
  legalComments: "none",
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module"; const require = makeRequire(import.meta.url);',
  },
});
