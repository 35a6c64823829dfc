/**
 * Chooses the hosts that join or leave a pool by their racks and data centres, so that the loss of one rack or data
 * centre removes as few hosts of each pool as possible. Among equally suitable hosts the first one is chosen.
 */
import { change } from '../../shared/change.js';
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

/** The hosts of a pool in the rack and in the data centre of a host. */
type PlaceCounts = { readonly inRack: number; readonly inDataCentre: number };

const placeCountsOf = (
  counts: DomainCounts,
  [rack, dataCentre]: readonly DomainId[],
): PlaceCounts => ({
  inRack: (rack && counts.get(rack)) ?? 0,
  inDataCentre: (dataCentre && counts.get(dataCentre)) ?? 0,
});

/** Compares two places by the counts of their racks, then of their data centres; below 0 if the left has the lower. */
const comparePlaceCounts = (left: PlaceCounts, right: PlaceCounts): number =>
  left.inRack - right.inRack || left.inDataCentre - right.inDataCentre;

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
): ListedHost | undefined => {
  let best: ListedHost | undefined;
  let bestCounts: PlaceCounts | undefined;
  hosts.forEach((host) => {
    const place = placeCountsOf(counts, domainKeysOf(host));
    if (bestCounts && comparePlaceCounts(place, bestCounts) >= 0) return;
    best = host;
    bestCounts = place;
  });
  return best;
};

/** The hosts in one rack, which are equally suitable, so that only the first of them has to be compared. */
type RackGroup = {
  readonly keys: readonly DomainId[];
  readonly hosts: ListedHost[];
  /** The positions of the hosts in the list from which the groups were formed. */
  readonly positions: number[];
  /** How many of the hosts have been chosen, in the order of the list. */
  chosen: number;
};

const groupByRack = (hosts: readonly ListedHost[]): readonly RackGroup[] => {
  const groups = new Map<DomainId | undefined, RackGroup>();
  hosts.forEach((host, position) => {
    const keys = domainKeysOf(host);
    const group = groups.get(keys[0]) ?? { keys, hosts: [], positions: [], chosen: 0 };
    groups.set(keys[0], group);
    group.hosts.push(host);
    group.positions.push(position);
  });
  return Array.from(groups.values());
};

const firstPositionOf = ({ positions, chosen }: RackGroup): number => positions[chosen] ?? Infinity;

/** Finds the rack with the most hosts left, then with the most in its data centre, then with the first host. */
const findFullestRack = (
  groups: readonly RackGroup[],
  counts: DomainCounts,
): RackGroup | undefined => {
  let fullest: RackGroup | undefined;
  let fullestCounts: PlaceCounts = { inRack: -Infinity, inDataCentre: -Infinity };
  groups.forEach((group) => {
    if (group.chosen === group.hosts.length) return;
    const place = placeCountsOf(counts, group.keys);
    const order =
      comparePlaceCounts(fullestCounts, place) ||
      firstPositionOf(group) - (fullest ? firstPositionOf(fullest) : Infinity);
    if (order >= 0) return;
    fullest = group;
    fullestCounts = place;
  });
  return fullest;
};

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
  const groups = groupByRack(hosts);
  const leaving: ListedHost[] = [];
  while (leaving.length < Math.min(maxHosts, hosts.length)) {
    const rack = findFullestRack(groups, counts);
    const host = rack?.hosts[rack.chosen];
    if (!rack || !host) return leaving;
    change(rack, { chosen: rack.chosen + 1 });
    rack.keys.forEach((key) => counts.set(key, (counts.get(key) ?? 0) - 1));
    leaving.push(host);
  }
  return leaving;
};
