/** Input of placement: the models of all live templates with their demand and weight. */
import type { ModelSpec, Priority, Template } from "../common/template.ts";
import type { Need } from "../placement/snapshot.ts";
import type { ModelDemand } from "./demandReport.ts";

/** A model to place: the planner's input, and the spec for its load order. */
export interface PlacedModel {
  readonly need: Need;
  readonly spec: ModelSpec;
}

/** Weight of a stream by priority class. */
const priorityWeights: Readonly<Record<Priority, number>> = { high: 2, normal: 1, low: 0.5 };

/** Merges templates into one need per model; if several name a model, the highest replica count and weight win. */
export function needsOf(
  templates: readonly Template[],
  demands: ReadonlyMap<string, ModelDemand>,
): Map<string, PlacedModel> {
  const models = new Map<string, PlacedModel>();
  for (const template of templates) {
    for (const spec of template.models) {
      const known = models.get(spec.name);
      const weight = priorityWeights[template.priority];
      const demand = demands.get(spec.name);
      const isLarger = known === undefined || known.spec.replicas < spec.replicas;
      const chosen = isLarger ? spec : known.spec;
      models.set(spec.name, {
        spec: chosen,
        need: {
          model: chosen.name,
          version: chosen.version,
          sizeMb: footprint(chosen),
          replicas: chosen.replicas,
          weight: Math.max(weight, known?.need.weight ?? 0),
          moveWeight: Math.max(template.moveWeight, known?.need.moveWeight ?? 0),
          demand: demand?.demand ?? 0,
          usual: demand?.usual ?? 0,
          waiting: demand?.waiting ?? 0,
          lastUsed: demand?.lastUsed ?? 0,
          unmetSince: 0,
        },
      });
    }
  }
  return models;
}

function footprint(spec: ModelSpec): number {
  return spec.sizeMb + spec.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, 0);
}
