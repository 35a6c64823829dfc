/**
 * Finds tasks that make no progress although their pool may have capacity for them, and tells what each of them waits
 * for. Operators see it in the log; nothing is decided from it.
 */
import type { EndpointId, PoolName } from '../../shared/ids.js';
import { isWithinQuota } from '../accounts/quota.js';
import { waitingSuspects } from '../crashes/isolation.js';
import { areCrashRecordsWritten } from '../crashes/trials.js';
import { mayRunInNextIncarnation } from '../endpoints/incarnation-runs.js';
import { canHoldTask, schedulableEndpoints } from '../endpoints/schedulable-endpoints.js';
import { isStartInTransit } from '../endpoints/unanswered-starts.js';
import type { TaskKey } from '../model/job.js';
import {
  isFinal,
  isSoleHolder,
  type BatchState,
  type EndpointState,
  type GoneEndpoint,
  type PoolState,
  type RunState,
  type StepRun,
} from '../model/state.js';
import { admittedEndpoints } from './advice.js';
import { awaitsReports } from './inherited-tasks.js';

/** What a task waits for. */
export type HoldReason =
  /** The row does not name the announced start yet. */
  | 'announced'
  | 'start-unanswered'
  | 'stop-unanswered'
  /** The order to stop the run was answered, and no report shows its end yet. */
  | 'stop-answered'
  /** The endpoint of the run is gone, and another entry may be the holder. */
  | 'gone-not-sole-holder'
  /** The endpoint of the run is gone, and an order to start the run may still arrive at its next incarnation. */
  | 'gone-start-in-transit'
  /** The endpoint of the run is gone, and its next incarnation may have the run. */
  | 'gone-may-run'
  /** The task counts as started, and no endpoint has the run. */
  | 'no-run'
  /** Endpoints may run the task for an earlier holder. */
  | 'awaits-reports'
  | 'crash-record-unwritten'
  /** The task is started only on an endpoint of its own. */
  | 'isolation'
  | 'advice'
  | 'quota'
  /** An endpoint fits. */
  | 'order';

/** A task that is held, with the run and the endpoint that hold it if there are any. */
export type HeldTask = {
  readonly task: TaskKey;
  readonly pool: PoolName;
  readonly reason: HoldReason;
  readonly run?: number;
  readonly endpointId?: EndpointId;
};

/** At most this many open steps of each pool are examined. */
const MAX_EXAMINED = 40;

const reasonOfRun = ({ phase, stopAnsweredAtMs }: RunState): HoldReason | undefined => {
  if (phase === 'running') return undefined;
  if (phase === 'announced') return 'announced';
  if (phase === 'starting') return 'start-unanswered';
  return stopAnsweredAtMs < Infinity ? 'stop-answered' : 'stop-unanswered';
};

const toHeldTask = (
  { endpointId, pool }: EndpointState,
  { task, run }: RunState,
  reason: HoldReason,
): HeldTask => ({ task: task.key, pool, reason, run, endpointId });

const isLive = ({ step }: RunState): boolean => !isFinal(step.job.phase);

const listHeldRuns = ({ endpoints }: BatchState): readonly HeldTask[] =>
  Array.from(endpoints.values()).flatMap((endpoint) =>
    Array.from(endpoint.runs.values()).flatMap((run) => {
      const reason = isLive(run) ? reasonOfRun(run) : undefined;
      return reason ? [toHeldTask(endpoint, run, reason)] : [];
    }),
  );

const reasonOfGoneRun = (
  state: BatchState,
  gone: GoneEndpoint,
  run: RunState,
  nowMs: number,
): HoldReason => {
  const { endpointId } = gone.endpoint;
  const key = { task: run.task.key, run: run.run };
  if (isStartInTransit(state, endpointId, key, nowMs)) return 'gone-start-in-transit';
  if (mayRunInNextIncarnation(state, gone, run, nowMs)) return 'gone-may-run';
  return isSoleHolder(state, nowMs) ? 'order' : 'gone-not-sole-holder';
};

const listRunsOfGoneEndpoints = (state: BatchState, nowMs: number): readonly HeldTask[] =>
  Array.from(state.goneEndpoints.values()).flatMap((gone) =>
    Array.from(gone.endpoint.runs.values())
      .filter(isLive)
      .map((run) => toHeldTask(gone.endpoint, run, reasonOfGoneRun(state, gone, run, nowMs))),
  );

/** Lists the tasks that count as started although neither an endpoint nor one that is gone has a run of them. */
const listTasksWithoutRun = (state: BatchState): readonly HeldTask[] => {
  const gone = Array.from(state.goneEndpoints.values(), ({ endpoint }) => endpoint);
  const runs = new Set(
    [...state.endpoints.values(), ...gone].flatMap((endpoint) => Array.from(endpoint.runs.keys())),
  );
  return Array.from(state.jobs.values())
    .filter(({ phase }) => phase === 'running')
    .flatMap(({ job, occurrences }) =>
      Array.from(occurrences.values())
        .flatMap(({ steps }) => steps)
        .filter(({ isOpen, doneCount, spec }) => isOpen && doneCount < spec.taskCount)
        .flatMap(({ tasks }) => tasks.recorded())
        .filter(({ phase, key }) => phase === 'placed' && !runs.has(key))
        .map(({ key }): HeldTask => ({ task: key, pool: job.pool, reason: 'no-run' })),
    );
};

const reasonOfStep = (
  state: BatchState,
  pool: PoolState,
  step: StepRun,
  fitting: readonly EndpointState[],
  nowMs: number,
): HoldReason => {
  if (awaitsReports(state, pool, step, nowMs)) return 'awaits-reports';
  if (!areCrashRecordsWritten(step.job)) return 'crash-record-unwritten';
  if (!isWithinQuota(state, step)) return 'quota';
  if (admittedEndpoints(step, fitting, nowMs).length === 0) return 'advice';
  return waitingSuspects(state, step).length > 0 ? 'isolation' : 'order';
};

/** Lists the first waiting task of each open step for which an endpoint of its pool has capacity. */
const listWaitingTasks = (state: BatchState, nowMs: number): readonly HeldTask[] =>
  Array.from(state.pools.values()).flatMap((pool) => {
    if (pool.openSteps.size === 0) return [];
    const endpoints = schedulableEndpoints(state, pool.name, nowMs);
    return Array.from(pool.openSteps)
      .slice(0, MAX_EXAMINED)
      .flatMap((step): readonly HeldTask[] => {
        const fitting = endpoints.filter((endpoint) => canHoldTask(endpoint, step));
        const task = step.tasks.at(step.waiting[0] ?? -1);
        if (fitting.length === 0 || !task) return [];
        const reason = reasonOfStep(state, pool, step, fitting, nowMs);
        return [{ task: task.key, pool: pool.name, reason }];
      });
  });

/**
 * Lists tasks that have not begun, with what each waits for: runs that are not confirmed, runs of endpoints that are
 * gone, and waiting tasks for which an endpoint has capacity. Most of them wait only for a moment.
 *
 * @param state - The batch state.
 * @param nowMs - The current time.
 * @returns The tasks; of waiting ones only a limited number.
 */
export const listHeldTasks = (state: BatchState, nowMs: number): readonly HeldTask[] => [
  ...listRunsOfGoneEndpoints(state, nowMs),
  ...listHeldRuns(state),
  ...listTasksWithoutRun(state),
  ...listWaitingTasks(state, nowMs),
];
