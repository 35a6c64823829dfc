/** A small batch state for unit tests: a job with one task, two endpoint ids, and helpers to apply their reports. */
import { schedulePool } from '../placement/schedule.js';
import { change } from '../../shared/change.js';
import {
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import type { JobOwner } from '../model/accounts.js';
import { taskKey, type BatchJob, type QueuePolicy, type StepSpec } from '../model/job.js';
import { addJob } from '../jobs/job-lifecycle.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import type { EndpointReport } from '../endpoints/endpoint-report.js';
import { applyReport } from '../endpoints/reports.js';
import { createBatchState, type BatchState, type Task } from '../model/state.js';

/** The id of the default job. */
export const JOB = brand<JobId>('00000000000000aa');
/** The pool of all jobs and endpoints of these fixtures. */
export const POOL = brand<PoolName>('alpha');
export const FIRST = brand<EndpointId>('i-0000000001');
export const SECOND = brand<EndpointId>('i-0000000002');
/** The key of the default job's only task. */
export const TASK = taskKey(JOB, 0, 0, 0);
/** The first run number that the control holder with fencing token FENCE assigns. */
export const FIRST_RUN = 2001;

const FENCE = 2;

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: POOL,
  spec: '',
  steps: [DEFAULT_STEP],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

/** The options of an additional job with one step. Omitted options are as in the default job. */
export type JobOptions = {
  readonly step?: Partial<StepSpec>;
  readonly owner?: JobOwner | undefined;
  readonly priority?: number;
  /** True if the job was accepted by an earlier holder. */
  readonly isInherited?: boolean;
  /** When the job is accepted; 0 by default. */
  readonly nowMs?: number;
};

/**
 * Adds another job to the state.
 *
 * @param state - The state, changed in place.
 * @param jobId - The id of the job.
 * @param submission - How it differs from the default job.
 */
export const submitJob = (
  state: BatchState,
  jobId: JobId,
  { step, owner, priority = 0, isInherited = false, nowMs = 0 }: JobOptions,
): void => {
  addJob(state, {
    job: {
      ...job,
      jobId,
      steps: [{ ...DEFAULT_STEP, ...step }],
      acceptedAtMs: nowMs,
      ...(owner ? { owner } : {}),
    },
    policy: { priority, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
    nowMs,
    wallClockMs: nowMs,
    isInherited,
  });
};

/**
 * Creates the state of a holder that has accepted the default job.
 *
 * @param options - Whether an earlier holder had accepted the job, and the maximum number of attempts of its task.
 * @returns The state, without endpoints.
 */
export const createStateWithJob = ({ isInherited = false, maxAttempts = 3 } = {}): BatchState => {
  const state = createBatchState(FENCE);
  const policy: QueuePolicy = { priority: 0, maxAttempts, stretch: 2, targetLatencyMs: 600 };
  addJob(state, { job, policy, nowMs: 0, wallClockMs: 0, isInherited });
  return state;
};

/**
 * Returns the task of the default job.
 *
 * @param state - The state.
 * @returns The task; throws if the state does not contain it.
 */
export const taskOf = (state: BatchState): Task => {
  const task = state.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks.at(0);
  if (!task) throw new Error('the state does not contain the task of the default job');
  return task;
};

/**
 * Adds an endpoint with capacity for eight tasks, as if it had appeared in the endpoint list.
 *
 * @param state - The state, changed in place.
 * @param endpointId - The endpoint.
 * @param nowMs - The time at which it is first seen.
 */
export const addEndpoint = (state: BatchState, endpointId: EndpointId, nowMs = 0): void => {
  upsertEndpoint(
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
 * Marks the rows of all jobs as written, as the holder does after each change once the write has completed.
 *
 * @param state - The state, changed in place.
 */
export const markRowsWritten = (state: BatchState): void =>
  state.jobs.forEach((one) => change(one, { writtenCrashRecordRevision: one.crashRecordRevision }));

/**
 * Runs two scheduling passes over the pool, each after the rows have been written. Tasks whose starts must be written
 * first are placed by the second pass.
 *
 * @param state - The state, changed in place.
 * @param nowMs - The current time.
 */
export const scheduleAfterWrites = (state: BatchState, nowMs: number): void => {
  markRowsWritten(state);
  schedulePool(state, POOL, nowMs);
  markRowsWritten(state);
  schedulePool(state, POOL, nowMs);
};

/** A report of an endpoint. Omitted lists are empty, and the endpoint is FIRST by default. */
export type Answer = Pick<EndpointReport, 'requestedAtMs' | 'nowMs'> &
  Partial<EndpointReport> & { readonly endpointId?: EndpointId };

/**
 * Applies a report of an endpoint.
 *
 * @param state - The state, changed in place.
 * @param answer - The report.
 */
export const applyAnswer = (
  state: BatchState,
  {
    endpointId = FIRST,
    running = [],
    ended = [],
    hasMoreEnds = false,
    hasUnreadableRows = false,
    requestedAtMs,
    nowMs,
  }: Answer,
): void =>
  applyReport(state, endpointId, {
    running,
    ended,
    hasMoreEnds,
    ...(hasUnreadableRows ? { hasUnreadableRows } : {}),
    requestedAtMs,
    nowMs,
  });
