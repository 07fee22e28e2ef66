/** One send of a request to one backend server, until its outcome is known. */
import * as http from "node:http";
import type * as net from "node:net";
import { setTimeoutAfterInput, waitForPendingInput } from "../common/readWatermark.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { StreamTiming } from "../serving/engineSpeed.ts";
import { EventSplitter, type StreamEvent } from "../serving/eventSplitter.ts";
import type { ResponseMetadata, HeaderCodec } from "../serving/exchange.ts";
import { parseEndpoint } from "../serving/hostSettings.ts";

/** Time to set up a connection, ms: some ten round trips between zones; a lost first packet takes 1 s. */
const connectTimeoutMs = 300;
/** Errors of a connection that its other end closed or reset; others are answers that can't be read. */
const connectionLossCodes: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** What a stream's events are written to. */
export interface StreamSink {
  /** The first server's answer begins. */
  open(rawHeaders: readonly string[]): void;
  /** Writes whole events; false asks to wait for `drained`. */
  write(bytes: Buffer): boolean;
  /** Calls back once more may be written. */
  onDrain(callback: () => void): void;
}

/** What to send, and how long to wait. */
export interface AttemptOptions {
  readonly server: BackendServer;
  readonly agent: http.Agent;
  readonly codec: HeaderCodec;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly requestId: string;
  /** Given for streams. */
  readonly sink: StreamSink | undefined;
  /** Events up to this one were delivered already. */
  readonly afterEvent: number | undefined;
  /** Without a first byte after this time the server counts as silent, ms. */
  readonly firstByteTimeoutMs: number;
  /** A pause between events longer than this counts as silent, ms. */
  readonly eventGapTimeoutMs: number;
  /** The whole answer must be there after this time, ms. */
  readonly responseTimeoutMs: number;
}

/** A whole answer, not a stream. */
export interface BufferedResponse {
  readonly metadata: ResponseMetadata;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/**
 * How an attempt ended. `unreachable` and `not-run` promise that the server did not run the request; after
 * `broken`, `silent` and `timed-out` it may have. `timed-out` says nothing of the server: the caller's time
 * was over.
 */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly response: BufferedResponse; readonly firstByteMs: number }
  | {
      readonly kind: "streamed";
      readonly firstByteMs: number;
      readonly timing: StreamTiming;
      /** The stream said itself where it ends, rather than by the end of its connection. */
      readonly framed: boolean;
    }
  | { readonly kind: "not-run"; readonly metadata: ResponseMetadata }
  | { readonly kind: "unreachable"; readonly reason: string }
  | {
      readonly kind: "broken";
      readonly reason: string;
      readonly lastEvent: number | undefined;
      /** The connection ended before the answer did, as it does when the server's process ends. */
      readonly connectionLost: boolean;
    }
  | {
      readonly kind: "silent";
      readonly reason: string;
      readonly lastEvent: number | undefined;
      /** Given where not even a first byte came: how long it was waited for, ms. */
      readonly waitedMs: number | undefined;
    }
  | { readonly kind: "timed-out"; readonly reason: string; readonly lastEvent: number | undefined }
  | { readonly kind: "cancelled" };

/** Told of an attempt's progress. */
export interface AttemptListener {
  /** The server answers this request. */
  answer(metadata: ResponseMetadata): void;
  /** The first byte of the body, or the first event, is there. */
  firstByte(): void;
}

/** Sends once. */
export class Attempt {
  /** Resolves with the outcome; never rejects. */
  readonly outcome: Promise<AttemptOutcome>;
  private readonly req: http.ClientRequest;
  private settle!: (outcome: AttemptOutcome) => void;
  private settled = false;
  private connected = false;
  private requestSent = false;
  private requestFailed = false;
  private firstByteMs: number | undefined;
  private lastEvent: number | undefined;
  private eventCount = 0;
  private lastEventMs = 0;
  private idleTimer: NodeJS.Timeout | undefined;
  /** `silence` is the timer of a pause between events. */
  private watchingEventGap = false;
  private readonly responseTimer: NodeJS.Timeout;
  private readonly startedMs = performance.now();

