/** Choosing the hosts that join or leave a pool by their racks and data centres. */
import { fc, test } from '@fast-check/vitest';
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type HostId, type PoolName } from '../../shared/ids.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { JOB, POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { createBatchState, poolOf, type BatchState } from '../model/state.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import type { ListedHost } from './listed-hosts.js';
import { chooseHostsToLeave, countHostsByDomain } from './pool-domains.js';
import { planMoves } from './pool-moves.js';
import type { PoolPlanInput } from './pool-needs.js';
import { DEFAULT_POOL_POLICY } from './pool-policy.js';

const SPARE = brand<PoolName>('spare');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };

/** Builds a fleet from one `POOL DATA-CENTRE RACK` text per host; a rack of '-' means none. */
const createWorld = (places: readonly string[]): PoolPlanInput & { readonly state: BatchState } => {
  const state = createBatchState(1);
  const hosts = new Map<HostId, ListedHost>();
  places.forEach((place, index) => {
    const [pool = '', dataCentre = '', rack = ''] = place.split(' ');
    const endpointId = brand<EndpointId>(`i-${index}`);
    const host: ListedHost = {
      hostId: brand<HostId>(`h-${index}`),
      pool: brand<PoolName>(pool),
      state: 'up',
      dataCentre: brand(dataCentre),
      labels: rack === '-' ? ['ssd'] : [`rack-${rack}`, 'ssd'],
      capacity: CAPACITY,
      instanceId: pool === SPARE ? null : instanceIdOf(endpointId),
    };
    hosts.set(host.hostId, host);
    if (pool === SPARE) return;
    const { hostId, capacity, labels } = host;
    const seen = { endpointId, hostId, capacity, labels, address: '', isDraining: false };
    const at = { pool: host.pool, dataCentre: host.dataCentre };
    upsertEndpoint(state, { ...seen, ...at }, 0).listing = 'complete';
  });
  const pools = [
    { name: POOL, isSpare: false },
    { name: SPARE, isSpare: true },
  ];
  return { state, hosts, pools, busyHosts: new Set(), nowMs: 60_000 };
};

/** Plans moves and gives the number (the index in `places`) of each moved host. */
const movedHostNumbers = (world: PoolPlanInput, minHosts = 0): readonly number[] =>
  planMoves(world, { ...DEFAULT_POOL_POLICY, minHosts }).map(({ hostId }) =>
    Number(hostId.slice(2)),
  );

/** Plans moves while the pool lacks capacity for so many hosts' worth of one-core tasks. */
const joiningHosts = (places: readonly string[], hosts: number): readonly number[] => {
  const world = createWorld(places);
  const poolHostCount = places.filter((place) => place.startsWith(POOL)).length;
  submitJob(world.state, JOB, {
    step: { taskCount: 8 * (poolHostCount + hosts), cpuMillis: 1000 },
  });
  return movedHostNumbers(world);
};

/** Plans moves while the pool has had demand but needs no more than its minimum number of hosts. */
const leavingHosts = (places: readonly string[], minHosts: number): readonly number[] => {
  const world = createWorld(places);
  poolOf(world.state, POOL).demand.recordArrival(1000, 0);
  return movedHostNumbers(world, minHosts);
};

describe('hosts that join a pool from the spare pool', () => {
  it('come from the rack in which the pool has fewest hosts', () => {
    // If hosts were taken in list order, they could all be in one rack and be lost with it.
    const held = ['alpha dc-0 a', 'alpha dc-0 a', 'alpha dc-0 b'];
    const spare = ['spare dc-0 a', 'spare dc-0 a', 'spare dc-0 b', 'spare dc-0 c'];
    expect(joiningHosts([...held, ...spare], 3)).toEqual([6, 5, 3]);
  });

  it('come from the data centre in which the pool has fewest hosts, among racks with equally many', () => {
    const places = ['alpha dc-0 a', 'alpha dc-1 b', 'alpha dc-0 c'];
    expect(joiningHosts([...places, 'spare dc-0 d', 'spare dc-1 e'], 1)).toEqual([4]);
  });

  it('are taken in list order if they have no rack', () => {
    const places = ['alpha dc-0 -', 'spare dc-0 -', 'spare dc-1 -', 'spare dc-0 -'];
    expect(joiningHosts(places, 2)).toEqual([1, 2]);
  });
});

