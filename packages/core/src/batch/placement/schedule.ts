/** Places waiting tasks on endpoints: the fullest endpoint that fits, so that others stand empty. */
import type { EndpointId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { once } from '../../shared/once.js';
import { admittedEndpoints, ticketOf, wantAdvice } from './advice.js';
import { giveUpIfDue } from '../jobs/give-up.js';
import { inOrder, rankedSteps } from './ranking.js';
import { noteStartAgain } from '../endpoints/run-end.js';
import { hasLossBefore } from '../crashes/inherited-losses.js';
import { announcedRunOf, announceTrials, countLostTrials } from '../crashes/trials.js';
import { announceInherited, isBlocked, unblockedTasks } from './inherited-tasks.js';
import { goesWithOwed } from '../accounts/shares.js';
import { isWithinQuota } from '../accounts/quota.js';
import { placesForGang } from './gang-places.js';
import { createCandidates } from './candidates.js';
import { scoresFor } from './scores.js';
import { mayHold, usableEndpoints } from '../endpoints/sound-endpoints.js';
import { addRun, nextRunNumber } from '../endpoints/runs.js';
import {
  couldBegin,
  NONE_ISOLATED,
  planIsolation,
  isolatedPlaces,
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

/**
 * A pass is bounded: after so many steps that fit nowhere, the smaller ones behind them wait for
 * the next pass.
 */
const MAX_MISFITS_PER_CYCLE = 40;
/** A step that fitted nowhere is tried again everywhere after this time, and before it where room came free. */
const RETRY_MS = 25;

/** Where a run is to begin, and what decided that. */
type Place = { readonly endpoint: EndpointState; readonly run: number; readonly reason: string };

type Placing = { readonly state: BatchState; readonly step: StepRun; readonly nowMs: number };

const startOn = (
  { state, step, nowMs }: Placing,
  task: Task,
  { endpoint, run, reason }: Place,
): void => {
  noteStartAgain(state, { endpoint, task, run, nowMs });
  addRun(state, { endpoint, step, task, run, phase: 'starting', nowMs });
  change(state, { startsLeft: state.startsLeft - 1 });
  state.effects.push({
    kind: 'start',
    endpointId: endpoint.endpointId,
    task: task.key,
    run,
    spec: step.job.job.spec,
    checkpoint: task.checkpoint,
    ticket: ticketOf(step, endpoint.endpointId),
    reason: `${reason} in pool=${endpoint.pool} with room`,
  });
};

const placeEach = (
  placing: Placing,
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
    const run = announcedRunOf(task) ?? nextRunNumber(state.fence, task.lastRun);
    startOn(placing, task, { endpoint, run, reason: table.name });
    candidates.notePlaced(endpoint);
    return true;
  });
};

const placeGang = (placing: Placing, endpoints: readonly EndpointState[]): boolean => {
  const { state, step } = placing;
  // Members that were lost take the others with them: wait until all have ended.
  if (step.waiting.length < step.spec.taskCount) return true;
  if (!isWithinQuota(state, step, step.spec.taskCount)) return false;
  const places = placesForGang(step, endpoints);
  if (!places) return false;
  const lastRun = Math.max(...step.tasks.map((task) => task.lastRun));
  const announced = step.tasks.find((task) => announcedRunOf(task) !== undefined);
  const run = announced?.trial?.run ?? nextRunNumber(state.fence, lastRun);
  const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
  step.tasks.forEach((task, index) => {
    change(task, { checkpoint });
    const endpoint = places[index] as EndpointState;
    startOn(placing, task, { endpoint, run, reason: 'all of its gang' });
  });
  return true;
};

const wantAdviceFor = (
  { state, step, nowMs }: Placing,
  endpoints: readonly EndpointState[],
): void => {
  if (step.advice === null) return;
  const withRoom = endpoints.filter((endpoint) => mayHold(endpoint, step));
  wantAdvice(state, step, withRoom, nowMs);
};

