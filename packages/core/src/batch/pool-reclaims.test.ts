/** Which hosts are emptied so that pools with work in time get them. */
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type HostId, type JobId, type PoolName } from '../shared/ids.js';
import { seeEndpoint } from './endpoints.js';
import type { HostView } from './hosts.js';
import type { BatchJob, StepSpec } from './job.js';
import { takeInJob } from './jobs.js';
import { planMoves } from './pool-moves.js';
import { DEFAULT_POOL_POLICY, type PoolWorld } from './pool-needs.js';
import { markReleased } from './pool-reclaims.js';
import { schedulePool } from './schedule.js';
import { createBatchState } from './state.js';

const OLD = brand<PoolName>('old-peak');
const NEW = brand<PoolName>('new-peak');
const HOSTS_PER_POOL = 10;
const LATE_MS = 60_000;

const step: StepSpec = {
  taskCount: 1,
  cpuMillis: 8000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isGang: false,
  isRackLocal: false,
  requiredLabel: '',
  nearRack: '',
  mostPerEndpoint: 0,
  isSpeculative: false,
  isLasting: false,
  mayMiss: 0,
  image: '',
  targetMs: 0,
  fillsGaps: false,
  savesProgress: false,
};

describe('hosts of a pool whose peak is over', () => {
  const build = (oldStep: Partial<StepSpec> = {}) => {
    const state = createBatchState(1);
    const hosts = new Map<HostId, HostView>();
    const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
    [OLD, NEW].forEach((pool) => {
      Array.from({ length: HOSTS_PER_POOL }).forEach((_, index) => {
        const hostId = brand<HostId>(`h-${pool}-${index}`);
        const endpointId = brand<EndpointId>(`i-${pool}-${index}`);
        const place = { pool, hostId, labels: [], dataCentre: 'dc', capacity };
        hosts.set(hostId, { ...place, state: 'up', endpointId });
        seeEndpoint(state, { ...place, endpointId, address: '', isDraining: false }, 0);
      });
    });
    state.endpoints.forEach((endpoint) => Object.assign(endpoint, { isKnown: true }));
    const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
    const submit = (pool: PoolName, count: number, nowMs: number, spec: Partial<StepSpec> = {}) =>
      Array.from({ length: count }).forEach((_, index) => {
        const job: BatchJob = {
          jobId: brand<JobId>(`${pool}${nowMs}${index}`.padStart(16, '0')),
          queue: brand(`q-${pool}`),
          pool,
          spec: '',
          steps: [{ ...step, ...spec }],
          repeats: 0,
          firstDueAtMs: 0,
          intervalMs: 0,
          acceptedAtMs: 0,
        };
        takeInJob(state, { job, policy, nowMs, todayMs: 0, isInherited: false });
      });
    const world = (nowMs: number): PoolWorld => ({
      state,
      hosts,
      pools: [OLD, NEW].map((name) => ({ name, isSpare: false })),
      busyHosts: new Set(),
      nowMs,
    });
    /** All hosts of both pools are full, a minute's late work waits in one, new work in the other. */
    const overload = (): void => {
      submit(OLD, HOSTS_PER_POOL, 0, oldStep);
      submit(OLD, 40, 0);
      schedulePool(state, OLD, 0);
      submit(NEW, 40, LATE_MS);
      schedulePool(state, NEW, LATE_MS);
    };
    const released = (): readonly EndpointId[] =>
      Array.from(state.endpoints.values())
        .filter(({ isReleased }) => isReleased)
        .map(({ endpointId }) => endpointId);
    return { state, world, overload, released };
  };

  const empty = (state: ReturnType<typeof build>['state'], endpointId: EndpointId): void =>
    state.endpoints.get(endpointId)?.runs.clear();

  it('get nothing new while work in time waits elsewhere, four in ten of them at most', () => {
    const { state, world, overload, released } = build();
    overload();
    markReleased(world(LATE_MS));
    expect(released()).toHaveLength(4);
    expect(released().every((endpointId) => endpointId.startsWith('i-old'))).toBe(true);
    // They stay the same ones, and nothing is placed there.
    const before = released();
    before.forEach((endpointId) => empty(state, endpointId));
    schedulePool(state, OLD, LATE_MS + 100);
    expect(before.map((endpointId) => state.endpoints.get(endpointId)?.runs.size)).toEqual([
      0, 0, 0, 0,
    ]);
    markReleased(world(LATE_MS + 250));
    expect(released()).toEqual(before);
  });

  it('change their pool once they stand empty', () => {
    const { state, world, overload, released } = build();
    overload();
    markReleased(world(LATE_MS));
    expect(planMoves(world(LATE_MS))).toEqual([]);
    released().forEach((endpointId) => empty(state, endpointId));
    const moves = planMoves(world(LATE_MS + 100));
    expect(moves.map(({ fromPool, toPool }) => [fromPool, toPool])).toEqual(
      Array.from({ length: 4 }, () => [OLD, NEW]),
    );
  });

  it('keep what is to last', () => {
    const { world, overload, released } = build({ isLasting: true });
    overload();
    markReleased(world(LATE_MS));
    expect(released()).toEqual([]);
  });

  it('are left alone where a new holder has not heard from them: what lasts may run there', () => {
    // A holder that had just begun moved three hosts on which tasks of an earlier one were at work.
    const { state, world, overload, released } = build();
    overload();
    state.endpoints.forEach((endpoint) => {
      if (endpoint.pool === OLD) Object.assign(endpoint, { isKnown: false, runs: new Map() });
    });
    markReleased(world(LATE_MS));
    expect(released()).toEqual([]);
    state.endpoints.forEach((endpoint) => {
      if (endpoint.pool === OLD) Object.assign(endpoint, { isReleased: true });
    });
    expect(planMoves(world(LATE_MS + 100))).toEqual([]);
  });

  it('work on once nothing in time waits elsewhere', () => {
    const { state, world, overload, released } = build();
    overload();
    markReleased(world(LATE_MS));
    expect(released()).not.toEqual([]);
    state.pools.get(NEW)?.open.clear();
    const muchLaterMs = LATE_MS * 10;
    markReleased(world(muchLaterMs), { ...DEFAULT_POOL_POLICY, expectsPeaks: false });
    expect(released()).toEqual([]);
  });
});
