/** HTTP servers for readiness, directory and metrics. */
import * as http from "node:http";
import { bind, close, sendJson } from "../../common/http.ts";
import type { Task } from "../../common/supervisor.ts";
import type { Registry } from "prom-client";
import type { Endpoint, HostSettings } from "../../serving/hostSettings.ts";

/** Options of a `ControlServer`. */
export interface ControlServerOptions {
  readonly name: string;
  readonly endpoint: Endpoint;
  /** Handles a request; `url` contains its path and query. */
  readonly handle: (url: URL, res: http.ServerResponse) => void | Promise<void>;
}

/** A single control server. */
export class ControlServer implements Task {
  readonly name: string;
  private readonly server: http.Server;

  constructor(private readonly options: ControlServerOptions) {
    this.name = options.name;
    this.server = http.createServer((req, res) => {
      const url = urlOf(req);
      if (url === undefined) {
        sendJson(res, 400, { error: "the path can't be parsed" });
        return;
      }
      Promise.resolve(options.handle(url, res)).catch((error: unknown) => {
        sendJson(res, 500, { error: String(error) });
      });
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async start(): Promise<void> {
    const { ip, port } = this.options.endpoint;
    await bind(this.server, ip, port);
  }

  async dispose(): Promise<void> {
    await close(this.server);
  }
}

/** Path and query of the request; a path that begins with two slashes would name a host. */
function urlOf({ url = "/" }: http.IncomingMessage): URL | undefined {
  const text = `http://host${url}`;
  return url.startsWith("/") && URL.canParse(text) ? new URL(text) : undefined;
}

/** Options of `createControlServers`. */
export interface ControlServersOptions {
  readonly settings: Pick<HostSettings, "readiness" | "directory" | "metrics">;
  /** Paths of the readiness check and the directory. */
  readonly paths: { readonly readiness: string; readonly directory: string };
  readonly ready: () => boolean;
  /** Returns the directory response to a request with this query. */
  readonly directory: (query: URLSearchParams) => unknown;
  /** Returns the registry with current values. */
  readonly metrics: () => Registry;
}

/** Creates the readiness, directory and metrics servers of one node. */
export function createControlServers({
  settings,
  paths,
  ready,
  directory,
  metrics,
}: ControlServersOptions): ControlServer[] {
  return [
    new ControlServer({
      name: "readiness",
      endpoint: settings.readiness,
      handle: (url, res) => {
        const known = url.pathname === paths.readiness;
        sendJson(res, !known ? 404 : ready() ? 200 : 503, { ready: ready() });
      },
    }),
    new ControlServer({
      name: "directory",
      endpoint: settings.directory,
      handle: (url, res) => {
        if (url.pathname !== paths.directory) sendJson(res, 404, { error: "not found" });
        else sendJson(res, 200, directory(url.searchParams));
      },
    }),
    new ControlServer({
      name: "metrics",
      endpoint: settings.metrics,
      handle: async (_url, res) => {
        const registry = metrics();
        res.writeHead(200, { "content-type": registry.contentType });
        res.end(await registry.metrics());
      },
    }),
  ];
}
