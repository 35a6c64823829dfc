/**
 * The open steps of a pool in the order in which they get places. A small backlog is ranked at each pass. Of a large one
 * the first steps are kept as a shortlist, and a pass ranks only these and what was opened since: a pass comes after
 * each report of an endpoint, and ranking thousands of steps each time takes the whole processor of a holder.
 */
import type { AccountName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { accountOf, isWithinQuota } from '../accounts/quota.js';
import { isFinal, type BatchState, type PoolState, type StepRun } from '../model/state.js';
import { compareRanks, rankStep, type Rank } from './order.js';

/** Up to so many open steps each pass ranks all of them. */
const MOST_RANKED = 500;
/** How often a larger backlog is ranked as a whole: a step past its time falls back this much later. */
const RANK_EVERY_MS = 50;
/** 5,000 steps take 2 ms to rank: beyond these the whole is ranked less often, at the same share of a processor. */
const RANK_EVERY_MS_PER_STEP = 0.01;
/** Steps of one account that wait for its quota take so many places of the shortlist, or they would fill it. */
const MOST_BLOCKED = 20;

/**
 * Ranks steps.
 *
 * @param state - What was learned of run times.
 * @param steps - The steps.
 * @param nowMs - The time.
 * @returns The steps, the first to get a place first.
 */
export const inOrder = (
  state: BatchState,
  steps: readonly StepRun[],
  nowMs: number,
): readonly StepRun[] =>
  steps
    .map((step): Rank => rankStep(state, step, nowMs))
    .sort(compareRanks[state.orderWay])
    .map(({ step }) => step);

/** The first steps in order, with few that wait for a quota. */
const shortlistOf = (state: BatchState, ordered: readonly StepRun[]): readonly StepRun[] => {
  const blocked = new Map<AccountName | undefined, number>();
  const shortlist: StepRun[] = [];
  ordered.some((step) => {
    if (!isWithinQuota(state, step)) {
      const count = blocked.get(accountOf(step)) ?? 0;
      if (count >= MOST_BLOCKED) return false;
      blocked.set(accountOf(step), count + 1);
    }
    shortlist.push(step);
    return shortlist.length >= MOST_RANKED;
  });
  return shortlist;
};

const isLive = ({ job }: StepRun): boolean => !isFinal(job.phase);

/**
 * Lists the open steps of a pool that a pass considers.
 *
 * @param state - All that is known.
 * @param pool - The pool; its shortlist is changed in place.
 * @param nowMs - The time.
 * @param mayBegin - Tells whether a step may be tried at all.
 * @returns The steps in order: all of them, or the first ones of a large backlog.
 */
export const rankedSteps = (
  state: BatchState,
  { ranking, open }: PoolState,
  nowMs: number,
  mayBegin: (step: StepRun) => boolean,
): readonly StepRun[] => {
  const rank = (steps: Iterable<StepRun>): readonly StepRun[] =>
    inOrder(
      state,
      Array.from(steps).filter((step) => isLive(step) && mayBegin(step)),
      nowMs,
    );
  if (open.size <= MOST_RANKED) {
    change(ranking, { shortlist: [], opened: [], rankedAtMs: -Infinity });
    return rank(open);
  }
  const everyMs = Math.max(RANK_EVERY_MS, RANK_EVERY_MS_PER_STEP * open.size);
  if (nowMs - ranking.rankedAtMs >= everyMs) {
    const shortlist = shortlistOf(state, rank(open));
    change(ranking, { shortlist, opened: [], rankedAtMs: nowMs });
    return shortlist;
  }
  const known = new Set([...ranking.shortlist, ...ranking.opened]);
  return rank(Array.from(known).filter((step) => open.has(step)));
};
