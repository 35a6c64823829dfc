/** What processor time one pass over a full pool costs a holder, and how long it takes to judge a job, by the steps that wait there. */
import {
  applyReport,
  createAdmissionControl,
  createBatchState,
  DEFAULT_STEP,
  schedulePool,
  upsertEndpoint,
  setAccounts,
  removeEffects,
  addJob,
  type BatchState,
  type JobSubmission,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import { brand, type EndpointId, type PoolName } from '@valvelatch/core/shared/ids';

import { rounded, type BenchRow } from '../report.js';

const POOL = brand<PoolName>('p');
const ENDPOINTS = 60;
const CORES = 64_000;
const ACCOUNTS = 20;
/** Steps that wait: none beyond what fills the pool, and backlogs of a heavy account. */
const BACKLOGS = [100, 500, 5000, 20_000];
const PASSES = 300;
/** Passes before the first measured one, for the compiler. */
const WARM_UP_PASSES = 100;
/** A pass comes after each report of an endpoint. */
const PASS_EVERY_MS = 5;
const TASKS = 8;
const JUDGED = 2000;
const MAXIMUM = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
const US_PER_MS = 1000;

const newState = (): BatchState => {
  const state = createBatchState(2);
  const names = Array.from({ length: ACCOUNTS }, (_, index) => brand<never>(`account-${index}`));
  setAccounts(state, new Map(names.map((name) => [name, { weight: 4, maximum: MAXIMUM }])));
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const endpointId = brand<EndpointId>(`i-${index}`);
    upsertEndpoint(
      state,
      {
        endpointId,
        pool: POOL,
        hostId: null,
        address: '',
        dataCentre: brand('dc'),
        labels: [`rack-${index % 4}`],
        capacity: { cpuMillis: CORES, memoryMb: 256_000, accelerators: 0 },
        isDraining: false,
      },
      0,
    );
    applyReport(state, endpointId, {
      running: [],
      ended: [],
      hasMoreEnds: false,
      requestedAtMs: 1,
      nowMs: 2,
    });
  }
  return state;
};

const jobOf = (number: number, nowMs: number): JobSubmission => {
  const step = { ...DEFAULT_STEP, taskCount: TASKS, cpuMillis: 6200, estimateMs: 800 };
  return {
    job: {
      jobId: brand(number.toString(16).padStart(16, '0')),
      queue: brand('q'),
      pool: POOL,
      spec: '',
      steps: [step, { ...step, after: [0] }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: nowMs,
      owner: { account: brand(`account-${number % ACCOUNTS}`), maximum: MAXIMUM },
    },
    policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
  };
};

const submit = (state: BatchState, number: number): void => {
  const nowMs = number / 10;
  addJob(state, { ...jobOf(number, nowMs), nowMs, wallClockMs: nowMs });
};

/** The time to judge one of many jobs that come 2 ms apart, in milliseconds; the load is measured in some. */
const judgeTimes = (state: BatchState, fromMs: number): readonly number[] => {
  change(state, { takenOverAtMs: -Infinity });
  const admission = createAdmissionControl({ state });
  return Array.from({ length: JUDGED }, (_, index) => {
    const nowMs = fromMs + 2 * index;
    const submitted = jobOf(1_000_000 + index, nowMs);
    const beganAtMs = performance.now();
    admission.evaluate(submitted, nowMs);
    return performance.now() - beganAtMs;
  }).sort((left, right) => left - right);
};

const benchBacklog = (backlog: number): BenchRow => {
  const state = newState();
  // Eighty jobs fill the pool; what comes after them waits.
  const filling = Math.ceil((ENDPOINTS * Math.floor(CORES / 6200)) / TASKS);
  for (let number = 1; number <= filling + backlog; number += 1) submit(state, number);
  let nowMs = (filling + backlog) / 10;
  const pass = (): number => {
    nowMs += PASS_EVERY_MS;
    const before = process.cpuUsage();
    schedulePool(state, POOL, nowMs);
    const { user, system } = process.cpuUsage(before);
    const tookMs = (user + system) / US_PER_MS;
    removeEffects(state);
    return tookMs;
  };
  pass();
  Array.from({ length: WARM_UP_PASSES }, pass);
  const times = Array.from({ length: PASSES }, pass).sort((left, right) => left - right);
  const judged = judgeTimes(state, nowMs);
  return {
    waitingSteps: state.pools.get(POOL)?.openSteps.size ?? 0,
    meanMs: rounded(times.reduce((sum, one) => sum + one, 0) / PASSES),
    medianMs: rounded(times[PASSES / 2] ?? 0),
    p99Ms: rounded(times[Math.floor(PASSES * 0.99)] ?? 0),
    judgeMedianMs: rounded(judged[JUDGED / 2] ?? 0),
    judgeP99Ms: rounded(judged[Math.floor(JUDGED * 0.99)] ?? 0),
  };
};

/**
 * Measures passes over a full pool.
 *
 * @returns One row a backlog.
 */
export const benchBacklogs = (): readonly BenchRow[] => BACKLOGS.map(benchBacklog);
