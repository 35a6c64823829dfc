/**
 * Shares of client accounts: each is owed as many jobs a second as its weight. What it hands in beyond that waits
 * behind what others are owed while room is short, and gets what nobody else wants.
 */
import type { AccountName } from '../../shared/ids.js';
import { OWED, type AccountShare, type JobShare } from '../model/share.js';
import { limitsOf } from './quota.js';
import type { BatchState, JobState } from '../model/state.js';

/** A job that its account is not owed waits behind others for no longer than this. */
const LONGEST_BEHIND_MS = 20_000;
/** An account that was quiet may hand in the jobs of so long at once. */
const SAVED_S = 1;
const MS_PER_S = 1000;

const newShare = (weight: number): AccountShare => ({
  jobsLeft: weight * SAVED_S,
  settledAtMs: -Infinity,
  virtualEnd: 0,
});

const shareOf = (state: BatchState, account: AccountName, weight: number): AccountShare => {
  const known = state.shares.get(account);
  if (known) return known;
  const built = newShare(weight);
  state.shares.set(account, built);
  return built;
};

/** Where the next job of an account would stand, and what the account would then be owed. */
const nextShare = (
  share: AccountShare,
  weight: number,
  nowMs: number,
): { readonly job: JobShare; readonly after: AccountShare } => {
  const passedS = Math.max(0, nowMs - share.settledAtMs) / MS_PER_S;
  const most = Math.max(1, weight * SAVED_S);
  const jobsLeft = Math.min(most, share.jobsLeft + passedS * weight);
  const isOwed = jobsLeft >= 1;
  const virtualStart = Math.max(share.virtualEnd, nowMs / MS_PER_S);
  return {
    job: { isOwed, virtualStart },
    after: {
      jobsLeft: isOwed ? jobsLeft - 1 : jobsLeft,
      settledAtMs: nowMs,
      virtualEnd: virtualStart + 1 / weight,
    },
  };
};

/**
 * Tells where a job of an account would stand if it came now.
 *
 * @param state - All that is known.
 * @param account - The job's account; undefined for a job of none.
 * @param nowMs - The time.
 * @returns Where the job would stand.
 */
export const peekShare = (
  state: BatchState,
  account: AccountName | undefined,
  nowMs: number,
): JobShare => {
  const weight = account === undefined ? 0 : (limitsOf(state, account)?.weight ?? 0);
  if (account === undefined || weight === 0) return OWED;
  return nextShare(state.shares.get(account) ?? newShare(weight), weight, nowMs).job;
};

/**
 * Takes a new job into the account of what its client account is owed.
 *
 * @param state - All that is known, changed in place.
 * @param account - The job's account; undefined for a job of none.
 * @param nowMs - The time.
 * @returns Where the job stands.
 */
export const takeShare = (
  state: BatchState,
  account: AccountName | undefined,
  nowMs: number,
): JobShare => {
  const weight = account === undefined ? 0 : (limitsOf(state, account)?.weight ?? 0);
  if (account === undefined || weight === 0) return OWED;
  const share = shareOf(state, account, weight);
  const { job, after } = nextShare(share, weight, nowMs);
  Object.assign(share, after);
  return job;
};

/**
 * Tells whether a job goes with those that accounts are owed.
 *
 * @param job - The job.
 * @param nowMs - The time.
 * @returns True also for one beyond its account's share that has waited for long.
 */
export const goesWithOwed = ({ share, sinceMs }: JobState, nowMs: number): boolean =>
  share.isOwed || nowMs - sinceMs > LONGEST_BEHIND_MS;
