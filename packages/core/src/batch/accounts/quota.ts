/**
 * Quotas of client accounts: the resources that an account's tasks use, compared with the account's maximum. Usage is
 * updated with each run, so that checking a start needs no search. Runs that an earlier control holder may have started
 * and that no endpoint has reported yet are counted on top.
 */
import type { AccountName, InstanceId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { AccountLimits, JobOwner } from '../model/accounts.js';
import { createZeroUsage, RESOURCES, type Capacity, type Usage } from '../model/capacity.js';
import type { StepSpec } from '../model/job.js';
import type { BatchState, JobState, StepRun } from '../model/state.js';

/**
 * Returns the account of a step's job.
 *
 * @param step - The step.
 * @returns The account; undefined for a job without an account.
 */
export const accountOf = ({ job }: Pick<StepRun, 'job'>): AccountName | undefined =>
  job.job.owner?.account;

/**
 * Sets the accounts of the newest configuration. An account that the configuration no longer names keeps its last
 * limits, because its accepted jobs continue under them.
 *
 * @param state - The state, changed in place.
 * @param accounts - The accounts of the newest configuration.
 */
export const setAccounts = (
  state: BatchState,
  accounts: ReadonlyMap<AccountName, AccountLimits>,
): void => {
  if (state.accounts === accounts) return;
  state.accounts.forEach((limits, name) => state.formerAccounts.set(name, limits));
  change(state, { accounts });
};

/**
 * Records the maximum stored in a job's row. It applies only if no configuration has named the account.
 *
 * @param state - The state, changed in place.
 * @param owner - The job's owner.
 */
export const recordOwnerLimits = (state: BatchState, { account, maximum }: JobOwner): void => {
  if (state.formerAccounts.has(account)) return;
  state.formerAccounts.set(account, { maximum, weight: 0 });
};

/**
 * Returns the limits of an account.
 *
 * @param state - The state.
 * @param account - The account.
 * @returns The limits of the newest configuration, or else the last known ones; undefined if none are known.
 */
export const limitsOf = (state: BatchState, account: AccountName): AccountLimits | undefined =>
  state.accounts.get(account) ?? state.formerAccounts.get(account);

/**
 * Adds a run of a step to the usage of its account, or subtracts it.
 *
 * @param state - The state, changed in place.
 * @param step - The step.
 * @param sign - 1 for a run that starts or is discovered, -1 for one that has ended with certainty.
 */
export const chargeRun = (state: BatchState, step: StepRun, sign: 1 | -1): void => {
  const account = accountOf(step);
  if (account === undefined) return;
  const usage = state.usage.get(account) ?? createZeroUsage();
  state.usage.set(account, usage);
  RESOURCES.forEach((resource) => {
    usage[resource] += sign * step.spec[resource];
  });
};

const NOTHING: Capacity = createZeroUsage();

const fitsMaximum = (used: number, need: number, maximum: number, count: number): boolean =>
  maximum === 0 ||
  used + count * need <= maximum ||
  // Without this exception a task that needs more than half of the maximum would wait forever while other tasks of its
  // account keep running.
  (count === 1 && 2 * used < maximum);

/**
 * Tells whether tasks of a step may start under the maximum of their account. An account that uses less than half of
 * its maximum may always start one more task, even if it then exceeds the maximum; otherwise it has to stay within the
 * maximum.
 *
 * @param state - The state.
 * @param step - The step.
 * @param count - How many tasks start together.
 * @param leftOut - The part of the account's usage that does not count.
 * @returns False while the known and the possible runs of the account leave too little of its maximum.
 */
export const isWithinQuota = (
  state: BatchState,
  step: StepRun,
  count = 1,
  leftOut: Capacity = NOTHING,
): boolean => {
  const account = accountOf(step);
  const maximum = account === undefined ? undefined : limitsOf(state, account)?.maximum;
  if (account === undefined || !maximum) return true;
  const usage = state.usage.get(account);
  const unreported = state.unreportedUsage.get(account);
  return RESOURCES.every((resource) => {
    const used = (usage?.[resource] ?? 0) + (unreported?.[resource] ?? 0) - leftOut[resource];
    return fitsMaximum(used, step.spec[resource], maximum[resource], count);
  });
};

/**
 * Checks before a job is accepted whether each of its steps can ever start under the maximum of the account.
 *
 * @param steps - The steps of the job.
 * @param owner - The owner of the job; undefined for a job without an account.
 * @returns A message about the first step that cannot start; undefined if there is none.
 */
export const findQuotaViolation = (
  steps: readonly StepSpec[],
  owner: JobOwner | undefined,
): string | undefined => {
  if (!owner) return undefined;
  const { account, maximum } = owner;
  const faults = steps.flatMap((step, number) => {
    const concurrentTasks = step.isGang ? step.taskCount : 1;
    const over = RESOURCES.find(
      (resource) => maximum[resource] > 0 && step[resource] * concurrentTasks > maximum[resource],
    );
    if (over === undefined) return [];
    const subject = step.isGang ? `the ${concurrentTasks} tasks of gang` : 'a task of';
    const need = step[over] * concurrentTasks;
    return [
      `${subject} step ${number} needs ${need} ${over}, account=${account} may have ${maximum[over]}`,
    ];
  });
  return faults[0];
};

const stepsOf = (job: JobState): readonly StepRun[] =>
  Array.from(job.occurrences.values()).flatMap(({ steps }) => steps);

/**
 * The needs of waiting tasks of inherited jobs, by account: an endpoint that has not reported yet may be running them.
 * `fills` is the part that runs on spare processors, see `StepSpec.fillsGaps`.
 */
const inheritedNeeds = (
  state: BatchState,
): Map<AccountName, { readonly all: Usage; readonly fills: Usage }> => {
  const work = new Map<AccountName, { readonly all: Usage; readonly fills: Usage }>();
  state.jobs.forEach((job) => {
    const account = job.job.owner?.account;
    if (account === undefined || !job.isInherited) return;
    const sums = work.get(account) ?? { all: createZeroUsage(), fills: createZeroUsage() };
    work.set(account, sums);
    stepsOf(job).forEach(({ spec, waiting }) =>
      RESOURCES.forEach((resource) => {
        sums.all[resource] += waiting.length * spec[resource];
        if (spec.fillsGaps) sums.fills[resource] += waiting.length * spec[resource];
      }),
    );
  });
  return work;
};

/**
 * The endpoints that may run tasks which no report shows. One that has only ended runs left to list does not count.
 */
const endpointsWithUnreportedRuns = ({
  pools,
  currentIncarnations,
}: BatchState): readonly InstanceId[] =>
  Array.from(pools.values())
    .flatMap(({ unreportedInstances }) => Array.from(unreportedInstances))
    .filter((instanceId) => currentIncarnations.get(instanceId)?.listing !== 'ends-missing');

/**
 * The total capacity of the endpoints that have not reported yet. An endpoint of unknown capacity counts with the
 * largest known amount of each resource.
 */
const unreportedCapacity = (state: BatchState): Usage => {
  const total = createZeroUsage();
  const largest = createZeroUsage();
  state.endpoints.forEach(({ capacity }) =>
    RESOURCES.forEach((resource) => {
      largest[resource] = Math.max(largest[resource], capacity[resource]);
    }),
  );
  endpointsWithUnreportedRuns(state).forEach((instanceId) => {
    const capacity = state.currentIncarnations.get(instanceId)?.capacity ?? largest;
    RESOURCES.forEach((resource) => {
      total[resource] += capacity[resource];
    });
  });
  return total;
};

const isAnyReportAwaited = (state: BatchState): boolean =>
  state.isHostListAwaited || endpointsWithUnreportedRuns(state).length > 0;

/** Whether runs started by an earlier control holder may still exist that no endpoint has reported. */
const mayRunUnreported = (state: BatchState, nowMs: number): boolean =>
  (nowMs < state.inheritedLeasesEndAtMs || nowMs >= state.soleHolderUntilMs) &&
  isAnyReportAwaited(state);

/** Interval between two estimates of the unreported usage. It only shrinks in between, so an old estimate is safe. */
const ESTIMATE_INTERVAL_MS = 100;

/**
 * Updates the estimate of the usage by runs that an earlier control holder started and no endpoint has reported yet:
 * the waiting tasks of inherited jobs, but no more than fits on the endpoints that have not reported. The limit by
 * capacity applies only once the host list is known.
 *
 * @param state - The state, changed in place.
 * @param nowMs - The current time by the monotonic clock.
 */
export const estimateUnreportedUsage = (state: BatchState, nowMs: number): void => {
  if (!mayRunUnreported(state, nowMs)) {
    if (state.unreportedUsage.size > 0) change(state, { unreportedUsage: new Map() });
    return;
  }
  if (nowMs - state.unreportedAtMs < ESTIMATE_INTERVAL_MS) return;
  const capacity = unreportedCapacity(state);
  const isCapacityKnown = !state.isHostListAwaited;
  const unreportedUsage = new Map<AccountName, Usage>();
  inheritedNeeds(state).forEach(({ all, fills }, account) => {
    const usage = createZeroUsage();
    RESOURCES.forEach((resource) => {
      // Steps that fill gaps reserve no processors, so they come on top of the capacity.
      const bound = isCapacityKnown ? capacity[resource] + fills[resource] : Infinity;
      usage[resource] = Math.min(all[resource], bound);
    });
    unreportedUsage.set(account, usage);
  });
  change(state, { unreportedUsage, unreportedAtMs: nowMs });
};
