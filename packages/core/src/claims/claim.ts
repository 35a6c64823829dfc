/**
 * At-most-once execution: a request that is not repeatable is claimed under its idempotency key
 * before it is sent. The row of the claim names the entry that sent it and, later, its outcome.
 */
import type { EntryId } from '../shared/ids.js';
import type { RefusalReason, Verdict } from '../verdict/verdict.js';

/** An answer that is stored, so that it can be returned if the caller repeats the request. */
export type StoredAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
};

export type ClaimRow = {
  readonly service: string;
  /** A hash of method, path and body, to detect that a key is reused for a different request. */
  readonly fingerprint: string;
  readonly entryId: EntryId;
  /** Identifies the request that made this claim, among all claims under the same key. */
  readonly claimId: string;
  /** `released` is a claim whose request has certainly not run. */
  readonly state: 'claimed' | 'released' | 'done';
  /** The stored answer; null if there is none. */
  readonly answer: StoredAnswer | null;
  readonly claimedAtMs: number;
};

/** What to do with a request after its claim row was read. */
export type ClaimDecision =
  | { readonly kind: 'claim' }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | {
      readonly kind: 'refuse';
      readonly verdict: Verdict;
      readonly reason: RefusalReason;
      readonly detail: string;
    };

type Decide = (row: ClaimRow) => ClaimDecision;

const decisionByState: Record<ClaimRow['state'], Decide> = {
  // The request was claimed but has certainly not run, so the key can be claimed again.
  released: () => ({ kind: 'claim' }),
  claimed: ({ entryId }) => ({
    kind: 'refuse',
    verdict: 'mayHaveRun',
    reason: 'already-running',
    detail: `the same key was sent through entry ${entryId} and has no known outcome yet`,
  }),
  done: ({ answer }) =>
    answer === null
      ? {
          kind: 'refuse',
          verdict: 'ran',
          reason: 'already-ran',
          detail: 'the request with this key has run; its answer is not kept',
        }
      : { kind: 'replay', answer },
};

/**
 * Decides what to do with a request, based on the claim under its key.
 *
 * @param row - The claim, or null if there is none.
 * @param fingerprint - The fingerprint of the request.
 * @returns Whether to claim the key and send the request, to return the stored answer, or to
 * refuse.
 */
export const decideClaim = (row: ClaimRow | null, fingerprint: string): ClaimDecision => {
  if (row === null) return { kind: 'claim' };
  if (row.fingerprint !== fingerprint) {
    return {
      kind: 'refuse',
      verdict: 'notRun',
      reason: 'malformed-request',
      detail: 'the key was used before for another request',
    };
  }
  return decisionByState[row.state](row);
};
