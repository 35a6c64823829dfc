/** Decides whether a failed request may be retried. */
import type { Verdict } from '../verdict/verdict.js';

/** The state of a request whose last attempt failed. */
export type RetryState = {
  /** Whether running the request more than once is harmless. */
  readonly isRepeatable: boolean;
  /** The verdict of the attempt that failed. */
  readonly verdict: Verdict;
  readonly attemptsMade: number;
  /**
   * The number of endpoints that accepted the request and closed the connection without an answer.
   */
  readonly brokenOffEndpoints: number;
  /** The time left until the deadline. */
  readonly remainingMs: number;
  /** The time that one attempt is expected to take. */
  readonly expectedAttemptMs: number;
};

/** The maximum number of attempts at one request. */
export const MAX_ATTEMPTS = 3;
/**
 * A request is not retried once this many endpoints have closed the connection without an answer, so
 * that a request that crashes each endpoint that accepts it crashes at most this many.
 */
export const MAX_BROKEN_OFF_ENDPOINTS = 2;

/**
 * Checks whether another attempt is allowed. The retry budget is checked separately.
 *
 * @param question - The request and its failed attempt; times in milliseconds.
 * @returns True if another attempt is within the limits, cannot repeat a harmful effect and is
 * expected to end before the deadline.
 */
export const canRetry = ({
  isRepeatable,
  verdict,
  attemptsMade,
  brokenOffEndpoints,
  remainingMs,
  expectedAttemptMs,
}: RetryState): boolean => {
  if (attemptsMade >= MAX_ATTEMPTS || brokenOffEndpoints >= MAX_BROKEN_OFF_ENDPOINTS) return false;
  if (remainingMs <= expectedAttemptMs) return false;
  return verdict === 'notRun' || isRepeatable;
};
