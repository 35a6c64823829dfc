/**
 * What client accounts have running, against what they may. The ledger changes with each run, so that a start
 * costs no search; what an earlier holder may have begun and nobody has reported yet is counted on top.
 */
import type { AccountName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { AccountLimits, JobOwner } from '../model/accounts.js';
import { noUsage, RESOURCES, type Usage } from '../model/capacity.js';
import type { EndpointState } from '../model/endpoint-state.js';
import type { StepSpec } from '../model/job.js';
import type { BatchState, JobState, StepRun } from '../model/state.js';

/**
 * Names the account of a step's job.
 *
 * @param step - The step.
 * @returns The account; undefined for a job of none.
 */
export const accountOf = ({ job }: Pick<StepRun, 'job'>): AccountName | undefined =>
  job.job.owner?.account;

/**
 * Takes what the configuration says of accounts. One that it does not name any more keeps the maximum that it had:
 * its jobs in hand go on under it.
 *
 * @param state - All that is known, changed in place.
 * @param accounts - The accounts of the newest configuration.
 */
export const takeAccounts = (
  state: BatchState,
  accounts: ReadonlyMap<AccountName, AccountLimits>,
): void => {
  if (state.accounts === accounts) return;
  state.accounts.forEach((limits, name) => state.formerAccounts.set(name, limits));
  change(state, { accounts });
};

/**
 * Takes the maximum that stands in a job's row, for an account that the configuration has lost.
 *
 * @param state - All that is known, changed in place.
 * @param owner - The job's owner.
 */
export const takeOwner = (state: BatchState, { account, maximum }: JobOwner): void => {
  if (state.formerAccounts.has(account)) return;
  state.formerAccounts.set(account, { maximum, weight: 0 });
};

/**
 * Gives what an account may have.
 *
 * @param state - All that is known.
 * @param account - The account.
 * @returns By the configuration, or as it was before the configuration lost it; undefined if nothing is known.
 */
export const limitsOf = (state: BatchState, account: AccountName): AccountLimits | undefined =>
  state.accounts.get(account) ?? state.formerAccounts.get(account);

/**
 * Counts a run of a step, or that it is over.
 *
 * @param state - All that is known, changed in place.
 * @param step - The step.
 * @param sign - 1 for a run that begins or is found, -1 for one that has surely ended.
 */
export const chargeRun = (state: BatchState, step: StepRun, sign: 1 | -1): void => {
  const account = accountOf(step);
  if (account === undefined) return;
  const usage = state.usage.get(account) ?? noUsage();
  state.usage.set(account, usage);
  RESOURCES.forEach((resource) => {
    usage[resource] += sign * step.spec[resource];
  });
};

/**
 * Counts what an endpoint lists beside the runs that are known there, until it is gone or lists anew: it was ordered
 * to stop them.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 * @param strays - The steps of what it lists.
 */
export const chargeStrays = (
  state: BatchState,
  endpoint: EndpointState,
  strays: readonly StepRun[],
): void => {
  endpoint.strays.forEach((step) => chargeRun(state, step, -1));
  strays.forEach((step) => chargeRun(state, step, 1));
  change(endpoint, { strays });
};

const isWithin = (taken: number, need: number, most: number, count: number): boolean =>
  most === 0 ||
  taken + count * need <= most ||
  // A task wider than half its maximum would wait for ever beside any other of its account.
  (count === 1 && 2 * taken < most);

/**
 * Tells whether tasks of a step may begin under the maximum of their account. An account that has less than half of
 * its maximum running may always begin one more task; beyond that it stays within the maximum.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @param count - How many begin together.
 * @returns False while what the account has running, or may have, leaves no room.
 */
export const isWithinQuota = (state: BatchState, step: StepRun, count = 1): boolean => {
  const account = accountOf(step);
  const maximum = account === undefined ? undefined : limitsOf(state, account)?.maximum;
  if (account === undefined || !maximum) return true;
  const usage = state.usage.get(account);
  const unreported = state.unreportedUsage.get(account);
  return RESOURCES.every((resource) => {
    const taken = (usage?.[resource] ?? 0) + (unreported?.[resource] ?? 0);
    return isWithin(taken, step.spec[resource], maximum[resource], count);
  });
};

/**
 * Tells what of a job can never begin under a maximum, before it is accepted.
 *
 * @param steps - Its steps.
 * @param owner - Its owner; undefined for a job of no account.
 * @returns The fault, for people, or undefined.
 */
export const findQuotaFault = (
  steps: readonly StepSpec[],
  owner: JobOwner | undefined,
): string | undefined => {
  if (!owner) return undefined;
  const { account, maximum } = owner;
  const faults = steps.flatMap((step, number) => {
    const together = step.isGang ? step.taskCount : 1;
    const over = RESOURCES.find(
      (resource) => maximum[resource] > 0 && step[resource] * together > maximum[resource],
    );
    if (over === undefined) return [];
    const what = step.isGang ? `the ${together} tasks of gang` : 'a task of';
    const need = step[over] * together;
    return [
      `${what} step ${number} needs ${need} ${over}, account=${account} may have ${maximum[over]}`,
    ];
  });
  return faults[0];
};

const mayBeUnreported = (job: JobState): readonly StepRun[] =>
  Array.from(job.occurrences.values()).flatMap(({ steps }) => steps);

/** What waits here of inherited jobs and may run where nobody has answered, by account. */
const inheritedWork = (
  state: BatchState,
): Map<AccountName, { readonly all: Usage; readonly fills: Usage }> => {
  const work = new Map<AccountName, { readonly all: Usage; readonly fills: Usage }>();
  state.jobs.forEach((job) => {
    const account = job.job.owner?.account;
    if (account === undefined || !job.isInherited) return;
    const sums = work.get(account) ?? { all: noUsage(), fills: noUsage() };
    work.set(account, sums);
    mayBeUnreported(job).forEach(({ spec, waiting }) =>
      RESOURCES.forEach((resource) => {
        sums.all[resource] += waiting.length * spec[resource];
        if (spec.fillsGaps) sums.fills[resource] += waiting.length * spec[resource];
      }),
    );
  });
  return work;
};

/** The room of the endpoints that have not answered; one that nothing is known of counts as the largest. */
const unreportedRoom = (state: BatchState): Usage => {
  const room = noUsage();
  const largest = noUsage();
  state.endpoints.forEach(({ capacity }) =>
    RESOURCES.forEach((resource) => {
      largest[resource] = Math.max(largest[resource], capacity[resource]);
    }),
  );
  state.pools.forEach(({ notReported }) =>
    notReported.forEach((instanceId) => {
      const capacity = state.lives.get(instanceId)?.capacity ?? largest;
      RESOURCES.forEach((resource) => {
        room[resource] += capacity[resource];
      });
    }),
  );
  return room;
};

const isAnyAwaited = (state: BatchState): boolean =>
  state.isHostListAwaited ||
  Array.from(state.pools.values()).some(({ notReported }) => notReported.size > 0);

/** Whether an earlier holder may still have runs that nobody has told of. */
const mayRunUnreported = (state: BatchState, nowMs: number): boolean =>
  isAnyAwaited(state) && (nowMs < state.inheritedLeasesEndAtMs || nowMs >= state.soleHolderUntilMs);

/** How often what may run unreported is reckoned anew; between two times it only shrinks. */
const RECKON_EVERY_MS = 100;

/**
 * Reckons what accounts may have running that an earlier holder began and no endpoint has told of: the waiting work
 * of inherited jobs, and not more than fits on the endpoints that have not answered.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time.
 */
export const reckonUnreported = (state: BatchState, nowMs: number): void => {
  if (!mayRunUnreported(state, nowMs)) {
    if (state.unreportedUsage.size > 0) change(state, { unreportedUsage: new Map() });
    return;
  }
  if (nowMs - state.unreportedAtMs < RECKON_EVERY_MS) return;
  const room = unreportedRoom(state);
  const isRoomKnown = !state.isHostListAwaited;
  const unreportedUsage = new Map<AccountName, Usage>();
  inheritedWork(state).forEach(({ all, fills }, account) => {
    const usage = noUsage();
    RESOURCES.forEach((resource) => {
      // What fills gaps takes no processors of the room.
      const bound = isRoomKnown ? room[resource] + fills[resource] : Infinity;
      usage[resource] = Math.min(all[resource], bound);
    });
    unreportedUsage.set(account, usage);
  });
  change(state, { unreportedUsage, unreportedAtMs: nowMs });
};
