/**
 * Plans which hosts move between pools so that pool sizes follow demand. A pool that lacks capacity gets hosts of the
 * spare pool first, then empty hosts of pools that do not need them.
 */
import { change } from '../../shared/change.js';
import { poolOf } from '../model/state.js';
import { allocateHosts, type PoolMove } from './host-allocation.js';
import { releasableHosts, spareHosts } from './movable-hosts.js';
import {
  computePoolNeeds,
  DEFAULT_POOL_POLICY,
  type PoolMovePolicy,
  type PoolNeed,
  type PoolPlanInput,
} from './pool-needs.js';
import { planEvacuatedParkings, planParkings } from './pool-parking.js';

/**
 * Plans which hosts change their pool now. Work within the accounts' shares gets hosts before work beyond them.
 *
 * @param world - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 * @returns The moves.
 */
export const planMoves = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(world, policy),
): readonly PoolMove[] => {
  const withinShareMoves = allocateHosts(world, needs, policy, {
    rank: 'within-share',
    earlierMoves: [],
  }).moves;
  const otherMoves = allocateHosts(world, needs, policy, {
    rank: 'all',
    earlierMoves: withinShareMoves,
  }).moves;
  const demandMoves = [...withinShareMoves, ...otherMoves];
  return [
    ...(demandMoves.length > 0 ? demandMoves : planParkings(world, needs, policy)),
    ...planEvacuatedParkings(world, needs, policy),
  ];
};

/**
 * Records for each pool what capacity it could get, which the completion forecast of jobs uses. A free host counts for
 * every other pool, because it is decided only later which pool gets it.
 *
 * @param world - The pools, hosts and batch state; the pools' forecasts are changed in place.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 */
export const updatePoolForecasts = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(world, policy),
): void => {
  const { state } = world;
  const free = [
    ...spareHosts(world),
    ...needs.flatMap((need) => releasableHosts(world, need, policy, 'all')),
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
