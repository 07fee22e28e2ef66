/** `parsleynotch template create|apply|retire|list`: template commands for operators. */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import { Failure } from "../common/errors.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { TemplateStore } from "../common/templateStore.ts";

const platformOption = (): commander.Option =>
  new commander.Option("--platform <url>", "base URL of the platform (table service)")
    .env("PARSLEYNOTCH_PLATFORM")
    .default("http://127.0.0.1:7000");

/** The `template` command group. */
export function templateCommand(): commander.Command {
  const group = new commander.Command("template").description("Create, change, retire and list templates");
  group
    .command("create")
    .description("Create a template from a JSON file; fails if a template of that name exists")
    .argument("<file>", "template JSON file")
    .addOption(platformOption())
    .action(async (file: string, opts: { platform: string }) => {
      const version = await store(opts.platform).create(await readTemplate(file));
      print({ created: true, version });
    });
  group
    .command("apply")
    .description("Change a template; with --expect-version the change applies only to that version")
    .argument("<file>", "template JSON file")
    .addOption(platformOption())
    .option("--expect-version <n>", "version the change is based on")
    .action(async (file: string, opts: { platform: string; expectVersion?: string }) => {
      const version = await store(opts.platform).apply(
        await readTemplate(file),
        parseVersion(opts.expectVersion),
      );
      print({ applied: true, version });
    });
  group
    .command("retire")
    .description("Retire a template: its models are unloaded and its customer loses access to them")
    .argument("<name>", "template name")
    .addOption(platformOption())
    .option("--expect-version <n>", "version the retirement is based on")
    .action(async (name: string, opts: { platform: string; expectVersion?: string }) => {
      const version = await store(opts.platform).retire(name, parseVersion(opts.expectVersion));
      print({ retired: true, version });
    });
  group
    .command("list")
    .description("List templates with their versions")
    .addOption(platformOption())
    .action(async (opts: { platform: string }) => {
      const stored = await store(opts.platform).list();
      print(
        stored.map((s) => ({
          name: s.template.name,
          customer: s.template.customer,
          version: s.version,
          retired: s.retired,
        })),
      );
    });
  return group;
}

function store(url: string): TemplateStore {
  return new TemplateStore(new PlatformClient({ url }));
}

async function readTemplate(file: string): Promise<unknown> {
  let text: string;
  try {
    text = await fs.readFile(file, "utf8");
  } catch {
    throw new Failure("bad-template", `cannot read ${file}`);
  }
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new Failure("bad-template", `${file} is not valid JSON`);
  }
}

function parseVersion(raw: string | undefined): number | undefined {
  if (raw === undefined) return undefined;
  const version = Number(raw);
  if (!Number.isInteger(version) || version < 0)
    throw new Failure("bad-settings", `--expect-version must be a whole number, got ${raw}`);
  return version;
}

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
