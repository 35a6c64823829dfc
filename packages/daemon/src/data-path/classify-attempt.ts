/** Derives the verdict and the refusal reason from the result of an attempt. */
import {
  deriveVerdict,
  type AttemptOutcome,
  type RefusalReason,
  type Verdict,
} from '@valvelatch/core';

import { endpointHeader, type AttemptResult, type CompleteResponse } from './attempt.js';
import { callerHeader } from './headers.js';

const MIN_SERVER_ERROR_STATUS = 500;

/**
 * A classified attempt: a response for the caller, or a failure. `answer` of a failure is the
 * endpoint's own error response, or null if there is none.
 */
export type AttemptClassification =
  | { readonly kind: 'good'; readonly answer: CompleteResponse }
  | {
      readonly kind: 'bad';
      readonly verdict: Verdict;
      readonly outcome: AttemptOutcome;
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly answer: CompleteResponse | null;
    };

const refusalReasonByFailure: Record<
  Extract<AttemptResult, { kind: 'failed' }>['reason'],
  RefusalReason
> = {
  'not-sent': 'seat-missing',
  unreachable: 'endpoint-unreachable',
  incomplete: 'answer-incomplete',
  'not-its-own': 'answer-incomplete',
  'too-large': 'answer-too-large',
  timeout: 'deadline-passed',
};

const reportsNotRun = ({ headers }: CompleteResponse): boolean =>
  headers[endpointHeader.notRun] === 'true';

/**
 * Classifies the response of another entry. That entry states the verdict in a header, and its
 * refusals are not responses of an endpoint.
 */
const classifyEntryResponse = (answer: CompleteResponse): AttemptClassification => {
  const reportedVerdict = answer.headers[callerHeader.verdict];
  if (reportedVerdict === 'ran') return { kind: 'good', answer };
  return {
    kind: 'bad',
    verdict: reportedVerdict === 'notRun' ? 'notRun' : 'mayHaveRun',
    outcome: 'refused',
    reason: (answer.headers[callerHeader.reason] as RefusalReason | undefined) ?? 'endpoint-failed',
    detail: `another entry answered ${answer.status}`,
    answer: null,
  };
};

/**
 * Classifies the result of an attempt.
 *
 * @param result - The result of the attempt.
 * @param isRemote - Whether the request was sent to another entry instead of an endpoint.
 * @returns A response for the caller, or the verdict, the refusal reason and the outcome that is
 * recorded for the endpoint.
 */
export const classifyAttempt = (
  result: AttemptResult,
  isRemote: boolean,
): AttemptClassification => {
  if (result.kind === 'failed') {
    return {
      kind: 'bad',
      verdict: deriveVerdict({ kind: result.evidence }),
      outcome: 'failed',
      reason: refusalReasonByFailure[result.reason],
      detail: result.detail,
      answer: null,
    };
  }
  const { answer } = result;
  if (isRemote) return classifyEntryResponse(answer);
  if (answer.status < MIN_SERVER_ERROR_STATUS) return { kind: 'good', answer };
  if (reportsNotRun(answer)) {
    return {
      kind: 'bad',
      verdict: 'notRun',
      outcome: 'refused',
      reason: 'endpoint-refused',
      detail: `the endpoint answered ${answer.status} and that it did not run the request`,
      answer: null,
    };
  }
  return {
    kind: 'bad',
    verdict: 'ran',
    outcome: 'failed',
    reason: 'endpoint-failed',
    detail: `the endpoint answered ${answer.status}`,
    answer,
  };
};
