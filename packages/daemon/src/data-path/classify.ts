/** From the end of an attempt to its verdict. */
import {
  verdictOfAttempt,
  type AttemptOutcome,
  type RefusalReason,
  type Verdict,
} from '@valvelatch/core';

import { endpointHeader, type AttemptResult, type WholeAnswer } from './attempt.js';
import { callerHeader } from './headers.js';

const FIRST_SERVER_ERROR = 500;

/** What an attempt means for the request. */
export type Classified =
  | { readonly kind: 'good'; readonly answer: WholeAnswer }
  | {
      readonly kind: 'bad';
      readonly verdict: Verdict;
      readonly outcome: AttemptOutcome;
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly answer: WholeAnswer | null;
    };

const reasonOfFailure: Record<Extract<AttemptResult, { kind: 'failed' }>['reason'], RefusalReason> =
  {
    'not-sent': 'seat-missing',
    unreachable: 'endpoint-unreachable',
    incomplete: 'answer-incomplete',
    'not-its-own': 'answer-incomplete',
    'too-large': 'answer-too-large',
    timeout: 'deadline-passed',
  };

const saysNotRun = ({ headers }: WholeAnswer): boolean => headers[endpointHeader.notRun] === 'true';

/** Another entry says itself whether the request ran; its refusals are not the endpoint's answers. */
const classifyRemote = (answer: WholeAnswer): Classified => {
  const told = answer.headers[callerHeader.verdict];
  if (told === 'ran') return { kind: 'good', answer };
  return {
    kind: 'bad',
    verdict: told === 'notRun' ? 'notRun' : 'mayHaveRun',
    outcome: 'refused',
    reason: (answer.headers[callerHeader.reason] as RefusalReason | undefined) ?? 'endpoint-failed',
    detail: `another entry answered ${answer.status}`,
    answer: null,
  };
};

/**
 * Says what an attempt means for the request.
 *
 * @param result - How the attempt ended.
 * @param isRemote - Whether it went to another entry.
 * @returns A good answer, or the verdict, the reason and what counts against the endpoint.
 */
export const classify = (result: AttemptResult, isRemote: boolean): Classified => {
  if (result.kind === 'failed') {
    return {
      kind: 'bad',
      verdict: verdictOfAttempt({ kind: result.evidence }),
      outcome: 'failed',
      reason: reasonOfFailure[result.reason],
      detail: result.detail,
      answer: null,
    };
  }
  const { answer } = result;
  if (isRemote) return classifyRemote(answer);
  if (answer.status < FIRST_SERVER_ERROR) return { kind: 'good', answer };
  if (saysNotRun(answer)) {
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
