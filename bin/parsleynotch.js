#!/usr/bin/env node
// Runs the TypeScript sources through tsx's loader, so that no build step is needed.
import { register } from "tsx/esm/api";

register();
await import("../src/cli/main.ts");
