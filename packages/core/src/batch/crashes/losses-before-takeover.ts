/**
 * Detects pools in which endpoints may have crashed shortly before a change of the control holder. The previous holder
 * may have been lost before it could record the crash against the tasks on the endpoint, and ordinary starts are not
 * persisted. So in such a pool, the new holder announces the first start of each inherited task: it writes the start to
 * the job's row before ordering it. If this holder is lost as well, together with the next endpoint, its successor
 * counts that start as a crash.
 */
import type { ListedHost } from '../pools/listed-hosts.js';
import { incarnationStartMs } from '../model/endpoint-incarnation.js';
import {
  poolOf,
  type BatchState,
  type EndpointState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';

/**
 * Crashes are looked for up to this long before a takeover: a host is back some seconds after a crash, and a takeover
 * takes up to 8.5 s.
 */
const LOOKBACK_MS = 12_000;

/**
 * Records which pools have hosts that are down in the first read of the host list.
 *
 * @param state - The batch state, changed in place.
 * @param hosts - The host list.
 */
export const markPoolsWithDownHosts = (state: BatchState, hosts: readonly ListedHost[]): void =>
  hosts
    .filter((host) => host.state === 'down')
    .forEach(({ pool }) => {
      poolOf(state, pool).hadHostDownAtTakeover = true;
    });

/** Tells whether an endpoint started shortly before the takeover, so that it may be the restart of one that crashed. */
const hasStartedBeforeTakeover = (
  { takenOverAtMs, wallClockOffsetMs }: BatchState,
  { endpointId }: EndpointState,
): boolean => {
  const atMs = incarnationStartMs(endpointId);
  if (atMs === undefined) return false;
  const takenOverWallClockMs = takenOverAtMs + wallClockOffsetMs;
  return atMs > takenOverWallClockMs - LOOKBACK_MS && atMs < takenOverWallClockMs;
};

/**
 * Tells whether an endpoint of a pool may have crashed shortly before this holder took over.
 *
 * @param state - The batch state.
 * @param pool - The pool.
 * @param endpoints - Its endpoints.
 * @returns True if a host of the pool was down in the first read of the host list, or if an endpoint had just started.
 */
export const mayHaveLostEndpoints = (
  state: BatchState,
  pool: PoolState,
  endpoints: readonly EndpointState[],
): boolean =>
  pool.hadHostDownAtTakeover ||
  endpoints.some((endpoint) => hasStartedBeforeTakeover(state, endpoint));

/**
 * Tells whether the next start of a task is the first one by this holder, and an earlier holder may have started the
 * task before.
 *
 * @param step - The task's step.
 * @param task - The task; undefined if it has no record, so that this holder has not ordered it.
 * @returns True if the start must be announced first, provided that the pool may have lost an endpoint before the
 *   takeover.
 */
export const isFirstStartOfInheritedTask = ({ job }: StepRun, task: Task | undefined): boolean =>
  job.isInherited && !task?.isOrdered;
