/** Switches off optional parts of a gateway node that an operator doesn't want in a deployment. */
import type { EngineLimits, RunCopies, Service } from "../serving/configuration.ts";
import type { HostSettings } from "../serving/hostSettings.ts";
import type { GatewayPlatform } from "../gateway/gatewayNode.ts";

/** Environment variable with the names of the parts, separated by commas. */
export const disabledPartsVariable = "PARSLEYNOTCH_DISABLED_PARTS";

/** What a node is started with. */
interface NodeInputs {
  readonly settings: HostSettings;
  readonly platform: GatewayPlatform;
}

/** How each part is switched off: the node gets none of the settings that call for it. */
const switches: Readonly<Record<string, (inputs: NodeInputs) => NodeInputs>> = {
  caches: (inputs) =>
    withEngineLimits(inputs, (limits) => {
      const reduced: { maxCacheReaders?: number } & EngineLimits = { ...limits };
      delete reduced.maxCacheReaders;
      return reduced;
    }),
  backups: (inputs) => withEngineLimits(inputs, (limits) => withRunCopies(limits, { backups: false })),
  moves: (inputs) => withEngineLimits(inputs, (limits) => withRunCopies(limits, { moves: false })),
  zones: ({ settings, platform }) => {
    const reduced: { linkMbps?: number } & HostSettings = { ...settings };
    delete reduced.linkMbps;
    return { settings: reduced, platform: { ...platform, directoryZone: () => undefined } };
  },
};

/** The inputs without the parts in `names`; unknown names are ignored, as other builds have other parts. */
export function withoutParts(inputs: NodeInputs, names: string): NodeInputs {
  return names.split(",").reduce((reduced, name) => switches[name.trim()]?.(reduced) ?? reduced, inputs);
}

function withRunCopies(limits: EngineLimits, changes: Partial<RunCopies>): EngineLimits {
  const { runCopies } = limits;
  return runCopies === undefined ? limits : { ...limits, runCopies: { ...runCopies, ...changes } };
}

/** The inputs with the limits of all engine services changed. */
function withEngineLimits(
  { settings, platform }: NodeInputs,
  change: (limits: EngineLimits) => EngineLimits,
): NodeInputs {
  const changeService = ({ engine, ...service }: Service): Service =>
    engine === undefined ? service : { ...service, engine: change(engine) };
  const decodeConfiguration: GatewayPlatform["decodeConfiguration"] = (text) =>
    platform
      .decodeConfiguration(text)
      .map((decoded) => ({ ...decoded, services: decoded.services.map(changeService) }));
  return { settings, platform: { ...platform, decodeConfiguration } };
}
