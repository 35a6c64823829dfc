/** Creates the initial state of jobs, occurrences, steps and tasks, before any task has started. */
import { change } from '../../shared/change.js';
import type { BatchJob, QueuePolicy, StepSpec } from '../model/job.js';
import { taskKindOf } from './step-times.js';
import { WITHIN_SHARE, type JobShare } from '../model/share.js';
import {
  createStepAdvice,
  type JobState,
  type OccurrenceState,
  type StepRun,
} from '../model/state.js';
import { TaskList } from '../model/task-list.js';

const createStep = (
  job: JobState,
  occurrence: OccurrenceState,
  number: number,
  spec: StepSpec,
): StepRun => ({
  job,
  occurrence,
  number,
  spec,
  kind: taskKindOf(job.job.queue, spec),
  tasks: new TaskList({
    jobId: job.job.jobId,
    occurrence: occurrence.number,
    step: number,
    length: spec.taskCount,
  }),
  waiting: Array.from({ length: spec.taskCount }, (_, index) => index),
  isOpen: false,
  doneCount: 0,
  perEndpoint: new Map(),
  perDomain: new Map(),
  retryAtMs: 0,
  triedAtRevision: 0,
  advice: job.policy.needsAdvice ? createStepAdvice() : null,
});

const createOccurrence = (job: JobState, number: number, dueAtMs: number): OccurrenceState => {
  const occurrence: OccurrenceState = { number, dueAtMs, steps: [], criticalWork: undefined };
  job.job.steps.forEach((spec, index) => {
    occurrence.steps.push(createStep(job, occurrence, index, spec));
  });
  return occurrence;
};

/**
 * Adds an occurrence to a job that does not have it yet.
 *
 * @param job - The job, changed in place.
 * @param number - The number of the occurrence, from 0.
 * @param dueAtMs - When it is due, by the monotonic clock.
 * @returns The new occurrence.
 */
export const addOccurrence = (job: JobState, number: number, dueAtMs: number): OccurrenceState => {
  const occurrence = createOccurrence(job, number, dueAtMs);
  job.occurrences.set(number, occurrence);
  return occurrence;
};

/**
 * Creates an occurrence whose tasks are all done, for what endpoints report of one that has no state any more.
 *
 * @param job - The job, which does not get the occurrence.
 * @param number - The number of the occurrence.
 * @returns The occurrence.
 */
export const createDoneOccurrence = (job: JobState, number: number): OccurrenceState => {
  const occurrence = createOccurrence(job, number, 0);
  occurrence.steps.forEach((step) => {
    step.tasks.completeAll();
    step.waiting.splice(0);
    change(step, { doneCount: step.spec.taskCount });
  });
  return occurrence;
};

/** What the state of a job is created from. */
export type AddJobOptions = {
  readonly job: BatchJob;
  readonly policy: QueuePolicy;
  /** The current time by the monotonic clock. */
  readonly nowMs: number;
  /** The current time by the wall clock, in milliseconds since 1970. */
  readonly wallClockMs: number;
  /** Whether the job was accepted under an earlier control holder; false by default. */
  readonly isInherited?: boolean;
  /** The rank of the job by the guaranteed rate of its account; by default it is covered by it. */
  readonly share?: JobShare;
  /** When the client first tried to submit the job, by the monotonic clock; Infinity if unknown. */
  readonly firstAttemptAtMs?: number;
};

/**
 * Creates the state of a job without any occurrence.
 *
 * @param options - The job, its policy and the times.
 * @returns The state.
 */
export const createJobState = ({
  job,
  policy,
  nowMs,
  wallClockMs,
  isInherited = false,
  share = WITHIN_SHARE,
  firstAttemptAtMs = Infinity,
}: AddJobOptions): JobState => ({
  job,
  policy,
  phase: 'pending',
  reason: `queue=${job.queue} pool=${job.pool}: waits for room`,
  occurrences: new Map(),
  nextOccurrence: 0,
  doneBelow: 0,
  doneAhead: new Set(),
  arrivedOccurrences: 0,
  submittedAtMs: Math.min(
    firstAttemptAtMs,
    nowMs - Math.max(0, Math.min(wallClockMs - job.acceptedAtMs, MAX_TRUSTED_AGE_MS)),
  ),
  share,
  isInherited,
  hasStarted: false,
  crashRecordRevision: 0,
  writtenCrashRecordRevision: 0,
});

/** The wall clocks of entries differ and jump, so the age of an accepted job counts only up to this limit. */
const MAX_TRUSTED_AGE_MS = 120_000;
