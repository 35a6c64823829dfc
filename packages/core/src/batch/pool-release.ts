/**
 * Which hosts at work take no new work, so that they can change their pool once they are empty. A
 * pool past its demand peak packs what is left on fewer hosts, and one with less urgent work makes
 * room for one with more urgent work that waits. Without it a short pool waited for hosts to fall
 * empty by chance: quick work waited 3 to 8 s behind the backlog of longer, less urgent work.
 */
import type { EndpointId } from '../shared/ids.js';
import {
  byClaim,
  DEFAULT_POOL_POLICY,
  isFree,
  needsOfPools,
  surplusHosts,
  type PoolNeed,
  type PoolPolicy,
  type PoolWorld,
} from './pool-needs.js';
import type { EndpointState } from './state.js';

/**
 * All work on the host ends by itself, so it will be empty soon. Hosts that are empty already are
 * given away as they are, but for those that were released before.
 */
const isReleasable = (world: PoolWorld, { runs, hostId, isReleasing }: EndpointState): boolean => {
  const host = hostId === null ? undefined : world.hosts.get(hostId);
  const isCandidate = runs.size > 0 || isReleasing;
  const endsByItself = Array.from(runs.values()).every(({ step }) => !step.spec.isLasting);
  return isCandidate && endsByItself && host !== undefined && isFree(world, host);
};

/** Those that were chosen before stay chosen, then those with the least work left. */
const byWorkLeft = (left: EndpointState, right: EndpointState): number =>
  Number(right.isReleasing) - Number(left.isReleasing) ||
  left.used.cpuMillis - right.used.cpuMillis;

/** A pool that can give hosts, with those it could give, the cheapest first. */
type Donor = {
  readonly need: PoolNeed;
  readonly candidates: EndpointState[];
  /** Hosts that it has no need of. */
  surplus: number;
  /** Hosts that it keeps in any case are left out. */
  most: number;
};

const donorOf = (world: PoolWorld, need: PoolNeed, policy: PoolPolicy): Donor => {
  const idle = need.empty.filter(({ isReleasing }) => !isReleasing).length;
  const candidates = need.endpoints.filter((endpoint) => isReleasable(world, endpoint));
  return {
    need,
    candidates: candidates.sort(byWorkLeft),
    surplus: Math.max(0, surplusHosts(need, policy) - idle),
    most: need.hosts.length - policy.minHosts - idle,
  };
};

/** Takes hosts of one donor for a claim. */
const takeFrom = (donor: Donor, wanted: number): readonly EndpointState[] => {
  const given = donor.candidates.splice(0, Math.max(0, Math.min(wanted, donor.most)));
  Object.assign(donor, {
    surplus: donor.surplus - given.length,
    most: donor.most - given.length,
  });
  return given;
};

/**
 * Decides which hosts at work are to fall empty.
 *
 * @param world - Pools, hosts and what waits.
 * @param policy - How moves are weighed.
 * @returns The endpoints on them.
 */
export const planReleases = (
  world: PoolWorld,
  policy: PoolPolicy = DEFAULT_POOL_POLICY,
): ReadonlySet<EndpointId> => {
  const released = new Set<EndpointId>();
  if (!policy.releasesBusyHosts) return released;
  const needs = needsOfPools(world, policy);
  const donors = needs.map((need) => donorOf(world, need, policy));
  const claims = needs.filter(({ shortCpu }) => shortCpu > 0).sort(byClaim);
  claims.forEach(({ name, hostCpu, shortCpu, urgentCpu, priority }) => {
    let wanted = Math.ceil(shortCpu / hostCpu - policy.shortShare);
    let urgent = Math.ceil(urgentCpu / hostCpu - policy.shortShare);
    donors
      .filter(({ need }) => need.name !== name)
      .forEach((donor) => {
        // Work that waits takes hosts from less urgent work; work that is only expected does not.
        const isLessUrgent = donor.need.priority > priority;
        const given = takeFrom(
          donor,
          Math.max(Math.min(wanted, donor.surplus), isLessUrgent ? urgent : 0),
        );
        given.forEach(({ endpointId }) => released.add(endpointId));
        wanted -= given.length;
        urgent -= given.length;
      });
  });
  return released;
};
