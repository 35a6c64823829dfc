/** Hosts that may leave their pool. */
import type { EndpointState } from '../model/state.js';
import type { ListedHost } from './listed-hosts.js';
import { chooseHostsToLeave, countHostsByDomain } from './pool-domains.js';
import {
  countSurplusHosts,
  isHostMovable,
  type PoolMovePolicy,
  type PoolNeed,
  type PoolPlanInput,
  type WorkScope,
} from './pool-needs.js';

/**
 * Lists the movable hosts of endpoints.
 *
 * @param world - The pools, hosts and batch state.
 * @param endpoints - The endpoints.
 * @returns The hosts; an endpoint whose host is not listed is left out.
 */
export const freeHostsOn = (
  world: PoolPlanInput,
  endpoints: readonly EndpointState[],
): readonly ListedHost[] =>
  endpoints
    .flatMap(({ hostId }) => (hostId && world.hosts.get(hostId)) ?? [])
    .filter((host) => isHostMovable(world, host));

/**
 * Lists the movable hosts of the spare pools, except those in evacuated data centres.
 *
 * @param world - The pools, hosts and batch state.
 * @returns The hosts.
 */
export const spareHosts = (world: PoolPlanInput): readonly ListedHost[] =>
  world.pools
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ name }) =>
      Array.from(world.hosts.values()).filter(
        (host) =>
          host.pool === name &&
          isHostMovable(world, host) &&
          !world.state.evacuatedDataCentres.has(host.dataCentre),
      ),
    );

/**
 * Chooses, of the given hosts, as many as the pool has in surplus, from the domains in which it has most.
 *
 * @param need - The need of the pool.
 * @param hosts - The hosts to choose from.
 * @param policy - The policy for pool moves.
 * @param rank - Which work counts as the need.
 * @returns The chosen hosts.
 */
export const chooseSurplusHosts = (
  need: PoolNeed,
  hosts: readonly ListedHost[],
  policy: PoolMovePolicy,
  rank: WorkScope = 'all',
): readonly ListedHost[] =>
  chooseHostsToLeave(hosts, countSurplusHosts(need, policy, rank), countHostsByDomain(need.hosts));

/**
 * Empty hosts that a pool can release to other pools. A reclaimed host is released without waiting for
 * `releaseAfterMs`, because it was emptied for another pool.
 *
 * @param world - The pools, hosts and batch state.
 * @param need - The need of the pool.
 * @param policy - The policy for pool moves.
 * @param rank - Which work counts as the need.
 * @returns The hosts.
 */
export const releasableHosts = (
  world: PoolPlanInput,
  need: PoolNeed,
  policy: PoolMovePolicy,
  rank: WorkScope,
): readonly ListedHost[] => {
  const idle = need.emptyEndpoints.filter(
    ({ endpointId, idleSinceMs }) =>
      world.state.reclaimedEndpoints.has(endpointId) ||
      world.nowMs - idleSinceMs >= policy.releaseAfterMs,
  );
  return chooseSurplusHosts(need, freeHostsOn(world, idle), policy, rank);
};
