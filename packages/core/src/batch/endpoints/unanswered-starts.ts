/**
 * Start orders that were not answered. Each of them may still be executed for some seconds, by whichever incarnation
 * has the endpoint's id by then. A later incarnation knows neither that the run was blocked, nor that it has ended, nor
 * the fence that the previous incarnation had seen.
 */
import type { EndpointId, InstanceId } from '../../shared/ids.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import type { BatchState, UnansweredStart } from '../model/state.js';

/** The longest time for which a platform may delay an order. */
export const MAX_ORDER_DELAY_MS = 12_000;

/** The run that an order is to start. */
export type RunKey = Pick<UnansweredStart, 'task' | 'run'>;

const setOpenStarts = (
  state: BatchState,
  instanceId: InstanceId,
  open: readonly UnansweredStart[],
): void => {
  if (open.length > 0) state.unansweredStarts.set(instanceId, open);
  else state.unansweredStarts.delete(instanceId);
};

const isSameRun =
  ({ task, run }: RunKey) =>
  (one: RunKey): boolean =>
    one.task === task && one.run === run;

/**
 * Lists the start orders that an endpoint may still execute, in any incarnation.
 *
 * @param state - The holder's batch state, modified in place: expired orders are removed.
 * @param instanceId - The endpoint.
 * @param nowMs - The current time.
 * @returns The orders.
 */
export const unansweredStartsAt = (
  state: BatchState,
  instanceId: InstanceId,
  nowMs: number,
): readonly UnansweredStart[] => {
  const known = state.unansweredStarts.get(instanceId);
  if (!known) return [];
  const open = known.filter(({ untilMs }) => untilMs > nowMs);
  if (open.length < known.length) setOpenStarts(state, instanceId, open);
  return open;
};

/**
 * Records that a start order is being sent.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint that it is sent to.
 * @param started - The run.
 * @param nowMs - The current time.
 */
export const recordStartSent = (
  state: BatchState,
  endpointId: EndpointId,
  started: RunKey,
  nowMs: number,
): void => {
  const instanceId = instanceIdOf(endpointId);
  const others = unansweredStartsAt(state, instanceId, nowMs).filter(
    (one) => !isSameRun(started)(one),
  );
  const { task, run } = started;
  setOpenStarts(state, instanceId, [...others, { task, run, untilMs: nowMs + MAX_ORDER_DELAY_MS }]);
};

/**
 * Records that all orders to start a run have been answered.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint that they were sent to.
 * @param started - The run.
 */
export const recordStartsAnswered = (
  state: BatchState,
  endpointId: EndpointId,
  started: RunKey,
): void => {
  const instanceId = instanceIdOf(endpointId);
  const open = state.unansweredStarts.get(instanceId) ?? [];
  setOpenStarts(
    state,
    instanceId,
    open.filter((one) => !isSameRun(started)(one)),
  );
};

/**
 * Tells whether an order to start a run may still be executed.
 *
 * @param state - The holder's batch state.
 * @param endpointId - The endpoint that it was sent to.
 * @param started - The run.
 * @param nowMs - The current time.
 * @returns True while an unanswered order may be in transit.
 */
export const isStartInTransit = (
  state: BatchState,
  endpointId: EndpointId,
  started: RunKey,
  nowMs: number,
): boolean => unansweredStartsAt(state, instanceIdOf(endpointId), nowMs).some(isSameRun(started));
