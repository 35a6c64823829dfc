/** Hosts in the platform's list, and which of them can go down without violating a step's disruption budget. */
import type { DataCentreId, EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { canHoldTask, schedulableEndpoints } from '../endpoints/schedulable-endpoints.js';
import { stopRun } from '../endpoints/runs.js';
import type {
  BatchState,
  Capacity,
  EndpointState,
  GoneCause,
  RunState,
  StepRun,
  Task,
} from '../model/state.js';

/** A host as it appears in the platform's list. */
export type ListedHost = {
  readonly hostId: HostId;
  readonly pool: PoolName;
  /** `up`: the host can be ordered to move to another pool or to go down for maintenance. */
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly dataCentre: DataCentreId;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  /** The endpoint on the host, which may have been restarted since; null while there is none. */
  readonly instanceId: InstanceId | null;
};

/** A pool as the configuration declares it. */
export type DeclaredPool = {
  readonly name: PoolName;
  /** The hosts of a spare pool are switched off. */
  readonly isSpare: boolean;
};

/** An endpoint that no longer exists according to the host list. */
export type DeadEndpoint = {
  readonly endpointId: EndpointId;
  /**
   * `host-ordered`: its host was ordered to move or to go down for maintenance, by whomever. `host-taken`: another
   * endpoint runs on its host. `host-list`: its host is listed without an endpoint for any other reason.
   */
  readonly cause: Extract<GoneCause, 'host-list' | 'host-ordered' | 'host-taken'>;
};

const ORDERED_STATES: ReadonlySet<ListedHost['state']> = new Set(['moving', 'maintenance']);

/**
 * Finds endpoints that no longer exist according to the host list: their host is down, is moving or under maintenance,
 * or runs another endpoint. An endpoint is skipped unless the list was requested after the endpoint was first seen.
 *
 * @param state - The batch state.
 * @param hosts - The listed hosts.
 * @param requestedAtMs - When the list was requested.
 * @returns The endpoints that no longer run any task, with the cause.
 */
export const findDeadEndpoints = (
  state: BatchState,
  hosts: ReadonlyMap<HostId, ListedHost>,
  requestedAtMs: number,
): readonly DeadEndpoint[] =>
  Array.from(state.endpoints.values()).flatMap((endpoint): readonly DeadEndpoint[] => {
    const { hostId, seenAtMs, endpointId, pool } = endpoint;
    const host = hostId === null ? undefined : hosts.get(hostId);
    if (!host || seenAtMs >= requestedAtMs) return [];
    if (host.instanceId === instanceIdOf(endpointId)) return [];
    // The host's listed state and pool determine the cause, not the orders of this holder, because the host may be
    // carrying out an order of a previous holder.
    const isHostOrdered = ORDERED_STATES.has(host.state) || host.pool !== pool;
    if (isHostOrdered) return [{ endpointId, cause: 'host-ordered' }];
    return [{ endpointId, cause: host.instanceId === null ? 'host-list' : 'host-taken' }];
  });

/**
 * A report older than this is outdated. Endpoints with long-running tasks are polled every second and answer within
 * another second.
 */
const FRESH_REPORT_MS = 2600;

/** A task is ready if it runs and reports 100 percent. */
const isReady = ({ phase, percent }: RunState): boolean => phase === 'running' && percent >= 100;

/** Counts the ready tasks of a long-running step on other endpoints, ignoring outdated reports. */
const countReadyElsewhere = (state: BatchState, step: StepRun, excluded: EndpointState): number =>
  Array.from(step.perEndpoint.keys())
    .flatMap((endpointId) => state.endpoints.get(endpointId) ?? [])
    .filter((endpoint) => endpoint !== excluded)
    .filter(({ reportedAtMs }) => state.clockMs - reportedAtMs < FRESH_REPORT_MS)
    .flatMap(({ runs }) => Array.from(runs.values()))
    .filter((run) => run.step === step && isReady(run)).length;

/**
 * Lists the long-running steps that have tasks on an endpoint and a disruption budget.
 *
 * @param endpoint - The endpoint.
 * @returns The steps whose job runs and whose `mayMiss` is above 0.
 */
export const budgetedLongRunningSteps = ({ runs }: EndpointState): ReadonlySet<StepRun> =>
  new Set(
    Array.from(runs.values(), ({ step }) => step).filter(
      ({ spec, job }) => spec.isLasting && spec.mayMiss > 0 && job.phase === 'running',
    ),
  );

/** A long-running step whose disruption budget does not allow a host to go down, with the reason. */
export type BudgetViolation = {
  readonly step: StepRun;
  /** How many tasks of the step are not ready anywhere, or are on other hosts that are due to go down. */
  readonly unavailable: number;
  readonly reason: string;
};

/**
 * Counts the ready tasks of a long-running step on an endpoint.
 *
 * @param endpoint - The endpoint; undefined gives 0.
 * @param step - The step.
 * @returns The number of tasks according to the endpoint's latest report.
 */
export const countReady = (endpoint: EndpointState | undefined, step: StepRun): number =>
  Array.from(endpoint?.runs.values() ?? []).filter((run) => run.step === step && isReady(run))
    .length;

/**
 * Counts the tasks of a long-running step that are not ready on any endpoint. Tasks on the given endpoint count as
 * ready by its latest report, however old that is. Otherwise, after 2.6 s without a report, they would be counted
 * twice, as unavailable and as tasks that would be stopped, and the host would wait for its own tasks.
 *
 * @param state - The batch state.
 * @param step - The step.
 * @param endpoint - The endpoint that is to go down, or from which a task is to move.
 * @returns The number of unavailable tasks.
 */
export const countUnavailable = (
  state: BatchState,
  step: StepRun,
  endpoint: EndpointState,
): number => {
  const readyHere = countReady(endpoint, step);
  return step.spec.taskCount - countReadyElsewhere(state, step, endpoint) - readyHere;
};

const NO_CLAIMS: ReadonlyMap<StepRun, number> = new Map();

/**
 * Finds a long-running step whose disruption budget does not allow an endpoint to go down now.
 *
 * @param state - The batch state.
 * @param endpoint - The endpoint.
 * @param claimed - For each step, how many of its tasks are on other hosts that are due to go down and have not yet.
 * @returns The first such step and the reason; undefined if the endpoint may go down.
 */
export const findBudgetViolation = (
  state: BatchState,
  endpoint: EndpointState,
  claimed: ReadonlyMap<StepRun, number> = NO_CLAIMS,
): BudgetViolation | undefined =>
  Array.from(budgetedLongRunningSteps(endpoint)).flatMap((step) => {
    const readyHere = countReady(endpoint, step);
    const unavailable = countUnavailable(state, step, endpoint);
    const claimedByOthers = claimed.get(step) ?? 0;
    if (readyHere === 0 || unavailable + claimedByOthers + readyHere <= step.spec.mayMiss)
      return [];
    const { jobId, queue } = step.job.job;
    const reason = `queue=${queue} job=${jobId}: ${unavailable} of ${step.spec.taskCount} tasks are not at work, ${readyHere} would go, ${step.spec.mayMiss} may be missed`;
    return [{ step, unavailable: unavailable + claimedByOthers, reason }];
  })[0];

/**
 * Tells whether an endpoint runs only long-running tasks, or none.
 *
 * @param endpoint - The endpoint.
 * @returns True if stopping the endpoint would interrupt no task that ends by itself.
 */
export const runsOnlyLongRunningTasks = ({ runs }: EndpointState): boolean =>
  Array.from(runs.values()).every(({ step }) => step.spec.isLasting);

/** Which task moves off an endpoint, and which endpoints may receive it. */
export type TaskMoveOptions = {
  readonly step: StepRun;
  /**
   * How many tasks of the step are not ready, or are on hosts that are due to go down. No task moves once this has
   * reached the step's `mayMiss`.
   */
  readonly unavailable: number;
  readonly nowMs: number;
  /** Whether a task may move; any task may if omitted. */
  readonly mayMove?: (task: Task) => boolean;
  /** Whether an endpoint with enough free capacity may receive the task; any may if omitted. */
  readonly mayReceive?: (endpoint: EndpointState) => boolean;
};

/**
 * Stops one ready task of a long-running step on an endpoint so that it starts elsewhere. This requires more endpoints
 * that could receive a task of the step than the step has waiting tasks.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint.
 * @param options - The step, its unavailable tasks, and which task may move where.
 * @returns The task that was ordered to stop; undefined if none was.
 */
export const moveOneTask = (
  state: BatchState,
  endpoint: EndpointState,
  { step, unavailable, nowMs, mayMove = () => true, mayReceive = () => true }: TaskMoveOptions,
): Task | undefined => {
  if (unavailable >= step.spec.mayMiss) return undefined;
  const run = Array.from(endpoint.runs.values()).find(
    (one) => one.step === step && isReady(one) && mayMove(one.task),
  );
  if (!run) return undefined;
  const candidates = schedulableEndpoints(state, endpoint.pool, nowMs).filter(
    (other) => other !== endpoint && canHoldTask(other, step) && mayReceive(other),
  );
  if (candidates.length <= step.waiting.length) return undefined;
  run.task.avoidedEndpoint = endpoint.endpointId;
  stopRun(state, endpoint, run, 'moved off a host that is to go down');
  return run.task;
};
