/**
 * The open steps of a pool in the order in which they are placed. A small backlog is ranked in each scheduling pass. Of a
 * large backlog the first steps are kept as a shortlist, and a pass ranks only these and the steps opened since. A pass
 * follows each report of an endpoint, and ranking thousands of steps each time would take all of the holder's CPU time.
 */
import type { AccountName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { accountOf, isWithinQuota } from '../accounts/quota.js';
import { isFinal, type BatchState, type PoolState, type StepRun } from '../model/state.js';
import { compareRanks, rankStep, type Rank } from './job-rank.js';

/** Each pass ranks all open steps of a pool that has at most this many. This is also the length of the shortlist. */
const MAX_RANKED = 500;
/**
 * The least time between two rankings of a whole larger backlog. A step that can no longer finish within its objective
 * moves back in the order with up to this delay.
 */
const RANK_EVERY_MS = 50;
/**
 * Ranking 5,000 steps takes 2 ms. A backlog of more steps is ranked less often, so that ranking takes the same share of
 * CPU time.
 */
const RANK_EVERY_MS_PER_STEP = 0.01;
/**
 * How many steps of one account may be on the shortlist while they wait for the account's quota. Without this limit they
 * could fill the shortlist.
 */
const MAX_QUOTA_BLOCKED = 20;

/**
 * Sorts steps by rank.
 *
 * @param state - The batch state, which holds the recorded run times.
 * @param steps - The steps.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns The steps in the order in which they are placed.
 */
export const sortByRank = (
  state: BatchState,
  steps: readonly StepRun[],
  nowMs: number,
): readonly StepRun[] =>
  steps
    .map((step): Rank => rankStep(state, step, nowMs))
    .sort(compareRanks[state.queueOrder])
    .map(({ step }) => step);

/** Selects the first steps in order, with a limited number of steps that wait for the quota of the same account. */
const shortlistOf = (state: BatchState, ordered: readonly StepRun[]): readonly StepRun[] => {
  const quotaBlocked = new Map<AccountName | undefined, number>();
  const shortlist: StepRun[] = [];
  ordered.some((step) => {
    if (!isWithinQuota(state, step)) {
      const count = quotaBlocked.get(accountOf(step)) ?? 0;
      if (count >= MAX_QUOTA_BLOCKED) return false;
      quotaBlocked.set(accountOf(step), count + 1);
    }
    shortlist.push(step);
    return shortlist.length >= MAX_RANKED;
  });
  return shortlist;
};

/** Tells whether the job of a step has not ended. */
const isLive = ({ job }: StepRun): boolean => !isFinal(job.phase);

/**
 * Lists the open steps of a pool that a scheduling pass considers.
 *
 * @param state - The batch state.
 * @param pool - The pool; its shortlist is changed in place.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @param mayBegin - Tells whether any task of a step may start.
 * @returns The steps in order; of a large backlog only the shortlist and the steps opened since.
 */
export const listRankedSteps = (
  state: BatchState,
  { ranking, openSteps }: PoolState,
  nowMs: number,
  mayBegin: (step: StepRun) => boolean,
): readonly StepRun[] => {
  const rank = (steps: Iterable<StepRun>): readonly StepRun[] =>
    sortByRank(
      state,
      Array.from(steps).filter((step) => isLive(step) && mayBegin(step)),
      nowMs,
    );
  if (openSteps.size <= MAX_RANKED) {
    change(ranking, { shortlist: [], openedSteps: [], rankedAtMs: -Infinity });
    return rank(openSteps);
  }
  const everyMs = Math.max(RANK_EVERY_MS, RANK_EVERY_MS_PER_STEP * openSteps.size);
  if (nowMs - ranking.rankedAtMs >= everyMs) {
    const shortlist = shortlistOf(state, rank(openSteps));
    change(ranking, { shortlist, openedSteps: [], rankedAtMs: nowMs });
    return shortlist;
  }
  const known = new Set([...ranking.shortlist, ...ranking.openedSteps]);
  return rank(Array.from(known).filter((step) => openSteps.has(step)));
};
