/** The life of a job: admitted, its steps opened one after the other, ended or cancelled. */
import type { JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { maySee, type Caller } from '../model/accounts.js';
import type { BatchJob, BatchPhase, TaskName } from '../model/job.js';
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
import { addOccurrence, createJobState, type TakeInOptions } from './create-job.js';
import { takeFirstAttempt } from './first-attempts.js';
import { takeShare } from '../accounts/shares.js';
import { stopRun, leaveWaiting } from '../endpoints/runs.js';
import { expectStepWork } from './step-times.js';

const isStepDone = (step: StepRun | undefined): boolean =>
  step !== undefined && step.doneCount === step.spec.taskCount;

/**
 * Opens the steps of an occurrence whose predecessors are done.
 *
 * @param state - All that is known, changed in place.
 * @param occurrence - The occurrence.
 */
export const openSteps = (state: BatchState, occurrence: OccurrenceState): void => {
  occurrence.steps.forEach((step) => {
    if (step.isOpen || isStepDone(step)) return;
    if (!step.spec.after.every((number) => isStepDone(occurrence.steps[number]))) return;
    change(step, { isOpen: true });
    if (step.waiting.length > 0) addOpenStep(state, step);
  });
};

const occurrenceCount = ({ repeats }: BatchJob): number => Math.max(1, repeats);

/** Times of day jump on some hosts; an occurrence is begun this much after its time, not before. */
const DUE_MARGIN_MS = 20;

/**
 * Begins the occurrences of a job whose time has come.
 *
 * @param state - All that is known, changed in place.
 * @param job - The job.
 * @param nowMs - The monotonic time.
 * @param todayMs - The time of day, in milliseconds since 1970.
 */
export const beginDue = (
  state: BatchState,
  job: JobState,
  nowMs: number,
  todayMs: number,
): void => {
  const { firstDueAtMs, intervalMs, repeats, pool } = job.job;
  while (job.nextOccurrence < occurrenceCount(job.job)) {
    const number = job.nextOccurrence;
    const dueAtMs = repeats > 0 ? firstDueAtMs + number * intervalMs : todayMs;
    if (repeats > 0 && todayMs < dueAtMs + DUE_MARGIN_MS) break;
    change(job, { nextOccurrence: number + 1 });
    const occurrence =
      job.occurrences.get(number) ?? addOccurrence(job, number, nowMs - (todayMs - dueAtMs));
    const coreMs = occurrence.steps.reduce((sum, step) => sum + expectStepWork(state, step), 0);
    const { demand } = poolOf(state, pool);
    if (!job.isInherited) demand.recordArrival(coreMs, nowMs, job.share.isOwed);
    openSteps(state, occurrence);
  }
  if (job.nextOccurrence >= occurrenceCount(job.job)) state.timed.delete(job);
  else state.timed.add(job);
};

/**
 * Adds an accepted job. One that is there already stays as it is.
 *
 * @param state - All that is known, changed in place.
 * @param options - The job, its policy and the times.
 * @returns The job's state.
 */
export const takeInJob = (state: BatchState, options: TakeInOptions): JobState => {
  const known = state.jobs.get(options.job.jobId);
  if (known) return known;
  const { job: accepted, nowMs } = options;
  const share = takeShare(state, accepted.owner?.account, nowMs);
  const firstAttemptAtMs = takeFirstAttempt(state, accepted.jobId);
  const job = createJobState({ ...options, share, firstAttemptAtMs });
  state.jobs.set(options.job.jobId, job);
  beginDue(state, job, options.nowMs, options.todayMs);
  return job;
};

/**
 * Finds a task.
 *
 * @param state - All that is known.
 * @param name - The parts of its key.
 * @returns The step and the task, or undefined.
 */
export const findTask = (
  state: BatchState,
  { jobId, occurrence, step, index }: TaskName,
): { readonly step: StepRun; readonly task: Task } | undefined => {
  const found = state.jobs.get(jobId)?.occurrences.get(occurrence)?.steps[step];
  const task = found?.tasks[index];
  return found && task ? { step: found, task } : undefined;
};

/**
 * Finds a task that an endpoint reports. An occurrence that is not due here may have begun under an
 * earlier holder, whose time of day was ahead: it is built, so that what became of it is not lost.
 *
 * @param state - All that is known; the occurrence is added to its job.
 * @param name - The parts of the task's key.
 * @returns The step and the task, or undefined.
 */
export const findReportedTask = (
  state: BatchState,
  name: TaskName,
): { readonly step: StepRun; readonly task: Task } | undefined => {
  const job = state.jobs.get(name.jobId);
  const isMissing = job !== undefined && !job.occurrences.has(name.occurrence);
  if (isMissing && name.occurrence < occurrenceCount(job.job)) {
    addOccurrence(job, name.occurrence, state.clockMs);
  }
  return findTask(state, name);
};

/**
 * Ends a job: nothing of it is started any more, and what runs is stopped.
 *
 * @param state - All that is known, changed in place.
 * @param job - The job.
 * @param phase - Its final phase.
 * @param reason - Why.
 */
export const endJob = (
  state: BatchState,
  job: JobState,
  phase: BatchPhase,
  reason: string,
): void => {
  if (isFinal(job.phase)) return;
  change(job, { phase, reason });
  state.timed.delete(job);
  state.suspectJobs.delete(job);
  const { open } = poolOf(state, job.job.pool);
  job.occurrences.forEach(({ steps }) => steps.forEach((step) => open.delete(step)));
  state.endpoints.forEach((endpoint) => {
    endpoint.runs.forEach((run) => {
      if (run.step.job === job) stopRun(state, endpoint, run, reason);
    });
  });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: true });
};

