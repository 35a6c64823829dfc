/**
 * Isolates suspects, the tasks under which endpoints crashed. Each runs on an endpoint of its own until the endpoint has
 * been alive with it for the observation period. If the task does crash its endpoint, no work of other jobs is lost and
 * the crash is conclusive. If it does not, little is lost: other tasks are placed elsewhere for a quarter of a second.
 *
 * After many endpoints crashed together, hundreds of tasks are suspects, and most are harmless. Once no endpoint crashes
 * any more, those that nothing else speaks against run beside each other, also on isolated endpoints. If one of them
 * crashes its endpoint, each of the others loses that run, and has an endpoint of its own from then on.
 */
import type { EndpointId, PoolName } from '../../shared/ids.js';
import { isSuspect } from './endpoint-crashes.js';
import { hasSurvivedObservation } from './observation-period.js';
import { hasRecentCrash } from './pool-calm.js';
import { areCrashRecordsWritten } from './trials.js';
import type { StepSpec } from '../model/job.js';
import { reservedCpu } from '../endpoints/runs.js';
import { canHoldTask } from '../endpoints/schedulable-endpoints.js';
import type {
  BatchState,
  EndpointState,
  JobState,
  RunState,
  StepRun,
  Task,
} from '../model/state.js';

/**
 * At most this share of a pool's endpoints is isolated for suspects, so that many suspects at once do not stop the
 * pool's other work. At least one endpoint may be isolated; otherwise suspects would wait forever in a pool that is
 * always full.
 */
const MAX_ISOLATED_SHARE = 0.25;
/**
 * Up to this share of the pool may be isolated if that many endpoints are empty, or, for suspects that nothing but the
 * time of crashes speaks against, if as much capacity is free once no endpoint crashes any more. Otherwise suspects that
 * caused no crash would wait for a long time in a pool with little load.
 */
const MAX_FREE_SHARE = 0.5;
/**
 * From this time after the last end of a run of its step, a suspect waits no longer for those short runs of other jobs
 * that have survived the observation period, because some take minutes.
 */
const MAX_WAIT_MS = 2000;

/**
 * Suspects of different jobs may run beside each other once no endpoint has crashed for this long. Each observation
 * period then proves many of them, and the number of suspects does not determine how long the last one waits.
 */
const QUIET_MS = 3000;
/**
 * A suspect with more crashes than this shares no endpoint, because another crash, under a task beside it, could have it
 * given up.
 */
const MAX_SHARED_CRASHES = 2;

/** What an endpoint is reserved for. */
export type Isolation = {
  /** The jobs that it was reserved for. Only their tasks may start on it, unless it is shared. */
  readonly jobs: ReadonlySet<JobState>;
  /** Whether all suspects may start on it that may run beside suspects of other jobs. */
  readonly isShared: boolean;
};

/** The reserved endpoints. */
export type IsolatedEndpoints = ReadonlyMap<EndpointId, Isolation>;

/** No endpoint is isolated. */
export const NO_ISOLATED_ENDPOINTS: IsolatedEndpoints = new Map();

/**
 * Lists the tasks of a step that are waiting to be started in isolation.
 *
 * @param state - The batch state.
 * @param step - The step.
 * @returns The tasks; for a gang with a waiting suspect, all waiting members, because they run together.
 */
export const waitingSuspects = (state: BatchState, step: StepRun): readonly Task[] => {
  if (!state.suspectJobs.has(step.job)) return [];
  const suspects = step.waiting
    .flatMap((index) => step.tasks.recordAt(index) ?? [])
    .filter(isSuspect);
  if (!step.spec.isGang || suspects.length === 0) return suspects;
  return step.waiting.flatMap((index) => step.tasks.at(index) ?? []);
};

/** Tells whether a run of a suspect has not yet survived the observation period. */
const isUnproven = (endpoint: EndpointState, run: RunState): boolean =>
  isSuspect(run.task) && !hasSurvivedObservation(endpoint, run);

/**
 * Tells whether nothing but the time of crashes speaks against a task: other endpoints crashed together with each of those
 * that crashed under it.
 */
const hasOnlyCorrelatedCrashes = ({ crashes }: Task): boolean =>
  crashes.every(({ isCorrelated }) => isCorrelated);

/** Tells whether a suspect may run beside suspects of other jobs. */
const isSharable = (task: Task): boolean =>
  task.crashes.length <= MAX_SHARED_CRASHES && hasOnlyCorrelatedCrashes(task);

/** Tells whether the suspects of a step may run beside suspects of other jobs now. */
const mayShareIsolation = (state: BatchState, step: StepRun, nowMs: number): boolean =>
  !hasRecentCrash(state, QUIET_MS, nowMs) &&
  !step.spec.isGang &&
  waitingSuspects(state, step).every((task) => isSharable(task));

/** Lists the endpoints that have tasks of a job. */
const endpointsWith = (state: BatchState, { occurrences }: JobState): readonly EndpointState[] => {
  const steps = Array.from(occurrences.values()).flatMap((one) => one.steps);
  const ids = new Set(steps.flatMap(({ perEndpoint }) => Array.from(perEndpoint.keys())));
  return Array.from(ids).flatMap((endpointId) => state.endpoints.get(endpointId) ?? []);
};

