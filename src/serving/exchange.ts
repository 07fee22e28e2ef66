/** Metadata of one request, of one send to a server, and of one response. */

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** One part of a prompt; requests with the same leading parts can share cached prefixes. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata in the headers of a caller's request. */
export interface RequestMetadata {
  readonly requestId: string;
  readonly host: string;
  /** The caller's API key. A secret: for authentication only. */
  readonly apiKey: string | undefined;
  /** How long the caller waits, ms. */
  readonly deadlineMs: number | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly outputTokens: number;
  /** The caller's own estimate of the number of generated tokens. */
  readonly outputHint: number | undefined;
  readonly prefix: readonly PromptPart[];
  /** The caller resumes a stream after this event. */
  readonly lastEventId: number | undefined;
  /** Id of the request that brought the first event of the stream that the caller resumes. */
  readonly resumedRequestId: string | undefined;
}

/** The copy of a run at a server. */
export interface RunCopy {
  /** IP:PORT of the server that holds or made the copy. */
  readonly address: string;
  /** Identifies the copy there. */
  readonly handle: string;
}

/** Metadata that the gateway sets on a request to a server. */
export interface SendMetadata {
  /** The only incarnation that may run the request. */
  readonly serverId: string;
  /** Remaining time, ms. */
  readonly deadlineMs: number;
  /** 0 is the most urgent; only set if the service's servers rank requests. */
  readonly priority?: number | undefined;
  /** Resume a stream after this event. */
  readonly resumeAfterEventId?: number | undefined;
  readonly bodyBytes?: number | undefined;
  /** Name of the customer for whom the request runs. */
  readonly customer?: string | undefined;
  /** IP:PORT of the server from whose cache the server should fetch what it lacks of the prompt. */
  readonly fetchFrom?: string | undefined;
  /** IP:PORT of the server that keeps a copy of the run, so that it can continue the run. */
  readonly backupTo?: string | undefined;
  /** The copy of the run that the request continues. */
  readonly continueFrom?: RunCopy | undefined;
}

/** What a server states about itself in a response. */
export interface ServerNotice {
  /** Requests per second that it accepts from all nodes together; undefined without a limit. */
  readonly limitPerS: number | undefined;
  /** It is shutting down. */
  readonly leaving: boolean;
  /** Rejections per second above which it fails; undefined if it states none. */
  readonly rejectionsPerS: number | undefined;
  /** It asks this node not to send requests for this time, ms. */
  readonly retryAfterMs: number | undefined;
}

/** Metadata of a server's response, before its body. */
export interface ResponseMetadata {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The server states that it did not run the request. */
  readonly notExecuted: boolean;
  /** Another server has the address, or it lacks the model or adapter. */
  readonly wrongServer: boolean;
  readonly sealed: boolean;
  readonly contentLength: number | undefined;
  /** The response states its length; otherwise it ends with its connection, and a truncation is undetectable. */
  readonly framed: boolean;
  /** The server closes the connection after this idle time, s. */
  readonly keepAliveS: number | undefined;
  readonly closesConnection: boolean;
  readonly notice: ServerNotice;
}

/** Reads and writes the headers of requests and responses; the platform's header names are internal to it. */
export interface HeaderCodec {
  /** Reads the headers of a caller's request. */
  readRequest(headers: HeaderMap): RequestMetadata;
  /** Builds the raw header list of a request to a server. */
  forwardHeaders(raw: readonly string[], send: SendMetadata): string[];
  /** Builds the raw header list of a request that is passed on to another gateway node, as the caller sent it. */
  relayHeaders(
    raw: readonly string[],
    send: Pick<SendMetadata, "resumeAfterEventId" | "bodyBytes">,
  ): string[];
  /** Reads the headers of a server's response. */
  readResponse(status: number, headers: HeaderMap): ResponseMetadata;
  /** The end-to-end headers of a server's response, without framing headers. */
  responseHeaders(raw: readonly string[]): string[];
}
