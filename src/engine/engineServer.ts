/**
 * The model engine stand-in process: OpenAI-compatible completions with simulated token timing, and a JSON-RPC
 * control endpoint for orders (load, unload, role) with fencing numbers. It has no real weights.
 */
import * as http from "node:http";
import * as crypto from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as Schema from "effect/Schema";
import { DisposableStore } from "../common/disposables.ts";
import * as protocol from "../common/engineProtocol.ts";
import { Failure } from "../common/errors.ts";
import { decode } from "../common/decode.ts";
import { headerOf, readJson, serve } from "../common/http.ts";
import { createLog } from "../common/log.ts";
import { CompletionRequest, headers, promptOf } from "../common/openai.ts";
import { PlatformClient } from "../common/platformClient.ts";
import { decodeParams, RpcEndpoint } from "../common/rpc.ts";
import { Priority } from "../common/template.ts";
import { Batcher, type BatcherOptions } from "./batcher.ts";
import { Memory, type FencingPolicy } from "./memory.ts";
import { OrderFaults, OrderExecutor } from "./orderExecutor.ts";
import { CompletionWriter } from "./completionWriter.ts";

/** Options of an `EngineServer`. */
export interface EngineServerOptions {
  readonly id?: string;
  readonly zone?: string;
  readonly host?: string;
  readonly port?: number;
  readonly capacityMb?: number;
  readonly fencingPolicy?: FencingPolicy;
  /** Platform URL for fetching weights; without it, loads take `loadMs` and skip the weight store. */
  readonly platformUrl?: string;
  /** Time a load takes after the weights have been fetched, in ms. */
  readonly loadMs?: number;
  /** Maximum age of the reported load, in ms. */
  readonly reportLagMs?: number;
  readonly batcher?: BatcherOptions;
}

const defaults = {
  id: "engine",
  zone: "zone-a",
  host: "127.0.0.1",
  port: 0,
  capacityMb: 80_000,
  fencingPolicy: "refuse" as FencingPolicy,
  platformUrl: "",
  loadMs: 50,
  reportLagMs: 500,
};

/** Timeout of one model's weight transfer, in ms. */
const weightsTimeoutMs = 60_000;
const RoleParams = Schema.Struct({ role: Schema.String, fencing: Schema.Number });

/** Serves completions and orders until disposed. */
export class EngineServer {
  readonly memory: Memory;
  /** The bound port, after `start`. */
  port = 0;
  private readonly options: typeof defaults;
  private readonly batcher: Batcher;
  private readonly store = new DisposableStore();
  private readonly log;
  private readonly orders: OrderExecutor;
  private role = "mixed";
  private drainStartedAt: number | undefined;
  private received = 0;
  private receivedAfterDrain = 0;
  private readonly boot = crypto.randomUUID();
  private reportedLoad = 0;

  constructor(options: EngineServerOptions = {}) {
    this.options = { ...defaults, ...options };
    this.memory = new Memory(this.options.capacityMb, this.options.fencingPolicy);
    this.batcher = new Batcher(options.batcher);
    this.log = createLog(`engine:${this.options.id}`);
    const { platformUrl, loadMs } = this.options;
    this.orders = this.store.add(
      new OrderExecutor({
        memory: this.memory,
        log: this.log,
        platform:
          platformUrl === ""
            ? undefined
            : new PlatformClient({ url: platformUrl, timeoutMs: weightsTimeoutMs }),
        loadMs,
      }),
    );
  }

  /** Binds and serves; resolves with the port. */
  async start(): Promise<number> {
    const endpoint = new RpcEndpoint({
      "engine.load": (p) => this.statusAfter(this.orders.load(decodeParams(protocol.LoadOrder, p))),
      "engine.unload": (p) => this.statusAfter(this.orders.unload(decodeParams(protocol.UnloadOrder, p))),
      "engine.faults": (p) => {
        this.orders.faults = decodeParams(OrderFaults, p);
        return Promise.resolve(this.orders.faults);
      },
      "engine.role": (p) => Promise.resolve(this.setRole(decodeParams(RoleParams, p))),
      "engine.status": () => Promise.resolve(this.status()),
      "engine.report": (p) => Promise.resolve(this.report(decodeParams(protocol.ReportParams, p))),
      "engine.drain": () => Promise.resolve(this.drain()),
    });
    this.port = await serve({
      host: this.options.host,
      port: this.options.port,
      store: this.store,
      handle: (req, res) => (req.url === "/rpc" ? endpoint.handle(req, res) : this.complete(req, res)),
    });
    this.store.add(() => {
      this.batcher.dispose();
    });
    this.store.interval(() => {
      this.reportedLoad = this.batcher.inFlight;
    }, this.options.reportLagMs);
    this.log.info({ event: "listening", port: this.port, capacityMb: this.options.capacityMb });
    return this.port;
  }

