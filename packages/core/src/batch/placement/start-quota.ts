/**
 * Whether the quota of its account still allows an order to start a run. It is asked when the order is sent, because the
 * quota may have fallen since the run was placed.
 */
import type { EndpointId } from '../../shared/ids.js';
import { accountOf, isWithinQuota } from '../accounts/quota.js';
import { withdrawRun } from '../endpoints/runs.js';
import { isStartInTransit, type RunKey } from '../endpoints/unanswered-starts.js';
import { createZeroUsage, RESOURCES, type Capacity } from '../model/capacity.js';
import type { BatchState, EndpointState, RunState } from '../model/state.js';

/** A run with the endpoint that is to start it. */
type PlacedRun = { readonly endpoint: EndpointState; readonly run: RunState };

const placedRunsOn = (endpoint: EndpointState): readonly PlacedRun[] =>
  Array.from(endpoint.runs.values(), (run) => ({ endpoint, run }));

const findRun = (
  state: BatchState,
  endpointId: EndpointId,
  { task, run: number }: RunKey,
): PlacedRun | undefined => {
  const endpoint = state.endpoints.get(endpointId);
  const run = endpoint?.runs.get(task);
  return endpoint && run?.run === number ? { endpoint, run } : undefined;
};

/** Lists the runs that start together with a run: all of its gang, else the run itself. */
const listStartedTogether = (state: BatchState, placed: PlacedRun): readonly PlacedRun[] => {
  const { step, run: number } = placed.run;
  if (!step.spec.isGang) return [placed];
  return Array.from(step.perEndpoint.keys())
    .flatMap((endpointId) => state.endpoints.get(endpointId) ?? [])
    .flatMap(placedRunsOn)
    .filter(({ run }) => run.step === step && run.run === number);
};

/** Tells whether an endpoint certainly was not ordered to start a run. */
const isUnsent = (state: BatchState, { endpoint, run }: PlacedRun, nowMs: number): boolean => {
  if (run.phase === 'announced') return true;
  const key: RunKey = { task: run.task.key, run: run.run };
  return run.phase === 'starting' && !isStartInTransit(state, endpoint.endpointId, key, nowMs);
};

/** When the order to start a run was decided; infinite while the start is only announced. */
const decidedAtMs = ({ run: { phase, startedAtMs } }: PlacedRun): number =>
  phase === 'announced' ? Infinity : startedAtMs;

/**
 * Tells whether the start of a run was decided after that of another one. Of two that were decided at the same time, the
 * task decides.
 */
const isYounger = (one: PlacedRun, other: PlacedRun): boolean =>
  decidedAtMs(one) === decidedAtMs(other)
    ? one.run.task.key > other.run.task.key
    : decidedAtMs(one) > decidedAtMs(other);

const sumNeeds = (placed: readonly PlacedRun[]): Capacity => {
  const sum = createZeroUsage();
  placed.forEach(({ run: { step } }) =>
    RESOURCES.forEach((resource) => {
      sum[resource] += step.spec[resource];
    }),
  );
  return sum;
};

/** Lists the account's other runs whose start was decided later and certainly was not ordered. */
const listYoungerUnsent = (
  state: BatchState,
  placed: PlacedRun,
  nowMs: number,
): readonly PlacedRun[] => {
  const account = accountOf(placed.run.step);
  return Array.from(state.endpoints.values())
    .flatMap(placedRunsOn)
    .filter((one) => accountOf(one.run.step) === account && isYounger(one, placed))
    .filter((one) => listStartedTogether(state, one).every((each) => isUnsent(state, each, nowMs)));
};

/**
 * Tells whether the quota of its account allows an order to start a run, the first one or a repeat. What may have been
 * ordered counts as used. Of runs that were not ordered yet, only those count whose start was decided earlier, so that two
 * never keep each other from starting. A gang of which one task was ordered goes on, since its tasks run together or not
 * at all.
 *
 * @param state - The batch state.
 * @param endpointId - The endpoint that is to start the run.
 * @param key - The run.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns False if the account would use too much; true for a run that is not known.
 */
export const isStartWithinQuota = (
  state: BatchState,
  endpointId: EndpointId,
  key: RunKey,
  nowMs: number,
): boolean => {
  const placed = findRun(state, endpointId, key);
  if (!placed) return true;
  const { step } = placed.run;
  if (isWithinQuota(state, step, 1, step.spec)) return true;
  const together = listStartedTogether(state, placed);
  if (step.spec.isGang && !together.every((one) => isUnsent(state, one, nowMs))) return true;
  const younger = listYoungerUnsent(state, placed, nowMs).filter(
    ({ run }) => !together.some((one) => one.run === run),
  );
  return isWithinQuota(state, step, together.length, sumNeeds([...together, ...younger]));
};

/**
 * Withdraws a run that certainly was not ordered, and with it all of its gang. Their tasks wait again.
 *
 * @param state - The batch state, changed in place.
 * @param endpointId - The endpoint that was to start the run.
 * @param key - The run.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const withdrawStart = (
  state: BatchState,
  endpointId: EndpointId,
  key: RunKey,
  nowMs: number,
): void => {
  const placed = findRun(state, endpointId, key);
  if (!placed) return;
  listStartedTogether(state, placed).forEach(({ endpoint, run }) =>
    withdrawRun(state, endpoint, run, nowMs),
  );
};
