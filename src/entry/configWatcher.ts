/**
 * Watches templates in the table service and keeps the newest accepted version of each. A version is
 * applied only if it is higher than the current one, so configuration never reverts. While the store is
 * unavailable, the last accepted configuration stays in force and is served to nodes that lack it.
 */
import * as Schema from "effect/Schema";
import type { Log } from "../common/log.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import { ScanResult, type Row } from "../common/table.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import {
  StoredTemplate,
  templatePrefix,
  type ModelSpec,
  type Priority,
  type ServiceSpec,
  type Template,
} from "../common/template.ts";
import type { Peers } from "./peers.ts";

/** What one customer may use, merged from its live templates. */
export interface Entitlement {
  readonly customer: string;
  readonly priority: Priority;
  /** Share of the pool, in [0, 1]. */
  readonly share: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
  readonly services: ReadonlyMap<string, ServiceSpec>;
}

/** Options of a `ConfigWatcher`. */
export interface ConfigWatcherOptions {
  readonly platform: PlatformClient;
  /** Queried while the table service is unavailable. */
  readonly peers?: Peers;
  readonly log: Log;
  /** Poll period in ms. */
  readonly pollMs?: number;
}

const defaults = { pollMs: 500 };

/** Holds the accepted templates; `entitlement(customer)` returns what a customer may call. */
export class ConfigWatcher extends PeriodicTask {
  /** Revision of the table up to which changes are applied. */
  revision = 0;
  private readonly templates = new Map<string, StoredTemplate>();
  /** The rows the templates were decoded from, as served to peers. */
  private readonly rows = new Map<string, Row>();
  private entitlements = new Map<string, Entitlement>();

  constructor(private readonly options: ConfigWatcherOptions) {
    super("config-watcher", options.pollMs ?? defaults.pollMs, options.log);
  }

  /** What `customer` may use, or undefined if no live template names it. */
  entitlement(customer: string): Entitlement | undefined {
    return this.entitlements.get(customer);
  }

  /** Every live template. */
  live(): Template[] {
    return [...this.templates.values()].filter((stored) => !stored.retired).map((stored) => stored.template);
  }

  /** Current version of each template, by name. */
  versions(): Record<string, number> {
    return Object.fromEntries([...this.templates].map(([name, stored]) => [name, stored.version]));
  }

  /** Template rows changed after revision `since`, for a peer that cannot reach the table service. */
  rowsSince(since: number): ScanResult {
    const rows = [...this.rows.values()].filter((row) => row.revision > since);
    return { rows, revision: this.revision };
  }

  protected async step(): Promise<void> {
    const { rows, revision } = await this.changes();
    let changed = false;
    for (const row of rows) changed = this.accept(row) || changed;
    // A response from a lagging replica of the table service could carry an older revision; taking the maximum
    // keeps the watermark from moving back.
    this.revision = Math.max(this.revision, revision);
    if (changed) this.entitlements = merge(this.live());
  }

  /**
   * Changes since the current revision. A node that starts while the store is unavailable, or is partitioned
   * from it, gets the last known rows from its peers, with the store's versions.
   */
  private async changes(): Promise<ScanResult> {
    const { platform, peers, log } = this.options;
    try {
      return await platform.scan(templatePrefix, this.revision);
    } catch (error) {
      if (peers === undefined) throw error;
      log.warn({ event: "config-from-peers", error: String(error) });
      return peers.callAny("config.rows", { since: this.revision }, ScanResult);
    }
  }

  private accept(row: Row): boolean {
    const name = row.key.slice(templatePrefix.length);
    const decoded = Schema.decodeUnknownOption(StoredTemplate)(row.value);
    if (decoded._tag === "None") {
      this.options.log.error({ event: "template-undecodable", template: name });
      return false;
    }
    const current = this.templates.get(name);
    // Only a strictly newer version replaces the one in force, so configuration never reverts.
    if (current !== undefined && current.version >= decoded.value.version) return false;
    this.templates.set(name, decoded.value);
    this.rows.set(name, row);
    this.options.log.info({
      event: "config-applied",
      template: name,
      version: decoded.value.version,
      retired: decoded.value.retired,
      previous: current?.version ?? null,
    });
    return true;
  }
}

function merge(templates: readonly Template[]): Map<string, Entitlement> {
  const byCustomer = new Map<string, Entitlement>();
  for (const template of templates) {
    const current = byCustomer.get(template.customer);
    const models = new Map(current?.models);
    const services = new Map(current?.services);
    for (const model of template.models) models.set(model.name, model);
    for (const service of template.services) services.set(service.name, service);
    byCustomer.set(template.customer, {
      customer: template.customer,
      priority: higherPriority(current?.priority, template.priority),
      share: Math.max(template.share, current?.share ?? 0),
      models,
      services,
    });
  }
  return byCustomer;
}

function higherPriority(a: Priority | undefined, b: Priority): Priority {
  const order: readonly Priority[] = ["high", "normal", "low"];
  return a !== undefined && order.indexOf(a) < order.indexOf(b) ? a : b;
}
