/** The state of a request in flight: what has been attempted for it, and the outcome that follows from failed attempts. */
import {
  combineVerdicts,
  type EndpointId,
  type RefusalReason,
  type Verdict,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import type { CompleteResponse } from './attempt.js';
import type { AttemptClassification } from './classify-attempt.js';
import type { CallerRequest, RequestOutcome, ServeContext } from './request-types.js';

/** `retry-after` of refusals without a reason of their own to wait longer, in seconds. */
const DEFAULT_RETRY_AFTER_S = 1;

/** The state of one request in flight. */
export type RequestState = {
  readonly context: ServeContext;
  readonly request: CallerRequest;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** A description of each failed attempt. */
  readonly tried: string[];
  readonly verdicts: Verdict[];
  readonly triedEndpoints: EndpointId[];
  /** Number of attempts that may have run and ended without a response of the endpoint. */
  attemptsWithoutResponse: number;
  /** The last complete error response of an endpoint, or null if there was none. */
  lastError: CompleteResponse | null;
};

/** A refusal before it is bound to its request; `retryAfterS` is in seconds. */
export type RefusalOptions = {
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly verdict?: Verdict;
  readonly retryAfterS?: number;
};

/**
 * Refuses a request.
 *
 * @param requestState - The request and the descriptions of its failed attempts.
 * @param options - The reason; by default the request has not run and may be sent again after a second.
 * @returns The refusal.
 */
export const refuse = (
  requestState: Pick<RequestState, 'request' | 'tried'>,
  { reason, detail, verdict = 'notRun', retryAfterS = DEFAULT_RETRY_AFTER_S }: RefusalOptions,
): RequestOutcome => ({
  kind: 'refusal',
  refusal: { reason, detail, verdict, retryAfterS, requestId: requestState.request.requestId },
  tried: requestState.tried,
});

/**
 * Computes the time until the deadline of a request.
 *
 * @param requestState - The request.
 * @returns The time in milliseconds; not positive once the deadline has passed.
 */
export const remainingMs = ({ context, deadlineMs }: RequestState): number =>
  deadlineMs - context.nowMs();

/**
 * Records a failed attempt.
 *
 * @param requestState - The request, changed in place.
 * @param receiver - The endpoint or entry that got the attempt, for the description.
 * @param failure - The failure.
 */
export const recordFailure = (
  requestState: RequestState,
  receiver: string,
  { reason, verdict, detail, answer }: Extract<AttemptClassification, { kind: 'bad' }>,
): void => {
  const { tried, verdicts, attemptsWithoutResponse, lastError } = requestState;
  tried.push(`${receiver}: ${reason} (${verdict}): ${detail}`);
  verdicts.push(verdict);
  const hasEndedWithoutResponse = verdict !== 'notRun' && reason === 'endpoint-unreachable';
  change(requestState, {
    attemptsWithoutResponse: attemptsWithoutResponse + (hasEndedWithoutResponse ? 1 : 0),
    lastError: answer ?? lastError,
  });
};

/**
 * Ends a request whose attempts have all failed.
 *
 * @param requestState - The request.
 * @param options - The reason for a refusal; its verdict follows from the attempts.
 * @returns The endpoint's last error response if the request has run, otherwise a refusal.
 */
export const endWithoutSuccess = (
  requestState: RequestState,
  options: RefusalOptions,
): RequestOutcome => {
  const verdict = combineVerdicts(requestState.verdicts);
  // The endpoint's own error response is more informative than a refusal of this entry.
  if (requestState.lastError && verdict === 'ran')
    return { kind: 'answer', answer: requestState.lastError };
  return refuse(requestState, { ...options, verdict });
};