/** Places the tasks of a step that may stand beside others; true if none is left for want of room. */
const placeOrdinary = (
  placing: Placing,
  endpoints: readonly EndpointState[],
  suspects: readonly Task[],
  mayHaveLost: () => boolean,
): boolean => {
  const { state, step, nowMs } = placing;
  const { isGang } = step.spec;
  if (isGang && suspects.length > 0) return true;
  const pool = poolOf(state, step.job.job.pool);
  const waiting = unblockedTasks(state, pool, step, nowMs).filter(
    (task) => !suspects.includes(task),
  );
  const mayBeLost = step.job.isInherited && mayHaveLost();
  const tasks = mayBeLost ? announceInherited(state, step, waiting) : waiting;
  if (isGang) return tasks.length < waiting.length || placeGang(placing, endpoints);
  return placeEach(placing, endpoints, tasks);
};

/** Places those that are to be alone; true if none is left. */
const placeSuspects = (
  placing: Placing,
  endpoints: readonly EndpointState[],
  suspects: readonly Task[],
): boolean => {
  if (endpoints.length === 0) return false;
  const { state, step } = placing;
  const { isGang } = step.spec;
  const unannounced = suspects.filter((task) => announcedRunOf(task) === undefined);
  if (unannounced.length > 0) {
    announceTrials(state, step, isGang ? step.tasks : unannounced);
    return true;
  }
  return isGang ? placeGang(placing, endpoints) : placeEach(placing, endpoints, suspects);
};

/** Those that are to be alone are asked about wherever there could be room: the endpoint is emptied for them. */
const wantAdviceForSuspects = (
  { state, step, nowMs }: Placing,
  endpoints: readonly EndpointState[],
): void => {
  if (step.advice === null) return;
  const couldHold = endpoints.filter((endpoint) => couldBegin(endpoint, step) > 0);
  wantAdvice(state, step, couldHold, nowMs);
};

/** The pool as a pass over it finds it. */
type Pass = {
  readonly state: BatchState;
  /** Those that take new work. */
  readonly endpoints: readonly EndpointState[];
  /** An endpoint of the pool may have crashed shortly before this holder took over. */
  readonly mayHaveLost: () => boolean;
  readonly nowMs: number;
};

/**
 * Places the tasks that are to be alone, before all others: an endpoint that is kept for one stands idle until
 * then. Which are kept does not hang on whether a step is tried in this pass, or they would fill up between.
 */
const placeIsolated = (
  { state, endpoints, nowMs }: Pass,
  steps: readonly StepRun[],
): IsolatedEndpoints => {
  const questions = steps
    .filter((step) => waitingSuspects(state, step).length > 0)
    .map((step): IsolationRequest => ({
      step,
      admitted: admittedEndpoints(step, endpoints, nowMs),
    }));
  const isolated = planIsolation(state, questions, endpoints);
  questions.forEach((question) => {
    if (state.startsLeft <= 0) return;
    const { step } = question;
    const placing: Placing = { state, step, nowMs };
    const places = isolatedPlaces(isolated, question, nowMs);
    const isPlaced = placeSuspects(placing, places, waitingSuspects(state, step));
    if (!isPlaced) wantAdviceForSuspects(placing, endpoints);
  });
  return isolated;
};

/**
 * The endpoints on which a step is tried: all of them, or, a short time after it fitted nowhere, those where room came
 * free since. Without these, what comes behind it in the order would take that room.
 */
const triedOn = (
  { retryAtMs, triedAtRevision, spec }: StepRun,
  { endpoints, nowMs }: Pass,
  newestRevision: number,
): readonly EndpointState[] => {
  if (retryAtMs <= nowMs) return endpoints;
  if (spec.isGang || triedAtRevision >= newestRevision) return [];
  return endpoints.filter(({ roomRevision }) => roomRevision > triedAtRevision);
};

