/** Counts one request towards the quota of its customer, until it turns out that it was not run. */
import type { Disposable } from "../../common/disposables.ts";
import type { Route } from "../../serving/configuration.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { QuotaGrant, QuotaOutcome, QuotaAdmission } from "../customers/quotaAdmission.ts";
import type { AttemptOutcome } from "./attempt.ts";

/** Options of a `QuotaCheck`. */
export interface QuotaCheckOptions {
  readonly quotas: Pick<QuotaAdmission, "admit">;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  /** Name of the customer. */
  readonly customer: string;
}

/** The quota of one request; disposing it returns the tokens if the request surely wasn't run. */
export class QuotaCheck implements Disposable {
  private grant: QuotaGrant | undefined;
  private mayHaveRun = false;

  constructor(private readonly options: QuotaCheckOptions) {}

  /** Charges the request to the quota. */
  async admit(): Promise<QuotaOutcome> {
    const { quotas, metadata, customer } = this.options;
    const { requestId, promptTokens, outputTokens } = metadata;
    const { name: route, priority } = this.options.route;
    const outcome = await quotas.admit({ requestId, customer, promptTokens, outputTokens, route, priority });
    if (outcome.kind === "admitted") this.grant = outcome.grant;
    return outcome;
  }

  /** The request is being sent, or passed on to a peer. */
  recordSend(): void {
    this.mayHaveRun = true;
  }

  /** Records the outcome of a send; `hasOtherRuns` if an earlier one may have run the request. */
  recordOutcome({ kind }: AttemptOutcome, hasOtherRuns: boolean): void {
    if (kind === "unreachable" || kind === "not-run") this.mayHaveRun = hasOtherRuns;
  }

  dispose(): void {
    if (!this.mayHaveRun) this.grant?.refund();
  }
}
