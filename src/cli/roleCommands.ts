/** Subcommands that each run one role as a long-lived process; SIGTERM stops it gracefully. */
import * as commander from "commander";
import * as Schema from "effect/Schema";
import { routingPolicies } from "../entry/routingPolicies.ts";
import { placementPolicies } from "../placement/planners.ts";
import { EngineServer } from "../engine/engineServer.ts";
import { EntryNode } from "../entry/entryNode.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { PlatformServer } from "../platform/platformServer.ts";
import { ServiceServer } from "../service/serviceServer.ts";
import {
  AddressesSetting,
  AmountSetting,
  checkSettings,
  CountSetting,
  NameSetting,
  PortSetting,
  UrlSetting,
} from "./settings.ts";

const option = (flags: string, description: string, env: string, fallback: string): commander.Option =>
  new commander.Option(flags, description).env(`PARSLEYNOTCH_${env}`).default(fallback);

/** `parsleynotch entry`: the entry node of one entry host. */
export function entryCommand(): commander.Command {
  const EntrySettings = Schema.Struct({
    id: NameSetting,
    zone: NameSetting,
    platform: UrlSetting,
    host: Schema.String,
    port: PortSetting,
    pollMs: CountSetting,
    drainMs: CountSetting,
    attempts: CountSetting,
    idleTimeoutMs: CountSetting,
    leaseTtlMs: CountSetting,
    peers: AddressesSetting,
    placement: Schema.Literals(placementPolicies),
    routing: Schema.Literals(routingPolicies),
    loadsPerSecond: AmountSetting,
    loadsAtOnce: CountSetting,
  });
  return new commander.Command("entry")
    .description("Run an entry node: callers' API, routing, placement, /v1/addresses, /metrics")
    .addOption(option("--id <id>", "node id, unique among entry nodes", "ID", "entry-1"))
    .addOption(option("--zone <zone>", "availability zone of this host", "ZONE", "zone-a"))
    .addOption(
      option(
        "--platform <url>",
        "base URL of the platform (table service)",
        "PLATFORM",
        "http://127.0.0.1:7000",
      ),
    )
    .addOption(option("--host <ip>", "address to bind", "HOST", "127.0.0.1"))
    .addOption(option("--port <n>", "port to bind (0: any)", "PORT", "8080"))
    .addOption(option("--poll-ms <ms>", "polling period of config, fleet and placement", "POLL_MS", "500"))
    .addOption(
      option("--drain-ms <ms>", "maximum duration of the graceful drain on SIGTERM", "DRAIN_MS", "20000"),
    )
    .addOption(option("--attempts <n>", "maximum attempts per completion across replicas", "ATTEMPTS", "2"))
    .addOption(
      option("--idle-timeout-ms <ms>", "idle timeout of an engine connection", "IDLE_TIMEOUT_MS", "5000"),
    )
    .addOption(
      option(
        "--peers <urls>",
        "other entry nodes, comma-separated, queried while the platform is unavailable",
        "PEERS",
        "",
      ),
    )
    .addOption(option("--placement <policy>", placementPolicies.join(", "), "PLACEMENT", "demand"))
    .addOption(option("--routing <policy>", routingPolicies.join(", "), "ROUTING", "balanced"))
    .addOption(
      option(
        "--loads-per-second <n>",
        "model loads per second allowed by the weight store",
        "LOADS_PER_SECOND",
        "1",
      ),
    )
    .addOption(
      option(
        "--loads-at-once <n>",
        "concurrent model loads allowed by the weight store",
        "LOADS_AT_ONCE",
        "5",
      ),
    )
    .addOption(option("--lease-ttl-ms <ms>", "placement lease duration", "LEASE_TTL_MS", "3000"))
    .action(async (raw: unknown) => {
      const settings = checkSettings(EntrySettings, raw);
      const node = new EntryNode({ ...settings, platformUrl: settings.platform });
      const port = await node.start();
      process.stdout.write(`${JSON.stringify({ role: "entry", port })}\n`);
      stopOnSignal(() => node.drain());
    });
}

