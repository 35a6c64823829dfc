/** Jobs, occurrences, steps and tasks as they are built, before anything of them has begun. */
import {
  taskKey,
  type BatchJob,
  type QueuePolicy,
  type StepSpec,
  type TaskKey,
} from '../model/job.js';
import { kindOf } from './step-times.js';
import { OWED, type JobShare } from '../model/share.js';
import {
  createStepAdvice,
  type JobState,
  type OccurrenceState,
  type StepRun,
  type Task,
} from '../model/state.js';

const newTask = (key: TaskKey, index: number): Task => ({
  key,
  index,
  phase: 'waiting',
  failedRuns: [],
  lastRun: 0,
  isLocated: false,
  lastEnd: null,
  checkpoint: '',
  avoid: null,
  awaySinceMs: 0,
  crashes: [],
  trial: null,
});

const newStep = (
  job: JobState,
  occurrence: OccurrenceState,
  number: number,
  spec: StepSpec,
): StepRun => ({
  job,
  occurrence,
  number,
  spec,
  kind: kindOf(job.job.queue, spec),
  tasks: Array.from({ length: spec.taskCount }, (_, index) =>
    newTask(taskKey(job.job.jobId, occurrence.number, number, index), index),
  ),
  waiting: Array.from({ length: spec.taskCount }, (_, index) => index),
  isOpen: false,
  doneCount: 0,
  perEndpoint: new Map(),
  perDomain: new Map(),
  retryAtMs: 0,
  triedAtRevision: 0,
  advice: job.policy.needsAdvice ? createStepAdvice() : null,
});

/**
 * Builds an occurrence of a job that is not there yet.
 *
 * @param job - The job, changed in place.
 * @param number - Which occurrence.
 * @param dueAtMs - When it is due, by the monotonic clock.
 * @returns The occurrence.
 */
export const addOccurrence = (job: JobState, number: number, dueAtMs: number): OccurrenceState => {
  const occurrence: OccurrenceState = { number, dueAtMs, steps: [] };
  job.job.steps.forEach((spec, index) => {
    occurrence.steps.push(newStep(job, occurrence, index, spec));
  });
  job.occurrences.set(number, occurrence);
  return occurrence;
};

export type TakeInOptions = {
  readonly job: BatchJob;
  readonly policy: QueuePolicy;
  readonly nowMs: number;
  readonly todayMs: number;
  readonly isInherited?: boolean;
  readonly share?: JobShare;
  /** When its client first tried to hand it in; Infinity where that is not known. */
  readonly firstAttemptAtMs?: number;
};

/**
 * Builds the state of a job, with none of its occurrences begun.
 *
 * @param options - The job, its policy and the times.
 * @returns The state.
 */
export const createJobState = ({
  job,
  policy,
  nowMs,
  todayMs,
  isInherited = false,
  share = OWED,
  firstAttemptAtMs = Infinity,
}: TakeInOptions): JobState => ({
  job,
  policy,
  phase: 'pending',
  reason: `queue=${job.queue} pool=${job.pool}: waits for room`,
  occurrences: new Map(),
  nextOccurrence: 0,
  sinceMs: Math.min(
    firstAttemptAtMs,
    nowMs - Math.max(0, Math.min(todayMs - job.acceptedAtMs, MOST_BELIEVED_AGE_MS)),
  ),
  share,
  isInherited,
  hasBegun: false,
  blameRevision: 0,
  writtenBlameRevision: 0,
});

/** Clocks of entries differ and jump: an age above this is not believed. */
const MOST_BELIEVED_AGE_MS = 120_000;
