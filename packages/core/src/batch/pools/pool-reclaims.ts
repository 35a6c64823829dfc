/**
 * Reclaims endpoints: they take no further work beyond the accounts' shares, so that their hosts become free for pools
 * that lack capacity for work within the shares.
 */
import type { EndpointId } from '../../shared/ids.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import type { EndpointState } from '../model/state.js';
import { allocateHosts } from './host-allocation.js';
import { computePoolNeeds, type PoolNeed, type PoolPlanInput } from './pool-needs.js';
import { DEFAULT_POOL_POLICY, type PoolMovePolicy } from './pool-policy.js';
import { countSurplusHosts } from './pool-shortfall.js';

/** Tells whether an endpoint runs no long-running task and no work within an account's share. */
const runsOnlyReclaimableWork = ({ runs }: EndpointState, nowMs: number): boolean =>
  Array.from(runs.values()).every(
    ({ step }) => !step.spec.isLasting && !isRankedWithinShare(step.job, nowMs),
  );

/**
 * Endpoints that a pool does not need for work within the accounts' shares: those already reclaimed first, then the
 * others by used CPU, the least used first.
 */
const reclaimableEndpoints = (
  { state, nowMs }: PoolPlanInput,
  need: PoolNeed,
  policy: PoolMovePolicy,
): readonly EndpointState[] => {
  const order = ({ endpointId, used }: EndpointState): number =>
    state.reclaimedEndpoints.has(endpointId) ? -1 : used.cpuMillis;
  return need.endpoints
    .filter((endpoint) => endpoint.hostId !== null && runsOnlyReclaimableWork(endpoint, nowMs))
    .sort((left, right) => order(left) - order(right))
    .slice(0, countSurplusHosts(need, policy, 'within-share'));
};

/**
 * Decides which endpoints are reclaimed: they take no further work beyond the accounts' shares, so that their hosts
 * become free. As many are reclaimed as other pools lack for work within the accounts' shares. Running tasks are not
 * stopped.
 *
 * @param input - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 * @returns The endpoints; empty if no account has a weight.
 */
export const planReclaims = (
  input: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(input, policy),
): ReadonlySet<EndpointId> => {
  if (
    needs.every(
      ({ shortfallCpu, withinShareShortfallCpu }) => shortfallCpu === withinShareShortfallCpu,
    )
  )
    return new Set();
  let { missingCpu: missing } = allocateHosts(input, needs, policy, {
    workScope: 'within-share',
    earlierMoves: [],
  });
  const reclaimed = needs
    .flatMap((need) => reclaimableEndpoints(input, need, policy))
    .filter(({ capacity }) => {
      if (missing <= policy.minShortfallShare * capacity.cpuMillis) return false;
      missing -= capacity.cpuMillis;
      return true;
    });
  return new Set(reclaimed.map(({ endpointId }) => endpointId));
};
