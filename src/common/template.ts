/**
 * Templates, which operators instantiate per customer. A template names the models (with versions and adapters) and
 * plain services that a customer needs, its priority and its share of the pool.
 */
import * as Schema from "effect/Schema";

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/));
const Megabytes = Schema.Number.check(Schema.isBetween({ minimum: 1, maximum: 1_000_000 }));

/** An adapter loaded on top of a model; `sizeMb` is its accelerator memory. */
export const Adapter = Schema.Struct({ name: Name, sizeMb: Megabytes });
/** A decoded adapter. */
export type Adapter = typeof Adapter.Type;

/** A model a customer needs, at one version, with its adapters. */
export const ModelSpec = Schema.Struct({
  name: Name,
  version: Name,
  sizeMb: Megabytes,
  adapters: Schema.Array(Adapter),
  replicas: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 64 })),
});
/** A decoded model spec. */
export type ModelSpec = typeof ModelSpec.Type;

/** A call of a plain service; calls with `idempotent: false` run at most once per idempotency key. */
export const ServiceCall = Schema.Struct({ name: Name, idempotent: Schema.Boolean });
/** A decoded service call. */
export type ServiceCall = typeof ServiceCall.Type;

/** A plain service a customer uses, with the base URLs of its backend servers. */
export const ServiceSpec = Schema.Struct({
  name: Name,
  servers: Schema.NonEmptyArray(Schema.String.check(Schema.isPattern(/^http:\/\/[^\s]+$/))),
  calls: Schema.Array(ServiceCall),
});
/** A decoded service spec. */
export type ServiceSpec = typeof ServiceSpec.Type;

/** Request priority classes, highest first. */
export const Priority = Schema.Literals(["high", "normal", "low"]);
/** A decoded priority. */
export type Priority = typeof Priority.Type;

/** A template as written by an operator. `moveWeight` in [0, 1]: 0 favours deadline attainment, 1 favours few moves. */
export const Template = Schema.Struct({
  name: Name,
  customer: Name,
  priority: Priority,
  share: Schema.Number.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  moveWeight: Schema.Number.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  models: Schema.Array(ModelSpec),
  services: Schema.Array(ServiceSpec),
});
/** A decoded template. */
export type Template = typeof Template.Type;

/** A template as stored in the table service: its row version and whether it was retired. */
export const StoredTemplate = Schema.Struct({
  template: Template,
  version: Schema.Number,
  retired: Schema.Boolean,
  /** Random id of the write that stored this version, by which a writer recognises its own write. */
  writeId: Schema.optionalKey(Schema.String),
});
/** A decoded stored template. */
export type StoredTemplate = typeof StoredTemplate.Type;

/** Key prefix of templates in the table service. */
export const templatePrefix = "templates/";
