/**
 * Places the tasks that must run isolated because endpoints have crashed under them. Each of their starts is announced,
 * so that the crash of an endpoint is attributed to its task even if the holder changes.
 */
import { failJobIfCrashing } from '../jobs/crashing-jobs.js';
import {
  countStartable,
  findIsolatedEndpoints,
  planIsolation,
  waitingSuspects,
  type IsolatedEndpoints,
  type IsolationRequest,
} from '../crashes/isolation.js';
import { mayStartSuspect } from '../crashes/pool-calm.js';
import { countLostTrials } from '../crashes/trials.js';
import {
  isFinal,
  type EndpointState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { admittedEndpoints, requestAdvice } from './advice.js';
import { awaitsReports } from './inherited-tasks.js';
import { hasQuotaForNextStart, placeTasks } from './place-tasks.js';
import type { PoolPass } from './pool-pass.js';
import { sortByRank } from './ranking.js';
import type { StartContext } from './starts.js';

/**
 * Places the tasks of a step that must run isolated. Returns true if no task is left over for lack of capacity or quota.
 */
const placeSuspects = (
  context: StartContext,
  endpoints: readonly EndpointState[],
  suspects: readonly Task[],
): boolean => {
  if (endpoints.length === 0) return false;
  const indices = suspects.map(({ index }) => index);
  return placeTasks({ ...context, mustAnnounce: () => true }, endpoints, indices);
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

/** Lists the suspects of a step that may start now: all of a gang, or none. */
const startableSuspects = ({ state, step, nowMs }: StartContext): readonly Task[] => {
  const waiting = waitingSuspects(state, step);
  const { pool } = step.job.job;
  const startable = waiting.filter((task) => mayStartSuspect(state, pool, task, nowMs));
  return step.spec.isGang && startable.length < waiting.length ? [] : startable;
};

/**
 * Places the tasks that must run isolated, before all others, because an endpoint that is isolated for such a task is
 * idle until the task starts.
 *
 * @param pass - The scheduling pass.
 * @param steps - The steps with such tasks, in order.
 * @returns The isolated endpoints. They stay isolated whether or not their step is tried in this pass; otherwise other
 * tasks would fill them between two tries.
 */
export const placeIsolated = (
  { state, endpoints, nowMs }: PoolPass,
  steps: readonly StepRun[],
): IsolatedEndpoints => {
  const requests = steps
    .filter((step) => startableSuspects({ state, step, nowMs }).length > 0)
    // A step that waits for its account's quota must not keep isolated endpoints from others.
    .filter((step) => hasQuotaForNextStart(state, step))
    .map((step): IsolationRequest => ({
      step,
      eligible: admittedEndpoints(step, endpoints, nowMs),
    }));
  const isolated = planIsolation(state, requests, endpoints, nowMs);
  requests.forEach((request) => {
    if (state.startsLeft <= 0) return;
    const { step } = request;
    const context: StartContext = { state, step, nowMs };
    const places = findIsolatedEndpoints(state, isolated, request, nowMs);
    const isPlaced = placeSuspects(context, places, startableSuspects(context));
    if (!isPlaced) requestAdviceForSuspects(context, endpoints);
  });
  return isolated;
};

/**
 * Lists the steps of jobs suspected of crashing endpoints, in order. Before that, each start that an earlier holder
 * announced and no endpoint has reported is counted as a crash of its task, which may end the job.
 *
 * @param pass - The scheduling pass.
 * @param pool - The pool.
 * @param steps - The steps that may begin.
 * @returns The steps of suspected jobs that have not ended.
 */
export const listSuspectSteps = (
  { state, nowMs }: PoolPass,
  pool: PoolState,
  steps: readonly StepRun[],
): readonly StepRun[] => {
  const suspects = steps.filter(({ job }) => state.suspectJobs.has(job));
  suspects
    .filter((step) => !awaitsReports(state, pool, step, nowMs))
    .forEach((step) => {
      countLostTrials(state, step, nowMs);
      step.tasks.recorded().forEach((task) => failJobIfCrashing(state, { task, step }));
    });
  const live = suspects.filter(({ job }) => !isFinal(job.phase));
  return sortByRank(state, live, nowMs);
};
