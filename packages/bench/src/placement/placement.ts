/** Measures the time to choose an endpoint for a task in a fleet of 21,000 hosts in 1,000 racks. */
import {
  createBatchState,
  DEFAULT_STEP,
  upsertEndpoint,
  addJob,
  schedulableEndpoints,
  type BatchState,
  type StepRun,
  type StepSpec,
} from '@valvelatch/core/batch';
import { createCandidates } from '@valvelatch/core/batch/placement/candidates';
import { scoresFor } from '@valvelatch/core/batch/placement/scores';
import { addRun } from '@valvelatch/core/batch/endpoints/runs';
import { change } from '@valvelatch/core/shared/change';
import { brand, type PoolName } from '@valvelatch/core/shared/ids';

import { computeMedian, roundToPrecision, type BenchRow } from '../report.js';

const HOSTS = 21_000;
const HOSTS_PER_RACK = 21;
const DATA_CENTRES = 20;
const CORES_MILLIS = 64_000;
/** The tasks of a short step; a long-running step has `LONG_RUNNING_TASKS`. */
const SHORT_TASKS = 8;
const LONG_RUNNING_TASKS = 24;
const ROUNDS = 200;
const US_PER_MS = 1000;

const poolName = (index: number): PoolName => brand<PoolName>(`pool-${index}`);

/**
 * Builds a fleet whose racks are spread over the data centres in turn; hosts are assigned to pools
 * in turn.
 */
const createFleet = (pools: number): BatchState => {
  const state = createBatchState(2);
  Array.from({ length: HOSTS }).forEach((_, index) => {
    const rack = Math.floor(index / HOSTS_PER_RACK);
    const endpoint = upsertEndpoint(
      state,
      {
        endpointId: brand(`i-${index}`),
        pool: poolName(index % pools),
        hostId: brand(`h-${index}`),
        address: '',
        dataCentre: brand(`dc-${rack % DATA_CENTRES}`),
        labels: [`rack-${rack}`, 'ssd'],
        capacity: { cpuMillis: CORES_MILLIS, memoryMb: 256_000, accelerators: 0 },
        isDraining: false,
      },
      0,
    );
    change(endpoint, { listing: 'complete' });
    change(endpoint.used, { cpuMillis: (index * 7919) % CORES_MILLIS });
  });
  return state;
};

const createStep = (state: BatchState, number: number, spec: Partial<StepSpec>): StepRun => {
  const job = addJob(state, {
    job: {
      jobId: brand(number.toString(16).padStart(16, '0')),
      queue: brand('q'),
      pool: poolName(0),
      spec: '',
      steps: [{ ...DEFAULT_STEP, cpuMillis: 2000, memoryMb: 100, ...spec }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
    },
    policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
    nowMs: 0,
    wallClockMs: 0,
  });
  return job.occurrences.get(0)?.steps[0] as StepRun;
};

/** Measures the mean time per task to place all tasks of a step, in microseconds. */
const chooseUs = (state: BatchState, number: number, spec: Partial<StepSpec>): number => {
  const step = createStep(state, number, spec);
  const endpoints = schedulableEndpoints(state, poolName(0), 1);
  const beganAtMs = performance.now();
  const table = scoresFor(state, endpoints, step);
  const candidates = createCandidates(endpoints, { state, step, nowMs: 1 }, table);
  step.tasks.all().forEach((task) => {
    const endpoint = candidates.choose(task);
    if (!endpoint) return;
    addRun(state, { endpoint, step, task, run: 1, phase: 'running', nowMs: 1 });
    candidates.recordPlacement(endpoint);
  });
  return ((performance.now() - beganAtMs) / step.tasks.length) * US_PER_MS;
};

const measure = (pools: number): BenchRow => {
  const state = createFleet(pools);
  const times = Array.from({ length: ROUNDS }, (_, round) => ({
    short: chooseUs(state, 2 * round, { taskCount: SHORT_TASKS }),
    longRunning: chooseUs(state, 2 * round + 1, { taskCount: LONG_RUNNING_TASKS, isLasting: true }),
  }));
  return {
    hosts: HOSTS,
    racks: HOSTS / HOSTS_PER_RACK,
    pools,
    shortUs: roundToPrecision(computeMedian(times.map(({ short }) => short))),
    longRunningUs: roundToPrecision(computeMedian(times.map(({ longRunning }) => longRunning))),
  };
};

/**
 * Measures the choice of an endpoint with the fleet in 23 pools and in one pool.
 *
 * @returns One row per number of pools.
 */
export const benchPlacement = (): readonly BenchRow[] => [measure(23), measure(1)];
