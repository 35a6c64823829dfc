/** A small state for tests of decisions: one job of one task, two endpoints, and their answers. */
import { schedulePool } from '../placement/schedule.js';
import { change } from '../../shared/change.js';
import {
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import type { JobOwner } from '../model/accounts.js';
import { taskKey, type BatchJob, type QueuePolicy, type StepSpec } from '../model/job.js';
import { takeInJob } from '../jobs/jobs.js';
import { PLAIN_STEP } from '../model/plain-step.js';
import { applyReport, type EndpointReport } from '../endpoints/reports.js';
import { createBatchState, type BatchState, type Task } from '../model/state.js';

export const JOB = brand<JobId>('00000000000000aa');
export const POOL = brand<PoolName>('alpha');
export const FIRST = brand<EndpointId>('i-0000000001');
export const SECOND = brand<EndpointId>('i-0000000002');
export const TASK = taskKey(JOB, 0, 0, 0);
/** The first run number of the holder of these tests. */
export const FIRST_RUN = 2001;

const FENCE = 2;

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: POOL,
  spec: '',
  steps: [PLAIN_STEP],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

/** A further job of one step; what is left out is as in the job of these tests. */
export type Submission = {
  readonly step?: Partial<StepSpec>;
  readonly owner?: JobOwner | undefined;
  readonly priority?: number;
  readonly isInherited?: boolean;
  readonly nowMs?: number;
};

/**
 * Has a holder take a further job in.
 *
 * @param state - The state, changed in place.
 * @param jobId - The job.
 * @param submission - What is particular to it.
 */
export const submitJob = (
  state: BatchState,
  jobId: JobId,
  { step, owner, priority = 0, isInherited = false, nowMs = 0 }: Submission,
): void => {
  takeInJob(state, {
    job: {
      ...job,
      jobId,
      steps: [{ ...PLAIN_STEP, ...step }],
      acceptedAtMs: nowMs,
      ...(owner ? { owner } : {}),
    },
    policy: { priority, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
    nowMs,
    todayMs: nowMs,
    isInherited,
  });
};

/**
 * Builds the state of a holder that has taken the job in.
 *
 * @param options - Whether an earlier holder had it, and how often its task may fail.
 * @returns The state, without endpoints.
 */
export const stateWithJob = ({ isInherited = false, maxAttempts = 3 } = {}): BatchState => {
  const state = createBatchState(FENCE);
  const policy: QueuePolicy = { priority: 0, maxAttempts, stretch: 2, targetLatencyMs: 600 };
  takeInJob(state, { job, policy, nowMs: 0, todayMs: 0, isInherited });
  return state;
};

/**
 * Finds the job's task.
 *
 * @param state - The state.
 * @returns The task.
 */
export const taskOf = (state: BatchState): Task => {
  const task = state.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks[0];
  if (!task) throw new Error('there is no task');
  return task;
};

/**
 * Has an endpoint with room for eight tasks listed.
 *
 * @param state - The state, changed in place.
 * @param endpointId - The endpoint.
 * @param nowMs - The time.
 */
export const see = (state: BatchState, endpointId: EndpointId, nowMs = 0): void => {
  seeEndpoint(
    state,
    {
      endpointId,
      pool: POOL,
      hostId: null,
      address: '',
      dataCentre: brand<DataCentreId>(''),
      labels: [],
      capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      isDraining: false,
    },
    nowMs,
  );
};

/**
 * Writes the rows of all jobs, as the holder does after each change.
 *
 * @param state - The state, changed in place.
 */
export const writeRows = (state: BatchState): void =>
  state.jobs.forEach((one) => change(one, { writtenBlameRevision: one.blameRevision }));

/**
 * Places what waits in the pool as a holder does that writes its rows after each change: what must be written first is
 * placed by the next pass.
 *
 * @param state - The state, changed in place.
 * @param nowMs - The time.
 */
export const scheduleWritten = (state: BatchState, nowMs: number): void => {
  writeRows(state);
  schedulePool(state, POOL, nowMs);
  writeRows(state);
  schedulePool(state, POOL, nowMs);
};

/** An answer; what is left out is empty, and it comes from the first endpoint. */
export type Answer = Pick<EndpointReport, 'askedAtMs' | 'nowMs'> &
  Partial<EndpointReport> & { readonly endpointId?: EndpointId };

/**
 * Has an endpoint answer.
 *
 * @param state - The state, changed in place.
 * @param answer - Who answers what.
 */
export const answer = (
  state: BatchState,
  { endpointId = FIRST, running = [], ended = [], hasMoreEnds = false, askedAtMs, nowMs }: Answer,
): void => applyReport(state, endpointId, { running, ended, hasMoreEnds, askedAtMs, nowMs });
