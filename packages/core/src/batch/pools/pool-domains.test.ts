/** Which hosts join a pool and which leave it, by their racks and data centres. */
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type HostId, type PoolName } from '../../shared/ids.js';
import { instanceOf } from '../model/endpoint-life.js';
import { JOB, POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { createBatchState, poolOf, type BatchState } from '../model/state.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import type { HostView } from './hosts.js';
import { planMoves } from './pool-moves.js';
import { DEFAULT_POOL_POLICY, type PoolWorld } from './pool-needs.js';

const SPARE = brand<PoolName>('spare');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };

/** A host as `POOL DATA-CENTRE RACK`; the rack is '-' for none. */
const worldOf = (places: readonly string[]): PoolWorld & { readonly state: BatchState } => {
  const state = createBatchState(1);
  const hosts = new Map<HostId, HostView>();
  places.forEach((place, index) => {
    const [pool = '', dataCentre = '', rack = ''] = place.split(' ');
    const endpointId = brand<EndpointId>(`i-${index}`);
    const host: HostView = {
      hostId: brand<HostId>(`h-${index}`),
      pool: brand<PoolName>(pool),
      state: 'up',
      dataCentre: brand(dataCentre),
      labels: rack === '-' ? ['ssd'] : [`rack-${rack}`, 'ssd'],
      capacity: CAPACITY,
      instanceId: pool === SPARE ? null : instanceOf(endpointId),
    };
    hosts.set(host.hostId, host);
    if (pool === SPARE) return;
    const { hostId, capacity, labels } = host;
    const seen = { endpointId, hostId, capacity, labels, address: '', isDraining: false };
    const at = { pool: host.pool, dataCentre: host.dataCentre };
    seeEndpoint(state, { ...seen, ...at }, 0).isKnown = true;
  });
  const pools = [
    { name: POOL, isSpare: false },
    { name: SPARE, isSpare: true },
  ];
  return { state, hosts, pools, busyHosts: new Set(), nowMs: 60_000 };
};

/** Moves as numbers of hosts. */
const movesOf = (world: PoolWorld, minHosts = 0): readonly number[] =>
  planMoves(world, { ...DEFAULT_POOL_POLICY, minHosts }).map(({ hostId }) =>
    Number(hostId.slice(2)),
  );

/** The pool is short of so many hosts, for tasks of a core each. */
const joining = (places: readonly string[], hosts: number): readonly number[] => {
  const world = worldOf(places);
  const held = places.filter((place) => place.startsWith(POOL)).length;
  submitJob(world.state, JOB, { step: { taskCount: 8 * (held + hosts), cpuMillis: 1000 } });
  return movesOf(world);
};

/** The pool has had demand, and needs no more than so many hosts. */
const leaving = (places: readonly string[], minHosts: number): readonly number[] => {
  const world = worldOf(places);
  poolOf(world.state, POOL).demand.recordArrival(1000, 0);
  return movesOf(world, minHosts);
};

describe('hosts that join a pool from the spare pool', () => {
  it('come from the rack in which the pool has fewest', () => {
    // The first ones that are listed may all stand in one rack, whose loss would take all of them.
    const held = ['alpha dc-0 a', 'alpha dc-0 a', 'alpha dc-0 b'];
    const spare = ['spare dc-0 a', 'spare dc-0 a', 'spare dc-0 b', 'spare dc-0 c'];
    expect(joining([...held, ...spare], 3)).toEqual([6, 5, 3]);
  });

  it('come from the data centre in which the pool has fewest, among racks that are alike', () => {
    const places = ['alpha dc-0 a', 'alpha dc-1 b', 'alpha dc-0 c'];
    expect(joining([...places, 'spare dc-0 d', 'spare dc-1 e'], 1)).toEqual([4]);
  });

  it('come in the order of the list where they have no rack', () => {
    const places = ['alpha dc-0 -', 'spare dc-0 -', 'spare dc-1 -', 'spare dc-0 -'];
    expect(joining(places, 2)).toEqual([1, 2]);
  });
});

describe('hosts that are parked', () => {
  it('leave the rack of which the pool has most, until racks are alike', () => {
    const places = ['alpha dc-0 a', 'alpha dc-0 b', 'alpha dc-0 b', 'alpha dc-0 b'];
    expect(leaving([...places, 'spare dc-0 c'], 2)).toEqual([1, 2]);
  });

  it('leave the data centre of which the pool has most, among racks that are alike', () => {
    const places = ['alpha dc-0 a', 'alpha dc-1 b', 'alpha dc-1 c', 'spare dc-0 d'];
    expect(leaving(places, 2)).toEqual([1]);
  });

  it('leave in the order of the list where they have no rack', () => {
    const places = ['alpha dc-0 -', 'alpha dc-1 -', 'alpha dc-1 -', 'spare dc-0 -'];
    expect(leaving(places, 1)).toEqual([0, 1]);
  });
});
