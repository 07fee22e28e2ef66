/** Metrics of one gateway node (prom-client), in a separate registry. */
import * as prom from "prom-client";

const latencyBucketsS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15];

/** 0.9 to 1.1 is what a server should get. */
const shareBuckets = [0.1, 0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 4];

/**
 * Traffic between zones: of requests to servers and to nodes that they are passed on to, counted by the sender, and of
 * messages between nodes by method, counted by the sender, or by the receiver of the result of a large call.
 */
export type CrossZoneKind =
  "server-request" | "server-response" | "passed-on-request" | "passed-on-response" | `message:${string}`;

/** The metrics of one gateway node. */
export class GatewayMetrics {
  readonly registry = new prom.Registry();
  /** Completed requests, by route kind, service and outcome (a status or an error kind). */
  readonly requests = this.counter("requests_total", "Requests ended", ["kind", "service", "outcome"]);
  /** Requests checked against their customers' quotas, by outcome; only customers of the active configuration. */
  readonly customerRequests = this.counter("customer_requests_total", "Requests of customers", [
    "customer",
    "outcome",
  ]);
  /** What each customer can use now, over all nodes as far as this one knows, in the unit of its quota. */
  readonly quotaBalance = this.gauge("quota_balance", "What the customer can use now", ["customer"]);
  /** Share of the quotas that this node and those in contact with it use. */
  readonly quotaShare = this.gauge(
    "quota_share",
    "Share of the quotas in use, less than 1 while peers are lost",
  );
  /** Sends to servers, by service and outcome. */
  readonly attempts = this.counter("attempts_total", "Sends to servers", ["service", "outcome"]);
  /** Requests passed on to peers, by service and outcome. */
  readonly forwarded = this.counter("forwarded_requests_total", "Requests passed on to peers", [
    "service",
    "outcome",
  ]);
  /** Requests received from peers that can't connect to the servers, by service. */
  readonly receivedForwarded = this.counter("received_forwarded_requests_total", "Requests from peers", [
    "service",
  ]);
  /** Brittle servers, and how often one of them failed, as seen by this node. */
  readonly brittleServers = this.gauge(
    "brittle_servers",
    "Servers that fail if they have to reject many requests",
  );
  readonly brittleFailures = this.counter("brittle_server_failures_total", "Failures of brittle servers", [
    "service",
  ]);
  /** Sends whose connection ended before the response was complete, by service. */
  readonly lostConnections = this.counter(
    "cut_sends_total",
    "Sends whose connection ended before the answer",
    ["service"],
  );
  /** Software versions of a service's servers, and streams that callers resumed, by service. */
  readonly softwareVersions = this.gauge(
    "service_software_versions",
    "Software versions of a service's servers",
    ["service"],
  );
  readonly resumedStreams = this.counter(
    "resumed_streams_total",
    "Streams that callers resumed, by how their software version was found",
    ["service", "source"],
  );
  /** Streams whose software version peers were told. */
  readonly announcedStreams = this.counter(
    "announced_streams_total",
    "Streams whose software version peers were told",
    [],
  );
  /** Servers that are being paced, the requests that all nodes may have in flight there, and servers' relative speeds. */
  readonly pacedServers = this.gauge("paced_servers", "Servers whose requests in flight are paced", [
    "service",
  ]);
  readonly serverPace = this.gauge("server_pace", "Requests that may be in flight at paced servers", [
    "service",
  ]);
  readonly serverSpeed = this.gauge("server_speed", "Speed of servers relative to the typical one", [
    "service",
    "bound",
  ]);
  /** Once a second, for each server of a plain service: its responses over its share of the service's by speed. */
  readonly serverShare = new prom.Histogram({
    name: "parsleynotch_server_share",
    help: "Responses of each server over its share by speed",
    labelNames: ["service"],
    buckets: shareBuckets,
    registers: [this.registry],
  });
  /** Responses that stated no length and ended with their connection, by service. */
  readonly unframed = this.counter("unframed_responses_total", "Responses that ended with their connection", [
    "service",
  ]);
  /** Sends to servers with a known rate limit, by service. */
  readonly limitedSends = this.counter("limited_sends_total", "Sends to servers with a rate limit", [
    "service",
  ]);
  /** Sends that name another engine from whose cache to fetch a part of the prompt, by service. */
  readonly prefixFetches = this.counter(
    "prefix_fetches_total",
    "Sends that have an engine fetch a part of the prompt from another engine's cache",
    ["service"],
  );
  /** Prompts held back for the streams of their engine, by service and outcome; how long, s. */
  readonly heldPrompts = this.counter("held_prompts_total", "Prompts held back for running streams", [
    "service",
    "outcome",
  ]);
  readonly heldTime = this.histogram("held_prompt_seconds", "Time prompts were held back", ["service"]);
  /** Events that came later after the one before than the gap limit of the service, by service. */
  readonly longGaps = this.counter("event_gaps_over_limit_total", "Events later than the gap limit", [
    "service",
  ]);
  /** Prompt tokens of sends, by what told what the engine has cached, and by whether they were expected to be cached. */
  readonly prefixTokens = this.counter(
    "prefix_tokens_total",
    "Prompt tokens sent, by the source of knowledge about the cache and by expectation",
    ["service", "source", "expected"],
  );
  /** Calls to engines for what they have cached, by outcome, and gaps in their events, by reason. */
  readonly cacheReads = this.counter("cache_reads_total", "Reads of what engines have cached", ["outcome"]);
  readonly cacheGaps = this.counter("cache_event_gaps_total", "Gaps in the cache events of engines", [
    "reason",
  ]);
  /** Engines whose caches this node knows, and the age of what it knows of them. */
  readonly cachesKnown = this.gauge("caches_known", "Engines whose caches are known from fresh events");
  readonly cacheAge = this.gauge(
    "cache_knowledge_age_seconds",
    "Mean age of what is known of the caches of engines",
  );
  /** Decisions on backups of runs, moves off engines that leave, and continuations of runs that lost their engine, by service and outcome. */
  readonly runBackups = this.counter("run_backups_total", "Decisions on backups of runs", [
    "service",
    "outcome",
  ]);
  readonly runMoves = this.counter("run_moves_total", "Runs to be moved off engines that leave", [
    "service",
    "outcome",
  ]);
  readonly continuedRuns = this.counter(
    "continued_runs_total",
    "Runs that lost their engine and had a copy at another one, by kind of copy and outcome",
    ["service", "copy", "outcome"],
  );
  readonly lostRuns = this.counter(
    "lost_runs_total",
    "Runs with a copy whose connection was lost, by what is known of the run at its engine",
    ["service", "state"],
  );
  /** Size of the copies of runs, as expected from their tokens, by service and kind of copy. */
  readonly runCopyBytes = this.counter("run_copy_bytes_total", "Bytes of copies of runs", [
    "service",
    "copy",
  ]);
  /** Orders to engines, by action and outcome. */
  readonly orders = this.counter("orders_total", "Orders to engines", ["action", "outcome"]);
  /** Requests refused because this node was overloaded, by service. */
  readonly shed = this.counter("shed_requests_total", "Requests refused by an overloaded node", ["service"]);
  /** Connections closed unread because the accept queue was too long. */
  readonly closedUnread = this.counter(
    "closed_unread_total",
    "Connections closed before a request was read",
    [],
  );
  /** Time to the first byte for callers, s. */
  readonly firstByte = this.histogram("first_byte_seconds", "Arrival to first byte", ["kind", "service"]);
  /** Time from arrival to the first send, s. */
  readonly queued = this.histogram("queued_seconds", "Arrival to first send", ["service"]);
  /** Upper bound of the time a request was unread in the socket buffer, s. */
  readonly readLag = this.histogram("read_lag_seconds", "Arrival to reading, at most", []);
  /** 1 while this node is overloaded. */
  readonly overloaded = this.gauge("overloaded", "1 while this node has more to do than it can");
  /** Version of the active configuration. */
  readonly configVersion = this.gauge("config_version", "Version of the configuration in force");
  /** Time since which a newer configuration may have been acknowledged without this node knowing, s. */
  readonly configAge = this.gauge(
    "config_age_seconds",
    "Time since the configuration in force was last known to be the newest",
  );
  /** Refreshes of the configuration that decisions needed, by outcome. */
  readonly configRefreshes = this.counter(
    "config_refreshes_total",
    "Confirmations of the configuration asked for as decisions needed them",
    ["outcome"],
  );
  /** 1 while this node holds the placement lease. */
  readonly leaseHeld = this.gauge("lease_held", "1 while this node holds the placement lease");
  /** Messages sent to peers and results of calls received from them, and their bytes, by method. */
  private readonly peerMessages = this.counter("peer_messages_total", "Messages between nodes", ["method"]);
  private readonly peerBytes = this.counter("peer_message_bytes_total", "Bytes of messages between nodes", [
    "method",
  ]);
  /** Bytes exchanged with servers and nodes of other zones, by kind of traffic. */
  private readonly crossZoneBytes = new Map<CrossZoneKind, number>();
  /** Number of live peers. */
  readonly peers = this.gauge("peers_alive", "Peers heard from lately");
  /** Number of registered backend servers, and of those that this node can connect to. */
  readonly serversKnown = this.gauge("servers_known", "Registered backend servers");
  readonly serversReached = this.gauge(
    "servers_reached",
    "Registered backend servers that accept connections of this node",
  );
  /** How long this node has been unable to connect to any backend server, s; 0 while it can. */
  readonly noServerReachedFor = this.gauge(
    "no_server_reached_seconds",
    "Time since when no backend server accepts connections of this node",
  );
  /** Number of quarantined requests. */
  readonly quarantined = this.gauge("quarantined_requests", "Requests under which servers ended, held back");
  /** 1 while the store is reachable. */
  readonly storeReachable = this.gauge("store_reachable", "1 while the store answers");

