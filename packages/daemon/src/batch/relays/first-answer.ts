/** Makes one call over several routes and uses the first answer. */
import type { PlatformError } from '@valvelatch/platform';
import { Err, type Result } from 'ts-results-es';

export type CallResult = Result<unknown, PlatformError>;

/**
 * Tells whether the platform answered a call.
 *
 * @param result - The result of the call.
 * @returns True for a success and for an answer that rejects the call permanently (`rejected`).
 */
export const isAnswered = (result: CallResult): boolean =>
  result.isOk() || result.error.kind === 'rejected';

/**
 * Combines the results of two attempts at one call. An answer in the second result takes precedence. Two failures are
 * `unknown` if either call may have been carried out, else `unreachable`.
 */
const combineFailures = (first: CallResult, second: CallResult): CallResult => {
  if (isAnswered(second) || first.isOk() || second.isOk()) return second;
  const isUnknown = first.error.kind === 'unknown' || second.error.kind === 'unknown';
  return Err({
    kind: isUnknown ? 'unknown' : 'unreachable',
    detail: `${first.error.detail}; ${second.error.detail}`,
  });
};

/**
 * Attempts one call over several routes and returns the first answer. The next attempt starts when the
 * latest one has failed or has gone unanswered for `staggerMs`; earlier attempts keep running.
 *
 * @param attempts - The attempts in the order in which to start them; the call must be safe to make more than once.
 * @param staggerMs - How long to wait for the latest attempt before the next one starts in parallel, in milliseconds.
 * @returns The first answer, or all failures combined if no attempt was answered.
 */
export const firstAnswer = (
  attempts: readonly (() => Promise<CallResult>)[],
  staggerMs: number,
): Promise<CallResult> =>
  new Promise((resolve) => {
    let startedCount = 0;
    let pending = 0;
    let isDone = false;
    let combinedFailure: CallResult | undefined;
    let timer: NodeJS.Timeout | undefined;

    const finish = (result: CallResult): void => {
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    };

    const startNext = (): void => {
      clearTimeout(timer);
      const call = attempts[startedCount];
      if (!call || isDone) return;
      startedCount += 1;
      pending += 1;
      timer = setTimeout(startNext, staggerMs);
      void call().then((result) => {
        pending -= 1;
        if (isDone) return;
        combinedFailure = combinedFailure ? combineFailures(combinedFailure, result) : result;
        if (isAnswered(result)) finish(result);
        else if (startedCount < attempts.length) startNext();
        else if (pending === 0) finish(combinedFailure);
      });
    };
    startNext();
  });
