/** The life cycle of a job: adding it to the state, opening its steps as their predecessors complete, and ending it. */
import type { JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { maySee, type Caller } from '../model/accounts.js';
import type { BatchPhase, TaskKeyParts } from '../model/job.js';
import {
  addOpenStep,
  isFinal,
  poolOf,
  type BatchState,
  type JobState,
  type OccurrenceState,
  type StepRun,
  type Task,
} from '../model/state.js';
import {
  addOccurrence,
  createDoneOccurrence,
  createJobState,
  type AddJobOptions,
} from './job-factory.js';
import {
  countDue,
  dueAtMsOf,
  isOccurrenceOver,
  mayOpenNext,
  occurrenceCount,
  recordOccurrenceDone,
  type ClockReading,
} from './occurrences.js';
import { requestDeferredJob } from './deferred-jobs.js';
import { removeFirstAttempt } from './first-attempts.js';
import { findOpenTrial } from '../crashes/announced-start-record.js';
import { chargeShare } from '../accounts/shares.js';
import { stopRun, removeFromWaiting } from '../endpoints/runs.js';
import { estimateStepWork, taskKindOf } from './step-times.js';

const COMPLETED_REASON = 'all tasks are done';

const isStepDone = (step: StepRun | undefined): boolean =>
  step !== undefined && step.doneCount === step.spec.taskCount;

/**
 * Opens the steps of an occurrence whose predecessors have all completed.
 *
 * @param state - The state, changed in place.
 * @param occurrence - The occurrence.
 */
export const openReadySteps = (state: BatchState, occurrence: OccurrenceState): void => {
  occurrence.steps.forEach((step) => {
    if (step.isOpen || isStepDone(step)) return;
    if (!step.spec.after.every((number) => isStepDone(occurrence.steps[number]))) return;
    change(step, { isOpen: true });
    if (step.waiting.length > 0) addOpenStep(state, step);
  });
};

/** Records the work of occurrences when they become due, whether or not there is space to start them. */
const recordArrivals = (
  state: BatchState,
  job: JobState,
  { nowMs, wallClockMs }: ClockReading,
): void => {
  const { steps, queue, pool } = job.job;
  const due = countDue(job.job, wallClockMs);
  const arrived = due - job.arrivedOccurrences;
  if (arrived <= 0) return;
  change(job, { arrivedOccurrences: due });
  if (job.isInherited) return;
  const coreMs = steps.reduce(
    (sum, spec) => sum + estimateStepWork(state, { spec, kind: taskKindOf(queue, spec) }),
    0,
  );
  const { demand } = poolOf(state, pool);
  demand.recordArrival(coreMs * arrived, nowMs, job.share.isWithinShare);
};

/** Ends a recurring job of which nothing is left to do. */
const completeIfDone = (state: BatchState, job: JobState): void => {
  const isOver = job.nextOccurrence >= occurrenceCount(job.job) && job.occurrences.size === 0;
  if (job.job.repeats > 0 && isOver) endJob(state, job, 'completed', COMPLETED_REASON);
};

/**
 * Starts the occurrences of a job that are due, as far as there is space for them.
 *
 * @param state - The state, changed in place.
 * @param job - The job.
 * @param nowMs - The current time by the monotonic clock.
 * @param wallClockMs - The current time by the wall clock, in milliseconds since 1970.
 */
export const startDueOccurrences = (
  state: BatchState,
  job: JobState,
  nowMs: number,
  wallClockMs: number,
): void => {
  const clocks: ClockReading = { nowMs, wallClockMs };
  recordArrivals(state, job, clocks);
  const due = countDue(job.job, wallClockMs);
  while (job.nextOccurrence < due) {
    const number = job.nextOccurrence;
    const isOver = isOccurrenceOver(job, number);
    if (!isOver && !mayOpenNext(state, job)) break;
    change(job, { nextOccurrence: number + 1 });
    if (!isOver) {
      const dueAtMs = dueAtMsOf(job.job, number, clocks);
      openReadySteps(state, job.occurrences.get(number) ?? addOccurrence(job, number, dueAtMs));
    }
  }
  if (job.nextOccurrence >= occurrenceCount(job.job)) state.recurringJobs.delete(job);
  else state.recurringJobs.add(job);
  completeIfDone(state, job);
};

/**
 * Adds an accepted job to the state. A job that is there already stays unchanged.
 *
 * @param state - The state, changed in place.
 * @param options - The job, its policy and the times.
 * @returns The state of the job.
 */
export const addJob = (state: BatchState, options: AddJobOptions): JobState => {
  const existing = state.jobs.get(options.job.jobId);
  if (existing) return existing;
  const { job: accepted, nowMs } = options;
  const share = chargeShare(state, accepted.owner?.account, nowMs);
  const firstAttemptAtMs = removeFirstAttempt(state, accepted.jobId);
  const job = createJobState({ ...options, share, firstAttemptAtMs });
  state.jobs.set(options.job.jobId, job);
  startDueOccurrences(state, job, options.nowMs, options.wallClockMs);
  return job;
};

const findTaskOf = (
  occurrence: OccurrenceState | undefined,
  { step: number, index }: TaskKeyParts,
): { readonly step: StepRun; readonly task: Task } | undefined => {
  const step = occurrence?.steps[number];
  const task = step?.tasks.at(index);
  return step && task ? { step, task } : undefined;
};

/**
 * Finds a task by the parts of its key.
 *
 * @param state - The state.
 * @param name - The parts of the key.
 * @returns The task and its step; undefined if there is no such task. That of a done occurrence is not in the state.
 */
export const findTask = (
  state: BatchState,
  name: TaskKeyParts,
): { readonly step: StepRun; readonly task: Task } | undefined => {
  const job = state.jobs.get(name.jobId);
  if (job && isOccurrenceOver(job, name.occurrence))
    return findTaskOf(createDoneOccurrence(job, name.occurrence), name);
  return findTaskOf(job?.occurrences.get(name.occurrence), name);
};

/**
 * Finds a task that an endpoint reports. Its occurrence may not be due yet by the clock of this control holder, because
 * an earlier one with a wall clock that was ahead has started it. The occurrence is then added to the job, so that the
 * reported outcome is not lost.
 *
 * @param state - The state, changed in place.
 * @param name - The parts of the task's key.
 * @returns The task and its step; undefined if there is no such task.
 */
export const findReportedTask = (
  state: BatchState,
  name: TaskKeyParts,
): { readonly step: StepRun; readonly task: Task } | undefined => {
  const job = state.jobs.get(name.jobId);
  const isOccurrenceMissing =
    job !== undefined &&
    !job.occurrences.has(name.occurrence) &&
    !isOccurrenceOver(job, name.occurrence);
  if (isOccurrenceMissing && name.occurrence < occurrenceCount(job.job)) {
    addOccurrence(job, name.occurrence, state.clockMs);
  }
  return findTask(state, name);
};

/**
 * Ends a job: none of its tasks is started any more, and running tasks are stopped. A job that has ended stays as it
 * is.
 *
 * @param state - The state, changed in place.
 * @param job - The job.
 * @param phase - Its final phase.
 * @param reason - Why the job ends, as its client and operators see it.
 */
export const endJob = (
  state: BatchState,
  job: JobState,
  phase: BatchPhase,
  reason: string,
): void => {
  if (isFinal(job.phase)) return;
  change(job, { phase, reason });
  state.recurringJobs.delete(job);
  state.suspectJobs.delete(job);
  const { openSteps } = poolOf(state, job.job.pool);
  job.occurrences.forEach(({ steps }) => steps.forEach((step) => openSteps.delete(step)));
  state.endpoints.forEach((endpoint) => {
    endpoint.runs.forEach((run) => {
      if (run.step.job === job) stopRun(state, endpoint, run, reason);
    });
  });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: true });
};