/** Why a job is cancelled. */
export const CANCELLED_REASON = 'cancelled by its client';

/**
 * Cancels a job.
 *
 * @param state - All that is known, changed in place.
 * @param jobId - The job.
 * @param caller - Who wants it cancelled.
 * @returns The phase that it is in now, or undefined for a job that is not known, or not the caller's.
 */
export const cancelJob = (
  state: BatchState,
  jobId: JobId,
  caller: Caller,
): BatchPhase | undefined => {
  const job = state.jobs.get(jobId);
  if (!job || !maySee(job.job.owner?.account, caller)) return undefined;
  endJob(state, job, 'cancelled', CANCELLED_REASON);
  return job.phase;
};

const isOccurrenceDone = ({ steps }: OccurrenceState): boolean => steps.every(isStepDone);

/**
 * Marks a task as done and opens what was waiting for it.
 *
 * @param state - All that is known, changed in place.
 * @param step - The task's step.
 * @param task - The task.
 */
export const markDone = (state: BatchState, step: StepRun, task: Task): void => {
  if (task.phase === 'done') return;
  if (task.phase === 'waiting') leaveWaiting(step, task);
  change(task, { phase: 'done', checkpoint: '' });
  change(step, { doneCount: step.doneCount + 1 });
  const { job, occurrence } = step;
  const pool = poolOf(state, job.job.pool);
  const taskCoreMs = expectStepWork(state, step) / step.spec.taskCount;
  change(pool, { doneCoreMs: pool.doneCoreMs + taskCoreMs });
  const isEnd =
    isOccurrenceDone(occurrence) &&
    job.nextOccurrence >= occurrenceCount(job.job) &&
    Array.from(job.occurrences.values()).every(isOccurrenceDone);
  if (step.waiting.length === 0) pool.open.delete(step);
  if (isEnd) endJob(state, job, 'completed', 'all tasks are done');
  else {
    state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
    // One that an earlier holder began, by a clock that was ahead, goes on when its time comes here.
    if (occurrence.number < job.nextOccurrence) openSteps(state, occurrence);
  }
};
