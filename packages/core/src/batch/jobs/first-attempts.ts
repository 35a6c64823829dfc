/**
 * Remembers when clients first tried to submit jobs that were refused. The objective of a job counts from its first
 * attempt: after an outage the retried jobs are late already, and must not run before new jobs that can still meet
 * their objective.
 */
import type { JobId } from '../../shared/ids.js';
import type { BatchState } from '../model/state.js';

/** A refused job, with the time of its first attempt by the monotonic clock of the control holder. */
export type FirstAttempt = { readonly jobId: JobId; readonly atMs: number };

/** Several times the 1800 refusals of an outage of 6 s at 300 refusals a second. */
const MAX_ATTEMPTS = 10_000;

/**
 * Records first attempts of refused jobs. Of several attempts at one job the earliest counts.
 *
 * @param state - The state, changed in place; beyond the limit the entries recorded first are evicted.
 * @param attempts - The refused jobs.
 */
export const recordFirstAttempts = (
  { firstAttempts }: BatchState,
  attempts: readonly FirstAttempt[],
): void => {
  attempts.forEach(({ jobId, atMs }) =>
    firstAttempts.set(jobId, Math.min(atMs, firstAttempts.get(jobId) ?? Infinity)),
  );
  const excessCount = Math.max(0, firstAttempts.size - MAX_ATTEMPTS);
  Array.from(firstAttempts.keys())
    .slice(0, excessCount)
    .forEach((jobId) => firstAttempts.delete(jobId));
};

/**
 * Removes and returns the first attempt of a job, when the job is accepted.
 *
 * @param state - The state, changed in place.
 * @param jobId - The job.
 * @returns The time of the first attempt, by the monotonic clock; Infinity if no refusal is recorded.
 */
export const removeFirstAttempt = ({ firstAttempts }: BatchState, jobId: JobId): number => {
  const atMs = firstAttempts.get(jobId) ?? Infinity;
  firstAttempts.delete(jobId);
  return atMs;
};
