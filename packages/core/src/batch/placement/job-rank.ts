/**
 * The order in which open steps are placed: by tier (see `Rank`), then by priority, then by the end of the objective.
 * The `QueueOrder` decides where the shares of client accounts come in, see `SORT_KEYS`.
 */
import type { QueueOrder } from '../model/queue-order.js';
import { change } from '../../shared/change.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import type { BatchState, JobState, StepRun } from '../model/state.js';
import { estimateStepTime, estimateStepWorkTime } from '../jobs/step-times.js';

/** A job that finishes within this many times its objective is a late success, which is still of use to its client. */
export const LATE_SUCCESS_FACTOR = 3;

/** For how long the estimated work time of a job's steps is kept. */
const CRITICAL_WORK_MAX_AGE_MS = 250;

/** The values that decide the position of a step in the queue. */
export type Rank = {
  readonly step: StepRun;
  /** 0: can finish within the objective, or is lasting. 1: can still be a late success. 2: can be neither. */
  readonly tier: 0 | 1 | 2;
  /** When the objective of the job ends, on the holder's monotonic clock. */
  readonly dueAtMs: number;
  /** 0: the job counts as within its account's share, see `isRankedWithinShare`. 1: it does not. */
  readonly shareTier: 0 | 1;
  /** The priority of the job's queue; 0 goes before all others. */
  readonly priority: number;
  /** See `JobShare`. */
  readonly virtualStart: number;
};

/** Estimates the duration of a step in milliseconds. */
type StepTimeEstimate = (state: BatchState, step: StepRun) => number;

/**
 * Estimates the remaining critical path: how long the longest chain of dependent steps takes, from an open step to the
 * end of its occurrence.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param step - The open step; the steps that depend on it are included.
 * @param estimate - Estimates each step; the run time if left out.
 * @returns The duration in milliseconds.
 */
export const remainingCriticalPathMs = (
  state: BatchState,
  step: StepRun,
  estimate: StepTimeEstimate = estimateStepTime,
): number => {
  const { steps } = step.occurrence;
  let afterMs = 0;
  for (let index = 0; index < steps.length; index += 1) {
    const next = steps[index] as StepRun;
    const isFollower = next.spec.after.includes(step.number);
    if (isFollower) afterMs = Math.max(afterMs, remainingCriticalPathMs(state, next, estimate));
  }
  return estimate(state, step) + afterMs;
};

/** Tells whether a step depends on no other step. */
const isFirstStep = ({ spec }: StepRun): boolean => spec.after.length === 0;

/**
 * Estimates the work time of the longest chain of dependent steps of a whole occurrence, in milliseconds. A backlog is
 * ranked many times a second, while this changes only with the recorded work times.
 */
const criticalWorkMs = (state: BatchState, { occurrence }: StepRun, nowMs: number): number => {
  const known = occurrence.criticalWork;
  if (known && nowMs - known.estimatedAtMs < CRITICAL_WORK_MAX_AGE_MS) return known.ms;
  let longestMs = 0;
  occurrence.steps.forEach((step) => {
    if (!isFirstStep(step)) return;
    longestMs = Math.max(longestMs, remainingCriticalPathMs(state, step, estimateStepWorkTime));
  });
  change(occurrence, { criticalWork: { ms: longestMs, estimatedAtMs: nowMs } });
  return longestMs;
};

/**
 * Returns the time from which the objective counts: when the occurrence of a repeating job is due, or when the client first
 * tried to submit a job that runs once.
 */
const objectiveStartMs = ({ job, occurrence }: StepRun): number =>
  job.job.repeats > 0 ? occurrence.dueAtMs : job.submittedAtMs;

/**
 * Computes the objective of a job: the duration within which it should finish.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param step - A step of the job.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns The objective in milliseconds.
 */
export const objectiveMsOf = (state: BatchState, step: StepRun, nowMs: number): number => {
  const { stretch, targetLatencyMs } = step.job.policy;
  return stretch * criticalWorkMs(state, step, nowMs) + targetLatencyMs;
};

/**
 * Tells whether a job that runs once is too late even for a late success.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param job - The job.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True if more than `LATE_SUCCESS_FACTOR` times the objective has passed; false for a repeating job.
 */
