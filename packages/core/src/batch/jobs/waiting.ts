/** How many accepted jobs of each queue have no task begun. */
import { isFinal, type BatchState } from '../model/state.js';

/**
 * Counts the jobs that wait.
 *
 * @param state - All that is known.
 * @returns The count by queue; queues without one are left out.
 */
export const countWaiting = (state: BatchState): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  state.jobs.forEach(({ job, hasBegun, phase }) => {
    if (hasBegun || isFinal(phase)) return;
    counts.set(job.queue, (counts.get(job.queue) ?? 0) + 1);
  });
  return counts;
};
