/**
 * At most once: a request that is not repeatable is claimed under its key before it is sent. The
 * row of the claim says who sent it and, later, what came of it.
 */
import type { EntryId } from '../shared/ids.js';
import type { RefusalReason, Verdict } from '../verdict/verdict.js';

/** An answer that is kept for a caller that asks again. */
export type KeptAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
};

export type ClaimRow = {
  readonly service: string;
  /** A hash of method, path and body, so that a key used for another request is noticed. */
  readonly fingerprint: string;
  readonly entryId: EntryId;
  /** Tells this claim from another under the same key: the request that made it. */
  readonly claimId: string;
  readonly state: 'claimed' | 'released' | 'done';
  readonly answer: KeptAnswer | null;
  readonly claimedAtMs: number;
};

/** What to do with a request whose claim row was read. */
export type ClaimDecision =
  | { readonly kind: 'claim' }
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | {
      readonly kind: 'refuse';
      readonly verdict: Verdict;
      readonly reason: RefusalReason;
      readonly detail: string;
    };

type Decide = (row: ClaimRow) => ClaimDecision;

const decideByState: Record<ClaimRow['state'], Decide> = {
  // It was claimed and surely not run: whoever asks again may have it.
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
 * Decides about a request from the claim under its key.
 *
 * @param row - The claim, or null if there is none.
 * @param fingerprint - The fingerprint of the request at hand.
 * @returns Whether to claim and send, to give the kept answer, or to refuse.
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
  return decideByState[row.state](row);
};
