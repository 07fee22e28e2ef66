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
const connectMs = 300;
/** Errors of a connection that its other end closed or reset; others are answers that can't be read. */
const cutCodes: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** What a stream's events are written to. */
export interface StreamSink {
  /** The first server's answer begins. */
  open(raw: readonly string[]): void;
  /** Writes whole events; false asks to wait for `drained`. */
  write(bytes: Buffer): boolean;
  /** Calls back once more may be written. */
  drained(callback: () => void): void;
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
export interface WholeAnswer {
  readonly facts: ResponseMetadata;
  readonly raw: readonly string[];
  readonly body: Buffer;
}

/**
 * How an attempt ended. `unreachable` and `not-run` promise that the server did not run the request; after
 * `broken`, `silent` and `timed-out` it may have. `timed-out` says nothing of the server: the caller's time
 * was over.
 */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly answer: WholeAnswer; readonly firstByteMs: number }
  | {
      readonly kind: "streamed";
      readonly firstByteMs: number;
      readonly timing: StreamTiming;
      /** The stream said itself where it ends, rather than by the end of its connection. */
      readonly framed: boolean;
    }
  | { readonly kind: "not-run"; readonly facts: ResponseMetadata }
  | { readonly kind: "unreachable"; readonly reason: string }
  | {
      readonly kind: "broken";
      readonly reason: string;
      readonly lastEvent: number | undefined;
      /** The connection ended before the answer did, as it does when the server's process ends. */
      readonly cut: boolean;
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
  answer(facts: ResponseMetadata): void;
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
  private sentWhole = false;
  private failed = false;
  private firstByteMs: number | undefined;
  private lastEvent: number | undefined;
  private events = 0;
  private lastEventMs = 0;
  private silence: NodeJS.Timeout | undefined;
  /** `silence` is the timer of a pause between events. */
  private pausing = false;
  private readonly overall: NodeJS.Timeout;
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
    this.overall = setTimeoutAfterInput(options.responseTimeoutMs, () => {
      this.end({ kind: "timed-out", reason: "time limit", lastEvent: this.lastEvent });
    });
    this.listen();
  }

  /** The caller left: the server is told by closing the connection. */
  cancel(): void {
    this.end({ kind: "cancelled" });
  }

  private listen(): void {
    this.req.on("socket", (socket) => {
      this.onSocket(socket);
    });
    this.req.on("finish", () => {
      this.sentWhole = true;
    });
    this.req.on("error", (error: NodeJS.ErrnoException) => {
      this.failed = true;
      const reason = error.code ?? error.message;
      // Without a connection nothing was sent, whatever became of it.
      if (!this.connected) this.end({ kind: "unreachable", reason });
      else this.broke(reason, cutCodes.has(reason));
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
    const timer = setTimeoutAfterInput(connectMs, () => {
      if (!this.connected) this.end({ kind: "unreachable", reason: "connect timeout" });
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
    this.watchSilence(this.options.firstByteTimeoutMs, "no first byte");
  }

  private watchSilence(ms: number, reason: string): void {
    clearTimeout(this.silence);
    if (this.settled) return;
    this.silence = setTimeout(() => {
      const { firstByteMs, events } = this;
      // What was waited for may be there, unread: then the timer was started anew or isn't needed any more.
      void waitForPendingInput().then(() => {
        if (this.firstByteMs !== firstByteMs || this.events !== events) return;
        const waitedMs = firstByteMs === undefined ? ms : undefined;
        this.end({ kind: "silent", reason, lastEvent: this.lastEvent, waitedMs });
      });
    }, ms);
  }

  /** Another event came: the pause after it is watched, by the timer of the pause before. */
  private watchPause(): void {
    if (this.pausing) {
      this.silence?.refresh();
      return;
    }
    this.pausing = true;
    this.watchSilence(this.options.eventGapTimeoutMs, "pause between events");
  }

  private onResponse(res: http.IncomingMessage): void {
    const facts = this.options.codec.readResponse(res.statusCode ?? 0, res.headers);
    // Guards "a caller gets another request's answer": a late second answer arrives where the next one is
    // due. The echoed id tells them apart; one without it belongs to no request.
    if (facts.requestId !== this.options.requestId) {
      this.broke("answer to another request", false);
      return;
    }
    this.listener.answer(facts);
    if (facts.notExecuted) {
      this.discard(res, facts);
      return;
    }
    if (this.options.sink !== undefined && facts.status === 200)
      this.relay(res, facts.framed, this.options.sink);
    else this.gather(res, facts);
  }

  /** Reads the rest of a refusal, so that the connection can be used again. */
  private discard(res: http.IncomingMessage, facts: ResponseMetadata): void {
    res.on("error", () => undefined);
    res.resume();
    this.keepOrClose();
    this.conclude({ kind: "not-run", facts });
  }

  private gather(res: http.IncomingMessage, facts: ResponseMetadata): void {
    const chunks: Buffer[] = [];
    this.sawFirstByte();
    clearTimeout(this.silence);
    res.on("data", (chunk: Buffer) => chunks.push(chunk));
    res.on("error", () => undefined);
    res.on("close", () => {
      this.broke("answer incomplete", true);
    });
    res.on("end", () => {
      if (this.failed || !res.complete) return;
      this.keepOrClose();
      const answer = { facts, raw: res.rawHeaders, body: Buffer.concat(chunks) };
      this.conclude({ kind: "answered", answer, firstByteMs: this.firstByteMs ?? 0 });
    });
  }

  private relay(res: http.IncomingMessage, framed: boolean, sink: StreamSink): void {
    const splitter = new EventSplitter();
    res.on("data", (chunk: Buffer) => {
      if (this.settled) return;
      const events = this.newOf(splitter.push(chunk));
      if (events.length === 0) return;
      if (this.firstByteMs === undefined) {
        this.sawFirstByte();
        sink.open(res.rawHeaders);
      }
      this.lastEvent = events.at(-1)?.id ?? this.lastEvent;
      this.events += events.length;
      this.lastEventMs = performance.now() - this.startedMs;
      this.watchPause();
      const bytes = events.length === 1 ? events[0]?.bytes : Buffer.concat(events.map((e) => e.bytes));
      if (bytes === undefined || sink.write(bytes)) return;
      res.pause();
      sink.drained(() => res.resume());
    });
    res.on("error", () => undefined);
    res.on("close", () => {
      this.broke("stream incomplete", true);
    });
    res.on("end", () => {
      if (this.failed || !res.complete || this.settled) return;
      this.keepOrClose();
      if (splitter.incomplete.length > 0) {
        this.broke("stream ended inside an event", true);
        return;
      }
      if (this.firstByteMs === undefined) sink.open(res.rawHeaders);
      const firstByteMs = this.firstByteMs ?? 0;
      this.conclude({ kind: "streamed", firstByteMs, timing: this.timing(), framed });
    });
  }

  private timing(): StreamTiming {
    const eventsMs = this.lastEventMs - (this.firstByteMs ?? 0);
    return { totalMs: this.lastEventMs, eventsMs, events: this.events };
  }

  private newOf(events: readonly StreamEvent[]): readonly StreamEvent[] {
    return this.options.afterEvent === undefined ? events : events.filter((event) => this.isNew(event.id));
  }

  /** Events already delivered by another server are passed over. */
  private isNew(id: number | undefined): boolean {
    return id === undefined || this.options.afterEvent === undefined || id > this.options.afterEvent;
  }

  private sawFirstByte(): void {
    if (this.firstByteMs !== undefined) return;
    this.firstByteMs = performance.now() - this.startedMs;
    this.listener.firstByte();
  }

  /**
   * Guards "a server reads other bytes where the rest of a body is due": an answer may come before the body
   * was sent, and the connection can't carry another request until all of it is out.
   */
  private keepOrClose(): void {
    if (!this.sentWhole) this.req.socket?.destroy();
  }

  private broke(reason: string, cut: boolean): void {
    this.end({ kind: "broken", reason, lastEvent: this.lastEvent, cut });
  }

  /** Settles and leaves the connection as it is. */
  private conclude(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.settled = true;
    clearTimeout(this.silence);
    clearTimeout(this.overall);
    this.settle(outcome);
  }

  /** Settles and ends the connection, which also cancels the work at the server. */
  private end(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.conclude(outcome);
    this.req.destroy();
  }
}
