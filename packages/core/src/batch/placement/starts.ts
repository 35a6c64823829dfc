/**
 * Starts runs of tasks on the endpoints that were chosen for them. An ordinary start is ordered at once. One that must be
 * announced takes its endpoint's capacity at once and is ordered when the job's row names it.
 */
import { change } from '../../shared/change.js';
import { isConclusiveRun } from '../crashes/pool-calm.js';
import { announceTrials } from '../crashes/trials.js';
import { addRun, withdrawRun } from '../endpoints/runs.js';
import { logTaskRestart } from '../endpoints/run-end.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import {
  poolOf,
  type AnnouncedStarts,
  type BatchState,
  type EndpointState,
  type PoolState,
  type RunState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { admittedEndpoints, ticketOf } from './advice.js';
import { mayStartTask } from './inherited-tasks.js';
import { isStartWithinQuota } from './start-quota.js';

/**
 * Announced starts that the row does not name after this time are withdrawn. Otherwise a job whose row cannot be written
 * would keep the capacity from other jobs.
 */
const ANNOUNCEMENT_TIMEOUT_MS = 2000;

/** A start that was decided: the task, its endpoint, the run's number and the reason for the choice. */
export type Start = {
  readonly task: Task;
  readonly endpoint: EndpointState;
  readonly run: number;
  readonly reason: string;
};

/** The step whose tasks are started, with the state and the current time. */
export type StartContext = {
  readonly state: BatchState;
  readonly step: StepRun;
  readonly nowMs: number;
};

/** Emits the order to start a run. */
const orderStart = (
  state: BatchState,
  step: StepRun,
  { task, endpoint, run, reason }: Start,
): void => {
  change(task, { isOrdered: true });
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

/**
 * Records a new run of a task and emits the order to start it.
 *
 * @param context - The task's step, the state, which is changed in place, and the time.
 * @param start - The start.
 */
export const startRun = ({ state, step, nowMs }: StartContext, start: Start): void => {
  const { task, endpoint, run } = start;
  logTaskRestart(state, { endpoint, task, run, nowMs });
  addRun(state, { endpoint, step, task, run, phase: 'starting', nowMs });
  orderStart(state, step, start);
};

/**
 * Records new runs of tasks of a step and announces their starts. They are ordered together, by `orderAnnouncedStarts`.
 *
 * @param context - The tasks' step, the state, which is changed in place, and the time.
 * @param starts - The starts.
 */
export const announceStarts = (
  { state, step, nowMs }: StartContext,
  starts: readonly Start[],
): void => {
  const runs = starts.map(({ task, endpoint, run, reason }) => {
    logTaskRestart(state, { endpoint, task, run, nowMs });
    const added = addRun(state, { endpoint, step, task, run, phase: 'announced', nowMs });
    change(added, { isConclusive: isConclusiveRun(state, endpoint.pool, task, nowMs) });
    return { endpoint, run: added, reason };
  });
  const announced = starts.map(({ task, endpoint: { endpointId }, run }) => ({
    task,
    run,
    endpointId,
  }));
  const revision = announceTrials(state, { step, starts: announced });
  poolOf(state, step.job.job.pool).announcedStarts.add({
    step,
    revision,
    announcedAtMs: nowMs,
    runs,
  });
  change(state, { startsLeft: state.startsLeft - starts.length });
};

type AnnouncedRun = AnnouncedStarts['runs'][number];

const isStillAnnounced = ({ endpoint, run }: AnnouncedRun): boolean =>
  run.phase === 'announced' &&
  run.task.phase === 'placed' &&
  endpoint.runs.get(run.task.key) === run;

/** Tells whether the task of an announced run could still be placed on the endpoint. */
const mayStillStart = (
  { state, step, nowMs }: StartContext,
  { endpoint, run }: AnnouncedRun,
): boolean =>
  isSchedulable(state, endpoint, nowMs) &&
  isStartWithinQuota(state, endpoint.endpointId, { task: run.task.key, run: run.run }, nowMs) &&
  admittedEndpoints(step, [endpoint], nowMs).length > 0 &&
  mayStartTask(state, poolOf(state, endpoint.pool), step, run.task, nowMs);

/** Withdraws all announced runs of a group; their tasks wait again. */
const withdraw = (state: BatchState, runs: readonly AnnouncedRun[], nowMs: number): void =>
  runs
    .filter(isStillAnnounced)
    .forEach(({ endpoint, run }) => withdrawRun(state, endpoint, run, nowMs));

const order = ({ state, step, nowMs }: StartContext, runs: readonly AnnouncedRun[]): void =>
  runs.forEach(({ endpoint, run, reason }) => {
    const { task } = run;
    const started: Partial<RunState> = {
      phase: 'starting',
      startedAtMs: nowMs,
      progressAtMs: nowMs,
    };
    change(run, started);
    if (step.job.phase === 'pending') change(step.job, { phase: 'running' });
    orderStart(state, step, { task, endpoint, run: run.run, reason });
  });

/**
 * Orders the announced starts of a pool that the rows of their jobs name. A start is withdrawn, and its task waits again,
 * if the task cannot be started on that endpoint any more, or if the row is not written in time.
 *
 * @param state - The batch state, changed in place.
 * @param pool - The pool.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const orderAnnouncedStarts = (
  state: BatchState,
  { announcedStarts }: PoolState,
  nowMs: number,
): void =>
  announcedStarts.forEach((announced) => {
    const { step, revision, announcedAtMs, runs } = announced;
    const context: StartContext = { state, step, nowMs };
    const isPossible =
      nowMs - announcedAtMs < ANNOUNCEMENT_TIMEOUT_MS &&
      runs.every((one) => isStillAnnounced(one) && mayStillStart(context, one));
    const isWritten = step.job.writtenCrashRecordRevision >= revision;
    if (isPossible && (!isWritten || state.startsLeft <= 0)) return;
    announcedStarts.delete(announced);
    if (isPossible) order(context, runs);
    else withdraw(state, runs, nowMs);
  });
