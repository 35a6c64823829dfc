/**
 * The rows of a job: how it was accepted, how far it is, and how it ended. What is in them is what
 * the next holder starts from; starts are not written, since endpoints report what runs.
 */
import { change } from '../../shared/change.js';
import type { AccountName } from '../../shared/ids.js';
import { addOccurrence, createJobState } from './create-job.js';
import { beginDue, endJob, markDone } from './jobs.js';
import { giveUpReason } from '../crashes/endpoint-crashes.js';
import { inheritTrial, openTrialOf } from '../crashes/trials.js';
import type { BatchJob, FinalPhase, QueuePolicy } from '../model/job.js';
import {
  isFinal,
  type BatchState,
  type EndpointCrash,
  type JobState,
  type OccurrenceState,
  type StepRun,
  type Task,
} from '../model/state.js';

/** The row of a job: whole while it is live, small once it has ended. */
export type BatchJobRow =
  | { readonly kind: 'live'; readonly job: BatchJob; readonly policy: QueuePolicy }
  | {
      readonly kind: 'ended';
      readonly phase: FinalPhase;
      readonly reason: string;
      readonly endedAtMs: number;
      readonly queue: string;
      readonly account?: AccountName | undefined;
    };

/** How far one step is: done tasks as hexadecimal digits of four bits, failures by index. */
type StepProgress = {
  readonly done: string;
  /** Index, and the runs that failed. */
  readonly failed?: readonly (readonly [number, readonly number[]])[];
  /** Index, and the endpoints that crashed under the task. */
  readonly crashes?: readonly (readonly [number, readonly EndpointCrash[]])[];
  /** Index, and the run that is about to begin though endpoints crashed under the task. */
  readonly trials?: readonly (readonly [number, number])[];
};

/** The progress row: occurrence, then step. Those with nothing to tell are left out. */
export type ProgressRow = Readonly<Record<string, Readonly<Record<string, StepProgress>>>>;

const BITS_PER_DIGIT = 4;

const doneDigits = ({ tasks }: StepRun): string =>
  Array.from({ length: Math.ceil(tasks.length / BITS_PER_DIGIT) }, (_, digit) =>
    tasks
      .slice(digit * BITS_PER_DIGIT, (digit + 1) * BITS_PER_DIGIT)
      .reduce((sum, { phase }, bit) => sum + (phase === 'done' ? 2 ** bit : 0), 0)
      .toString(16),
  ).join('');

const isDoneIn = (digits: string, index: number): boolean => {
  const digit = parseInt(digits[Math.floor(index / BITS_PER_DIGIT)] ?? '0', 16);
  return Math.floor(digit / 2 ** (index % BITS_PER_DIGIT)) % 2 === 1;
};

const stepProgress = (step: StepRun): StepProgress | undefined => {
  const failed = step.tasks
    .filter(({ failedRuns }) => failedRuns.length > 0)
    .map(({ index, failedRuns }) => [index, failedRuns] as const);
  const crashes = step.tasks
    .filter((task) => task.crashes.length > 0)
    .map((task) => [task.index, task.crashes] as const);
  const trials = step.tasks.flatMap((task) => {
    const run = openTrialOf(task);
    return run === undefined ? [] : [[task.index, run] as const];
  });
  const isNothing = [failed, crashes, trials].every(({ length }) => length === 0);
  if (step.doneCount === 0 && isNothing) return undefined;
  return {
    done: doneDigits(step),
    ...(failed.length > 0 ? { failed } : {}),
    ...(crashes.length > 0 ? { crashes } : {}),
    ...(trials.length > 0 ? { trials } : {}),
  };
};

const occurrenceProgress = ({ steps }: OccurrenceState): Record<string, StepProgress> =>
  Object.fromEntries(
    steps.flatMap((step) => {
      const progress = stepProgress(step);
      return progress ? [[step.number, progress]] : [];
    }),
  );

/**
 * Writes down how far a job is.
 *
 * @param job - The job.
 * @returns The row.
 */
