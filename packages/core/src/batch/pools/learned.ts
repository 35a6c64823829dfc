/**
 * What a holder has learned of demand and run times, in a form that the next one can start from.
 * Nothing safe depends on it: without it the next holder learns anew, which took it 10 to 30 s.
 */
import type { PoolName } from '../../shared/ids.js';
import type { BatchState } from '../model/state.js';

/** Names are kept with what was learned of them; times are of the time of day. */
export type LearnedRow = {
  /** Pools with when their peaks began. */
  readonly onsets: readonly (readonly [string, number])[];
  /** Pools with the cores of their highest peak. */
  readonly heights: readonly (readonly [string, number])[];
  /** Kinds of tasks with their mean run time in milliseconds and the number of ends. */
  readonly runTimes: readonly (readonly [string, number, number])[];
};

/** A fleet with more kinds of tasks than this starts with those that ended most. */
const MOST_KINDS = 300;

/**
 * Writes down what was learned.
 *
 * @param state - All that is known.
 * @param nowMs - The monotonic time.
 * @param todayMs - The time of day.
 * @returns The row.
 */
export const learnedOf = (
  { peaks, runTimes }: BatchState,
  nowMs: number,
  todayMs: number,
): LearnedRow => ({
  onsets: peaks.onsets.map(({ pool, atMs }) => [pool, Math.round(todayMs - (nowMs - atMs))]),
  heights: Array.from(peaks.heights, ([pool, cores]) => [pool, Math.round(cores)]),
  runTimes: Array.from(
    runTimes.byKind,
    ([kind, { meanMs, ends }]) => [kind, Math.round(meanMs), ends] as const,
  )
    .sort(([, , left], [, , right]) => right - left)
    .slice(0, MOST_KINDS),
});

/**
 * Applies what an earlier holder learned. What this one has learned itself stays.
 *
 * @param state - All that is known, changed in place.
 * @param row - What the earlier holder wrote.
 * @param nowMs - The monotonic time.
 * @param todayMs - The time of day.
 */
export const restoreLearned = (
  { peaks, runTimes }: BatchState,
  { onsets, heights, runTimes: times }: LearnedRow,
  nowMs: number,
  todayMs: number,
): void => {
  const earlier = onsets.map(([pool, atTodayMs]) => ({
    pool: pool as PoolName,
    atMs: nowMs - (todayMs - atTodayMs),
  }));
  Object.assign(peaks, {
    onsets: [...earlier.filter(({ atMs }) => atMs <= nowMs), ...peaks.onsets],
  });
  // Its peak may go on: it is not a new one.
  const latest = earlier.at(-1);
  if (latest) peaks.high.set(latest.pool, nowMs);
  heights.forEach(([pool, cores]) => {
    const name = pool as PoolName;
    peaks.heights.set(name, Math.max(cores, peaks.heights.get(name) ?? 0));
  });
  times
    .filter(([kind]) => !runTimes.byKind.has(kind))
    .forEach(([kind, meanMs, ends]) => runTimes.byKind.set(kind, { meanMs, ends }));
};
