/**
 * Which hosts join a pool and which leave it, by the racks and data centres that they stand in: the loss of one is to
 * take as little of each pool as can be. Among hosts that are alike in this the first one is taken.
 */
import type { DomainId } from '../../shared/ids.js';
import { dataCentreCountKey, domainsOf, rackCountKey } from '../domains/domains.js';
import { rackOf } from '../endpoints/endpoints.js';
import type { HostView } from './hosts.js';

/** How many hosts of a pool stand in each domain. */
export type DomainCounts = Map<DomainId, number>;

/** The domains of a host as keys of counts. Hosts without a rack are alike, whatever their data centre is. */
const keysOf = (host: HostView): readonly DomainId[] => {
  const domains = domainsOf(host.dataCentre, rackOf(host));
  const rack = rackCountKey(domains);
  return domains.rack === null ? [rack] : [rack, dataCentreCountKey(domains)];
};

/**
 * Counts a host that joins or leaves a pool.
 *
 * @param counts - The counts of the pool, changed in place.
 * @param host - The host.
 * @param by - 1 for one that joins, -1 for one that leaves.
 */
export const countHost = (counts: DomainCounts, host: HostView, by: 1 | -1): void =>
  keysOf(host).forEach((key) => counts.set(key, (counts.get(key) ?? 0) + by));

/**
 * Counts the hosts of a pool by domain.
 *
 * @param hosts - The hosts.
 * @returns The counts.
 */
export const countHosts = (hosts: readonly HostView[]): DomainCounts => {
  const counts: DomainCounts = new Map();
  hosts.forEach((host) => countHost(counts, host, 1));
  return counts;
};

/** Below 0 if the left host stands with fewer others: by racks, then by data centres. */
const compare = (counts: DomainCounts, left: HostView, right: HostView): number => {
  const [leftRack = 0, leftCentre = 0] = keysOf(left).map((key) => counts.get(key) ?? 0);
  const [rightRack = 0, rightCentre = 0] = keysOf(right).map((key) => counts.get(key) ?? 0);
  return leftRack - rightRack || leftCentre - rightCentre;
};

/**
 * Chooses the host that joins a pool: the one in whose rack, then data centre, the pool has fewest hosts.
 *
 * @param hosts - Hosts that may join.
 * @param counts - The counts of the pool.
 * @returns The host; undefined without any.
 */
export const hostToJoin = (
  hosts: readonly HostView[],
  counts: DomainCounts,
): HostView | undefined =>
  hosts.reduce<HostView | undefined>(
    (best, host) => (best && compare(counts, host, best) >= 0 ? best : host),
    undefined,
  );

/**
 * Chooses the hosts that leave a pool, one after the other: each in whose rack, then data centre, the pool has most.
 *
 * @param hosts - Hosts that may leave.
 * @param most - The most that leave.
 * @param counts - The counts of the pool, changed in place.
 * @returns The hosts.
 */
export const hostsToLeave = (
  hosts: readonly HostView[],
  most: number,
  counts: DomainCounts,
): readonly HostView[] => {
  const left = new Set(hosts);
  return Array.from({ length: Math.min(most, hosts.length) }, () => {
    const [first, ...others] = left;
    const leaving = others.reduce(
      (best, host) => (compare(counts, host, best) > 0 ? host : best),
      first as HostView,
    );
    left.delete(leaving);
    countHost(counts, leaving, -1);
    return leaving;
  });
};
