/** What this node knows of the prefill and the streams at the engines, as it concerns one request. */
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import type { Service } from "../../serving/configuration.ts";
import type { EngineView } from "../../serving/decoding/decodingTracker.ts";
import {
  delayCostMs,
  isBounded,
  isSmallPrompt,
  typicalChunkMs,
  type StreamNeeds,
} from "../../serving/decoding/gapProjection.ts";
import type { Load } from "../../serving/loadTracker.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Options of `decodingViewOf`. */
export interface DecodingViewOptions {
  readonly context: GatewayContext;
  readonly service: Service;
  /** Of the request at the engine; see `Urgency`. */
  readonly rank: number;
}

/** The view at one time; undefined if the service has no engines or none of its routes has a gap limit. */
export function decodingViewOf(options: DecodingViewOptions, nowMs: number): DecodingView | undefined {
  const { context, service } = options;
  const gapLimitMs = context.configuration.current?.gapLimitMs(service.name);
  if (gapLimitMs === undefined || service.engine === undefined) return undefined;
  const { tokensPerEvent } = service.engine;
  return new DecodingView(options, { gapLimitMs, tokensPerEvent, stepMs: context.engineSpeed.stepMs }, nowMs);
}

/** Engine states for one request; each is computed once. */
export class DecodingView {
  private readonly engines = new Map<string, EngineView>();

  constructor(
    private readonly options: DecodingViewOptions,
    readonly needs: StreamNeeds,
    private readonly nowMs: number,
  ) {}

  /** State of the engine, with at least the pending prefill that its load states. */
  engineOf(server: BackendServer): EngineView {
    const known = this.engines.get(server.id);
    if (known !== undefined) return known;
    const { context, rank } = this.options;
    const incarnation = incarnationOf(server);
    const engine = context.decoding.viewOf(incarnation, rank, this.needs, this.nowMs);
    const { pendingMs } = context.loads.loadOf(server.id, this.nowMs);
    const view = { ...engine, pendingMs: Math.max(engine.pendingMs, pendingMs * engine.ratio) };
    this.engines.set(server.id, view);
    return view;
  }

  /** Load with the pending prefill that the engine serves before this request, corrected by what was observed. */
  loadOf(serverId: string): Load {
    const { context } = this.options;
    const load = context.loads.loadOf(serverId, this.nowMs);
    const server = load.pendingMs > 0 ? context.fleet.get(serverId) : undefined;
    if (server === undefined) return load;
    const { ratio, behindMs } = this.engineOf(server);
    const chunkMs = Math.min(behindMs, typicalChunkMs);
    return { ...load, pendingMs: (Math.max(0, load.pendingMs - behindMs) + chunkMs) * ratio };
  }

  /** Whether other nodes have to know at once that this prefill was sent to the engine. */
  isUrgentNews(server: BackendServer, prefillMs: number): boolean {
    const engine = this.engineOf(server);
    return !isBounded(engine, this.needs) && !isSmallPrompt(engine, this.needs, prefillMs);
  }

  /** Cost of the delay that the prefill causes to the streams at the engine, ms. */
  costMs(server: BackendServer, prefillMs: number): number {
    const { requests } = this.options.context.loads.loadOf(server.id, this.nowMs);
    return requests === 0 ? 0 : delayCostMs(this.engineOf(server), this.needs, prefillMs, requests);
  }
}
