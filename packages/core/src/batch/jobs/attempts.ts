/** The attempts of tasks: which failed runs count, and whether a task has any attempt left. */
import type { QueuePolicy } from '../model/job.js';
import type { Task } from '../model/state.js';

/**
 * Reads the numbers of failed runs from a row. One that another writer left may hold what is no run number.
 *
 * @param stored - What the row holds.
 * @returns The run numbers in it.
 */
export const readFailedRuns = (stored: unknown): readonly number[] =>
  Array.isArray(stored) ? stored.filter((run): run is number => Number.isSafeInteger(run)) : [];

/**
 * Counts the failed runs of a task. A row that another writer left may name a run twice, or hold what is no run number.
 *
 * @param task - The task.
 * @returns The number of distinct runs that are known to have ended as failed.
 */
export const countFailedRuns = ({ failedRuns }: Pick<Task, 'failedRuns'>): number =>
  new Set(Array.from(failedRuns).filter(Number.isSafeInteger)).size;

/** True for a number of attempts that a queue can have; anything else in a row tells no limit. */
const isLimit = (maxAttempts: unknown): boolean =>
  typeof maxAttempts === 'number' && maxAttempts >= 1;

/**
 * Tells whether a task has failed as often as its queue allows. A task that is done needs no attempt: ends of its other
 * runs may be heard after that.
 *
 * @param task - The task.
 * @param policy - The policy of its job's queue.
 * @returns True if it is not done and may not be started again; false while the limit cannot be read.
 */
export const hasNoAttemptLeft = (
  task: Pick<Task, 'failedRuns' | 'phase'>,
  { maxAttempts }: Pick<QueuePolicy, 'maxAttempts'>,
): boolean => task.phase !== 'done' && isLimit(maxAttempts) && countFailedRuns(task) >= maxAttempts;
