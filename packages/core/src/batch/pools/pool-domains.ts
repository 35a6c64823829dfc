/**
 * Chooses the hosts that join or leave a pool by their racks and data centres, so that the loss of one rack or data
 * centre removes as few hosts of each pool as possible. Among equally suitable hosts the first one is chosen.
 */
import type { DomainId } from '../../shared/ids.js';
import { dataCentreCountKey, domainsOf, rackCountKey } from '../domains/domains.js';
import { rackOf } from '../endpoints/endpoints.js';
import type { ListedHost } from './listed-hosts.js';

/** The number of hosts that a pool has in each failure domain. */
export type DomainCounts = Map<DomainId, number>;

/**
 * The keys under which a host is counted: its rack and its data centre. Hosts without a rack are counted as one rack
 * and not by data centre, so they are all equally suitable.
 */
const domainKeysOf = (host: ListedHost): readonly DomainId[] => {
  const domains = domainsOf(host.dataCentre, rackOf(host));
  const rack = rackCountKey(domains);
  return domains.rack === null ? [rack] : [rack, dataCentreCountKey(domains)];
};

/**
 * Updates the counts of a pool for a host that joins or leaves it.
 *
 * @param counts - The counts of the pool, changed in place.
 * @param host - The host.
 * @param delta - 1 if the host joins, -1 if it leaves.
 */
export const adjustCounts = (counts: DomainCounts, host: ListedHost, delta: 1 | -1): void =>
  domainKeysOf(host).forEach((key) => counts.set(key, (counts.get(key) ?? 0) + delta));

/**
 * Counts the hosts of a pool by failure domain.
 *
 * @param hosts - The hosts.
 * @returns The counts.
 */
export const countHostsByDomain = (hosts: readonly ListedHost[]): DomainCounts => {
  const counts: DomainCounts = new Map();
  hosts.forEach((host) => adjustCounts(counts, host, 1));
  return counts;
};

/** Compares two hosts by the counts of their racks, then of their data centres; below 0 if the left has the lower. */
const compareHostCounts = (counts: DomainCounts, left: ListedHost, right: ListedHost): number => {
  const [leftRack = 0, leftDataCentre = 0] = domainKeysOf(left).map((key) => counts.get(key) ?? 0);
  const [rightRack = 0, rightDataCentre = 0] = domainKeysOf(right).map(
    (key) => counts.get(key) ?? 0,
  );
  return leftRack - rightRack || leftDataCentre - rightDataCentre;
};

/**
 * Chooses the host that joins a pool: the one in whose rack, then data centre, the pool has the fewest hosts.
 *
 * @param hosts - The hosts that may join.
 * @param counts - The counts of the pool.
 * @returns The host; undefined if `hosts` is empty.
 */
export const chooseHostToJoin = (
  hosts: readonly ListedHost[],
  counts: DomainCounts,
): ListedHost | undefined =>
  hosts.reduce<ListedHost | undefined>(
    (best, host) => (best && compareHostCounts(counts, host, best) >= 0 ? best : host),
    undefined,
  );

/**
 * Chooses the hosts that leave a pool, one after the other: each time the host in whose rack, then data centre, the
 * pool has the most hosts left.
 *
 * @param hosts - The hosts that may leave.
 * @param maxHosts - The maximum number of hosts that leave.
 * @param counts - The counts of the pool, changed in place.
 * @returns The hosts, in the order chosen.
 */
export const chooseHostsToLeave = (
  hosts: readonly ListedHost[],
  maxHosts: number,
  counts: DomainCounts,
): readonly ListedHost[] => {
  const remaining = new Set(hosts);
  return Array.from({ length: Math.min(maxHosts, hosts.length) }, () => {
    const [first, ...others] = remaining;
    const leaving = others.reduce(
      (best, host) => (compareHostCounts(counts, host, best) > 0 ? host : best),
      first as ListedHost,
    );
    remaining.delete(leaving);
    adjustCounts(counts, leaving, -1);
    return leaving;
  });
};
