/** Counts the accepted jobs of each queue of which no task has started. */
import { isFinal, type BatchState } from '../model/state.js';

/**
 * Counts the live jobs of which no task is known to have started.
 *
 * @param state - The state.
 * @returns The count by queue; queues without such a job are left out.
 */
export const countWaitingJobs = (state: BatchState): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  state.jobs.forEach(({ job, hasStarted, phase }) => {
    if (hasStarted || isFinal(phase)) return;
    counts.set(job.queue, (counts.get(job.queue) ?? 0) + 1);
  });
  state.deferredJobs.forEach(({ queue, hasStarted }) => {
    if (!hasStarted) counts.set(queue, (counts.get(queue) ?? 0) + 1);
  });
  return counts;
};
