/** What the gateway knows of one request, of one send to a server, and of one answer. */

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** One part of a prompt; requests that share the leading parts can share their cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say. */
export interface RequestMetadata {
  readonly requestId: string;
  readonly host: string;
  /** How long the caller waits, ms. */
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  /** Most tokens that may be generated. */
  readonly outputTokens: number;
  /** The caller's own estimate of the tokens generated. */
  readonly outputHint: number | undefined;
  readonly prefix: readonly PromptPart[];
  /** The caller resumes a stream after this event. */
  readonly lastEventId: number | undefined;
}

/** What the gateway sets on a request to a server. */
export interface SendMetadata {
  /** The only incarnation that may run it. */
  readonly serverId: string;
  /** Time left, ms. */
  readonly deadlineMs: number;
  /** 0 is the most urgent; only where the service's servers rank requests. */
  readonly priority?: number | undefined;
  /** Continue a stream after this event. */
  readonly resumeAfterEventId?: number | undefined;
  readonly bodyBytes?: number | undefined;
}

/** What a server says of itself with an answer. */
export interface ServerNotice {
  /** Requests per second that it accepts from all nodes together; undefined without a limit. */
  readonly limitPerS: number | undefined;
  /** It shuts down soon. */
  readonly leaving: boolean;
  /** It asks this node not to send to it for this time, ms. */
  readonly retryAfterMs: number | undefined;
}

/** What a server's answer says, before its body. */
export interface ResponseMetadata {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The server states that it did not run the request. */
  readonly notExecuted: boolean;
  /** Another server has the address, or the model or adapter is not there. */
  readonly wrongServer: boolean;
  readonly sealed: boolean;
  readonly contentLength: number | undefined;
  /** The answer says where it ends; else it ends with its connection, and may have been cut off unseen. */
  readonly framed: boolean;
  /** After this idle time the server closes the connection, s. */
  readonly keepAliveS: number | undefined;
  readonly closesConnection: boolean;
  readonly notice: ServerNotice;
}

/** Reads and writes the headers of requests and answers; the platform's names stay behind it. */
export interface HeaderCodec {
  /** Reads a caller's request. */
  readRequest(headers: HeaderMap): RequestMetadata;
  /** The raw header list of a request to a server. */
  forwardHeaders(raw: readonly string[], send: SendMetadata): string[];
  /** Reads a server's answer. */
  readResponse(status: number, headers: HeaderMap): ResponseMetadata;
  /** The end-to-end headers of a server's answer, without framing. */
  responseHeaders(raw: readonly string[]): string[];
}
