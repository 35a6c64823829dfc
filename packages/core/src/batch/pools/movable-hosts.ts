/** Hosts that may leave their pool. */
import type { EndpointState } from '../model/state.js';
import type { ListedHost } from './listed-hosts.js';
import { chooseHostsToLeave, countHostsByDomain } from './pool-domains.js';
import type { PoolNeed, PoolPlanInput } from './pool-needs.js';
import type { PoolMovePolicy } from './pool-policy.js';
import { countSurplusHosts, type WorkScope } from './pool-shortfall.js';

/** Tells whether a host may be moved now: it is up, and neither has an order already nor is about to go down. */
const isHostMovable = ({ busyHosts }: PoolPlanInput, host: ListedHost): boolean =>
  host.state === 'up' && !busyHosts.has(host.hostId);

/**
 * Lists the movable hosts of endpoints.
 *
 * @param input - The pools, hosts and batch state.
 * @param endpoints - The endpoints.
 * @returns The hosts; an endpoint whose host is not listed is left out.
 */
export const freeHostsOn = (
  input: PoolPlanInput,
  endpoints: readonly EndpointState[],
): readonly ListedHost[] =>
  endpoints
    .flatMap(({ hostId }) => (hostId && input.hosts.get(hostId)) ?? [])
    .filter((host) => isHostMovable(input, host));

/**
 * Lists the movable hosts of the spare pools, except those in evacuated data centres.
 *
 * @param input - The pools, hosts and batch state.
 * @returns The hosts.
 */
export const spareHosts = (input: PoolPlanInput): readonly ListedHost[] =>
  input.pools
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ name }) =>
      Array.from(input.hosts.values()).filter(
        (host) =>
          host.pool === name &&
          isHostMovable(input, host) &&
          !input.state.evacuatedDataCentres.has(host.dataCentre),
      ),
    );

/**
 * Chooses, of the given hosts, as many as the pool has in surplus, from the domains in which it has most.
 *
 * @param need - The need of the pool.
 * @param hosts - The hosts to choose from.
 * @param policy - The policy for pool moves.
 * @param workScope - Which work counts as the need.
 * @returns The chosen hosts.
 */
export const chooseSurplusHosts = (
  need: PoolNeed,
  hosts: readonly ListedHost[],
  policy: PoolMovePolicy,
  workScope: WorkScope = 'all',
): readonly ListedHost[] =>
  chooseHostsToLeave(
    hosts,
    countSurplusHosts(need, policy, workScope),
    countHostsByDomain(need.hosts),
  );

/**
 * Empty hosts that a pool can release to other pools. A reclaimed host is released without waiting for
 * `releaseAfterMs`, because it was emptied for another pool.
 *
 * @param input - The pools, hosts and batch state.
 * @param need - The need of the pool.
 * @param policy - The policy for pool moves.
 * @param workScope - Which work counts as the need.
 * @returns The hosts.
 */
export const releasableHosts = (
  input: PoolPlanInput,
  need: PoolNeed,
  policy: PoolMovePolicy,
  workScope: WorkScope,
): readonly ListedHost[] => {
  const idle = need.emptyEndpoints.filter(
    ({ endpointId, idleSinceMs }) =>
      input.state.reclaimedEndpoints.has(endpointId) ||
      input.nowMs - idleSinceMs >= policy.releaseAfterMs,
  );
  return chooseSurplusHosts(need, freeHostsOn(input, idle), policy, workScope);
};
