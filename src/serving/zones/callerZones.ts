/**
 * Decides how much of a zone's callers is sent to hosts of other zones. Requests of callers that arrive at hosts of
 * another zone cross zones, so the zone's own hosts get them as long as they have capacity to spare.
 */

/** Capacity of the hosts of one or several zones, in CPU cores. */
export interface ZoneCapacity {
  /** Cores that the hosts may use, and those in use. */
  readonly total: number;
  readonly used: number;
  /** The weight by which the hosts are listed. */
  readonly spare: number;
}

/** Hosts of a caller's own zone, those of all others, and the number of zones with hosts. */
export interface CallerZone {
  readonly own: ZoneCapacity;
  readonly others: ZoneCapacity;
  readonly zoneCount: number;
}

/**
 * Utilization of the zone from which on callers get hosts of other zones too: that of a zone that has just activated
 * more nodes, so a zone with standby nodes activates them first.
 */
const overflowStartRatio = 0.45;
/**
 * Utilization at which callers get all hosts in proportion to their spare capacity: that of saturated hosts. As callers
 * use a response for 2 to 6 s, a narrow range makes the utilization of a zone with too few hosts oscillate (by 0.1 with
 * a range of 0.05, in virtual time).
 */
const overflowFullRatio = 0.8;
/**
 * A zone whose hosts have less than this ratio of the capacity of an average zone gets only the part of its callers
 * that corresponds to it: the utilization of these hosts is known only after callers have overloaded them.
 */
const minZoneCapacityRatio = 0.5;

/**
 * Weight of hosts of other zones relative to those of the caller's zone, from 0 to 1; at 1 the zones make no
 * difference. A smooth function of the utilization, so that a small change of it moves few callers.
 */
export function otherZoneWeight({ own, others, zoneCount }: CallerZone): number {
  if (own.spare <= 0 || others.spare <= 0) return 1;
  const proportionalShare = others.spare / (own.spare + others.spare);
  const share = Math.min(
    proportionalShare,
    Math.max(overflowRatio(own, others) * proportionalShare, shareBeyondCapacity(own, others, zoneCount)),
  );
  return Math.min(1, (share * own.spare) / ((1 - share) * others.spare));
}

/** From 0 to 1: how much more the zone's hosts are utilized than those of other zones, within the overflow range. */
function overflowRatio(own: ZoneCapacity, others: ZoneCapacity): number {
  const excess = utilizationOf(own) - Math.max(overflowStartRatio, utilizationOf(others));
  return Math.max(0, Math.min(1, excess / (overflowFullRatio - overflowStartRatio)));
}

/** Share of the zone's callers that its hosts are too weak for if all zones have as many callers. */
function shareBeyondCapacity(own: ZoneCapacity, others: ZoneCapacity, zoneCount: number): number {
  const averageTotal = (own.total + others.total) / zoneCount;
  return Math.max(0, 1 - own.total / (minZoneCapacityRatio * averageTotal));
}

function utilizationOf({ total, used }: ZoneCapacity): number {
  return total > 0 ? Math.min(1, used / total) : 0;
}
