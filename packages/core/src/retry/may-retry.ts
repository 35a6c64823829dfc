/** Whether a failed attempt may be made again. */
import type { Verdict } from '../verdict/verdict.js';

/** What the decision depends on. */
export type RetryQuestion = {
  readonly isRepeatable: boolean;
  /** The verdict of the attempt that failed. */
  readonly verdict: Verdict;
  readonly attemptsMade: number;
  readonly remainingMs: number;
  /** The time that one attempt is expected to take. */
  readonly expectedAttemptMs: number;
};

/** No request is tried more often than this. */
export const MAX_ATTEMPTS = 3;

/**
 * Decides whether another attempt is allowed; the retry budget is asked separately.
 *
 * @param question - The request and its failed attempt; times in milliseconds.
 * @returns True if another attempt can neither repeat an effect nor outlast the deadline.
 */
export const mayRetry = ({
  isRepeatable,
  verdict,
  attemptsMade,
  remainingMs,
  expectedAttemptMs,
}: RetryQuestion): boolean => {
  if (attemptsMade >= MAX_ATTEMPTS) return false;
  if (remainingMs <= expectedAttemptMs) return false;
  return verdict === 'notRun' || isRepeatable;
};
