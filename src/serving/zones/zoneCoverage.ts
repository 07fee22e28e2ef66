/**
 * Demand for models in availability zones without a copy of them: its requests cross zones, and a busy model is worth a
 * copy in each zone that asks for it rather than a second one in a zone.
 */
import type { EngineView, ModelDemand } from "../placementView.ts";

/**
 * Cost per requested engine second per second that crosses zones, in the units of `Placement.cost`: a fifteenth of that
 * of overload, so copies that the load needs come first. Loads cost 0.01 to 0.03 and are discounted by their duration, so
 * a model gets a copy in a zone from a demand of a tenth (loads of 1 s) to a third of an engine there (6 s).
 */
const crossingCost = 0.5;

/** Zones of engines, and the demand of each model by zone. */
export class ZoneCoverage {
  private readonly zoneOfEngine: readonly (string | undefined)[];
  private readonly zones: ReadonlySet<string>;

  constructor(
    engines: readonly EngineView[],
    private readonly demand: ReadonlyMap<string, ModelDemand>,
  ) {
    this.zoneOfEngine = engines.map(({ zone }) => zone);
    this.zones = new Set(this.zoneOfEngine.filter((zone) => zone !== undefined));
  }

  /** Cost of the demand that crosses zones to the model's holders; 0 if the demand isn't known by zone. */
  cost(model: string, holders: readonly number[]): number {
    return crossingCost * this.uncoveredDemandS(model, holders);
  }

  /** Requested engine time per second in zones that have engines, but none that holds the model, s. */
  uncoveredDemandS(model: string, holders: readonly number[]): number {
    const byZone = this.demand.get(model)?.engineMsByZone;
    if (byZone === undefined || this.zones.size < 2 || holders.length === 0) return 0;
    let sumMs = 0;
    for (const [zone, engineMs] of byZone)
      if (this.zones.has(zone) && !this.covers(zone, holders)) sumMs += engineMs;
    return sumMs / 1000;
  }

  /** Whether the engine is in a zone that asks for the model and has no copy. */
  lacksCopy(engine: number, model: string, holders: readonly number[]): boolean {
    const zone = this.zoneOfEngine[engine];
    const byZone = this.demand.get(model)?.engineMsByZone;
    if (zone === undefined || byZone === undefined || holders.length === 0) return false;
    return (byZone.get(zone) ?? 0) > 0 && !this.covers(zone, holders);
  }

  private covers(zone: string, holders: readonly number[]): boolean {
    return holders.some((engine) => this.zoneOfEngine[engine] === zone);
  }
}