/** `parsleynotch platform`: the platform stand-in (table service, object store, weight store, host list). */
export function platformCommand(): commander.Command {
  const PlatformSettings = Schema.Struct({
    host: Schema.String,
    port: PortSetting,
    hostLagMs: AmountSetting,
    weightLoadsPerSecond: AmountSetting,
    weightConcurrent: CountSetting,
  });
  return new commander.Command("platform")
    .description("Run the platform stand-in: table service, object store, weight store, host list")
    .addOption(option("--host <ip>", "address to bind", "HOST", "127.0.0.1"))
    .addOption(option("--port <n>", "port to bind (0: any)", "PORT", "7000"))
    .addOption(option("--host-lag-ms <ms>", "lag of the host list", "HOST_LAG_MS", "2000"))
    .addOption(
      option(
        "--weight-loads-per-second <n>",
        "weight store: loads started per second",
        "WEIGHT_LOADS_PER_SECOND",
        "1",
      ),
    )
    .addOption(option("--weight-concurrent <n>", "weight store: concurrent loads", "WEIGHT_CONCURRENT", "5"))
    .action(async (raw: unknown) => {
      const s = checkSettings(PlatformSettings, raw);
      const server = new PlatformServer({
        host: s.host,
        port: s.port,
        hostLagMs: s.hostLagMs,
        weights: { loadsPerSecond: s.weightLoadsPerSecond, concurrent: s.weightConcurrent },
      });
      const port = await server.start();
      process.stdout.write(`${JSON.stringify({ role: "platform", port })}\n`);
      stopOnSignal(() => server.dispose());
    });
}

/** `parsleynotch engine`: a model-engine stand-in. */
export function engineCommand(): commander.Command {
  const EngineSettings = Schema.Struct({
    id: NameSetting,
    zone: NameSetting,
    host: Schema.String,
    port: PortSetting,
    capacityMb: CountSetting,
    fencing: Schema.Literals(["refuse", "ignore"]),
    platform: Schema.String,
    tokenMs: CountSetting,
    drainMs: CountSetting,
    register: Schema.Boolean,
  });
  return new commander.Command("engine")
    .description("Run a model-engine stand-in with simulated accelerator memory and token timing")
    .addOption(option("--id <id>", "engine id", "ID", "engine-1"))
    .addOption(option("--zone <zone>", "availability zone", "ZONE", "zone-a"))
    .addOption(option("--host <ip>", "address to bind", "HOST", "127.0.0.1"))
    .addOption(option("--port <n>", "port to bind (0: any)", "PORT", "9000"))
    .addOption(option("--capacity-mb <mb>", "accelerator memory", "CAPACITY_MB", "40000"))
    .addOption(
      option("--fencing <policy>", "handling of stale fencing tokens: refuse or ignore", "FENCING", "refuse"),
    )
    .addOption(
      option("--platform <url>", "platform URL from which weights are fetched ('' to skip)", "PLATFORM", ""),
    )
    .addOption(option("--token-ms <ms>", "time per token", "TOKEN_MS", "5"))
    .addOption(
      option("--drain-ms <ms>", "maximum wait for streams in flight on SIGTERM", "DRAIN_MS", "10000"),
    )
    .option("--register", "add this engine to the platform stand-in's host list", false)
    .action(async (raw: unknown) => {
      const s = checkSettings(EngineSettings, raw);
      const server = new EngineServer({
        ...s,
        fencingPolicy: s.fencing,
        platformUrl: s.platform,
        batcher: { tokenMs: s.tokenMs },
      });
      const port = await server.start();
      if (s.register) await register(s.platform, `http://${s.host}:${port}`, s.zone, "engine");
      process.stdout.write(`${JSON.stringify({ role: "engine", port })}\n`);
      stopOnSignal(async () => {
        server.drain();
        await server.waitUntilIdle(s.drainMs);
        await server.dispose();
      });
    });
}

/** `parsleynotch service`: a plain-service stand-in with an execution log. */
export function serviceCommand(): commander.Command {
  const ServiceSettings = Schema.Struct({
    name: NameSetting,
    host: Schema.String,
    port: PortSetting,
    callMs: AmountSetting,
  });
  return new commander.Command("service")
    .description("Run a plain-service stand-in (catalog, weighbridge, slips) that logs every execution")
    .addOption(option("--name <name>", "service name", "NAME", "catalog"))
    .addOption(option("--host <ip>", "address to bind", "HOST", "127.0.0.1"))
    .addOption(option("--port <n>", "port to bind (0: any)", "PORT", "9500"))
    .addOption(option("--call-ms <ms>", "duration of each call", "CALL_MS", "5"))
    .action(async (raw: unknown) => {
      const s = checkSettings(ServiceSettings, raw);
      const server = new ServiceServer(s);
      const port = await server.start();
      process.stdout.write(`${JSON.stringify({ role: "service", port })}\n`);
      stopOnSignal(() => server.dispose());
    });
}

async function register(
  platformUrl: string,
  address: string,
  zone: string,
  kind: "engine" | "service",
): Promise<void> {
  await new PlatformClient({ url: platformUrl }).setHost({ address, zone, kind, state: "live" });
}

function stopOnSignal(stop: () => Promise<void>): void {
  const handler = (): void => {
    stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once("SIGTERM", handler);
  process.once("SIGINT", handler);
}