  /** Era of the store; grows each time it is restored from a backup. */
  readonly storeEra = this.gauge("store_era", "Era of the store, which grows when it comes back from a copy");
  /** Registrations ignored because a newer one of the same server was known. */
  readonly outdatedRegistrations = this.counter(
    "outdated_registrations_total",
    "Registrations passed over as older than a known one",
    [],
  );

  recordPeerMessage(method: string, bytes: number): void {
    this.peerMessages.inc({ method });
    this.peerBytes.inc({ method }, bytes);
  }

  constructor() {
    const { registry, crossZoneBytes } = this;
    new prom.Counter({
      name: "parsleynotch_cross_zone_bytes_total",
      help: "Bytes exchanged with servers and nodes of other zones; callers' zones aren't known",
      labelNames: ["kind"],
      registers: [registry],
      collect() {
        this.reset();
        for (const [kind, bytes] of crossZoneBytes) this.inc({ kind }, bytes);
      },
    });
  }

  /** Sums up in a map, as this is called for each request and message; the counter is updated when it is read. */
  recordCrossZone(kind: CrossZoneKind, bytes: number): void {
    this.crossZoneBytes.set(kind, (this.crossZoneBytes.get(kind) ?? 0) + bytes);
  }

  private counter<T extends string>(name: string, help: string, labelNames: T[]): prom.Counter<T> {
    return new prom.Counter({ name: `parsleynotch_${name}`, help, labelNames, registers: [this.registry] });
  }

  private histogram<T extends string>(name: string, help: string, labelNames: T[]): prom.Histogram<T> {
    const options = { name: `parsleynotch_${name}`, help, labelNames, buckets: latencyBucketsS };
    return new prom.Histogram({ ...options, registers: [this.registry] });
  }

  private gauge<T extends string>(name: string, help: string, labelNames: T[] = []): prom.Gauge<T> {
    return new prom.Gauge({ name: `parsleynotch_${name}`, help, labelNames, registers: [this.registry] });
  }
}
