/** The claim of a request's idempotency key: made before the first attempt, and settled with the outcome. */
import type { ClaimOutcome, HeldClaim } from './claim-store.js';
import { remainingMs, type RequestState } from './request-state.js';
import type { RequestOutcome } from './request-types.js';

/**
 * Claims the key of a request, and waits for the claim until the request's deadline. A claim made later is released.
 *
 * @param requestState - The request.
 * @param key - Its idempotency key.
 * @returns The claim, the stored response of an earlier request with the key, or a refusal.
 */
export const claimInTime = async (
  requestState: RequestState,
  key: string,
): Promise<ClaimOutcome> => {
  const { context, request } = requestState;
  const pending = context.claims.claim({ ...request, key });
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<'late'>((resolve) => {
    timer = setTimeout(() => resolve('late'), Math.max(1, remainingMs(requestState)));
  });
  const winner = await Promise.race([pending, timeout]);
  clearTimeout(timer);
  if (winner !== 'late') return winner;
  void pending.then((outcome) => (outcome.kind === 'claimed' ? outcome.claim.release() : null));
  return {
    kind: 'refused',
    verdict: 'notRun',
    reason: 'claim-unavailable',
    detail: 'the claim could not be written before the deadline',
  };
};

const writeClaimOutcome = (claim: HeldClaim, outcome: RequestOutcome): Promise<void> => {
  if (outcome.kind === 'answer') return claim.complete(outcome.answer);
  if (outcome.kind === 'refusal' && outcome.refusal.verdict === 'notRun') return claim.release();
  return Promise.resolve();
};

/**
 * Writes the outcome of a request to its claim, without waiting for the write.
 *
 * @param claim - The claim.
 * @param outcome - The outcome.
 */
export const settleClaim = (claim: HeldClaim, outcome: RequestOutcome): void => {
  // If the outcome cannot be written, the claim stays, and a resend is told that the request may
  // have run.
  writeClaimOutcome(claim, outcome).catch(() => undefined);
};