/** Endpoints where a step may begin: not those that are reclaimed for what is owed, where it is not owed itself. */
const openTo = (step: StepRun, { state, nowMs }: Pass, endpoints: readonly EndpointState[]) =>
  state.reclaimed.size === 0 || goesWithOwed(step.job, nowMs)
    ? endpoints
    : endpoints.filter(({ endpointId }) => !state.reclaimed.has(endpointId));

/** Places what may stand beside others. */
const placeShared = (pass: Pass, steps: readonly StepRun[]): void => {
  const { state, endpoints, nowMs } = pass;
  const newestRevision = Math.max(...endpoints.map(({ roomRevision }) => roomRevision));
  let misfits = 0;
  steps.some((step) => {
    if (state.startsLeft <= 0) return true;
    const places = triedOn(step, pass, newestRevision);
    if (places.length === 0) return false;
    // One that waits for its quota must not use up what may be tried in a pass.
    if (!isWithinQuota(state, step, step.spec.isGang ? step.spec.taskCount : 1)) return false;
    const placing: Placing = { state, step, nowMs };
    const admitted = openTo(step, pass, admittedEndpoints(step, places, nowMs));
    const isPlaced = placeOrdinary(
      placing,
      admitted,
      waitingSuspects(state, step),
      pass.mayHaveLost,
    );
    if (isPlaced) return false;
    const isWhole = places === endpoints;
    if (isWhole) wantAdviceFor(placing, endpoints);
    misfits += 1;
    change(step, {
      triedAtRevision: state.roomRevision,
      retryAtMs: isWhole ? nowMs + RETRY_MS : step.retryAtMs,
    });
    return misfits >= MAX_MISFITS_PER_CYCLE;
  });
};

/**
 * Lists the steps of suspected jobs in order. Starts that an earlier holder announced and nobody tells of count against
 * their tasks first, and may end the job.
 */
const liveSuspects = (
  { state, nowMs }: Pass,
  pool: PoolState,
  steps: readonly StepRun[],
): readonly StepRun[] => {
  const suspects = steps.filter(({ job }) => state.suspectJobs.has(job));
  suspects
    .filter((step) => !isBlocked(state, pool, step, nowMs))
    .forEach((step) => {
      countLostTrials(state, step, nowMs);
      step.tasks.forEach((task) => giveUpIfDue(state, { task, step }));
    });
  const live = suspects.filter(({ job }) => !isFinal(job.phase));
  return inOrder(state, live, nowMs);
};

/**
 * Places what waits in one pool.
 *
 * @param state - All that is known, changed in place.
 * @param name - The pool.
 * @param nowMs - The time.
 */
export const schedulePool = (state: BatchState, name: PoolName, nowMs: number): void => {
  const pool = poolOf(state, name);
  if (pool.open.size === 0) return;
  const endpoints = usableEndpoints(state, name, nowMs);
  if (endpoints.length === 0) return;
  const isAnySuspect = state.suspectJobs.size > 0;
  const pass: Pass = {
    state,
    endpoints,
    mayHaveLost: once(() => hasLossBefore(state, pool, endpoints)),
    nowMs,
  };
  const mayBegin = (step: StepRun): boolean =>
    !isBlocked(state, pool, step, nowMs) || unblockedTasks(state, pool, step, nowMs).length > 0;
  const isolated = isAnySuspect
    ? placeIsolated(pass, liveSuspects(pass, pool, Array.from(pool.open).filter(mayBegin)))
    : NONE_ISOLATED;
  const shared =
    isolated.size === 0
      ? endpoints
      : endpoints.filter(({ endpointId }) => !isolated.has(endpointId));
  if (shared.length === 0) return;
  placeShared({ ...pass, endpoints: shared }, rankedSteps(state, pool, nowMs, mayBegin));
};

/**
 * Tells where a task stands, for tests and for operators.
 *
 * @param state - All that is known.
 * @param task - The task.
 * @returns The endpoints that hold a run of it.
 */
export const endpointsOf = (state: BatchState, { key }: Task): readonly EndpointId[] =>
  Array.from(state.endpoints.values())
    .filter(({ runs }) => runs.has(key))
    .map(({ endpointId }) => endpointId);
