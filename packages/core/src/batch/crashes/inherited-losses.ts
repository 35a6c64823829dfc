/**
 * Endpoints that crashed shortly before a change of the holder. The holder before may have been lost before it could
 * count that against the tasks there, and starts are written nowhere: so in a pool that shows such a crash, the new
 * holder announces the first start of each inherited task in its job's row. If it is lost in turn with the next
 * endpoint, the holder after it counts that start.
 */
import type { HostView } from '../pools/hosts.js';
import { bornAtMs } from '../model/endpoint-life.js';
import {
  poolOf,
  type BatchState,
  type EndpointState,
  type PoolState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { firstRunNumber } from '../endpoints/runs.js';

/** A host is back some seconds after a crash; a takeover takes up to 8.5 s. */
const RECENT_MS = 12_000;

/**
 * Notes which pools have hosts that are down at the first reading of the list of hosts.
 *
 * @param state - All that is known, changed in place.
 * @param hosts - The list.
 */
export const noteLossesBefore = (state: BatchState, hosts: readonly HostView[]): void =>
  hosts
    .filter((host) => host.state === 'down')
    .forEach(({ pool }) => {
      poolOf(state, pool).hasLossBefore = true;
    });

/** A life that began shortly before this term may have followed one that crashed. */
const isRestart = (
  { takenOverAtMs, todayAheadMs }: BatchState,
  { endpointId }: EndpointState,
): boolean => {
  const atMs = bornAtMs(endpointId);
  if (atMs === undefined) return false;
  const takenOverTodayMs = takenOverAtMs + todayAheadMs;
  return atMs > takenOverTodayMs - RECENT_MS && atMs < takenOverTodayMs;
};

/**
 * Tells whether an endpoint of a pool may have crashed shortly before this holder took over.
 *
 * @param state - All that is known.
 * @param pool - The pool.
 * @param endpoints - Its endpoints.
 * @returns True if a host was down then, or an endpoint had just begun.
 */
export const hasLossBefore = (
  state: BatchState,
  pool: PoolState,
  endpoints: readonly EndpointState[],
): boolean => pool.hasLossBefore || endpoints.some((endpoint) => isRestart(state, endpoint));

/**
 * Tells whether the next start of a task is the first by this holder of a task that the one before may have begun.
 *
 * @param state - All that is known.
 * @param step - The task's step.
 * @param task - The task.
 * @returns True if the start is to be announced where the pool has a loss before.
 */
export const isFirstStartOfInherited = (
  { fence }: BatchState,
  { job }: StepRun,
  { lastRun }: Task,
): boolean => job.isInherited && lastRun < firstRunNumber(fence);
