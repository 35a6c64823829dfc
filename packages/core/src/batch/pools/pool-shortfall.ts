/** Compares what pools have with what they need: missing capacity, surplus hosts and the order of claims. */
import type { PoolNeed } from './pool-needs.js';
import type { PoolMovePolicy } from './pool-policy.js';

/** What a claim on hosts is for: `within-share` for work within the accounts' shares, `all` for all work. */
export type WorkScope = 'within-share' | 'all';

/**
 * Gives the capacity that a pool is missing.
 *
 * @param need - What the pool has and needs.
 * @param workScope - Which work is counted.
 * @returns The shortfall in thousandths of a core; negative for a surplus.
 */
export const shortfallCpuOf = (
  { shortfallCpu, withinShareShortfallCpu }: PoolNeed,
  workScope: WorkScope,
): number => (workScope === 'within-share' ? withinShareShortfallCpu : shortfallCpu);

/**
 * Counts how many hosts a pool does not need. It always keeps its minimum number of hosts.
 *
 * @param need - What the pool has and needs.
 * @param policy - The policy for pool moves.
 * @param workScope - Which work of the pool is counted.
 * @returns The number of hosts.
 */
export const countSurplusHosts = (
  need: PoolNeed,
  { minHosts }: PoolMovePolicy,
  workScope: WorkScope = 'all',
): number => {
  const { hosts, hostCpu } = need;
  const surplus = Math.floor(-shortfallCpuOf(need, workScope) / hostCpu);
  return Math.max(0, Math.min(hosts.length - minHosts, surplus));
};

/**
 * Builds a comparison that orders pools lacking capacity: the more urgent priority first, then the larger shortfall.
 *
 * @param workScope - Which work is counted.
 * @returns The comparison, below 0 if the left pool comes first.
 */
export const compareByShortfall =
  (workScope: WorkScope) =>
  (left: PoolNeed, right: PoolNeed): number =>
    (left.priority === right.priority ? 0 : left.priority - right.priority) ||
    shortfallCpuOf(right, workScope) - shortfallCpuOf(left, workScope);
