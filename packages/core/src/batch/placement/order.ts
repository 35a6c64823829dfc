/**
 * In which order open steps get places. Work that can still be done within its objective goes
 * first, the earliest objective before the others; then work that can still earn a late success;
 * then the rest, oldest first, so that nothing waits for ever.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';

import type { OrderWay } from '../model/order-ways.js';
import { goesWithOwed } from '../accounts/shares.js';
import type { BatchState, StepRun } from '../model/state.js';
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
  const ownMs = expectStepTime(state, step);
  const followers = steps.filter(({ spec }) => spec.after.includes(step.number));
  return ownMs + Math.max(0, ...followers.map((next) => remainingChainMs(state, next)));
};

/** The longest chain of a whole occurrence. */
const wholeChainMs = (state: BatchState, step: StepRun): number =>
  Math.max(
    ...step.occurrence.steps
      .filter(({ spec }) => spec.after.length === 0)
      .map((first) => remainingChainMs(state, first)),
  );

/** Since when the clock of an occurrence runs. */
const beganAtMs = ({ job, occurrence }: StepRun): number =>
  job.job.repeats > 0 ? occurrence.dueAtMs : job.sinceMs;

/**
 * Ranks a step.
 *
 * @param state - What was learned of run times.
 * @param step - The open step.
 * @param nowMs - The time.
 * @returns Its rank.
 */
export const rankStep = (state: BatchState, step: StepRun, nowMs: number): Rank => {
  const { policy } = step.job;
  const objectiveMs = policy.stretch * wholeChainMs(state, step) + policy.targetLatencyMs;
  const sinceMs = beganAtMs(step);
  const dueAtMs = sinceMs + objectiveMs;
  const endsAtMs = nowMs + remainingChainMs(state, step);
  const claim = goesWithOwed(step.job, nowMs) ? 0 : 1;
  if (step.spec.isLasting || endsAtMs <= dueAtMs) return { step, tier: 0, dueAtMs, claim };
  const isLate = endsAtMs <= sinceMs + LATE_FACTOR * objectiveMs;
  return { step, tier: isLate ? 1 : 2, dueAtMs, claim };
};

const byTier = pipe(
  N.Ord,
  Ord.contramap(({ tier }: Rank) => tier),
);
const byPriority = pipe(
  N.Ord,
  Ord.contramap(({ step }: Rank) => step.job.policy.priority),
);
const byDue = pipe(
  N.Ord,
  Ord.contramap(({ dueAtMs }: Rank) => dueAtMs),
);

const byClaim = pipe(
  N.Ord,
  Ord.contramap(({ claim }: Rank) => claim),
);
const byVirtualStart = pipe(
  N.Ord,
  Ord.contramap(({ step }: Rank) => step.job.share.virtualStart),
);

/** Among what accounts are not owed, the account that is furthest behind goes first. */
const byFairnessOfRest = pipe(
  N.Ord,
  Ord.contramap(({ step, claim }: Rank) => claim * step.job.share.virtualStart),
);

const { concat } = Ord.getMonoid<Rank>();

const byUrgency = concat(concat(byTier, byPriority), byDue);

/** The orders of the queue, by their way. */
export const byRank: Readonly<Record<OrderWay, Ord.Ord<Rank>>> = {
  'due-first': byUrgency,
  'owed-first': concat(byClaim, byUrgency),
  'owed-then-fair': concat(concat(concat(byClaim, byTier), byFairnessOfRest), byUrgency),
  'fair-first': concat(concat(byTier, byVirtualStart), byUrgency),
};
