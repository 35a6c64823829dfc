/** Moving hosts between pools whose demand peaks in rotation, with and without prediction of the next peak. */
import { describe, expect, it } from 'vitest';

import {
  type DataCentreId,
  type EndpointId,
  type HostId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import type { ListedHost } from './listed-hosts.js';
import { planMoves } from './pool-moves.js';
import type { PoolPlanInput } from './pool-needs.js';
import { observePeaks } from './pool-peaks.js';
import { DEFAULT_POOL_POLICY } from './pool-policy.js';
import { createBatchState, poolOf } from '../model/state.js';

const POOLS = ['a', 'b', 'c', 'd'].map((name) => brand<PoolName>(name));
const HOSTS_PER_POOL = 8;
const HOST_CPU = 16_000;
const PERIOD_MS = 10_000;
const PEAK_MS = 7000;
const PEAK_CORES = 200;
const MOVE_MS = 2000;
const CYCLE_MS = 250;
/** How long after the beginning of a peak the capacity of its pool is sampled. */
const SAMPLE_AFTER_MS = 500;

/** Simulates six peaks and gives, for each of the last four, the cores of the peaking pool 0.5 s after it began. */
const capacityAtPeaks = (predictsPeaks: boolean): readonly number[] => {
  const state = createBatchState(1);
  const hosts = new Map<HostId, ListedHost>();
  const moveEndsAtMs = new Map<HostId, number>();
  let startedEndpoints = 0;

  const startEndpoint = (host: ListedHost, nowMs: number): void => {
    startedEndpoints += 1;
    const endpointId = brand<EndpointId>(`i-${startedEndpoints}`);
    const capacity = { cpuMillis: HOST_CPU, memoryMb: 1, accelerators: 0 };
    const { hostId, pool } = host;
    const seen = {
      endpointId,
      pool,
      hostId,
      address: '',
      dataCentre: brand<DataCentreId>(''),
      labels: [],
      capacity,
    };
    upsertEndpoint(state, { ...seen, isDraining: false }, nowMs).listing = 'complete';
    hosts.set(hostId, { ...host, state: 'up', instanceId: instanceIdOf(endpointId) });
  };

  const move = (hostId: HostId, pool: PoolName, nowMs: number): void => {
    const host = hosts.get(hostId) as ListedHost;
    const endpoint = host.instanceId && state.currentIncarnations.get(host.instanceId);
    if (endpoint)
      removeEndpoint(state, endpoint.endpointId, { detail: 'host-ordered', atMs: nowMs, nowMs });
    hosts.set(hostId, { ...host, pool, state: 'moving', instanceId: null });
    moveEndsAtMs.set(hostId, nowMs + MOVE_MS);
  };

  POOLS.forEach((pool) => {
    for (let index = 0; index < HOSTS_PER_POOL; index += 1) {
      const hostId = brand<HostId>(`h-${pool}-${index}`);
      const capacity = { cpuMillis: HOST_CPU, memoryMb: 1, accelerators: 0 };
      const place = { dataCentre: brand<DataCentreId>('dc'), labels: [], instanceId: null };
      startEndpoint({ hostId, pool, state: 'up', capacity, ...place }, 0);
    }
  });

  const capacities: number[] = [];
  for (let nowMs = 0; nowMs < 6 * PERIOD_MS; nowMs += CYCLE_MS) {
    const peakPool = POOLS[Math.floor(nowMs / PERIOD_MS) % POOLS.length] as PoolName;
    const cores = nowMs % PERIOD_MS < PEAK_MS ? PEAK_CORES : 2;
    poolOf(state, peakPool).demand.recordArrival(cores * CYCLE_MS, nowMs);
    Array.from(moveEndsAtMs).forEach(([hostId, atMs]) => {
      if (atMs > nowMs) return;
      moveEndsAtMs.delete(hostId);
      startEndpoint(hosts.get(hostId) as ListedHost, nowMs);
    });
    if (nowMs % PERIOD_MS === SAMPLE_AFTER_MS && nowMs > 2 * PERIOD_MS) {
      const poolEndpoints = Array.from(state.endpoints.values()).filter(
        ({ pool }) => pool === peakPool,
      );
      capacities.push((poolEndpoints.length * HOST_CPU) / 1000);
    }
    const pools = POOLS.map((name) => ({ name, isSpare: false }));
    const world: PoolPlanInput = { state, hosts, pools, busyHosts: new Set(), nowMs };
    observePeaks(world);
    planMoves(world, { ...DEFAULT_POOL_POLICY, predictsPeaks }).forEach(({ hostId, toPool }) =>
      move(hostId, toPool, nowMs),
    );
  }
  return capacities;
};

describe('the capacity of a pool 0.5 s after its peak began', () => {
  it('covers the peak if it was predicted, and is only the minimum number of hosts if it was not', () => {
    // Four pools with peaks of 200 cores, 10 s apart, so that each pool peaks every 40 s. The first sampled peak is the
    // third pool's: it has not peaked before and shares the held capacity with the fourth pool, which has not either.
    expect(capacityAtPeaks(false)).toEqual([48, 48, 48, 48]);
    expect(capacityAtPeaks(true)).toEqual([144, 272, 272, 272]);
  });
});
