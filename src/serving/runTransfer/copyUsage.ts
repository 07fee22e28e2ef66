/** Memory that copies of this node's runs occupy at engines, and the mean size of runs. */

/** Weight of the newest run in the mean size. */
const newestWeight = 0.02;

/** A copy at an engine. */
export interface CopyRecord {
  readonly service: string;
  readonly serverId: string;
  readonly tokens: number;
  /** When the engine drops it, ms; infinite while its run goes on. */
  untilMs: number;
}

/** Copies by engine. */
export class CopyUsage {
  private readonly copies = new Set<CopyRecord>();
  private readonly meanTokens = new Map<string, number>();

  /** A run of this size is sent to an engine of the service. */
  recordRun(service: string, tokens: number): void {
    const mean = this.meanTokens.get(service);
    this.meanTokens.set(service, mean === undefined ? tokens : mean + (tokens - mean) * newestWeight);
  }

  /** Mean size of the service's runs, tokens. */
  meanRunTokens(service: string): number {
    return this.meanTokens.get(service) ?? 0;
  }

  /** A copy is being made. */
  add(service: string, serverId: string, tokens: number): CopyRecord {
    const record = { service, serverId, tokens, untilMs: Number.POSITIVE_INFINITY };
    this.copies.add(record);
    return record;
  }

  /** The engine has dropped the copy: the run has ended successfully, or goes on from it. */
  remove(record: CopyRecord): void {
    this.copies.delete(record);
  }

  /** The copy stays until the engine drops it, as it isn't told that the run has ended otherwise. */
  expireAt(record: CopyRecord, untilMs: number): void {
    record.untilMs = untilMs;
  }

  /** Tokens of the copies at one engine. */
  tokensAt(serverId: string, nowMs: number): number {
    return this.sum(nowMs, (record) => record.serverId === serverId);
  }

  /** Tokens of the copies at all engines of the service. */
  tokensOf(service: string, nowMs: number): number {
    return this.sum(nowMs, (record) => record.service === service);
  }

  private sum(nowMs: number, isCounted: (record: CopyRecord) => boolean): number {
    let tokens = 0;
    for (const record of this.copies) {
      if (record.untilMs <= nowMs) this.copies.delete(record);
      else if (isCounted(record)) tokens += record.tokens;
    }
    return tokens;
  }
}
