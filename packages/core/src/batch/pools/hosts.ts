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

/** How many tasks of a lasting step are at work anywhere, by answers that are fresh. */
const atWork = (state: BatchState, step: StepRun): number =>
  Array.from(step.perEndpoint.keys())
    .flatMap((endpointId) => state.endpoints.get(endpointId) ?? [])
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
  /** How many of its tasks are not at work anywhere. */
  readonly away: number;
  readonly reason: string;
};

/**
 * Finds the lasting step whose budget forbids that an endpoint goes now.
 *
 * @param state - All that is known.
 * @param endpoint - The endpoint.
 * @returns The step and the reason, or undefined if the endpoint may go.
 */
export const findBudgetObstacle = (
  state: BatchState,
  endpoint: EndpointState,
): BudgetObstacle | undefined =>
  Array.from(lastingSteps(endpoint)).flatMap((step) => {
    const here = Array.from(endpoint.runs.values()).filter((run) => run.step === step);
    const away = step.spec.taskCount - atWork(state, step);
    const hereAtWork = here.filter(isAtWork).length;
    if (hereAtWork === 0 || away + hereAtWork <= step.spec.mayMiss) return [];
    const { jobId, queue } = step.job.job;
    const reason = `queue=${queue} job=${jobId}: ${away} of ${step.spec.taskCount} tasks are not at work, ${hereAtWork} would go, ${step.spec.mayMiss} may be missed`;
    return [{ step, away, reason }];
  })[0];

/**
 * Tells whether only lasting tasks, or none, run on an endpoint.
 *
 * @param endpoint - The endpoint.
 * @returns True if nothing that ends by itself would be cut.
 */
export const isQuiet = ({ runs }: EndpointState): boolean =>
  Array.from(runs.values()).every(({ step }) => step.spec.isLasting);

/**
 * Has one task of a lasting step moved off an endpoint that would take more of them along than may
 * be missed, if there is room for it elsewhere.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint; it must be closed to new work.
 * @param obstacle - The step; nothing is moved while more of it is away than may be missed.
 * @param nowMs - The time.
 * @returns True if a task was ordered to move.
 */
export const moveOneAway = (
  state: BatchState,
  endpoint: EndpointState,
  { step, away }: BudgetObstacle,
  nowMs: number,
): boolean => {
  if (away >= step.spec.mayMiss) return false;
  const hasRoom = usableEndpoints(state, endpoint.pool, nowMs).some(
    (other) => other !== endpoint && mayHold(other, step),
  );
  const run = Array.from(endpoint.runs.values()).find((one) => one.step === step && isAtWork(one));
  if (!hasRoom || !run) return false;
  run.task.avoid = endpoint.endpointId;
  stopRun(state, endpoint, run, 'moved off a host that is to go down');
  return true;
};
