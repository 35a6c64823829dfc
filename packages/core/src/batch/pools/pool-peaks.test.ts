/** Hosts that follow demand by turns, with and without the expectation of the next peak. */
import { describe, expect, it } from 'vitest';

import {
  type DataCentreId,
  type EndpointId,
  type HostId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { instanceOf } from '../model/endpoint-life.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import type { HostView } from './hosts.js';
import { planMoves } from './pool-moves.js';
import { DEFAULT_POOL_POLICY, observePeaks, type PoolWorld } from './pool-needs.js';
import { createBatchState, poolOf } from '../model/state.js';

const POOLS = ['a', 'b', 'c', 'd'].map((name) => brand<PoolName>(name));
const HOSTS_PER_POOL = 8;
const HOST_CPU = 16_000;
const PERIOD_MS = 10_000;
const PEAK_MS = 7000;
const PEAK_CORES = 200;
const MOVE_MS = 2000;
const CYCLE_MS = 250;
/** How long after the beginning of a peak the room of its pool is looked at. */
const LOOK_AFTER_MS = 500;

/** Plays six peaks; gives the cores that the pools of the last four have half a second into them. */
const roomAtPeaks = (expectsPeaks: boolean): readonly number[] => {
  const state = createBatchState(1);
  const hosts = new Map<HostId, HostView>();
  const backAtMs = new Map<HostId, number>();
  let lives = 0;

  const liveOn = (host: HostView, nowMs: number): void => {
    lives += 1;
    const endpointId = brand<EndpointId>(`i-${lives}`);
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
    seeEndpoint(state, { ...seen, isDraining: false }, nowMs).isKnown = true;
    hosts.set(hostId, { ...host, state: 'up', instanceId: instanceOf(endpointId) });
  };

  const move = (hostId: HostId, pool: PoolName, nowMs: number): void => {
    const host = hosts.get(hostId) as HostView;
    const endpoint = host.instanceId && state.lives.get(host.instanceId);
    if (endpoint)
      removeEndpoint(state, endpoint.endpointId, { detail: 'host-ordered', atMs: nowMs, nowMs });
    hosts.set(hostId, { ...host, pool, state: 'moving', instanceId: null });
    backAtMs.set(hostId, nowMs + MOVE_MS);
  };

  POOLS.forEach((pool) => {
    for (let index = 0; index < HOSTS_PER_POOL; index += 1) {
      const hostId = brand<HostId>(`h-${pool}-${index}`);
      const capacity = { cpuMillis: HOST_CPU, memoryMb: 1, accelerators: 0 };
      const place = { dataCentre: brand<DataCentreId>('dc'), labels: [], instanceId: null };
      liveOn({ hostId, pool, state: 'up', capacity, ...place }, 0);
    }
  });

  const rooms: number[] = [];
  for (let nowMs = 0; nowMs < 6 * PERIOD_MS; nowMs += CYCLE_MS) {
    const turn = POOLS[Math.floor(nowMs / PERIOD_MS) % POOLS.length] as PoolName;
    const cores = nowMs % PERIOD_MS < PEAK_MS ? PEAK_CORES : 2;
    poolOf(state, turn).demand.recordArrival(cores * CYCLE_MS, nowMs);
    Array.from(backAtMs).forEach(([hostId, atMs]) => {
      if (atMs > nowMs) return;
      backAtMs.delete(hostId);
      liveOn(hosts.get(hostId) as HostView, nowMs);
    });
    if (nowMs % PERIOD_MS === LOOK_AFTER_MS && nowMs > 2 * PERIOD_MS) {
      const there = Array.from(state.endpoints.values()).filter(({ pool }) => pool === turn);
      rooms.push((there.length * HOST_CPU) / 1000);
    }
    const pools = POOLS.map((name) => ({ name, isSpare: false }));
    const world: PoolWorld = { state, hosts, pools, busyHosts: new Set(), nowMs };
    observePeaks(world);
    planMoves(world, { ...DEFAULT_POOL_POLICY, expectsPeaks }).forEach(({ hostId, toPool }) =>
      move(hostId, toPool, nowMs),
    );
  }
  return rooms;
};

describe('the room of a pool half a second into its peak', () => {
  it('is that of the peak where it was expected, and what stood there before where it was not', () => {
    // Peaks of 200 cores, 10 s apart, four pools of which the last peaked 40 s ago.
    // The third pool shares what is held with the fourth, of which none has peaked yet.
    expect(roomAtPeaks(false)).toEqual([48, 48, 48, 48]);
    expect(roomAtPeaks(true)).toEqual([144, 272, 272, 272]);
  });
});