  constructor(
    private readonly options: AttemptOptions,
    private readonly listener: AttemptListener,
  ) {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
    this.lastEvent = options.afterEvent;
    const endpoint = parseEndpoint(options.server.address);
    this.req = http.request({
      agent: options.agent,
      host: endpoint?.ip ?? "0.0.0.0",
      port: endpoint?.port ?? 0,
      method: options.method,
      path: options.path,
      headers: options.headers,
      setHost: false,
    });
    this.responseTimer = setTimeoutAfterInput(options.responseTimeoutMs, () => {
      this.abortWith({ kind: "timed-out", reason: "time limit", lastEvent: this.lastEvent });
    });
    this.listen();
  }

  /** The caller left: the server is told by closing the connection. */
  cancel(): void {
    this.abortWith({ kind: "cancelled" });
  }

  private listen(): void {
    this.req.on("socket", (socket) => {
      this.onSocket(socket);
    });
    this.req.on("finish", () => {
      this.requestSent = true;
    });
    this.req.on("error", (error: NodeJS.ErrnoException) => {
      this.requestFailed = true;
      const reason = error.code ?? error.message;
      // Without a connection nothing was sent, whatever became of it.
      if (!this.connected) this.abortWith({ kind: "unreachable", reason });
      else this.endBroken(reason, connectionLossCodes.has(reason));
    });
    this.req.on("response", (res) => {
      this.onResponse(res);
    });
  }

  private onSocket(socket: net.Socket): void {
    if (!socket.connecting) {
      this.onConnected();
      this.req.end(this.options.body);
      return;
    }
    const timer = setTimeoutAfterInput(connectTimeoutMs, () => {
      if (!this.connected) this.abortWith({ kind: "unreachable", reason: "connect timeout" });
    });
    socket.once("connect", () => {
      clearTimeout(timer);
      this.onConnected();
      // The caller may have left while the connection was made.
      void waitForPendingInput().then(() => {
        if (!this.settled) this.req.end(this.options.body);
      });
    });
    socket.once("close", () => {
      clearTimeout(timer);
    });
  }

  private onConnected(): void {
    this.connected = true;
    this.startIdleTimer(this.options.firstByteTimeoutMs, "no first byte");
  }

  private startIdleTimer(ms: number, reason: string): void {
    clearTimeout(this.idleTimer);
    if (this.settled) return;
    this.idleTimer = setTimeout(() => {
      const { firstByteMs, eventCount } = this;
      // What was waited for may be there, unread: then the timer was started anew or isn't needed any more.
      void waitForPendingInput().then(() => {
        if (this.firstByteMs !== firstByteMs || this.eventCount !== eventCount) return;
        const waitedMs = firstByteMs === undefined ? ms : undefined;
        this.abortWith({ kind: "silent", reason, lastEvent: this.lastEvent, waitedMs });
      });
    }, ms);
  }

  /** Another event came: the pause after it is watched, by the timer of the pause before. */
  private watchEventGap(): void {
    if (this.watchingEventGap) {
      this.idleTimer?.refresh();
      return;
    }
    this.watchingEventGap = true;
    this.startIdleTimer(this.options.eventGapTimeoutMs, "pause between events");
  }

  private onResponse(res: http.IncomingMessage): void {
    const metadata = this.options.codec.readResponse(res.statusCode ?? 0, res.headers);
    // Guards "a caller gets another request's answer": a late second answer arrives where the next one is
    // due. The echoed id tells them apart; one without it belongs to no request.
    if (metadata.requestId !== this.options.requestId) {
      this.endBroken("answer to another request", false);
      return;
    }
    this.listener.answer(metadata);
    if (metadata.notExecuted) {
      this.discardBody(res, metadata);
      return;
    }
    if (this.options.sink !== undefined && metadata.status === 200)
      this.relayStream(res, metadata.framed, this.options.sink);
    else this.bufferBody(res, metadata);
  }