export const isTooLate = (state: BatchState, job: JobState, nowMs: number): boolean => {
  const step = job.occurrences.get(0)?.steps[0];
  if (!step || job.job.repeats > 0) return false;
  return nowMs > job.submittedAtMs + LATE_SUCCESS_FACTOR * objectiveMsOf(state, step, nowMs);
};

/**
 * Tells whether a job is still within its objective.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param job - The job.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True also for a repeating job and for a job without occurrence 0.
 */
export const isWithinObjective = (state: BatchState, job: JobState, nowMs: number): boolean => {
  const step = job.occurrences.get(0)?.steps[0];
  if (!step || job.job.repeats > 0) return true;
  return nowMs <= job.submittedAtMs + objectiveMsOf(state, step, nowMs);
};

/**
 * Computes the rank of an open step.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param step - The step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns The rank.
 */
export const rankStep = (state: BatchState, step: StepRun, nowMs: number): Rank => {
  const { policy, share } = step.job;
  const remainingMs = remainingCriticalPathMs(state, step);
  const objectiveMs = objectiveMsOf(state, step, nowMs);
  const sinceMs = objectiveStartMs(step);
  const dueAtMs = sinceMs + objectiveMs;
  const endsAtMs = nowMs + remainingMs;
  const canBeInTime = step.spec.isLasting || endsAtMs <= dueAtMs;
  const canBeLateSuccess = endsAtMs <= sinceMs + LATE_SUCCESS_FACTOR * objectiveMs;
  const lateTier = canBeLateSuccess ? 1 : 2;
  return {
    step,
    tier: canBeInTime ? 0 : lateTier,
    dueAtMs,
    shareTier: isRankedWithinShare(step.job, nowMs) ? 0 : 1,
    priority: policy.priority,
    virtualStart: share.virtualStart,
  };
};

/** One criterion of the order; the step with the lower value goes first. */
type SortKey = (rank: Rank) => number;

const tierOf: SortKey = ({ tier }) => tier;
const claimOf: SortKey = ({ shareTier }) => shareTier;
const priorityOf: SortKey = ({ priority }) => priority;
const dueOf: SortKey = ({ dueAtMs }) => dueAtMs;
const virtualStartOf: SortKey = ({ virtualStart }) => virtualStart;

/** Orders the jobs beyond their account's share by virtual start; all jobs within their share are equal. */
const virtualStartBeyondShare: SortKey = ({ shareTier, virtualStart }) => shareTier * virtualStart;

const URGENCY_KEYS: readonly SortKey[] = [tierOf, priorityOf, dueOf];

/** The sort keys of each queue order; the first key in which two ranks differ decides. */
const SORT_KEYS: Readonly<Record<QueueOrder, readonly SortKey[]>> = {
  'due-first': URGENCY_KEYS,
  'owed-first': [claimOf, ...URGENCY_KEYS],
  'owed-then-fair': [claimOf, tierOf, virtualStartBeyondShare, ...URGENCY_KEYS],
  'fair-first': [tierOf, virtualStartOf, ...URGENCY_KEYS],
};

/** Compares two ranks; the result is below 0 if the left one goes first. */
type Comparison = (left: Rank, right: Rank) => number;

/** Uses a loop rather than nested closures, because ranking a large backlog makes 60,000 comparisons. */
const compareBy =
  (sortKeys: readonly SortKey[]): Comparison =>
  (left, right) => {
    for (let index = 0; index < sortKeys.length; index += 1) {
      const sortKey = sortKeys[index] as SortKey;
      const leftValue = sortKey(left);
      const rightValue = sortKey(right);
      if (leftValue !== rightValue) return leftValue < rightValue ? -1 : 1;
    }
    return 0;
  };

/** The comparison of ranks for each queue order. */
export const compareRanks: Readonly<Record<QueueOrder, Comparison>> = {
  'due-first': compareBy(SORT_KEYS['due-first']),
  'owed-first': compareBy(SORT_KEYS['owed-first']),
  'owed-then-fair': compareBy(SORT_KEYS['owed-then-fair']),
  'fair-first': compareBy(SORT_KEYS['fair-first']),
};
