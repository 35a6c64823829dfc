/**
 * Places waiting tasks on endpoints. Unless a placement policy says otherwise, a task goes to the fullest endpoint that
 * fits, so that other endpoints stay empty.
 */
import type { EndpointId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { lazy } from '../../shared/lazy.js';
import { admittedEndpoints, requestAdvice } from './advice.js';
import { failJobIfCrashing } from '../jobs/crashing-jobs.js';
import { sortByRank, listRankedSteps } from './ranking.js';
import {
  isFirstStartOfInheritedTask,
  mayHaveLostEndpoints,
} from '../crashes/losses-before-takeover.js';
import { areCrashRecordsWritten, countLostTrials } from '../crashes/trials.js';
import { awaitsReports, startableTasks } from './inherited-tasks.js';
import {
  announceStarts,
  orderAnnouncedStarts,
  startRun,
  type Start,
  type StartContext,
} from './starts.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { isWithinQuota } from '../accounts/quota.js';
import { findGangPlaces } from './gang-places.js';
import { createCandidates } from './candidates.js';
import { scoresFor } from './scores.js';
import { canHoldTask, schedulableEndpoints } from '../endpoints/schedulable-endpoints.js';
import { nextRunNumber } from '../endpoints/runs.js';
import {
  countStartable,
  NO_ISOLATED_ENDPOINTS,
  planIsolation,
  findIsolatedEndpoints,
  waitingSuspects,
  type IsolationRequest,
  type IsolatedEndpoints,
} from '../crashes/isolation.js';
import {
  isFinal,
  poolOf,
  type BatchState,
  type EndpointState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';

/** Bounds the work of a scheduling pass: this many steps may be tried that cannot be placed completely. */
const MAX_UNPLACED_STEPS_PER_PASS = 40;
/**
 * A step that could not be placed completely is tried on all endpoints again after this time. Before that it is tried
 * only on endpoints where capacity has become free since.
 */
const RETRY_MS = 25;

/** The step that is being placed, and which of its starts must be announced. */
type PlacingStep = StartContext & { readonly mustAnnounce: (task: Task) => boolean };

/** Places tasks one by one; false if one of them found no endpoint or exceeds its account's quota. */
const placeEach = (
  placing: PlacingStep,
  endpoints: readonly EndpointState[],
  tasks: readonly Task[],
): boolean => {
  const { state, step } = placing;
  const table = scoresFor(state, endpoints, step);
  const candidates = createCandidates(endpoints, placing, table);
  return tasks.every((task) => {
    if (state.startsLeft <= 0) return true;
    if (!isWithinQuota(state, step)) return false;
    const endpoint = candidates.choose(task);
    if (!endpoint) return false;
    const run = nextRunNumber(state.fence, task.lastRun);
    const start: Start = { task, endpoint, run, reason: table.name };
    if (placing.mustAnnounce(task)) announceStarts(placing, [start]);
    else startRun(placing, start);
    candidates.recordPlacement(endpoint);
    return true;
  });
};

/** Places all tasks of a gang or none; false if they do not fit or exceed their account's quota. */
const placeGang = (placing: PlacingStep, endpoints: readonly EndpointState[]): boolean => {
  const { state, step } = placing;
  // When one task of a gang is lost, the others are stopped as well: wait until all of them have ended.
  if (step.waiting.length < step.spec.taskCount) return true;
  if (!isWithinQuota(state, step, step.spec.taskCount)) return false;
  const places = findGangPlaces(step, endpoints);
  if (!places) return false;
  const lastRun = Math.max(...step.tasks.map((task) => task.lastRun));
  const run = nextRunNumber(state.fence, lastRun);
  const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
  step.tasks.forEach((task) => change(task, { checkpoint }));
  const starts = step.tasks.map((task, index): Start => {
    const endpoint = places[index] as EndpointState;
    return { task, endpoint, run, reason: 'all of its gang' };
  });
  if (step.tasks.some(placing.mustAnnounce)) announceStarts(placing, starts);
  else starts.forEach((start) => startRun(placing, start));
  return true;
};

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
  const mustAnnounce = (task: Task): boolean =>
    isFirstStartOfInheritedTask(step, task) && mayHaveCrashed();
  const mayAnnounce = areCrashRecordsWritten(step.job);
  const waiting = startableTasks(state, pool, step, nowMs).filter(
    (task) => !suspects.includes(task),
  );
  const tasks = mayAnnounce ? waiting : waiting.filter((task) => !mustAnnounce(task));
  const placing: PlacingStep = { ...context, mustAnnounce };
  if (isGang) return tasks.length < waiting.length || placeGang(placing, endpoints);
  return placeEach(placing, endpoints, tasks);
};

/**
 * Places the tasks of a step that must run isolated, because endpoints have crashed under them. Their starts are
 * announced. Returns true if no task is left over for lack of capacity or quota.
 */
const placeSuspects = (
  context: StartContext,
  endpoints: readonly EndpointState[],
  suspects: readonly Task[],
): boolean => {
  if (endpoints.length === 0) return false;
  const placing: PlacingStep = { ...context, mustAnnounce: () => true };
  return context.step.spec.isGang
    ? placeGang(placing, endpoints)
    : placeEach(placing, endpoints, suspects);
};

/**
 * Requests advice for tasks that must run isolated. It is requested on every endpoint that could have capacity once
 * other runs have ended, because the endpoint is emptied for them.
 */
const requestAdviceForSuspects = (
  { state, step, nowMs }: StartContext,
  endpoints: readonly EndpointState[],
): void => {
  if (step.advice === null) return;
  const couldHold = endpoints.filter((endpoint) => countStartable(endpoint, step) > 0);
  requestAdvice(state, step, couldHold, nowMs);
};

/** The context of one scheduling pass over a pool. */
type PoolPass = {
  readonly state: BatchState;
  /** The schedulable endpoints of the pool; for tasks that may share an endpoint, without the isolated ones. */
  readonly endpoints: readonly EndpointState[];
  /** Tells whether an endpoint of the pool may have crashed shortly before this holder took over. */
  readonly mayHaveCrashed: () => boolean;
  readonly nowMs: number;
};

/**
 * Places the tasks that must run isolated, before all others, because an endpoint that is isolated for such a task is
 * idle until the task starts. Returns the isolated endpoints. They stay isolated whether or not their step is tried in
 * this pass; otherwise other tasks would fill them between two tries.
 */
const placeIsolated = (
  { state, endpoints, nowMs }: PoolPass,
  steps: readonly StepRun[],
): IsolatedEndpoints => {
  const requests = steps
    .filter((step) => waitingSuspects(state, step).length > 0)
    // A step that waits for its account's quota must not keep isolated endpoints from others.
    .filter((step) => isWithinQuota(state, step, step.spec.isGang ? step.spec.taskCount : 1))
    .map((step): IsolationRequest => ({
      step,
      eligible: admittedEndpoints(step, endpoints, nowMs),
    }));
  const isolated = planIsolation(state, requests, endpoints, nowMs);
  requests.forEach((request) => {
    if (state.startsLeft <= 0) return;
    const { step } = request;
    const context: StartContext = { state, step, nowMs };
    const places = findIsolatedEndpoints(isolated, request, nowMs);
    const isPlaced = placeSuspects(context, places, waitingSuspects(state, step));
    if (!isPlaced) requestAdviceForSuspects(context, endpoints);
  });
  return isolated;
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
  if (!isWithinQuota(state, step, step.spec.isGang ? step.spec.taskCount : 1)) return 'not-tried';
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
 * Lists the steps of jobs suspected of crashing endpoints, in order. Before that, each start that an earlier holder
 * announced and no endpoint has reported is counted as a crash of its task, which may end the job.
 */
const liveSuspects = (
  { state, nowMs }: PoolPass,
  pool: PoolState,
  steps: readonly StepRun[],
): readonly StepRun[] => {
  const suspects = steps.filter(({ job }) => state.suspectJobs.has(job));
  suspects
    .filter((step) => !awaitsReports(state, pool, step, nowMs))
    .forEach((step) => {
      countLostTrials(state, step, nowMs);
      step.tasks.forEach((task) => failJobIfCrashing(state, { task, step }));
    });
  const live = suspects.filter(({ job }) => !isFinal(job.phase));
  return sortByRank(state, live, nowMs);
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
    ? placeIsolated(pass, liveSuspects(pass, pool, Array.from(pool.openSteps).filter(mayBegin)))
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