  /** Reads the rest of a refusal, so that the connection can be used again. */
  private discardBody(res: http.IncomingMessage, metadata: ResponseMetadata): void {
    res.on("error", () => undefined);
    res.resume();
    this.closeIfRequestUnsent();
    this.settleWith({ kind: "not-run", metadata });
  }

  private bufferBody(res: http.IncomingMessage, metadata: ResponseMetadata): void {
    const chunks: Buffer[] = [];
    this.recordFirstByte();
    clearTimeout(this.idleTimer);
    res.on("data", (chunk: Buffer) => chunks.push(chunk));
    res.on("error", () => undefined);
    res.on("close", () => {
      this.endBroken("answer incomplete", true);
    });
    res.on("end", () => {
      if (this.requestFailed || !res.complete) return;
      this.closeIfRequestUnsent();
      const response = { metadata, rawHeaders: res.rawHeaders, body: Buffer.concat(chunks) };
      this.settleWith({ kind: "answered", response, firstByteMs: this.firstByteMs ?? 0 });
    });
  }

  private relayStream(res: http.IncomingMessage, framed: boolean, sink: StreamSink): void {
    const splitter = new EventSplitter();
    res.on("data", (chunk: Buffer) => {
      if (this.settled) return;
      const events = this.undeliveredOf(splitter.push(chunk));
      if (events.length === 0) return;
      if (this.firstByteMs === undefined) {
        this.recordFirstByte();
        sink.open(res.rawHeaders);
      }
      this.lastEvent = events.at(-1)?.id ?? this.lastEvent;
      this.eventCount += events.length;
      this.lastEventMs = performance.now() - this.startedMs;
      this.watchEventGap();
      const bytes = events.length === 1 ? events[0]?.bytes : Buffer.concat(events.map((e) => e.bytes));
      if (bytes === undefined || sink.write(bytes)) return;
      res.pause();
      sink.onDrain(() => res.resume());
    });
    res.on("error", () => undefined);
    res.on("close", () => {
      this.endBroken("stream incomplete", true);
    });
    res.on("end", () => {
      if (this.requestFailed || !res.complete || this.settled) return;
      this.closeIfRequestUnsent();
      if (splitter.incomplete.length > 0) {
        this.endBroken("stream ended inside an event", true);
        return;
      }
      if (this.firstByteMs === undefined) sink.open(res.rawHeaders);
      const firstByteMs = this.firstByteMs ?? 0;
      this.settleWith({ kind: "streamed", firstByteMs, timing: this.timing(), framed });
    });
  }

  private timing(): StreamTiming {
    const eventsMs = this.lastEventMs - (this.firstByteMs ?? 0);
    return { totalMs: this.lastEventMs, eventsMs, events: this.eventCount };
  }

  private undeliveredOf(events: readonly StreamEvent[]): readonly StreamEvent[] {
    return this.options.afterEvent === undefined
      ? events
      : events.filter((event) => this.isUndelivered(event.id));
  }

  /** Events already delivered by another server are passed over. */
  private isUndelivered(id: number | undefined): boolean {
    return id === undefined || this.options.afterEvent === undefined || id > this.options.afterEvent;
  }

  private recordFirstByte(): void {
    if (this.firstByteMs !== undefined) return;
    this.firstByteMs = performance.now() - this.startedMs;
    this.listener.firstByte();
  }

  /**
   * Guards "a server reads other bytes where the rest of a body is due": an answer may come before the body
   * was sent, and the connection can't carry another request until all of it is out.
   */
  private closeIfRequestUnsent(): void {
    if (!this.requestSent) this.req.socket?.destroy();
  }

  private endBroken(reason: string, connectionLost: boolean): void {
    this.abortWith({ kind: "broken", reason, lastEvent: this.lastEvent, connectionLost });
  }

  /** Settles and leaves the connection as it is. */
  private settleWith(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.idleTimer);
    clearTimeout(this.responseTimer);
    this.settle(outcome);
  }

  /** Settles and ends the connection, which also cancels the work at the server. */
  private abortWith(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.settleWith(outcome);
    this.req.destroy();
  }
}
