/**
 * One scheduling pass over a pool: places waiting tasks on endpoints. Unless a placement policy says otherwise, a task goes
 * to the fullest endpoint that fits, so that other endpoints stay empty.
 */
import type { EndpointId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { lazy } from '../../shared/lazy.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { NO_ISOLATED_ENDPOINTS, waitingSuspects } from '../crashes/isolation.js';
import {
  isFirstStartOfInheritedTask,
  mayHaveLostEndpoints,
} from '../crashes/losses-before-takeover.js';
import { areCrashRecordsWritten } from '../crashes/trials.js';
import { canHoldTask, schedulableEndpoints } from '../endpoints/schedulable-endpoints.js';
import {
  poolOf,
  type BatchState,
  type EndpointState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { admittedEndpoints, requestAdvice } from './advice.js';
import { awaitsReports, startableTasks } from './inherited-tasks.js';
import { listSuspectSteps, placeIsolated } from './place-suspects.js';
import { hasQuotaForNextStart, placeTasks } from './place-tasks.js';
import type { PoolPass } from './pool-pass.js';
import { listRankedSteps } from './ranking.js';
import { orderAnnouncedStarts, type StartContext } from './starts.js';

/** Bounds the work of a scheduling pass: this many steps may be tried that cannot be placed completely. */
const MAX_UNPLACED_STEPS_PER_PASS = 40;
/**
 * A step that could not be placed completely is tried on all endpoints again after this time. Before that it is tried
 * only on endpoints where capacity has become free since.
 */
const RETRY_MS = 25;

/** Requests advice on the endpoints that have capacity for a task of a step. */
const requestAdviceWithCapacity = (
  { state, step, nowMs }: StartContext,
  endpoints: readonly EndpointState[],
): void => {
  if (step.advice === null) return;
  const withCapacity = endpoints.filter((endpoint) => canHoldTask(endpoint, step));
  requestAdvice(state, step, withCapacity, nowMs);
};

/**
 * Places the tasks of a step that may share an endpoint with other jobs. Returns true if no task is left over for lack
 * of capacity or quota.
 */
const placeUnsuspected = (
  context: StartContext,
  endpoints: readonly EndpointState[],
  suspects: readonly Task[],
  mayHaveCrashed: () => boolean,
): boolean => {
  const { state, step, nowMs } = context;
  const { isGang } = step.spec;
  if (isGang && suspects.length > 0) return true;
  const pool = poolOf(state, step.job.job.pool);
  const mustAnnounce = (task: Task | undefined): boolean =>
    isFirstStartOfInheritedTask(step, task) && mayHaveCrashed();
  const mayAnnounce = areCrashRecordsWritten(step.job);
  const suspected = new Set(suspects.map(({ index }) => index));
  const startable = startableTasks(state, pool, step, nowMs);
  const waiting =
    suspected.size === 0 ? startable : startable.filter((index) => !suspected.has(index));
  const tasks = mayAnnounce
    ? waiting
    : waiting.filter((index) => !mustAnnounce(step.tasks.recordAt(index)));
  const isGangIncomplete = isGang && tasks.length < waiting.length;
  return isGangIncomplete || placeTasks({ ...context, mustAnnounce }, endpoints, tasks);
};

/**
 * Lists the endpoints on which a step is tried: all of them, or, for a short time after it could not be placed
 * completely, those where capacity has become free since. If the step were not tried on these, steps behind it in the
 * order would take that capacity.
 */
const endpointsToTry = (
  { retryAtMs, triedAtRevision, spec }: StepRun,
  { endpoints, nowMs }: PoolPass,
  newestRevision: number,
): readonly EndpointState[] => {
  if (retryAtMs <= nowMs) return endpoints;
  if (spec.isGang || triedAtRevision >= newestRevision) return [];
  return endpoints.filter(({ freeCapacityRevision }) => freeCapacityRevision > triedAtRevision);
};

/**
 * Leaves out the endpoints that are reclaimed for jobs within their account's share, unless the step's own job counts as
 * one of these.
 */
const withoutReclaimed = (
  step: StepRun,
  { state, nowMs }: PoolPass,
  endpoints: readonly EndpointState[],
) =>
  state.reclaimedEndpoints.size === 0 || isRankedWithinShare(step.job, nowMs)
    ? endpoints
    : endpoints.filter(({ endpointId }) => !state.reclaimedEndpoints.has(endpointId));

/** Whether the tasks of a step were placed as far as quota allows, could not be tried now, or found no capacity. */
type PlacementOutcome = 'placed' | 'not-tried' | 'unplaced';

/** Places the tasks of one step that may share an endpoint with other jobs. */
const placeStep = (pass: PoolPass, step: StepRun, newestRevision: number): PlacementOutcome => {
  const { state, endpoints, nowMs } = pass;
  const places = endpointsToTry(step, pass, newestRevision);
  if (places.length === 0) return 'not-tried';
  // A step that waits for its account's quota must not count as one that could not be placed.
  if (!hasQuotaForNextStart(state, step)) return 'not-tried';
  const context: StartContext = { state, step, nowMs };
  const admitted = withoutReclaimed(step, pass, admittedEndpoints(step, places, nowMs));
  const isPlaced = placeUnsuspected(
    context,
    admitted,
    waitingSuspects(state, step),
    pass.mayHaveCrashed,
  );
  if (isPlaced) return 'placed';
  const isTriedOnAll = places === endpoints;
  if (isTriedOnAll) requestAdviceWithCapacity(context, endpoints);
  change(step, {
    triedAtRevision: state.freeCapacityRevision,
    retryAtMs: isTriedOnAll ? nowMs + RETRY_MS : step.retryAtMs,
  });
  return 'unplaced';
};

/**
 * Places the tasks that may share an endpoint with other jobs. Half of the steps that a pass may try without success are
 * the first in order; the others are those that were tried least recently, so that none is starved by the steps before
 * it.
 */
const placeShared = (pass: PoolPass, steps: readonly StepRun[]): void => {
  const { state, endpoints } = pass;
  const newestRevision = Math.max(
    ...endpoints.map(({ freeCapacityRevision }) => freeCapacityRevision),
  );
  /** Returns the steps that were not reached. */
  const placeInOrder = (ordered: readonly StepRun[]): readonly StepRun[] => {
    let unplacedSteps = 0;
    const last = ordered.findIndex((step) => {
      if (state.startsLeft <= 0) return true;
      if (placeStep(pass, step, newestRevision) === 'unplaced') unplacedSteps += 1;
      return unplacedSteps >= MAX_UNPLACED_STEPS_PER_PASS / 2;
    });
    return last < 0 ? [] : ordered.slice(last + 1);
  };
  const others = placeInOrder(steps);
  placeInOrder([...others].sort((left, right) => left.retryAtMs - right.retryAtMs));
};

/**
 * Orders the announced starts of one pool that have been written, and places its waiting tasks.
 *
 * @param state - The batch state, changed in place.
 * @param name - The pool's name.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const schedulePool = (state: BatchState, name: PoolName, nowMs: number): void => {
  const pool = poolOf(state, name);
  orderAnnouncedStarts(state, pool, nowMs);
  if (pool.openSteps.size === 0) return;
  const endpoints = schedulableEndpoints(state, name, nowMs);
  if (endpoints.length === 0) return;
  const hasSuspects = state.suspectJobs.size > 0;
  const pass: PoolPass = {
    state,
    endpoints,
    mayHaveCrashed: lazy(() => mayHaveLostEndpoints(state, pool, endpoints)),
    nowMs,
  };
  const mayBegin = (step: StepRun): boolean =>
    !awaitsReports(state, pool, step, nowMs) || startableTasks(state, pool, step, nowMs).length > 0;
  const isolated = hasSuspects
    ? placeIsolated(pass, listSuspectSteps(pass, pool, Array.from(pool.openSteps).filter(mayBegin)))
    : NO_ISOLATED_ENDPOINTS;
  const shared =
    isolated.size === 0
      ? endpoints
      : endpoints.filter(({ endpointId }) => !isolated.has(endpointId));
  if (shared.length === 0) return;
  placeShared({ ...pass, endpoints: shared }, listRankedSteps(state, pool, nowMs, mayBegin));
};

/**
 * Lists the endpoints that were ordered to run a task, for tests and for operators.
 *
 * @param state - The batch state.
 * @param task - The task.
 * @returns The ids of the endpoints.
 */
export const endpointsOf = (state: BatchState, { key }: Task): readonly EndpointId[] =>
  Array.from(state.endpoints.values())
    .filter(({ runs }) => (runs.get(key)?.phase ?? 'announced') !== 'announced')
    .map(({ endpointId }) => endpointId);