/** Finds the endpoints of a pool with runs of suspects that have not yet survived the observation period. */
const endpointsWithUnprovenRuns = (
  state: BatchState,
  pool: PoolName | undefined,
): Map<EndpointId, Isolation> => {
  const jobs = Array.from(state.suspectJobs).filter(({ job }) => job.pool === pool);
  const endpoints = new Set(jobs.flatMap((job) => endpointsWith(state, job)));
  const found = new Map<EndpointId, Isolation>();
  endpoints.forEach((endpoint) => {
    const unproven = Array.from(endpoint.runs.values()).filter(
      (run) => state.suspectJobs.has(run.step.job) && isUnproven(endpoint, run),
    );
    if (unproven.length === 0) return;
    found.set(endpoint.endpointId, {
      jobs: new Set(unproven.map(({ step }) => step.job)),
      isShared: unproven.every(({ task, step }) => !step.spec.isGang && isSharable(task)),
    });
  });
  return found;
};

/** Lists runs of other jobs, which would be lost if the endpoint crashed, or could be the cause of a crash. */
const runsOfOtherJobs = ({ runs }: EndpointState, job: JobState): readonly RunState[] =>
  Array.from(runs.values()).filter(({ step }) => step.job !== job);

/** Tells whether the suspects of a step have waited for so long that they may run beside short runs of other jobs. */
const hasWaitedLong = ({ tasks }: StepRun, nowMs: number): boolean => {
  const endedAtMs = Math.max(
    0,
    ...tasks.recorded().map(({ lastEnd }) => lastEnd?.countedAtMs ?? 0),
  );
  return nowMs - endedAtMs >= MAX_WAIT_MS;
};

/**
 * Sorts endpoints by the fewest runs of other jobs, then by the longest uptime, which avoids endpoints that restart
 * often. Once the suspects have waited for long, endpoints that have capacity for one at present come first: on the
 * others, runs may take minutes.
 */
const bySuitability = (
  step: StepRun,
  nowMs: number,
): ((left: EndpointState, right: EndpointState) => number) => {
  const { job } = step;
  const isUrgent = hasWaitedLong(step, nowMs);
  const lacksCapacity = (endpoint: EndpointState): number =>
    Number(isUrgent && !canHoldTask(endpoint, step));
  return (left, right) =>
    lacksCapacity(left) - lacksCapacity(right) ||
    runsOfOtherJobs(left, job).length - runsOfOtherJobs(right, job).length ||
    left.seenAtMs - right.seenAtMs;
};

/**
 * Lists what keeps running on an endpoint isolated for a job: the job's own tasks, and long-running tasks of other
 * jobs.
 */
const remainingSpecs = ({ runs }: EndpointState, job: JobState): readonly StepSpec[] =>
  Array.from(runs.values(), ({ step }) => step)
    .filter((step) => step.job === job || step.spec.isLasting)
    .map(({ spec }) => spec);

/**
 * Returns how many tasks of a step an endpoint could start once the short runs of other jobs have ended.
 *
 * @param endpoint - The endpoint.
 * @param step - The step.
 * @returns The number of tasks; Infinity for tasks that need no resources.
 */
export const countStartable = (endpoint: EndpointState, step: StepRun): number => {
  const { endpointId, labels, capacity } = endpoint;
  const { spec, perEndpoint, job } = step;
  if (spec.requiredLabel !== '' && !labels.includes(spec.requiredLabel)) return 0;
  const remaining = remainingSpecs(endpoint, job);
  const countFitting = (total: number, requestOf: (one: StepSpec) => number): number => {
    const reserved = remaining.reduce((sum, one) => sum + requestOf(one), 0);
    return requestOf(spec) === 0 ? Infinity : Math.floor((total - reserved) / requestOf(spec));
  };
  const startable = Math.min(
    countFitting(capacity.cpuMillis, reservedCpu),
    countFitting(capacity.memoryMb, ({ memoryMb }) => memoryMb),
    countFitting(capacity.accelerators, ({ accelerators }) => accelerators),
    spec.mostPerEndpoint === 0
      ? Infinity
      : spec.mostPerEndpoint - (perEndpoint.get(endpointId) ?? 0),
  );
  return Math.max(0, startable);
};

/** Tells whether endpoints have capacity for a number of tasks of a step. */
const haveCapacity = (chosen: readonly EndpointState[], step: StepRun, tasks: number): boolean =>
  chosen.reduce((sum, endpoint) => sum + countStartable(endpoint, step), 0) >= tasks;

/** A waiting step with suspects, and the endpoints that could be isolated for it. */
export type IsolationRequest = {
  readonly step: StepRun;
  /** The schedulable endpoints of the pool that may run the step. */
  readonly eligible: readonly EndpointState[];
};

