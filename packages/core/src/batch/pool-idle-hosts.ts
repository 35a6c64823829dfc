/** Hosts that can change their pool at once. */
import type { HostView } from './hosts.js';
import {
  isFree,
  surplusHosts,
  type PoolNeed,
  type PoolPolicy,
  type PoolWorld,
} from './pool-needs.js';
import type { EndpointState } from './state.js';

/**
 * Gives the hosts of endpoints, as far as they may be moved.
 *
 * @param world - Hosts and which of them are busy.
 * @param endpoints - The endpoints.
 * @returns The hosts.
 */
export const freeHostsOn = (
  world: PoolWorld,
  endpoints: readonly EndpointState[],
): readonly HostView[] =>
  endpoints
    .flatMap(({ hostId }) => (hostId && world.hosts.get(hostId)) ?? [])
    .filter((host) => isFree(world, host));

const spareHosts = (world: PoolWorld): readonly HostView[] =>
  world.pools
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ name }) =>
      Array.from(world.hosts.values()).filter((host) => host.pool === name && isFree(world, host)),
    );

/** Empty hosts that a pool has no need of. */
const givenAway = (world: PoolWorld, need: PoolNeed, policy: PoolPolicy): readonly HostView[] => {
  const idle = need.empty.filter(
    ({ idleSinceMs }) => world.nowMs - idleSinceMs >= policy.releaseAfterMs,
  );
  return freeHostsOn(world, idle).slice(0, surplusHosts(need, policy));
};

/**
 * Lists the hosts that stand idle.
 *
 * @param world - Pools, hosts and what waits.
 * @param needs - What the pools have and need.
 * @param policy - How moves are weighed.
 * @returns Those of the spare pool first, then empty ones that their pools can do without.
 */
export const idleHosts = (
  world: PoolWorld,
  needs: readonly PoolNeed[],
  policy: PoolPolicy,
): readonly HostView[] => [
  ...spareHosts(world),
  ...needs.flatMap((need) => givenAway(world, need, policy)),
];

/**
 * Lists the hosts that were emptied for other pools. One that has not reported to this holder yet may
 * run what an earlier one began.
 *
 * @param world - Endpoints and hosts.
 * @returns The hosts.
 */
export const reclaimedHosts = (world: PoolWorld): readonly HostView[] =>
  freeHostsOn(
    world,
    Array.from(world.state.endpoints.values()).filter(
      ({ isReleased, isKnown, runs }) => isReleased && isKnown && runs.size === 0,
    ),
  );
