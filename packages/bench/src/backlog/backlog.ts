/**
 * Measures the CPU time that a scheduling pass over a full pool takes the control holder, and the time
 * that the admission decision for a job takes, by the number of waiting steps.
 */
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

import { roundToPrecision, type BenchRow } from '../report.js';

const POOL = brand<PoolName>('p');
const ENDPOINTS = 60;
const CORES = 64_000;
const ACCOUNTS = 20;
/**
 * The numbers of jobs beyond those that fill the pool, from a nearly empty backlog to the backlogs of a
 * heavy account.
 */
const BACKLOGS = [100, 500, 5000, 20_000];
const PASSES = 300;
/** Passes before the first measured pass, so that the JIT compiler has optimised the code. */
const WARM_UP_PASSES = 100;
/** The time between two passes; a pass follows each report of an endpoint. */
const PASS_INTERVAL_MS = 5;
const TASKS = 8;
const ADMISSION_DECISIONS = 2000;
const MAXIMUM = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
const US_PER_MS = 1000;

const createState = (): BatchState => {
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

const createJob = (number: number, nowMs: number): JobSubmission => {
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
  addJob(state, { ...createJob(number, nowMs), nowMs, wallClockMs: nowMs });
};

/**
 * Measures the admission decisions for many jobs that arrive 2 ms apart, and returns the sorted times
 * in milliseconds. Some of the decisions also measure the load.
 */
const measureAdmissionTimes = (state: BatchState, fromMs: number): readonly number[] => {
  change(state, { takenOverAtMs: -Infinity });
  const admission = createAdmissionControl({ state });
  return Array.from({ length: ADMISSION_DECISIONS }, (_, index) => {
    const nowMs = fromMs + 2 * index;
    const submitted = createJob(1_000_000 + index, nowMs);
    const beganAtMs = performance.now();
    admission.evaluate(submitted, nowMs);
    return performance.now() - beganAtMs;
  }).sort((left, right) => left - right);
};

const benchBacklog = (backlog: number): BenchRow => {
  const state = createState();
  // 75 jobs fill the pool: 60 endpoints run 10 tasks each. The steps of later jobs wait.
  const fillingJobs = Math.ceil((ENDPOINTS * Math.floor(CORES / 6200)) / TASKS);
  for (let number = 1; number <= fillingJobs + backlog; number += 1) submit(state, number);
  let nowMs = (fillingJobs + backlog) / 10;
  const pass = (): number => {
    nowMs += PASS_INTERVAL_MS;
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
  const judged = measureAdmissionTimes(state, nowMs);
  return {
    waitingSteps: state.pools.get(POOL)?.openSteps.size ?? 0,
    meanMs: roundToPrecision(times.reduce((sum, one) => sum + one, 0) / PASSES),
    medianMs: roundToPrecision(times[PASSES / 2] ?? 0),
    p99Ms: roundToPrecision(times[Math.floor(PASSES * 0.99)] ?? 0),
    judgeMedianMs: roundToPrecision(judged[ADMISSION_DECISIONS / 2] ?? 0),
    judgeP99Ms: roundToPrecision(judged[Math.floor(ADMISSION_DECISIONS * 0.99)] ?? 0),
  };
};

/**
 * Measures passes over a full pool and admission decisions.
 *
 * @returns One row per backlog.
 */
export const benchBacklogs = (): readonly BenchRow[] => BACKLOGS.map(benchBacklog);
