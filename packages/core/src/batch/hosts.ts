/** Hosts by the platform's list, and what may be done to them without breaking a budget. */
import type { EndpointId, HostId, PoolName } from '../shared/ids.js';
import type { BatchState, Capacity, EndpointState, RunState, StepRun } from './state.js';

/** A host as the platform lists it. */
export type HostView = {
  readonly hostId: HostId;
  readonly pool: PoolName;
  /** `up`: it can be ordered to move or to go down for maintenance. */
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  /** The endpoint that lives on it; null while there is none. */
  readonly endpointId: EndpointId | null;
};

/** A pool as the configuration declares it. */
export type PoolView = {
  readonly name: PoolName;
  /** Its hosts are switched off. */
  readonly isSpare: boolean;
};

/**
 * Finds endpoints whose life has ended by the list of hosts: their host is down, changes, or is
 * lived on by another. The list must have been asked for after the endpoint was first seen.
 *
 * @param state - All that is known.
 * @param hosts - The list.
 * @param askedAtMs - When it was asked for.
 * @returns The endpoints that run nothing any more.
 */
export const findDeadEndpoints = (
  state: BatchState,
  hosts: ReadonlyMap<HostId, HostView>,
  askedAtMs: number,
): readonly EndpointId[] =>
  Array.from(state.endpoints.values())
    .filter(({ hostId, seenAtMs, endpointId }) => {
      const host = hostId === null ? undefined : hosts.get(hostId);
      return host !== undefined && seenAtMs < askedAtMs && host.endpointId !== endpointId;
    })
    .map(({ endpointId }) => endpointId);

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

/**
 * Finds the lasting step whose budget forbids that an endpoint goes now.
 *
 * @param state - All that is known.
 * @param endpoint - The endpoint.
 * @returns The step, or undefined if the endpoint may go.
 */
export const findBudgetObstacle = (
  state: BatchState,
  endpoint: EndpointState,
): StepRun | undefined =>
  Array.from(lastingSteps(endpoint)).find((step) => {
    const here = Array.from(endpoint.runs.values()).filter((run) => run.step === step);
    const away = step.spec.taskCount - atWork(state, step);
    const hereAtWork = here.filter(isAtWork).length;
    return hereAtWork > 0 && away + hereAtWork > step.spec.mayMiss;
  });

/**
 * Tells whether only lasting tasks, or none, run on an endpoint.
 *
 * @param endpoint - The endpoint.
 * @returns True if nothing that ends by itself would be cut.
 */
export const isQuiet = ({ runs }: EndpointState): boolean =>
  Array.from(runs.values()).every(({ step }) => step.spec.isLasting);
