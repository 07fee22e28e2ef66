/** Runs the built gateway as a separate process and measures its CPU time. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as path from "node:path";

/** Node.js options as in deploy/system.toml. */
const nodeOptions = ["--max-old-space-size=128", "--max-semi-space-size=2"];
const readyTimeoutMs = 20_000;
const readyPollMs = 10;

/** Options of a `GatewayProcess`. */
export interface GatewayProcessOptions {
  readonly ip: string;
  readonly zone: string;
  readonly strength: number;
  readonly seeds: readonly string[];
  readonly store: string;
  /** Directory for the settings file. */
  readonly folder: string;
}

/** A running gateway. */
export class GatewayProcess {
  private constructor(
    private readonly child: childProcess.ChildProcess,
    /** CPU time until the node was ready, ms. */
    readonly startMs: number,
  ) {}

  /** Starts a gateway and waits until it is ready. */
  static async start(options: GatewayProcessOptions): Promise<GatewayProcess> {
    const file = path.join(options.folder, "settings.toml");
    fs.writeFileSync(file, settings(options));
    const extra = (process.env.GATEWAY_NODE_OPTIONS ?? "").split(" ").filter((word) => word !== "");
    const bundle = path.resolve(import.meta.dirname, "../../target/parsleynotch.cjs");
    const args = [...nodeOptions, ...extra, bundle, "gateway", "--settings", file];
    const child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
    const deadline = performance.now() + readyTimeoutMs;
    while (!(await isReady(options.ip))) {
      if (performance.now() > deadline || child.exitCode !== null)
        throw new Error("the gateway exited or didn't become ready in time");
      await new Promise((resolve) => setTimeout(resolve, readyPollMs));
    }
    return new GatewayProcess(child, cpuMs(child));
  }

  /** CPU time used so far by all threads, ms. */
  get cpuMs(): number {
    return cpuMs(this.child);
  }

  /** Stops the process and waits for its exit. */
  async stop(): Promise<void> {
    const ended = new Promise((resolve) => this.child.once("exit", resolve));
    this.child.kill("SIGINT");
    await ended;
  }
}

/** User and system time of all threads, ms. */
function cpuMs({ pid }: childProcess.ChildProcess): number {
  const folder = `/proc/${pid ?? 0}/task`;
  const times = fs.readdirSync(folder).map((task) => {
    const [onProcessorNs] = fs.readFileSync(`${folder}/${task}/schedstat`, "utf8").split(" ");
    return Number(onProcessorNs) / 1e6;
  });
  return times.reduce((sum, ms) => sum + ms, 0);
}

function isReady(ip: string): Promise<boolean> {
  return new Promise((resolve) => {
    const req = http.get({ host: ip, port: 8141, path: "/readiness", agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("error", () => {
      resolve(false);
    });
  });
}

function settings({ ip, zone, strength, seeds, store }: GatewayProcessOptions): string {
  return `nodeName = "front-measured"
ip = "${ip}"
zone = "${zone}"
internalPorts = [7380,7395]
seeds = ${JSON.stringify(seeds.map((seed) => `${seed}:8144`))}
[listen]
front = "${ip}:8149"
ready = "${ip}:8141"
control = "${ip}:8144"
directory = "${ip}:8143"
[limits]
cpuShare = ${strength}
[bounds]
graceS = 8
drainMs = 2000
leaseMs = 3000
retryBudgetRatio = 0.2
retryBurst = 58
[platform]
address = "${store}"
`;
}
