/**
 * Saves the demand history of a control holder, its demand peaks and run times, so that the next holder can start from
 * it. No safety property depends on it: without it the next holder collects them again, which takes 10 to 30 s.
 */
import type { PoolName } from '../../shared/ids.js';
import type { BatchState } from '../model/state.js';

/** The stored row. Times are wall-clock times, because the monotonic clocks of two holders are not comparable. */
export type DemandHistoryRow = {
  /** Pool names, each with the wall-clock time at which a peak began, oldest first. */
  readonly onsets: readonly (readonly [string, number])[];
  /** Pool names, each with the cores of its highest peak. */
  readonly heights: readonly (readonly [string, number])[];
  /**
   * Task kinds, each with its mean run time in milliseconds, the number of runs that ended, and its mean work time in
   * milliseconds, which rows of earlier builds do not have.
   */
  readonly runTimes: readonly (readonly [string, number, number, number?])[];
};

/** With more task kinds than this, only those with the most ended runs are saved. */
const MAX_KINDS = 300;

/**
 * Converts the recorded peaks and run times to a row.
 *
 * @param state - The batch state.
 * @param nowMs - The monotonic time in milliseconds.
 * @param wallClockMs - The wall-clock time in milliseconds.
 * @returns The row.
 */
export const toDemandHistoryRow = (
  { peaks, runTimes }: BatchState,
  nowMs: number,
  wallClockMs: number,
): DemandHistoryRow => ({
  onsets: peaks.onsets.map(({ pool, atMs }) => [pool, Math.round(wallClockMs - (nowMs - atMs))]),
  heights: Array.from(peaks.peakCores, ([pool, cores]) => [pool, Math.round(cores)]),
  runTimes: Array.from(runTimes.byKind, ([kind, { meanMs, completions, meanWorkMs }]) =>
    meanWorkMs === undefined
      ? ([kind, Math.round(meanMs), completions] as const)
      : ([kind, Math.round(meanMs), completions, Math.round(meanWorkMs)] as const),
  )
    .sort(([, , left], [, , right]) => right - left)
    .slice(0, MAX_KINDS),
});

/**
 * Merges a row that an earlier holder saved into the state. Onsets and run times that this holder has recorded itself
 * are kept; of two peak heights the higher one is kept.
 *
 * @param state - The batch state, changed in place.
 * @param row - The saved row.
 * @param nowMs - The monotonic time in milliseconds.
 * @param wallClockMs - The wall-clock time in milliseconds.
 */
export const restoreDemandHistoryRow = (
  { peaks, runTimes }: BatchState,
  { onsets, heights, runTimes: savedRunTimes }: DemandHistoryRow,
  nowMs: number,
  wallClockMs: number,
): void => {
  const restoredOnsets = onsets.map(([pool, atTodayMs]) => ({
    pool: pool as PoolName,
    atMs: nowMs - (wallClockMs - atTodayMs),
  }));
  Object.assign(peaks, {
    onsets: [...restoredOnsets.filter(({ atMs }) => atMs <= nowMs), ...peaks.onsets],
  });
  // The latest peak may still be in progress, so its continuation must not be detected as a new peak.
  const latestOnset = restoredOnsets.at(-1);
  if (latestOnset) peaks.lastAtPeakMs.set(latestOnset.pool, nowMs);
  heights.forEach(([pool, cores]) => {
    const name = pool as PoolName;
    peaks.peakCores.set(name, Math.max(cores, peaks.peakCores.get(name) ?? 0));
  });
  savedRunTimes
    .filter(([kind]) => !runTimes.byKind.has(kind))
    .forEach(([kind, meanMs, completions, meanWorkMs]) =>
      runTimes.byKind.set(kind, { meanMs, meanWorkMs, completions }),
    );
};