  /**
   * Starts draining (SIGTERM or `engine.drain`): the status reports it at once, new completions are rejected
   * with `draining`, and streams in flight run to completion.
   */
  drain(): protocol.EngineStatus {
    this.drainStartedAt ??= Date.now();
    this.log.info({ event: "draining" });
    return this.status();
  }

  /** Resolves when no stream is in flight, or after `timeoutMs`. */
  async waitUntilIdle(timeoutMs: number): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (this.batcher.inFlight > 0 && Date.now() < until) await sleep(20);
  }

  /** Stops serving and cancels streams. */
  async dispose(): Promise<void> {
    await this.store.dispose();
  }

  /** The engine's own report; `load` lags by up to `reportLagMs`. */
  status(): protocol.EngineStatus {
    return {
      id: this.options.id,
      zone: this.options.zone,
      capacityMb: this.memory.capacityMb,
      usedMb: this.memory.usedMb,
      residents: this.memory.list(),
      load: this.reportedLoad,
      slots: this.batcher.maxBatch,
      boot: this.boot,
      revision: this.memory.revision,
      fencing: this.memory.fencing,
      role: this.role,
      draining: this.drainStartedAt !== undefined,
      received: this.received,
      receivedAfterDrain: this.receivedAfterDrain,
    };
  }

  private async statusAfter(order: Promise<void>): Promise<protocol.EngineStatus> {
    await order;
    return this.status();
  }

  private report(known: typeof protocol.ReportParams.Type): protocol.EngineReport {
    const unchanged = known.boot === this.boot && known.revision === this.memory.revision;
    const draining = this.drainStartedAt !== undefined;
    return { load: this.reportedLoad, draining, ...(unchanged ? {} : { status: this.status() }) };
  }

  private setRole(params: typeof RoleParams.Type): protocol.EngineStatus {
    this.role = params.role;
    return this.status();
  }

  private async complete(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    if (req.method !== "POST" || (req.url !== "/v1/chat/completions" && req.url !== "/v1/completions")) {
      throw new Failure("bad-request", `no route ${req.method ?? ""} ${req.url ?? ""}`);
    }
    const request = decode(CompletionRequest, await readJson(req));
    this.received += 1;
    if (this.drainStartedAt !== undefined) {
      this.receivedAfterDrain += 1;
      throw new Failure("draining", `${this.options.id} is shutting down; send requests to another engine`);
    }
    if (this.memory.ready(request.model) === undefined) {
      throw new Failure("unknown-model", `${request.model} is not loaded on ${this.options.id}`);
    }
    const requestId = headerOf(req, headers.requestId) ?? crypto.randomUUID();
    const priority = Schema.decodeUnknownOption(Priority)(headerOf(req, headers.priority)).pipe((o) =>
      o._tag === "Some" ? o.value : "normal",
    );
    const chat = req.url === "/v1/chat/completions";
    const writer = new CompletionWriter(
      res,
      { id: requestId, model: request.model, chat },
      request.stream === true,
    );
    this.memory.acquireUse(request.model);
    const stream = this.batcher.add({
      requestId,
      priority,
      model: request.model,
      prompt: promptOf(request),
      resume: request.resume ?? 0,
      maxTokens: request.max_tokens ?? 16,
      onToken: (token) => {
        writer.writeToken(token);
      },
      onWaiting: () => {
        writer.writeKeepAlive();
      },
      onEnd: (reason) => {
        this.memory.releaseUse(request.model);
        writer.end(reason);
      },
    });
    // A disconnected caller cancels its stream, which frees the batch slot.
    res.on("close", () => {
      this.batcher.cancel(stream);
    });
  }
}
