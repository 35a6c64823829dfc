/**
 * In which order open steps get places. Work that can still be done within its objective goes
 * first, the earliest objective before the others; then work that can still earn a late success;
 * then the rest, oldest first, so that nothing waits for ever.
 */

import type { OrderWay } from '../model/order-ways.js';
import { goesWithOwed } from '../accounts/shares.js';
import type { BatchState, JobState, StepRun } from '../model/state.js';
import { expectStepTime } from '../jobs/step-times.js';

/** A late success is still worth something to its client until this many times the objective. */
export const LATE_FACTOR = 3;

/** What decides the place of a step in the queue. */
export type Rank = {
  readonly step: StepRun;
  /** 0: can be in time. 1: can be late. 2: is past both. */
  readonly tier: 0 | 1 | 2;
  /** When the objective ends. */
  readonly dueAtMs: number;
  /** 0: its account is owed it. 1: it is beyond what its account is owed. */
  readonly claim: 0 | 1;
  readonly priority: number;
  readonly virtualStart: number;
};

/**
 * Expects how long the longest chain of what is left of an occurrence takes.
 *
 * @param state - What was learned of run times.
 * @param step - An open step; what comes after it is counted.
 * @returns The time in milliseconds.
 */
export const remainingChainMs = (state: BatchState, step: StepRun): number => {
  const { steps } = step.occurrence;
  let afterMs = 0;
  for (let index = 0; index < steps.length; index += 1) {
    const next = steps[index] as StepRun;
    const isFollower = next.spec.after.includes(step.number);
    if (isFollower) afterMs = Math.max(afterMs, remainingChainMs(state, next));
  }
  return expectStepTime(state, step) + afterMs;
};

const isFirst = ({ spec }: StepRun): boolean => spec.after.length === 0;

/** The longest chain of a whole occurrence, where that of one of its steps is known. */
const wholeChainMs = (state: BatchState, step: StepRun, remainingMs: number): number => {
  let longestMs = isFirst(step) ? remainingMs : 0;
  step.occurrence.steps.forEach((first) => {
    if (first === step || !isFirst(first)) return;
    longestMs = Math.max(longestMs, remainingChainMs(state, first));
  });
  return longestMs;
};

/** Since when the clock of an occurrence runs. */
const beganAtMs = ({ job, occurrence }: StepRun): number =>
  job.job.repeats > 0 ? occurrence.dueAtMs : job.sinceMs;

/**
 * Reckons the objective of a job.
 *
 * @param state - What was learned of run times.
 * @param step - A step of the job.
 * @param remainingMs - The chain of what is left from the step on, where it is known.
 * @returns The time in milliseconds that the job may take.
 */
export const objectiveMsOf = (
  state: BatchState,
  step: StepRun,
  remainingMs = remainingChainMs(state, step),
): number => {
  const { stretch, targetLatencyMs } = step.job.policy;
  return stretch * wholeChainMs(state, step, remainingMs) + targetLatencyMs;
};

/**
 * Tells whether a job that runs once is past all use.
 *
 * @param state - What was learned of run times.
 * @param job - The job.
 * @param nowMs - The time.
 * @returns True if it cannot even be a late success any more.
 */
export const isPastUse = (state: BatchState, job: JobState, nowMs: number): boolean => {
  const step = job.occurrences.get(0)?.steps[0];
  if (!step || job.job.repeats > 0) return false;
  return nowMs > job.sinceMs + LATE_FACTOR * objectiveMsOf(state, step);
};

/**
 * Tells whether a job is within its objective.
 *
 * @param state - What was learned of run times.
 * @param job - The job.
 * @param nowMs - The time.
 * @returns True also for a job whose time is not that of a first occurrence.
 */
export const isInTime = (state: BatchState, job: JobState, nowMs: number): boolean => {
  const step = job.occurrences.get(0)?.steps[0];
  if (!step || job.job.repeats > 0) return true;
  return nowMs <= job.sinceMs + objectiveMsOf(state, step);
};

/**
 * Ranks a step.
 *
 * @param state - What was learned of run times.
 * @param step - The open step.
 * @param nowMs - The time.
 * @returns Its rank.
 */
export const rankStep = (state: BatchState, step: StepRun, nowMs: number): Rank => {
  const { policy, share } = step.job;
  const remainingMs = remainingChainMs(state, step);
  const objectiveMs = objectiveMsOf(state, step, remainingMs);
  const sinceMs = beganAtMs(step);
  const dueAtMs = sinceMs + objectiveMs;
  const endsAtMs = nowMs + remainingMs;
  const canBeInTime = step.spec.isLasting || endsAtMs <= dueAtMs;
  const isLate = endsAtMs <= sinceMs + LATE_FACTOR * objectiveMs;
  const tierOfRest = isLate ? 1 : 2;
  return {
    step,
    tier: canBeInTime ? 0 : tierOfRest,
    dueAtMs,
    claim: goesWithOwed(step.job, nowMs) ? 0 : 1,
    priority: policy.priority,
    virtualStart: share.virtualStart,
  };
};

/** A part of the order: the step with the lower figure goes first. */
type Figure = (rank: Rank) => number;

const tierOf: Figure = ({ tier }) => tier;
const claimOf: Figure = ({ claim }) => claim;
const priorityOf: Figure = ({ priority }) => priority;
const dueOf: Figure = ({ dueAtMs }) => dueAtMs;
const virtualStartOf: Figure = ({ virtualStart }) => virtualStart;

/** Among what accounts are not owed, the account that is furthest behind goes first. */
const fairnessOfRest: Figure = ({ claim, virtualStart }) => claim * virtualStart;

const URGENCY: readonly Figure[] = [tierOf, priorityOf, dueOf];

/** What decides in each way, the first figure that differs before the others. */
const FIGURES: Readonly<Record<OrderWay, readonly Figure[]>> = {
  'due-first': URGENCY,
  'owed-first': [claimOf, ...URGENCY],
  'owed-then-fair': [claimOf, tierOf, fairnessOfRest, ...URGENCY],
  'fair-first': [tierOf, virtualStartOf, ...URGENCY],
};

/** Compares two ranks; below 0 if the left one goes first. */
type Comparison = (left: Rank, right: Rank) => number;

/** Loops instead of closures over closures: a large backlog is compared 60,000 times at each ranking. */
const compareBy =
  (figures: readonly Figure[]): Comparison =>
  (left, right) => {
    for (let index = 0; index < figures.length; index += 1) {
      const figure = figures[index] as Figure;
      const ofLeft = figure(left);
      const ofRight = figure(right);
      if (ofLeft !== ofRight) return ofLeft < ofRight ? -1 : 1;
    }
    return 0;
  };

/** The orders of the queue, by their way. */
export const compareRanks: Readonly<Record<OrderWay, Comparison>> = {
  'due-first': compareBy(FIGURES['due-first']),
  'owed-first': compareBy(FIGURES['owed-first']),
  'owed-then-fair': compareBy(FIGURES['owed-then-fair']),
  'fair-first': compareBy(FIGURES['fair-first']),
};
