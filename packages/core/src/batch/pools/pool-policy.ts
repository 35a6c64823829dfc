/** The policy by which hosts move between pools. */

/** The policy for pool moves. */
export type PoolMovePolicy = {
  /** The minimum number of hosts that a pool keeps, for the first jobs of a demand peak. */
  readonly minHosts: number;
  /** How long a host must have been empty before it is released to another pool. */
  readonly releaseAfterMs: number;
  /** How long a host that is not expected to be needed must have been empty before it is parked (switched off). */
  readonly parkAfterMs: number;
  /** The factor by which forecast demand is multiplied to get the capacity that is held for it. */
  readonly headroom: number;
  /** A pool gets another host only if it lacks more than this share of that host's capacity. */
  readonly minShortfallShare: number;
  /** Whether capacity is held for the next peak when peaks follow each other at regular intervals. */
  readonly predictsPeaks: boolean;
};

/**
 * A host in a pool costs 0.078 per second, and work completed in time earns about 1.2 per host and second. Capacity is
 * therefore held generously where work arrives, and not held where none arrives.
 */
export const DEFAULT_POOL_POLICY: PoolMovePolicy = {
  minHosts: 3,
  releaseAfterMs: 300,
  parkAfterMs: 2500,
  headroom: 1.4,
  minShortfallShare: 0.3,
  predictsPeaks: true,
};
