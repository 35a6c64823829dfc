/** The operators' views of client accounts: what they have running, their limits, and what their tasks wait for. */
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

const MILLIS_PER_CORE = 1000;
/** Maximum number of accounts in the list, which is read by people. */
const MAX_ROWS = 1000;

const formatCapacity = ({ cpuMillis, memoryMb, accelerators }: Capacity): string => {
  const parts = [`${cpuMillis / MILLIS_PER_CORE} cores`, `${memoryMb} MB`];
  return (accelerators > 0 ? [...parts, `${accelerators} accelerators`] : parts).join(', ');
};

/** Formats a limit, in which 0 stands for no limit on the resource. */
const formatLimit = ({ cpuMillis, memoryMb, accelerators }: Capacity): string => {
  const parts = [
    cpuMillis > 0 ? `${cpuMillis / MILLIS_PER_CORE} cores` : '',
    memoryMb > 0 ? `${memoryMb} MB` : '',
    accelerators > 0 ? `${accelerators} accelerators` : '',
  ].filter((part) => part !== '');
  return parts.length > 0 ? parts.join(', ') : 'no limit';
};

/** Lists the open steps of a job that have waiting tasks. */
const listWaitingSteps = ({ occurrences }: JobState): readonly StepRun[] =>
  Array.from(occurrences.values())
    .flatMap(({ steps }) => steps)
    .filter(({ isOpen, waiting }) => isOpen && waiting.length > 0);

/**
 * Describes what the waiting tasks of an open step wait for.
 *
 * @param state - The scheduler's state.
 * @param step - The step.
 * @param nowMs - The current time by the monotonic clock.
 * @returns A text that begins with `quota`, `share` or `room`: the account's quota is used up, jobs within their account's
 * share go first, or there is not enough free capacity. `quota` and `share` are followed by ':' and the account's figures.
 */
export const describeWaitCause = (state: BatchState, step: StepRun, nowMs: number): string => {
  const account = step.job.job.owner?.account;
  if (account === undefined) return 'room';
  const limits = limitsOf(state, account);
  const count = step.spec.isGang ? step.spec.taskCount : 1;
  if (limits && !isWithinQuota(state, step, count)) {
    const running = formatCapacity(state.usage.get(account) ?? createZeroUsage());
    return `quota: account=${account} has ${running} running and may have ${formatLimit(limits.maximum)}`;
  }
  if (isRankedWithinShare(step.job, nowMs)) return 'room';
  return `share: account=${account} submitted more than its ${limits?.weight ?? 0} jobs per second, other jobs go first`;
};

/** The number of an account's unfinished jobs, and of their waiting tasks by what they wait for. */
type Backlog = { jobs: number; quota: number; share: number; room: number };

const computeBacklogs = (state: BatchState, nowMs: number): ReadonlyMap<AccountName, Backlog> => {
  const backlogByAccount = new Map<AccountName, Backlog>();
  state.jobs.forEach((job) => {
    const account = job.job.owner?.account;
    if (account === undefined || isFinal(job.phase)) return;
    const backlog = backlogByAccount.get(account) ?? { jobs: 0, quota: 0, share: 0, room: 0 };
    backlogByAccount.set(account, backlog);
    backlog.jobs += 1;
    listWaitingSteps(job).forEach((step) => {
      const [cause] = describeWaitCause(state, step, nowMs).split(':') as [
        'quota' | 'share' | 'room',
      ];
      backlog[cause] += step.waiting.length;
    });
  });
  return backlogByAccount;
};

/** The data from which the list of accounts is built. */
export type AccountViewSource = {
  readonly state: BatchState;
  readonly admission: Pick<AdmissionControl, 'countsByAccount'>;
};

/**
 * Lists the client accounts of the configuration, and those that were removed from it but still have unfinished jobs.
 *
 * @param view - The scheduler's state, and the counts of refused and late jobs by account.
 * @param nowMs - The current time by the monotonic clock.
 * @returns One row for each account.
 */
export const listAccountRows = (
  { state, admission }: AccountViewSource,
  nowMs: number,
): readonly object[] => {
  const waitingByAccount = computeBacklogs(state, nowMs);
  const removedAccounts = Array.from(waitingByAccount.keys()).filter(
    (name) => !state.accounts.has(name),
  );
  return [...Array.from(state.accounts.keys()), ...removedAccounts]
    .slice(0, MAX_ROWS)
    .map((name) => {
      const { jobs, quota, share, room } = waitingByAccount.get(name) ?? {
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
        running: formatCapacity(state.usage.get(name) ?? createZeroUsage()),
        maximum: formatLimit(limits?.maximum ?? createZeroUsage()),
        refused: admission.countsByAccount.get(name)?.refused ?? 0,
        late: admission.countsByAccount.get(name)?.late ?? 0,
        waitingTasks: quota + share + room,
        reason: `${quota} wait for quota, ${share} for share, ${room} for room${state.accounts.has(name) ? '' : '; not in the configuration any more'}`,
      };
    });
};