describe('hosts that leave a pool for the spare pool', () => {
  it('come from the rack in which the pool has most hosts, until racks have equally many', () => {
    const places = ['alpha dc-0 a', 'alpha dc-0 b', 'alpha dc-0 b', 'alpha dc-0 b'];
    expect(leavingHosts([...places, 'spare dc-0 c'], 2)).toEqual([1, 2]);
  });

  it('come from the data centre in which the pool has most hosts, among racks with equally many', () => {
    const places = ['alpha dc-0 a', 'alpha dc-1 b', 'alpha dc-1 c', 'spare dc-0 d'];
    expect(leavingHosts(places, 2)).toEqual([1]);
  });

  it('leave in list order if they have no rack', () => {
    const places = ['alpha dc-0 -', 'alpha dc-1 -', 'alpha dc-1 -', 'spare dc-0 -'];
    expect(leavingHosts(places, 1)).toEqual([0, 1]);
  });
});

/** Chooses the hosts that leave by the rule itself: each time the first host of the fullest rack, then data centre. */
const chooseByComparingAll = (
  hosts: readonly ListedHost[],
  maxHosts: number,
): readonly ListedHost[] => {
  const remaining = [...hosts];
  const rackOf = ({ dataCentre, labels }: ListedHost): string | null =>
    labels.length > 1 ? `${dataCentre} ${labels[0]}` : null;
  const countWhere = (matches: (host: ListedHost) => boolean): number =>
    remaining.filter(matches).length;
  const fullness = (host: ListedHost): number => {
    const inRack = countWhere((other) => rackOf(other) === rackOf(host));
    const isRackless = rackOf(host) === null;
    const isCountedWith = (other: ListedHost): boolean =>
      rackOf(other) !== null && other.dataCentre === host.dataCentre;
    return inRack + (isRackless ? 0 : countWhere(isCountedWith) / 100);
  };
  return Array.from({ length: Math.min(maxHosts, hosts.length) }, () => {
    const fullest = Math.max(...remaining.map(fullness));
    const index = remaining.findIndex((host) => fullness(host) === fullest);
    return remaining.splice(index, 1)[0] as ListedHost;
  });
};

describe('choosing hosts of a large pool that leave', () => {
  const RACKS = 8;
  const HOSTS_PER_RACK = 8;
  const HOSTS = RACKS * HOSTS_PER_RACK;

  /** Counts how often the hosts of a domain are looked up. */
  const createLookupCounter = () => {
    let lookups = 0;
    class CountedMap<Key, Value> extends Map<Key, Value> {
      override get(key: Key): Value | undefined {
        lookups += 1;
        return super.get(key);
      }
    }
    return { CountedMap, lookups: () => lookups };
  };

  const createHosts = (): readonly ListedHost[] =>
    Array.from(
      createWorld(
        Array.from({ length: HOSTS }, (_, index) => `alpha dc-${index % 2} r${index % RACKS}`),
      ).hosts.values(),
    );

  it('compares racks, not all pairs of hosts', () => {
    const hosts = createHosts();
    const { CountedMap, lookups } = createLookupCounter();
    const chosen = chooseHostsToLeave(hosts, HOSTS, new CountedMap(countHostsByDomain(hosts)));
    expect(chosen).toHaveLength(HOSTS);
    expect(new Set(chosen).size).toBe(HOSTS);
    const lookupsPerRack = 4;
    expect(lookups()).toBeLessThanOrEqual(lookupsPerRack * HOSTS * RACKS);
  });

  it('takes one host of each rack in turn', () => {
    const hosts = createHosts();
    const chosen = chooseHostsToLeave(hosts, HOSTS, countHostsByDomain(hosts));
    const rackNumbers = chosen.map(({ hostId }) => Number(hostId.slice(2)) % RACKS);
    for (let round = 0; round < HOSTS_PER_RACK; round += 1) {
      const racks = rackNumbers.slice(round * RACKS, (round + 1) * RACKS);
      expect(new Set(racks).size).toBe(RACKS);
    }
  });

  test.prop([
    fc.array(fc.tuple(fc.nat(2), fc.constantFrom('-', 'a', 'b', 'c')), { maxLength: 16 }),
    fc.nat(20),
  ])('chooses the same hosts as a comparison of all of them', (places, maxHosts) => {
    const names = places.map(([dataCentre, rack]) => `alpha dc-${dataCentre} ${rack}`);
    const hosts = Array.from(createWorld(names).hosts.values());
    const counts = countHostsByDomain(hosts);
    const expected = chooseByComparingAll(hosts, maxHosts);
    expect(chooseHostsToLeave(hosts, maxHosts, counts)).toEqual(expected);
  });
});
