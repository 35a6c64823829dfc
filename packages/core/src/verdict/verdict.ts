/**
 * Verdicts: the response to every refused or failed request says whether the request may have run.
 *
 * `notRun` is a guarantee. It is given only if no byte of the request was sent to an endpoint, or
 * if the endpoint itself reported that it did not run the request.
 */
import type { RequestId } from '../shared/ids.js';

/** Whether a request may have taken effect. */
export type Verdict = 'notRun' | 'mayHaveRun' | 'ran';

/** Why a request was refused or failed. */
export type RefusalReason =
  | 'malformed-request'
  | 'unknown-service'
  | 'no-configuration'
  | 'no-endpoint'
  | 'overloaded'
  | 'caller-over-share'
  | 'deadline-too-short'
  | 'deadline-passed'
  | 'key-required'
  | 'already-running'
  | 'already-ran'
  | 'claim-unavailable'
  | 'claim-unknown'
  | 'endpoint-refused'
  | 'endpoint-unreachable'
  | 'endpoint-failed'
  | 'answer-incomplete'
  | 'answer-too-large'
  | 'entry-stopping'
  | 'seat-missing'
  | 'unknown-queue'
  | 'unknown-job'
  | 'unknown-key'
  | 'configuration-doubtful'
  | 'job-id-taken'
  | 'job-cancelled'
  | 'beyond-quota'
  | 'store-unavailable'
  | 'outcome-unknown';

/** A refusal or failure as it is sent to the caller. */
export type Refusal = {
  readonly verdict: Verdict;
  readonly reason: RefusalReason;
  /** A human-readable explanation in one sentence. */
  readonly detail: string;
  /** After how many whole seconds the caller should retry. */
  readonly retryAfterS: number;
  readonly requestId: RequestId;
};

const statusByReason: Record<RefusalReason, number> = {
  'malformed-request': 400,
  'unknown-service': 404,
  'no-configuration': 503,
  'no-endpoint': 503,
  overloaded: 503,
  'caller-over-share': 429,
  'deadline-too-short': 503,
  'deadline-passed': 504,
  'key-required': 400,
  'already-running': 409,
  'already-ran': 409,
  'claim-unavailable': 503,
  'claim-unknown': 409,
  'endpoint-refused': 503,
  'endpoint-unreachable': 503,
  'endpoint-failed': 502,
  'answer-incomplete': 502,
  'answer-too-large': 502,
  'entry-stopping': 503,
  'seat-missing': 503,
  'unknown-queue': 404,
  'unknown-job': 410,
  'unknown-key': 401,
  'configuration-doubtful': 503,
  'job-id-taken': 400,
  'job-cancelled': 410,
  'beyond-quota': 429,
  'store-unavailable': 503,
  'outcome-unknown': 504,
};

/**
 * Returns the HTTP status of a refusal.
 *
 * @param reason - The reason of the refusal.
 * @returns The status code.
 */
export const httpStatusOfRefusal = (reason: RefusalReason): number => statusByReason[reason];

/** What an attempt at an endpoint shows about whether the request ran. */
export type AttemptEvidence =
  | { readonly kind: 'nothing-sent' }
  | { readonly kind: 'endpoint-said-not-run' }
  | { readonly kind: 'bytes-may-have-left' }
  | { readonly kind: 'answer-began' };

const verdictByEvidence: Record<AttemptEvidence['kind'], Verdict> = {
  'nothing-sent': 'notRun',
  'endpoint-said-not-run': 'notRun',
  'bytes-may-have-left': 'mayHaveRun',
  'answer-began': 'ran',
};

/**
 * Derives the verdict of one attempt.
 *
 * @param evidence - What was observed of the attempt.
 * @returns The verdict that the evidence supports.
 */
export const deriveVerdict = (evidence: AttemptEvidence): Verdict =>
  verdictByEvidence[evidence.kind];

/** The higher the number, the stronger the evidence that the request ran. */
const runEvidence: Record<Verdict, number> = { notRun: 0, mayHaveRun: 1, ran: 2 };

/**
 * Combines the verdicts of several attempts at one request.
 *
 * @param verdicts - The verdict of each attempt.
 * @returns `notRun` only if every attempt was `notRun`; otherwise the verdict with the strongest
 * evidence that the request ran.
 */
export const combineVerdicts = (verdicts: readonly Verdict[]): Verdict =>
  verdicts.reduce<Verdict>(
    (strongest, next) => (runEvidence[next] > runEvidence[strongest] ? next : strongest),
    'notRun',
  );