/** Returns the share of a pool's capacity that no run reserves, of CPU or of memory, whichever is less. */
const freeShare = (endpoints: readonly EndpointState[]): number => {
  const freeShareOf = (resource: 'cpuMillis' | 'memoryMb'): number => {
    const total = endpoints.reduce((sum, { capacity }) => sum + capacity[resource], 0);
    const used = endpoints.reduce((sum, one) => sum + one.used[resource], 0);
    return total === 0 ? 1 : 1 - used / total;
  };
  return Math.min(freeShareOf('cpuMillis'), freeShareOf('memoryMb'));
};

/** Returns how many endpoints of a pool may be isolated at once. */
const maxIsolatedEndpoints = (endpoints: readonly EndpointState[]): number => {
  const empty = endpoints.filter(({ runs }) => runs.size === 0).length;
  return Math.max(
    Math.ceil(endpoints.length * MAX_ISOLATED_SHARE),
    Math.min(empty, Math.floor(endpoints.length * MAX_FREE_SHARE)),
  );
};

/**
 * Returns how many endpoints of a pool may be isolated at once for suspects with correlated crashes only. While endpoints
 * crash, the tasks that are lost with them need the capacity of the others, so this is no exception then.
 */
const maxIsolatedInCalm = (
  state: BatchState,
  endpoints: readonly EndpointState[],
  nowMs: number,
): number => {
  if (hasRecentCrash(state, QUIET_MS, nowMs)) return 0;
  const { length } = endpoints;
  return Math.min(Math.floor(length * freeShare(endpoints)), Math.ceil(length * MAX_FREE_SHARE));
};

/**
 * Decides which endpoints of a pool are isolated for suspects. Only endpoints of this pool count towards its share.
 *
 * @param state - The batch state.
 * @param requests - The open steps with suspects, in order of priority.
 * @param endpoints - The schedulable endpoints of the pool.
 * @param nowMs - The current time.
 * @returns The isolated endpoints, including those with a running suspect that has not yet survived the observation
 *   period.
 */
export const planIsolation = (
  state: BatchState,
  requests: readonly IsolationRequest[],
  endpoints: readonly EndpointState[],
  nowMs: number,
): IsolatedEndpoints => {
  const isolated = endpointsWithUnprovenRuns(state, endpoints[0]?.pool);
  const maxEndpoints = maxIsolatedEndpoints(endpoints);
  const maxInCalm = Math.max(maxEndpoints, maxIsolatedInCalm(state, endpoints, nowMs));
  requests.forEach(({ step, eligible }) => {
    const { job } = step;
    const suspects = waitingSuspects(state, step);
    if (!areCrashRecordsWritten(job)) return;
    const isShared = mayShareIsolation(state, step, nowMs);
    const chosen = eligible.filter(({ endpointId }) => isolated.get(endpointId)?.jobs.has(job));
    const free = eligible
      .filter((one) => !isolated.has(one.endpointId) && countStartable(one, step) > 0)
      .sort(bySuitability(step, nowMs));
    const max = suspects.every(hasOnlyCorrelatedCrashes) ? maxInCalm : maxEndpoints;
    // A gang must get all the endpoints that it needs at once. If nothing else is isolated, it may exceed the share.
    const mayExceed = step.spec.isGang && isolated.size === 0;
    while (
      !haveCapacity(chosen, step, suspects.length) &&
      free.length > 0 &&
      (mayExceed || isolated.size < max)
    ) {
      const next = free.shift() as EndpointState;
      chosen.push(next);
      isolated.set(next.endpointId, { jobs: new Set([job]), isShared });
    }
  });
  return isolated;
};

/**
 * Lists the endpoints on which the waiting suspects of a step may be started now.
 *
 * @param state - The batch state.
 * @param isolated - The isolated endpoints.
 * @param request - The step, and the endpoints that may run it.
 * @param nowMs - The current time.
 * @returns The endpoints isolated for the step's job that run only tasks of the job and long-running tasks of others,
 *   or, after a waiting time, tasks of others of any kind. The runs of others must have survived the observation
 *   period. If the suspects may run beside those of other jobs, also the shared endpoints, whose runs of suspects need
 *   not have survived it.
 */
export const findIsolatedEndpoints = (
  state: BatchState,
  isolated: IsolatedEndpoints,
  { step, eligible }: IsolationRequest,
  nowMs: number,
): readonly EndpointState[] => {
  const { job } = step;
  if (!areCrashRecordsWritten(job)) return [];
  const hasWaited = hasWaitedLong(step, nowMs);
  const isShared = mayShareIsolation(state, step, nowMs);
  const mayRunBeside = (endpoint: EndpointState, run: RunState): boolean =>
    hasSurvivedObservation(endpoint, run)
      ? run.step.spec.isLasting || hasWaited
      : isShared && isSuspect(run.task) && isSharable(run.task);
  const isReserved = ({ endpointId }: EndpointState): boolean => {
    const isolation = isolated.get(endpointId);
    return isolation !== undefined && (isolation.jobs.has(job) || (isShared && isolation.isShared));
  };
  return eligible.filter(
    (endpoint) =>
      isReserved(endpoint) &&
      runsOfOtherJobs(endpoint, job).every((run) => mayRunBeside(endpoint, run)),
  );
};
