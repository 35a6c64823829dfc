/**
 * When clients first tried to hand in jobs that were refused then. Their time runs from the first attempt: after an
 * outage those that come back are late already, and must not go before new ones that can be in time.
 */
import type { JobId } from '../../shared/ids.js';
import type { BatchState } from '../model/state.js';

/** A job that was refused, with the time of its first attempt by the holder's monotonic clock. */
export type FirstAttempt = { readonly jobId: JobId; readonly atMs: number };

/** Of an outage of 6 s at 300 refusals a second, several times over. */
const MOST_ATTEMPTS = 10_000;

/**
 * Notes jobs that were refused.
 *
 * @param state - All that is known, changed in place; the oldest are forgotten where there are too many.
 * @param attempts - The jobs.
 */
export const noteFirstAttempts = (
  { firstAttempts }: BatchState,
  attempts: readonly FirstAttempt[],
): void => {
  attempts.forEach(({ jobId, atMs }) =>
    firstAttempts.set(jobId, Math.min(atMs, firstAttempts.get(jobId) ?? Infinity)),
  );
  const tooMany = Math.max(0, firstAttempts.size - MOST_ATTEMPTS);
  Array.from(firstAttempts.keys())
    .slice(0, tooMany)
    .forEach((jobId) => firstAttempts.delete(jobId));
};

/**
 * Takes what is known of a job's first attempt as it is accepted at last.
 *
 * @param state - All that is known, changed in place.
 * @param jobId - The job.
 * @returns When its client first tried; Infinity where it was not refused.
 */
export const takeFirstAttempt = ({ firstAttempts }: BatchState, jobId: JobId): number => {
  const atMs = firstAttempts.get(jobId) ?? Infinity;
  firstAttempts.delete(jobId);
  return atMs;
};
