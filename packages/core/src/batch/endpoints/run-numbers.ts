/** Numbers of runs, which rise from one control holder to the next without being stored. */

/**
 * A run number consists of the fence and a counter within that fence, so that the numbers increase from one holder to
 * the next without being stored. A task is expected to be started no more often than this under one fence.
 */
const RUNS_PER_FENCE = 1000;

/**
 * Returns the number below which all runs were started by earlier holders.
 *
 * @param fence - The holder's fence.
 * @returns The number.
 */
export const firstRunNumber = (fence: number): number => fence * RUNS_PER_FENCE;

/**
 * Returns the next run number of a task.
 *
 * @param fence - The holder's fence.
 * @param lastRun - The highest number used so far.
 * @returns The number.
 */
export const nextRunNumber = (fence: number, lastRun: number): number =>
  Math.max(firstRunNumber(fence), lastRun) + 1;

/**
 * Returns the fence of the holder that started a run.
 *
 * @param run - The run's number.
 * @returns The fence.
 */
export const fenceOf = (run: number): number => Math.floor(run / RUNS_PER_FENCE);
