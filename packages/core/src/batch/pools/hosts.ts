/** Hosts by the platform's list, and what may be done to them without breaking a budget. */
import type { DataCentreId, EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { instanceOf } from '../model/endpoint-life.js';
import { mayHold, usableEndpoints } from '../endpoints/sound-endpoints.js';
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

/** A host as the platform lists it. */
export type HostView = {
  readonly hostId: HostId;
  readonly pool: PoolName;
  /** `up`: it can be ordered to move or to go down for maintenance. */
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly dataCentre: DataCentreId;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  /** The endpoint that lives on it, in whichever life; null while there is none. */
  readonly instanceId: InstanceId | null;
};

/** A pool as the configuration declares it. */
export type PoolView = {
  readonly name: PoolName;
  /** Its hosts are switched off. */
  readonly isSpare: boolean;
};

/** An endpoint whose life has ended by the list of hosts. */
export type DeadEndpoint = {
  readonly endpointId: EndpointId;
  /** `host-ordered`: by a move of its host or its maintenance, whoever ordered it. */
  readonly cause: Extract<GoneCause, 'host-list' | 'host-ordered' | 'host-taken'>;
};

const ORDERED_STATES: ReadonlySet<HostView['state']> = new Set(['moving', 'maintenance']);

/**
 * Finds endpoints whose life has ended by the list of hosts: their host is down, changes, or is
 * lived on by another. The list must have been asked for after the endpoint was first seen.
 *
 * @param state - All that is known.
 * @param hosts - The list.
 * @param askedAtMs - When it was asked for.
 * @returns The endpoints that run nothing any more, and why.
 */
export const findDeadEndpoints = (
  state: BatchState,
  hosts: ReadonlyMap<HostId, HostView>,
  askedAtMs: number,
): readonly DeadEndpoint[] =>
  Array.from(state.endpoints.values()).flatMap((endpoint): readonly DeadEndpoint[] => {
    const { hostId, seenAtMs, endpointId, pool } = endpoint;
    const host = hostId === null ? undefined : hosts.get(hostId);
    if (!host || seenAtMs >= askedAtMs) return [];
    if (host.instanceId === instanceOf(endpointId)) return [];
    // A former holder's order may be carried out now, so this one's own orders do not tell.
    const isOrdered = ORDERED_STATES.has(host.state) || host.pool !== pool;
    if (isOrdered) return [{ endpointId, cause: 'host-ordered' }];
    return [{ endpointId, cause: host.instanceId === null ? 'host-list' : 'host-taken' }];
  });

/** Endpoints with lasting tasks are asked each second and answer within another. */
const FRESH_MS = 2600;

const isAtWork = ({ phase, percent }: RunState): boolean => phase === 'running' && percent >= 100;

/** How many tasks of a lasting step are at work on other endpoints, by answers that are fresh. */
const atWorkElsewhere = (state: BatchState, step: StepRun, here: EndpointState): number =>
  Array.from(step.perEndpoint.keys())
    .flatMap((endpointId) => state.endpoints.get(endpointId) ?? [])
    .filter((endpoint) => endpoint !== here)
    .filter(({ reportedAtMs }) => state.clockMs - reportedAtMs < FRESH_MS)
    .flatMap(({ runs }) => Array.from(runs.values()))
    .filter((run) => run.step === step && isAtWork(run)).length;

/**
 * Lists the lasting steps with a budget that have tasks on an endpoint.
 *
 * @param endpoint - The endpoint.
 * @returns The steps.
 */
export const lastingSteps = ({ runs }: EndpointState): ReadonlySet<StepRun> =>
  new Set(
    Array.from(runs.values(), ({ step }) => step).filter(
      ({ spec, job }) => spec.isLasting && spec.mayMiss > 0 && job.phase === 'running',
    ),
  );

/** A lasting step whose budget forbids something, with the reason. */
export type BudgetObstacle = {
  readonly step: StepRun;
  /** How many of its tasks are not at work anywhere, or are to go with other hosts. */
  readonly away: number;
  readonly reason: string;
};

/**
 * Counts the tasks of a lasting step that are at work on an endpoint.
 *
 * @param endpoint - The endpoint; undefined for none.
 * @param step - The step.
 * @returns The number of tasks, by the endpoint's last answer.
 */
export const countAtWork = (endpoint: EndpointState | undefined, step: StepRun): number =>
  Array.from(endpoint?.runs.values() ?? []).filter((run) => run.step === step && isAtWork(run))
    .length;

/**
 * Counts the tasks of a lasting step that are at work nowhere. Those on the endpoint that is to go count by its
 * last answer, however old: they were counted twice before, as away and as tasks that would go, and a host that
 * had not answered for 2.6 s waited for itself.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @param endpoint - The endpoint that is to go, or of which a task is to move.
 * @returns The number of tasks.
 */
export const countAway = (state: BatchState, step: StepRun, endpoint: EndpointState): number => {
  const here = countAtWork(endpoint, step);
  return step.spec.taskCount - atWorkElsewhere(state, step, endpoint) - here;
};

const NONE_CLAIMED: ReadonlyMap<StepRun, number> = new Map();

/**
 * Finds the lasting step whose budget forbids that an endpoint goes now.
 *
 * @param state - All that is known.
 * @param endpoint - The endpoint.
 * @param claimed - How many tasks of steps other hosts are to take along that have not gone yet.
 * @returns The step and the reason, or undefined if the endpoint may go.
 */
export const findBudgetObstacle = (
  state: BatchState,
  endpoint: EndpointState,
  claimed: ReadonlyMap<StepRun, number> = NONE_CLAIMED,
): BudgetObstacle | undefined =>
  Array.from(lastingSteps(endpoint)).flatMap((step) => {
    const hereAtWork = countAtWork(endpoint, step);
    const away = countAway(state, step, endpoint);
    const goingToo = claimed.get(step) ?? 0;
    if (hereAtWork === 0 || away + goingToo + hereAtWork <= step.spec.mayMiss) return [];
    const { jobId, queue } = step.job.job;
    const reason = `queue=${queue} job=${jobId}: ${away} of ${step.spec.taskCount} tasks are not at work, ${hereAtWork} would go, ${step.spec.mayMiss} may be missed`;
    return [{ step, away: away + goingToo, reason }];
  })[0];

/**
 * Tells whether only lasting tasks, or none, run on an endpoint.
 *
 * @param endpoint - The endpoint.
 * @returns True if nothing that ends by itself would be cut.
 */
export const isQuiet = ({ runs }: EndpointState): boolean =>
  Array.from(runs.values()).every(({ step }) => step.spec.isLasting);

/** Which task moves, and where to. */
export type MoveOptions = {
  readonly step: StepRun;
  /** How many of its tasks are not at work, or are to go with hosts; nothing moves at the allowance. */
  readonly away: number;
  readonly nowMs: number;
  /** Whether a task may move; any if left out. */
  readonly mayMove?: (task: Task) => boolean;
  /** Whether an endpoint with room may take it; any if left out. */
  readonly mayTake?: (endpoint: EndpointState) => boolean;
};

/**
 * Has one task of a lasting step moved off an endpoint, if there is room for it elsewhere beside what waits of
 * the step.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 * @param options - The step, and what may move where.
 * @returns The task that was ordered to move; undefined for none.
 */
export const moveOneAway = (
  state: BatchState,
  endpoint: EndpointState,
  { step, away, nowMs, mayMove = () => true, mayTake = () => true }: MoveOptions,
): Task | undefined => {
  if (away >= step.spec.mayMiss) return undefined;
  const run = Array.from(endpoint.runs.values()).find(
    (one) => one.step === step && isAtWork(one) && mayMove(one.task),
  );
  if (!run) return undefined;
  const places = usableEndpoints(state, endpoint.pool, nowMs).filter(
    (other) => other !== endpoint && mayHold(other, step) && mayTake(other),
  );
  if (places.length <= step.waiting.length) return undefined;
  run.task.avoid = endpoint.endpointId;
  stopRun(state, endpoint, run, 'moved off a host that is to go down');
  return run.task;
};
