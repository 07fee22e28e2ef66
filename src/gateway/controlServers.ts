/** The small HTTP servers beside the callers' one: readiness, directory and metrics. */
import * as http from "node:http";
import { bind, close, sendJson } from "../common/http.ts";
import type { Task } from "../common/supervisor.ts";
import type { Endpoint } from "../serving/hostSettings.ts";

/** What one of them listens on and answers. */
export interface ControlServerOptions {
  readonly name: string;
  readonly endpoint: Endpoint;
  /** Handles a request; `url` is parsed from path and query. */
  readonly handle: (url: URL, res: http.ServerResponse) => void | Promise<void>;
}

/** One small server. */
export class ControlServer implements Task {
  readonly name: string;
  private readonly server: http.Server;

  constructor(private readonly options: ControlServerOptions) {
    this.name = options.name;
    this.server = http.createServer((req, res) => {
      const url = new URL(req.url ?? "/", "http://host");
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
