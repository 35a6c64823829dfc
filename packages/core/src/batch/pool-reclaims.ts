/**
 * Hosts that a pool keeps busy with work that is late already, while another pool has work that can
 * still be in time: some of them get nothing new, stand empty once what runs there has ended, and
 * change their pool. Without it the pool whose peak is over holds its hosts until its backlog is done.
 */
import { change } from '../shared/change.js';
import type { EndpointId } from '../shared/ids.js';
import { idleHosts } from './pool-idle-hosts.js';
import {
  DEFAULT_POOL_POLICY,
  isFree,
  needsOfPools,
  type PoolNeed,
  type PoolPolicy,
  type PoolWorld,
} from './pool-needs.js';
import type { EndpointState } from './state.js';

/**
 * Of a pool's hosts so many may be emptied at once: what is left works on, so that the pool is never
 * seen with waiting work and most of its room unused.
 */
const MOST_SHARE = 0.4;

const hasLasting = ({ runs }: EndpointState): boolean =>
  Array.from(runs.values()).some(({ step }) => step.spec.isLasting);

/** Those being emptied first, so that the choice stays; then those that are empty soonest. */
const byEffort = (left: EndpointState, right: EndpointState): number =>
  Number(right.isReleased) - Number(left.isReleased) || left.used.cpuMillis - right.used.cpuMillis;

const mayBeReleased = (world: PoolWorld, endpoint: EndpointState): boolean => {
  const host = endpoint.hostId && world.hosts.get(endpoint.hostId);
  const { isKnown, isDraining, isClosing } = endpoint;
  return (
    Boolean(host && isFree(world, host)) &&
    isKnown &&
    !isDraining &&
    !isClosing &&
    !hasLasting(endpoint)
  );
};

const releasable = (
  world: PoolWorld,
  { name, hosts, hostCpu, inTimeShortCpu }: PoolNeed,
  { minHosts }: PoolPolicy,
): readonly EndpointState[] => {
  const surplus = Math.floor(-inTimeShortCpu / hostCpu);
  const most = Math.min(surplus, hosts.length - minHosts, Math.floor(hosts.length * MOST_SHARE));
  if (most <= 0) return [];
  return Array.from(world.state.endpoints.values())
    .filter((endpoint) => endpoint.pool === name && mayBeReleased(world, endpoint))
    .sort(byEffort)
    .slice(0, most);
};

/** Chooses the endpoints that get nothing new, for other pools. */
const chooseReleased = (world: PoolWorld, policy: PoolPolicy): ReadonlySet<EndpointId> => {
  const needs = needsOfPools(world, policy);
  const wantedCpu = needs.reduce((sum, { inTimeShortCpu }) => sum + Math.max(0, inTimeShortCpu), 0);
  const idle = idleHosts(world, needs, policy);
  let missing = idle.reduce((left, { capacity }) => left - capacity.cpuMillis, wantedCpu);
  const chosen = new Set<EndpointId>();
  needs
    .filter(({ inTimeShortCpu }) => inTimeShortCpu < 0)
    .flatMap((need) => releasable(world, need, policy))
    .sort(byEffort)
    .forEach(({ endpointId, capacity }) => {
      if (missing <= policy.shortShare * capacity.cpuMillis) return;
      missing -= capacity.cpuMillis;
      chosen.add(endpointId);
    });
  return chosen;
};

/**
 * Marks the endpoints that get nothing new, so that their hosts can serve pools whose work can still be
 * in time; those that are not needed for it any more work on.
 *
 * @param world - Pools, hosts and what waits; the endpoints are changed in place.
 * @param policy - How moves are weighed.
 */
export const markReleased = (world: PoolWorld, policy: PoolPolicy = DEFAULT_POOL_POLICY): void => {
  const chosen = chooseReleased(world, policy);
  world.state.endpoints.forEach((endpoint) =>
    change(endpoint, { isReleased: chosen.has(endpoint.endpointId) }),
  );
};
