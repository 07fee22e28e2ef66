/**
 * Compares ways to keep a customer to its quota over all nodes, in virtual time: how far a window of eight seconds exceeds
 * the limit, what is refused though the customer asks less than its quota, and messages between nodes. Run with
 * `node --import=tsx test/costs/quotaWays.ts`.
 */
import {
  QuotaSimulation,
  ReportingKeeper,
  type QuotaKeeper,
  type QuotaSimulationOptions,
} from "../fixtures/quotaSimulation.ts";

const askDelayMs = 10;
const redealPeriodMs = 300;

/** One node grants tokens that others ask for in advance; they spend them within a second. */
class IssuingKeeper implements QuotaKeeper {
  messages = 0;
  private used = 0;
  private atMs = 0;
  private readonly credit: { tokens: number; atMs: number }[];
  private readonly rates: number[];

  constructor(private readonly options: QuotaSimulationOptions) {
    this.credit = Array.from({ length: options.nodes }, () => ({ tokens: 0, atMs: 0 }));
    this.rates = Array.from({ length: options.nodes }, () => 0);
  }

  admit(node: number, amount: number, nowMs: number): boolean {
    const credit = this.credit[node];
    if (credit === undefined) return false;
    this.rates[node] = (this.rates[node] ?? 0) + amount;
    if (nowMs - credit.atMs > 1_000) credit.tokens = 0;
    if (credit.tokens < amount) {
      // The request waits for the answer; an exhausted issuer refuses it.
      this.messages += 2;
      const granted = this.grant(amount, nowMs + askDelayMs);
      if (!granted) return false;
      credit.tokens += amount;
      credit.atMs = nowMs;
    }
    credit.tokens -= amount;
    return true;
  }

  step(nowMs: number): void {
    for (const [node, rate] of this.rates.entries()) {
      if (nowMs % 300 !== 0) continue;
      this.rates[node] = rate * 0.5;
      const credit = this.credit[node];
      // Nodes ask in advance for half a second of what they needed lately, unless the quota is nearly used up.
      const wanted = rate * 0.8 - (credit?.tokens ?? 0);
      if (credit === undefined || wanted <= 0) continue;
      this.messages += 2;
      if (this.used < 0.5 * this.options.quota.burst && this.grant(wanted, nowMs)) {
        credit.tokens += wanted;
        credit.atMs = nowMs;
      }
    }
  }

  private grant(amount: number, nowMs: number): boolean {
    const { perS, burst } = this.options.quota;
    this.used = Math.max(0, this.used - (perS * Math.max(0, nowMs - this.atMs)) / 1_000);
    this.atMs = Math.max(this.atMs, nowMs);
    if (this.used >= burst) return false;
    this.used += amount;
    return true;
  }
}

/** The holder of a lease deals shares by what each node was asked lately. */
class DealingKeeper implements QuotaKeeper {
  messages = 0;
  private readonly buckets: { used: number; atMs: number; share: number; asked: number }[];

  constructor(private readonly options: QuotaSimulationOptions) {
    const share = 1 / options.nodes;
    const used = options.quota.burst * share;
    this.buckets = Array.from({ length: options.nodes }, () => ({ used, atMs: 0, share, asked: 0 }));
  }

  admit(node: number, amount: number, nowMs: number): boolean {
    const bucket = this.buckets[node];
    if (bucket === undefined) return false;
    const { perS, burst } = this.options.quota;
    bucket.asked += amount;
    bucket.used = Math.max(0, bucket.used - (perS * bucket.share * (nowMs - bucket.atMs)) / 1_000);
    bucket.atMs = nowMs;
    if (bucket.used >= burst * bucket.share) return false;
    bucket.used += amount;
    return true;
  }

  step(nowMs: number): void {
    if (nowMs % redealPeriodMs !== 0) return;
    this.messages += 2 * this.options.nodes;
    const floor = (0.2 * this.options.quota.perS) / this.options.nodes;
    const sum = this.buckets.reduce((total, { asked }) => total + asked + floor, 0);
    for (const bucket of this.buckets) {
      bucket.share = (bucket.asked + floor) / sum;
      bucket.asked *= 0.5;
    }
  }
}

const ways: Record<string, (options: QuotaSimulationOptions, draw: () => number) => QuotaKeeper> = {
  issuer: (options) => new IssuingKeeper(options),
  shares: (options) => new DealingKeeper(options),
  "reports alone": (options, draw) => new ReportingKeeper(options, draw, false),
  "reports, estimates": (options, draw) => new ReportingKeeper(options, draw),
};

const perS = 260_000;
const smallPerS = 29_000;
const burstAt = (base: number, times: number, rate: number) => (nowMs: number) =>
  (nowMs > 10_000 && nowMs < 20_000 ? times : base) * rate;

const loads: Record<string, Omit<QuotaSimulationOptions, "nodes">> = {
  "large customer, 0.55 of its quota": {
    quota: { unit: "tokens", perS, burst: perS, plainTokens: 0 },
    demandPerS: () => 0.55 * perS,
  },
  "large customer, 4.2 times its quota for 10 s": {
    quota: { unit: "tokens", perS, burst: perS, plainTokens: 0 },
    demandPerS: burstAt(0.55, 4.2, perS),
  },
  "small customer, 0.55 of its quota": {
    quota: { unit: "tokens", perS: smallPerS, burst: smallPerS, plainTokens: 0 },
    demandPerS: () => 0.55 * smallPerS,
  },
  "small customer, 4.2 times its quota for 10 s": {
    quota: { unit: "tokens", perS: smallPerS, burst: smallPerS, plainTokens: 0 },
    demandPerS: burstAt(0.55, 4.2, smallPerS),
  },
  "large customer, 1.5 times, another node each second": {
    quota: { unit: "tokens", perS, burst: perS, plainTokens: 0 },
    demandPerS: () => 1.5 * perS,
    target: (_draw, nowMs) => Math.floor(nowMs / 1_000) % 8,
  },
};

for (const [load, options] of Object.entries(loads)) {
  process.stdout.write(`${load}\n`);
  for (const nodes of [8, 86, 195, 365]) {
    for (const [way, create] of Object.entries(ways)) {
      let seed = 1;
      const draw = (): number => {
        seed = (seed * 16_807) % 2_147_483_647;
        return seed / 2_147_483_647;
      };
      const all = { ...options, nodes, seed: 7, durationMs: 25_000 };
      const { mostOfLimit, excess, refusedRatio, messagesPerS } = new QuotaSimulation(all).run(
        create(all, draw),
      );
      const figures = [
        `most ${mostOfLimit.toFixed(2)} of the limit (excess ${Math.round(excess / 1_000)}k)`,
        `refused ${(100 * refusedRatio).toFixed(1)} %`,
        `${Math.round(messagesPerS)} messages/s`,
      ];
      process.stdout.write(`  ${nodes} nodes, ${way}: ${figures.join(", ")}\n`);
    }
  }
}
