#!/usr/bin/env node
// Runs the TypeScript sources through tsx's loader, so the repo needs no build step.
import { register } from "tsx/esm/api";

register();
await import("../src/cli/main.ts");
