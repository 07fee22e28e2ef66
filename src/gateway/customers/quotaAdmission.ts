/**
 * Applies the quotas of customers to requests. Active nodes decide alone; a standby node, which doesn't hear what the
 * others report, asks an active one.
 */
import * as Schema from "effect/Schema";
import { decode } from "../../common/decode.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { ClockJumpDetector, readClocks } from "../../serving/clockJumpDetector.ts";
import type { Customer } from "../../serving/customers/customer.ts";
import { QuotaCharge, QuotaDecision, type QuotaReport, type Quotas } from "../../serving/customers/quotas.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import type { ActiveConfiguration } from "../store/activeConfiguration.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import type { PeerTask } from "../membership/peerTask.ts";

/** Decisions made for other nodes are kept for this long, ms, as a call may be repeated. */
const decisionTtlMs = 1_000;

const AdmissionRequest = Schema.Struct({
  requestId: Schema.String,
  customer: Schema.String,
  promptTokens: Schema.Number,
  outputTokens: Schema.Number,
  route: Schema.String,
  /** Priority of the route. */
  priority: Schema.Number,
});

/** A request of a customer. */
export type AdmissionRequest = typeof AdmissionRequest.Type;

/** An admitted request; `refund` returns its tokens, as it was not run. */
export interface QuotaGrant {
  refund(): void;
}

/** Kinds of decisions, as labels of metrics. */
const outcomes = ["admitted", "refused"] as const;

/** The decision on a request. */
export type QuotaOutcome =
  { readonly kind: "admitted"; readonly grant: QuotaGrant } | Extract<QuotaDecision, { kind: "refused" }>;

/** Options of a `QuotaAdmission`. */
export interface QuotaAdmissionOptions {
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly quotas: Quotas;
  readonly configuration: ActiveConfiguration;
  readonly peers: Pick<PeerTask, "handle" | "call" | "notifyOne">;
  readonly active: () => boolean;
  /** Active nodes, nearest first. */
  readonly activePeers: () => readonly PeerAddress[];
}

/** Decides on requests, and applies changed quotas. */
export class QuotaAdmission {
  private readonly jumpDetector = new ClockJumpDetector();
  private readonly decisions = new Map<string, QuotaDecision>();
  /** Customers with metrics; those of earlier configurations are removed. */
  private readonly counted = new Set<string>();

  constructor(private readonly options: QuotaAdmissionOptions) {
    const { configuration, quotas, peers } = options;
    configuration.changed.on(({ customers }) => {
      this.apply(customers?.customers ?? []);
    });
    peers.handle("quota.admit", (params) => this.admitForPeer(decode(AdmissionRequest, params)));
    peers.handle("quota.refund", (params) => {
      quotas.refund(decode(QuotaCharge, params), performance.now());
    });
  }

  /** Charges the request to its customer's quota, or refuses it. */
  async admit(request: AdmissionRequest): Promise<QuotaOutcome> {
    const { active, activePeers, metrics } = this.options;
    const [peer] = active() ? [] : activePeers();
    const outcome = await (peer === undefined ? this.admitHere(request) : this.admitAt(peer, request));
    this.counted.add(request.customer);
    metrics.customerRequests.inc({ customer: request.customer, outcome: outcome.kind });
    return outcome;
  }

  /** What this node reports to the others now; call it once per reporting period. */
  nextReport(): QuotaReport | undefined {
    if (this.jumpDetector.detectJump(readClocks())) this.reset();
    return this.options.quotas.nextReport();
  }

  /** The node hasn't heard the reports of the others for some time. */
  reset(): void {
    this.options.quotas.reset(performance.now());
  }

  private apply(customers: readonly Customer[]): void {
    const { quotas, metrics } = this.options;
    quotas.apply(customers, performance.now());
    const names = new Set(customers.map(({ name }) => name));
    for (const customer of this.counted) {
      if (names.has(customer)) continue;
      this.counted.delete(customer);
      for (const outcome of outcomes) metrics.customerRequests.remove({ customer, outcome });
    }
  }

  private admitHere(request: AdmissionRequest): QuotaOutcome {
    const { quotas } = this.options;
    const decision = quotas.admit(request.customer, request, performance.now());
    return toOutcome(decision, (charge) => {
      quotas.refund(charge, performance.now());
    });
  }

  private async admitAt(peer: PeerAddress, request: AdmissionRequest): Promise<QuotaOutcome> {
    const { peers, log } = this.options;
    try {
      const decision = decode(QuotaDecision, await peers.call(peer, "quota.admit", request));
      return toOutcome(decision, (charge) => {
        peers.notifyOne("quota.refund", charge, peer);
      });
    } catch (error) {
      log.info({ event: "quota-not-asked", peer: peer.ip, detail: toFailure(error).message });
      return this.admitHere(request);
    }
  }

  private admitForPeer(request: AdmissionRequest): QuotaDecision {
    const { decisions } = this;
    const known = decisions.get(request.requestId);
    if (known !== undefined) return known;
    const decision = this.options.quotas.admit(request.customer, request, performance.now());
    decisions.set(request.requestId, decision);
    setTimeout(() => decisions.delete(request.requestId), decisionTtlMs).unref();
    return decision;
  }
}

function toOutcome(decision: QuotaDecision, refund: (charge: QuotaCharge) => void): QuotaOutcome {
  if (decision.kind === "refused") return decision;
  let { charge } = decision;
  return {
    kind: "admitted",
    grant: {
      refund: () => {
        if (charge !== undefined) refund(charge);
        charge = undefined;
      },
    },
  };
}
