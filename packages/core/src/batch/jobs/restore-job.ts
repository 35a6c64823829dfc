/** Restores a job from its stored rows, for a control holder that did not accept it. */
import { change } from '../../shared/change.js';
import { restoreTrial } from '../crashes/announced-start-record.js';
import { readCrashLists } from '../crashes/crash-rows.js';
import { giveUpReason } from '../crashes/endpoint-crashes.js';
import type { BatchJob, QueuePolicy } from '../model/job.js';
import {
  isFinal,
  type BatchState,
  type EndpointCrash,
  type JobState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { hasNoAttemptLeft, readFailedRuns } from './attempts.js';
import { addOccurrence, createJobState } from './job-factory.js';
import { completeTask, endJob, startDueOccurrences } from './job-lifecycle.js';
import {
  dueAtMsOf,
  isOccurrenceOver,
  occurrenceCount,
  recordOccurrenceDone,
} from './occurrences.js';
import {
  allBitsOf,
  CONCLUSIVE,
  hasStartedTasks,
  isBitSet,
  isNumberOfOccurrence,
  type OccurrenceProgress,
  type ProgressRow,
  type StepProgress,
} from './progress.js';

/**
 * Restores crashes recorded by earlier control holders. They are in the stored row, so no write is pending for them.
 */
const restoreCrashes = (
  state: BatchState,
  { job }: StepRun,
  task: Task,
  crashes: readonly EndpointCrash[],
): void => {
  const lastRun = Math.max(task.lastRun, ...crashes.map(({ run }) => run));
  change(task, { crashes, lastRun });
  const crashRecordRevision = job.crashRecordRevision + crashes.length;
  change(job, { crashRecordRevision, writtenCrashRecordRevision: crashRecordRevision });
  state.suspectJobs.add(job);
};

const restoreStep = (
  state: BatchState,
  step: StepRun,
  { done, failed = [], trials = [], ...lists }: StepProgress,
): void => {
  failed.forEach(([index, stored]) => {
    const task = step.tasks.at(index);
    const failedRuns = readFailedRuns(stored);
    if (task) change(task, { failedRuns, lastRun: Math.max(task.lastRun, ...failedRuns) });
  });
  readCrashLists(lists).forEach((crashes, index) => {
    const task = step.tasks.at(index);
    if (task) restoreCrashes(state, step, task, crashes);
  });
  trials.forEach(([index, run, endpointId = null, mark]) => {
    const task = step.tasks.at(index);
    if (task)
      restoreTrial(state, step, task, { run, endpointId, isConclusive: mark === CONCLUSIVE });
  });
  for (let index = 0; index < step.tasks.length; index += 1) {
    const task = isBitSet(done, index) ? step.tasks.at(index) : undefined;
    if (task) completeTask(state, step, task);
  }
};

/** Logs the crashes that the row of a job names: how many are known and how many are supposed, and who counted them. */
const logRestoredCrashes = (
  state: BatchState,
  { job: { jobId } }: JobState,
  steps: readonly StepRun[],
): void => {
  const crashes = steps.flatMap(({ tasks }) => tasks.recorded()).flatMap((task) => task.crashes);
  if (crashes.length === 0) return;
  const known = crashes.filter(({ isKnown }) => isKnown).length;
  const countedBy = Array.from(new Set(crashes.map(({ fence }) => fence))).join(',');
  const fields = { job: jobId, known, supposed: crashes.length - known, countedBy };
  state.effects.push({ kind: 'note', event: 'crashes-restored', fields });
};

/** Tells whether a row shows that all tasks of an occurrence are done. */
const isWhollyDone = ({ steps }: BatchJob, progress: OccurrenceProgress): boolean =>
  steps.every(({ taskCount }, number) => progress[number]?.done === allBitsOf(taskCount));

/** Restores the occurrences of a recurring job that are done. */
const restoreDoneOccurrences = (
  job: JobState,
  { doneBelow = 0, doneAhead = [], ...occurrences }: ProgressRow,
): void => {
  const count = occurrenceCount(job.job);
  change(job, {
    doneBelow: Math.min(doneBelow, count),
    nextOccurrence: Math.min(doneBelow, count),
  });
  const listed = Object.entries(occurrences)
    .filter(([, steps]) => isWhollyDone(job.job, steps))
    .map(([number]) => Number(number));
  [...doneAhead, ...listed]
    .filter((number) => isNumberOfOccurrence(number) && number < count)
    .forEach((number) => recordOccurrenceDone(job, number));
};

/** What a job is restored from. */
export type RestoreOptions = {
  readonly job: BatchJob;
  readonly policy: QueuePolicy;
  /** Undefined if no progress row was stored. */
  readonly progress: ProgressRow | undefined;
  /** The current time by the monotonic clock. */
  readonly nowMs: number;
  /** The current time by the wall clock, in milliseconds since 1970. */
  readonly wallClockMs: number;
};

/**
 * Restores a job that was accepted under an earlier control holder. A job that is in the state already stays unchanged.
 *
 * @param state - The state, changed in place.
 * @param options - The rows of the job and the times.
 * @returns The state of the job.
 */
export const restoreJob = (
  state: BatchState,
  { job, policy, progress = {}, nowMs, wallClockMs }: RestoreOptions,
): JobState => {
  const { doneBelow, doneAhead, ...occurrences } = progress;
  const existing = state.jobs.get(job.jobId);
  if (existing) return existing;
  const restored = createJobState({ job, policy, nowMs, wallClockMs, isInherited: true });
  state.jobs.set(job.jobId, restored);
  if (job.repeats > 0) restoreDoneOccurrences(restored, progress);
  startDueOccurrences(state, restored, nowMs, wallClockMs);
  Object.entries(occurrences).forEach(([key, steps]) => {
    const number = Number(key);
    if (job.repeats > 0 && isOccurrenceOver(restored, number)) return;
    const dueAtMs = Math.min(nowMs, dueAtMsOf(job, number, { nowMs, wallClockMs }));
    const occurrence = restored.occurrences.get(number) ?? addOccurrence(restored, number, dueAtMs);
    Object.entries(steps).forEach(([stepNumber, progressOfStep]) => {
      const step = occurrence.steps[Number(stepNumber)];
      if (step && !isFinal(restored.phase)) restoreStep(state, step, progressOfStep);
    });
  });
  if (hasStartedTasks(progress)) restored.hasStarted = true;
  if (restored.hasStarted && restored.phase === 'pending') restored.phase = 'running';
  const steps = Array.from(restored.occurrences.values()).flatMap((one) => one.steps);
  logRestoredCrashes(state, restored, steps);
  const exhausted = steps
    .filter(({ spec }) => !spec.isLasting)
    .flatMap(({ tasks }) => tasks.recorded())
    .find((task) => hasNoAttemptLeft(task, policy));
  if (exhausted)
    endJob(state, restored, 'failed', `task ${exhausted.key} failed maxAttempts times`);
  const [reason] = steps
    .flatMap(({ tasks }) => tasks.recorded())
    .flatMap((task) => giveUpReason(task) ?? []);
  if (reason !== undefined) endJob(state, restored, 'failed', reason);
  return restored;
};
