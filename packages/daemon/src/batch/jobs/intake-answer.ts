/** The answers to clients' requests, and what is found of a job before one is given. */
import { maySee, type Caller, type JobStatus } from '@valvelatch/core/batch';
import {
  httpStatusOfRefusal,
  type RefusalReason,
  type Verdict,
} from '@valvelatch/core/verdict/verdict';
import type { JobId } from '@valvelatch/core/shared/ids';

/** The share of the client's deadline during which a write without an answer is retried. */
export const RETRY_SHARE = 0.8;
/** How long a client waits for an answer if it does not say so, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 3000;
/** Retry-After, in seconds, for refusals whose cause is not an outage. */
const RETRY_AFTER_S = 2;

/** The answer to a client's request. */
export type IntakeAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'status'; readonly status: JobStatus }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'waiting'; readonly count: number }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly verdict: Verdict;
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterS: number;
    };

/** The status of a job as it was found; undefined if neither the holder nor the table answers. */
export type FoundStatus = JobStatus | 'unknown-job' | undefined;

/**
 * Builds a refusal.
 *
 * @param verdict - Whether the request may have had an effect.
 * @param reason - The reason, from which the HTTP status follows.
 * @param detail - One human-readable sentence.
 * @param retryAfterS - After how many whole seconds the client is to retry.
 * @returns The answer.
 */
export const createRefusal = (
  verdict: Verdict,
  reason: RefusalReason,
  detail: string,
  retryAfterS: number = RETRY_AFTER_S,
): IntakeAnswer => ({
  kind: 'refused',
  status: httpStatusOfRefusal(reason),
  verdict,
  reason,
  detail,
  retryAfterS,
});

/**
 * Refuses a request about a job that does not exist, or that the caller may not see.
 *
 * @param jobId - The job.
 * @returns The answer.
 */
export const refuseUnknownJob = (jobId: JobId): IntakeAnswer =>
  createRefusal('notRun', 'unknown-job', `no job named ${jobId} was accepted`);

/**
 * Tells whether a job belongs to another account than the caller's.
 *
 * @param found - What was found of the job.
 * @param caller - Who asks.
 * @returns True if the job exists and the caller may not see it.
 */
export const isHiddenFrom = (found: FoundStatus, caller: Caller): boolean =>
  found !== undefined && found !== 'unknown-job' && !maySee(found.account, caller);
