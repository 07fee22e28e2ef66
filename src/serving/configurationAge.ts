/**
 * Limits on the age of the configuration that decisions may rest on. A node may be suspended, starved, or cut off from those
 * that tell it of changes; without a limit it would refuse routes, or use services, by a configuration that was replaced
 * long ago.
 */

/**
 * Part of the time in which a version has to be in force that is left for what isn't counted in the age, ms: messages
 * between nodes on a congested link.
 */
const transitMarginMs = 500;
/** Minimum of the limit, ms, where versions have to be in force sooner than that allows. */
const minMaxAgeMs = 500;
/** Fraction of the limit from which on the configuration is confirmed ahead of need. */
const refreshFromRatio = 0.8;
/** Duration of a reader's wait for changes as a fraction of the limit; the rest is for the way to the other nodes. */
const waitRatio = 0.5;

/** Limits on the age of the configuration, ms. */
export interface ConfigurationAgeLimits {
  /** Decisions rest on a configuration that was confirmed more recently than this. */
  readonly maxAgeMs: number;
  /** Requests start a refresh from this age on, without waiting for it. */
  readonly refreshAgeMs: number;
  /** Duration of one wait for changes in the store. */
  readonly waitMs: number;
}

/** Limits for versions that have to be in force `applyMs` after their acknowledgement. */
export function configurationAgeLimits(applyMs: number): ConfigurationAgeLimits {
  const maxAgeMs = Math.max(minMaxAgeMs, applyMs - transitMarginMs);
  return { maxAgeMs, refreshAgeMs: refreshFromRatio * maxAgeMs, waitMs: Math.round(waitRatio * maxAgeMs) };
}
