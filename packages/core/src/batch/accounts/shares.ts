/**
 * The shares of client accounts. The weight of an account is its guaranteed rate in jobs a second: jobs up to this rate
 * are within the account's share. While capacity is scarce, jobs beyond their account's share wait behind the jobs of
 * all accounts that are within it; they get the capacity that those jobs leave unused.
 */
import type { AccountName } from '../../shared/ids.js';
import { WITHIN_SHARE, type AccountShare, type JobShare } from '../model/share.js';
import { limitsOf } from './quota.js';
import type { BatchState, JobState } from '../model/state.js';

/**
 * A job beyond its account's share waits behind the jobs within a share for at most this long, so that it is never
 * starved.
 */
const MAX_DEFERRAL_MS = 20_000;
/** Burst allowance: an idle account saves up at most this many seconds of its rate, or one job if that is more. */
const BURST_ALLOWANCE_S = 1;
const MS_PER_S = 1000;

/** The weight of a job's account; 0 for a job without an account. */
const weightOf = (state: BatchState, account: AccountName | undefined): number =>
  account === undefined ? 0 : (limitsOf(state, account)?.weight ?? 0);

const createShare = (weight: number): AccountShare => ({
  jobsLeft: weight * BURST_ALLOWANCE_S,
  updatedAtMs: -Infinity,
  virtualFinish: 0,
});

const shareOf = (state: BatchState, account: AccountName, weight: number): AccountShare => {
  const known = state.shares.get(account);
  if (known) return known;
  const created = createShare(weight);
  state.shares.set(account, created);
  return created;
};

/** The rank of the next job of an account, and the share of the account after it; the share itself is not changed. */
const nextShare = (
  share: AccountShare,
  weight: number,
  nowMs: number,
): { readonly job: JobShare; readonly after: AccountShare } => {
  const elapsedS = Math.max(0, nowMs - share.updatedAtMs) / MS_PER_S;
  const maxJobs = Math.max(1, weight * BURST_ALLOWANCE_S);
  const jobsLeft = Math.min(maxJobs, share.jobsLeft + elapsedS * weight);
  const isWithinShare = jobsLeft >= 1;
  const virtualStart = Math.max(share.virtualFinish, nowMs / MS_PER_S);
  return {
    job: { isWithinShare, virtualStart },
    after: {
      jobsLeft: isWithinShare ? jobsLeft - 1 : jobsLeft,
      updatedAtMs: nowMs,
      virtualFinish: virtualStart + 1 / weight,
    },
  };
};

/**
 * Returns the rank that a job of an account would get if it was accepted now.
 *
 * @param state - The state.
 * @param account - The account of the job; undefined for a job without an account.
 * @param nowMs - The current time by the monotonic clock.
 * @returns Its rank; a job without an account, or of an account without a weight, counts as within the share.
 */
export const previewShare = (
  state: BatchState,
  account: AccountName | undefined,
  nowMs: number,
): JobShare => {
  const weight = weightOf(state, account);
  if (account === undefined || weight === 0) return WITHIN_SHARE;
  return nextShare(state.shares.get(account) ?? createShare(weight), weight, nowMs).job;
};

/**
 * Deducts an accepted job from the share of its account.
 *
 * @param state - The state, changed in place.
 * @param account - The account of the job; undefined for a job without an account.
 * @param nowMs - The current time by the monotonic clock.
 * @returns The rank of the job; a job without an account, or of an account without a weight, counts as within the
 *   share.
 */
export const chargeShare = (
  state: BatchState,
  account: AccountName | undefined,
  nowMs: number,
): JobShare => {
  const weight = weightOf(state, account);
  if (account === undefined || weight === 0) return WITHIN_SHARE;
  const share = shareOf(state, account, weight);
  const { job, after } = nextShare(share, weight, nowMs);
  Object.assign(share, after);
  return job;
};

/**
 * Tells whether a job is ordered among the jobs within their account's share.
 *
 * @param job - The job.
 * @param nowMs - The current time by the monotonic clock.
 * @returns True for a job within its account's share, and for any other job that has waited longer than
 *   `MAX_DEFERRAL_MS`.
 */
export const isRankedWithinShare = ({ share, submittedAtMs }: JobState, nowMs: number): boolean =>
  share.isWithinShare || nowMs - submittedAtMs > MAX_DEFERRAL_MS;
