/**
 * Plans which hosts move between pools so that pool sizes follow demand. A pool that lacks capacity gets hosts of the
 * spare pool first, then empty hosts of pools that do not need them.
 */
import { change } from '../../shared/change.js';
import { poolOf } from '../model/state.js';
import { allocateHosts, type PoolMove } from './host-allocation.js';
import { releasableHosts, spareHosts } from './movable-hosts.js';
import { computePoolNeeds, type PoolNeed, type PoolPlanInput } from './pool-needs.js';
import { DEFAULT_POOL_POLICY, type PoolMovePolicy } from './pool-policy.js';
import { planEvacuatedParkings, planParkings } from './pool-parking.js';

/**
 * Plans which hosts change their pool now. Work within the accounts' shares gets hosts before work beyond them.
 *
 * @param input - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 * @returns The moves.
 */
export const planMoves = (
  input: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(input, policy),
): readonly PoolMove[] => {
  const withinShareMoves = allocateHosts(input, needs, policy, {
    workScope: 'within-share',
    earlierMoves: [],
  }).moves;
  const otherMoves = allocateHosts(input, needs, policy, {
    workScope: 'all',
    earlierMoves: withinShareMoves,
  }).moves;
  const demandMoves = [...withinShareMoves, ...otherMoves];
  return [
    ...(demandMoves.length > 0 ? demandMoves : planParkings(input, needs, policy)),
    ...planEvacuatedParkings(input, needs, policy),
  ];
};

/**
 * Records for each pool what capacity it could get, which the completion forecast of jobs uses. A free host counts for
 * every other pool, because it is decided only later which pool gets it.
 *
 * @param input - The pools, hosts and batch state; the pools' forecasts are changed in place.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 */
export const updatePoolForecasts = (
  input: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(input, policy),
): void => {
  const { state } = input;
  const free = [
    ...spareHosts(input),
    ...needs.flatMap((need) => releasableHosts(input, need, policy, 'all')),
  ];
  needs.forEach(({ name, joiningCpu }) => {
    const freeCpu = free
      .filter(({ pool }) => pool !== name)
      .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    const reclaimedCpu = Array.from(state.endpoints.values())
      .filter(({ endpointId, pool }) => pool !== name && state.reclaimedEndpoints.has(endpointId))
      .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    change(poolOf(state, name), { forecast: { joiningCpu, freeCpu, reclaimedCpu } });
  });
};