export const progressOf = (job: JobState): ProgressRow =>
  Object.fromEntries(
    Array.from(job.occurrences.values(), (occurrence) => [
      occurrence.number,
      occurrenceProgress(occurrence),
    ]),
  );

/**
 * Writes down a job as it stands: whole, or only its end.
 *
 * @param job - The job.
 * @param todayMs - The time of day.
 * @returns The row.
 */
export const jobRowOf = ({ job, policy, phase, reason }: JobState, todayMs: number): BatchJobRow =>
  isFinal(phase)
    ? {
        kind: 'ended',
        phase: phase as FinalPhase,
        reason,
        endedAtMs: todayMs,
        queue: job.queue,
        ...(job.owner ? { account: job.owner.account } : {}),
      }
    : { kind: 'live', job, policy };

/** What earlier holders counted is in the row, so nothing waits for it to be written. */
const restoreCrashes = (
  state: BatchState,
  { job }: StepRun,
  task: Task,
  crashes: readonly EndpointCrash[],
): void => {
  const lastRun = Math.max(task.lastRun, ...crashes.map(({ run }) => run));
  change(task, { crashes, lastRun });
  const blameRevision = job.blameRevision + crashes.length;
  change(job, { blameRevision, writtenBlameRevision: blameRevision });
  state.suspectJobs.add(job);
};

const restoreStep = (
  state: BatchState,
  step: StepRun,
  { done, failed = [], crashes = [], trials = [] }: StepProgress,
): void => {
  failed.forEach(([index, failedRuns]) => {
    const task = step.tasks[index];
    if (task) Object.assign(task, { failedRuns, lastRun: Math.max(...failedRuns) });
  });
  crashes.forEach(([index, ofTask]) => {
    const task = step.tasks[index];
    if (task) restoreCrashes(state, step, task, ofTask);
  });
  trials.forEach(([index, run]) => {
    const task = step.tasks[index];
    if (!task) return;
    inheritTrial(task, run);
    state.suspectJobs.add(step.job);
  });
  step.tasks.forEach((task) => {
    if (isDoneIn(done, task.index)) markDone(state, step, task);
  });
};

export type RestoreOptions = {
  readonly job: BatchJob;
  readonly policy: QueuePolicy;
  readonly progress: ProgressRow | undefined;
  readonly nowMs: number;
  readonly todayMs: number;
};

/**
 * Restores a job that an earlier holder worked on.
 *
 * @param state - All that is known, changed in place.
 * @param options - The rows of the job and the times.
 * @returns The job's state.
 */
export const restoreJob = (
  state: BatchState,
  { job, policy, progress = {}, nowMs, todayMs }: RestoreOptions,
): JobState => {
  const known = state.jobs.get(job.jobId);
  if (known) return known;
  const restored = createJobState({ job, policy, nowMs, todayMs, isInherited: true });
  state.jobs.set(job.jobId, restored);
  beginDue(state, restored, nowMs, todayMs);
  Object.entries(progress).forEach(([number, steps]) => {
    const occurrence =
      restored.occurrences.get(Number(number)) ?? addOccurrence(restored, Number(number), nowMs);
    Object.entries(steps).forEach(([stepNumber, one]) => {
      const step = occurrence.steps[Number(stepNumber)];
      if (step && !isFinal(restored.phase)) restoreStep(state, step, one);
    });
    if (Object.keys(steps).length > 0) restored.hasBegun = true;
  });
  if (restored.hasBegun && restored.phase === 'pending') restored.phase = 'running';
  const steps = Array.from(restored.occurrences.values()).flatMap((one) => one.steps);
  const overdue = steps
    .filter(({ spec }) => !spec.isLasting)
    .flatMap(({ tasks }) => tasks)
    .find(({ failedRuns }) => failedRuns.length >= policy.maxAttempts);
  if (overdue) endJob(state, restored, 'failed', `task ${overdue.key} failed maxAttempts times`);
  const [reason] = steps.flatMap(({ tasks }) => tasks).flatMap((task) => giveUpReason(task) ?? []);
  if (reason !== undefined) endJob(state, restored, 'failed', reason);
  return restored;
};
