/** What operators are told of client accounts: what they have running, may have and wait for. */
import {
  isRankedWithinShare,
  isFinal,
  isWithinQuota,
  limitsOf,
  createZeroUsage,
  type AdmissionControl,
  type BatchState,
  type Capacity,
  type JobState,
  type StepRun,
} from '@valvelatch/core/batch';
import type { AccountName } from '@valvelatch/core/shared/ids';

const MILLIS = 1000;
/** A list for people. */
const MOST_ACCOUNTS = 1000;

const roomText = ({ cpuMillis, memoryMb, accelerators }: Capacity): string => {
  const parts = [`${cpuMillis / MILLIS} cores`, `${memoryMb} MB`];
  return (accelerators > 0 ? [...parts, `${accelerators} accelerators`] : parts).join(', ');
};

const limitText = ({ cpuMillis, memoryMb, accelerators }: Capacity): string => {
  const parts = [
    cpuMillis > 0 ? `${cpuMillis / MILLIS} cores` : '',
    memoryMb > 0 ? `${memoryMb} MB` : '',
    accelerators > 0 ? `${accelerators} accelerators` : '',
  ].filter((part) => part !== '');
  return parts.length > 0 ? parts.join(', ') : 'no limit';
};

const openSteps = ({ occurrences }: JobState): readonly StepRun[] =>
  Array.from(occurrences.values())
    .flatMap(({ steps }) => steps)
    .filter(({ isOpen, waiting }) => isOpen && waiting.length > 0);

/**
 * Tells what the waiting tasks of an open step wait for.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @param nowMs - The time.
 * @returns `quota`, `share` or `room`, with the account's figures.
 */
export const waitsFor = (state: BatchState, step: StepRun, nowMs: number): string => {
  const account = step.job.job.owner?.account;
  if (account === undefined) return 'room';
  const limits = limitsOf(state, account);
  const count = step.spec.isGang ? step.spec.taskCount : 1;
  if (limits && !isWithinQuota(state, step, count)) {
    const running = roomText(state.usage.get(account) ?? createZeroUsage());
    return `quota: account=${account} has ${running} running and may have ${limitText(limits.maximum)}`;
  }
  if (isRankedWithinShare(step.job, nowMs)) return 'room';
  return `share: account=${account} handed in more than its ${limits?.weight ?? 0} jobs a second, others go first`;
};

type Backlog = { jobs: number; quota: number; share: number; room: number };

const backlogs = (state: BatchState, nowMs: number): ReadonlyMap<AccountName, Backlog> => {
  const found = new Map<AccountName, Backlog>();
  state.jobs.forEach((job) => {
    const account = job.job.owner?.account;
    if (account === undefined || isFinal(job.phase)) return;
    const backlog = found.get(account) ?? { jobs: 0, quota: 0, share: 0, room: 0 };
    found.set(account, backlog);
    backlog.jobs += 1;
    openSteps(job).forEach((step) => {
      const [what] = waitsFor(state, step, nowMs).split(':') as ['quota' | 'share' | 'room'];
      backlog[what] += step.waiting.length;
    });
  });
  return found;
};

/** What the list of accounts is made from. */
export type AccountsView = {
  readonly state: BatchState;
  readonly admission: Pick<AdmissionControl, 'countsByAccount'>;
};

/**
 * Lists the client accounts of the configuration, and those that it has lost with jobs in hand.
 *
 * @param view - All that is known, and which jobs were refused.
 * @param nowMs - The time.
 * @returns One row an account.
 */
export const accountRows = (
  { state, admission }: AccountsView,
  nowMs: number,
): readonly object[] => {
  const waiting = backlogs(state, nowMs);
  const lost = Array.from(waiting.keys()).filter((name) => !state.accounts.has(name));
  return [...Array.from(state.accounts.keys()), ...lost].slice(0, MOST_ACCOUNTS).map((name) => {
    const { jobs, quota, share, room } = waiting.get(name) ?? {
      jobs: 0,
      quota: 0,
      share: 0,
      room: 0,
    };
    const limits = limitsOf(state, name);
    return {
      account: name,
      weight: limits?.weight ?? 0,
      jobs,
      running: roomText(state.usage.get(name) ?? createZeroUsage()),
      maximum: limitText(limits?.maximum ?? createZeroUsage()),
      refused: admission.countsByAccount.get(name)?.refused ?? 0,
      late: admission.countsByAccount.get(name)?.late ?? 0,
      waitingTasks: quota + share + room,
      reason: `${quota} wait for quota, ${share} for share, ${room} for room${state.accounts.has(name) ? '' : '; not in the configuration any more'}`,
    };
  });
};
