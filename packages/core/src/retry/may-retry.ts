/** Whether a failed attempt may be made again. */
import type { Verdict } from '../verdict/verdict.js';

/** What the decision depends on. */
export type RetryQuestion = {
  readonly isRepeatable: boolean;
  /** The verdict of the attempt that failed. */
  readonly verdict: Verdict;
  readonly attemptsMade: number;
  /** Endpoints that took the request and broke off without an answer. */
  readonly brokenOff: number;
  readonly remainingMs: number;
  /** The time that one attempt is expected to take. */
  readonly expectedAttemptMs: number;
};

/** No request is tried more often than this. */
export const MAX_ATTEMPTS = 3;
/** A request that brings down each endpoint that takes it goes to no more than this. */
export const MAX_BROKEN_OFF = 2;

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
  brokenOff,
  remainingMs,
  expectedAttemptMs,
}: RetryQuestion): boolean => {
  if (attemptsMade >= MAX_ATTEMPTS || brokenOff >= MAX_BROKEN_OFF) return false;
  if (remainingMs <= expectedAttemptMs) return false;
  return verdict === 'notRun' || isRepeatable;
};