/** The reason that is stored for a cancelled job. */
export const CANCELLED_REASON = 'cancelled by its client';

/**
 * Cancels a job on behalf of a caller.
 *
 * @param state - The state, changed in place.
 * @param jobId - The job.
 * @param caller - Who requests the cancellation.
 * @returns The phase of the job afterwards; undefined if the job is unknown or belongs to another account.
 */
export const cancelJob = (
  state: BatchState,
  jobId: JobId,
  caller: Caller,
): BatchPhase | undefined => {
  const job = state.jobs.get(jobId);
  if (!job) requestDeferredJob(state, jobId);
  if (!job || !maySee(job.job.owner?.account, caller)) return undefined;
  endJob(state, job, 'cancelled', CANCELLED_REASON);
  return job.phase;
};

const isOccurrenceDone = ({ steps }: OccurrenceState): boolean => steps.every(isStepDone);

/** Tells whether the job's row has to name anything of a completed task but its completion. */
const hasHistory = (task: Task): boolean =>
  task.failedRuns.length > 0 || task.crashes.length > 0 || findOpenTrial(task) !== undefined;

/**
 * Marks a task as done. Opens the steps that depended on it, or completes the job if it was the last task.
 *
 * @param state - The state, changed in place.
 * @param step - The task's step.
 * @param task - The task.
 */
export const completeTask = (state: BatchState, step: StepRun, task: Task): void => {
  if (task.phase === 'done') return;
  if (task.phase === 'waiting') removeFromWaiting(step, task);
  change(task, { phase: 'done', checkpoint: '' });
  if (!hasHistory(task)) step.tasks.releaseCompleted(task);
  change(step, { doneCount: step.doneCount + 1 });
  const { job, occurrence } = step;
  const pool = poolOf(state, job.job.pool);
  const taskCoreMs = estimateStepWork(state, step) / step.spec.taskCount;
  change(pool, { doneCoreMs: pool.doneCoreMs + taskCoreMs });
  if (job.job.repeats > 0 && isOccurrenceDone(occurrence))
    recordOccurrenceDone(job, occurrence.number);
  const isJobDone =
    isOccurrenceDone(occurrence) &&
    job.nextOccurrence >= occurrenceCount(job.job) &&
    Array.from(job.occurrences.values()).every(isOccurrenceDone);
  if (step.waiting.length === 0) pool.openSteps.delete(step);
  if (isJobDone) endJob(state, job, 'completed', COMPLETED_REASON);
  else {
    state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
    // An occurrence that an earlier control holder started early, because its clock was ahead, continues only when it
    // is due by the clock of this one.
    if (occurrence.number < job.nextOccurrence) openReadySteps(state, occurrence);
  }
};
