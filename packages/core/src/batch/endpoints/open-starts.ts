/**
 * Orders to start a run that had no answer. Each may still be carried out for some seconds, by whichever life
 * has the endpoint's id by then: a later one knows neither that the run was barred, nor that it has ended, nor the
 * fence that the one before had seen.
 */
import type { EndpointId, InstanceId } from '../../shared/ids.js';
import { instanceOf } from '../model/endpoint-life.js';
import type { BatchState, OpenStart } from '../model/state.js';

/** A platform may hold an order up for so long. */
export const LATEST_ORDER_MS = 12_000;

/** Which run an order is to start. */
export type StartedRun = Pick<OpenStart, 'task' | 'run'>;

const replace = (state: BatchState, instanceId: InstanceId, open: readonly OpenStart[]): void => {
  if (open.length > 0) state.openStarts.set(instanceId, open);
  else state.openStarts.delete(instanceId);
};

const isOf =
  ({ task, run }: StartedRun) =>
  (one: StartedRun): boolean =>
    one.task === task && one.run === run;

/**
 * Lists the orders to start that an endpoint may still carry out, in whichever life.
 *
 * @param state - All that is known, changed in place: orders that nothing can follow from are forgotten.
 * @param instanceId - The endpoint.
 * @param nowMs - The time.
 * @returns The orders.
 */
export const openStartsAt = (
  state: BatchState,
  instanceId: InstanceId,
  nowMs: number,
): readonly OpenStart[] => {
  const known = state.openStarts.get(instanceId);
  if (!known) return [];
  const open = known.filter(({ untilMs }) => untilMs > nowMs);
  if (open.length < known.length) replace(state, instanceId, open);
  return open;
};

/**
 * Notes that an order to start is sent.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - Where to.
 * @param started - The run.
 * @param nowMs - The time.
 */
export const openStart = (
  state: BatchState,
  endpointId: EndpointId,
  started: StartedRun,
  nowMs: number,
): void => {
  const instanceId = instanceOf(endpointId);
  const others = openStartsAt(state, instanceId, nowMs).filter((one) => !isOf(started)(one));
  const { task, run } = started;
  replace(state, instanceId, [...others, { task, run, untilMs: nowMs + LATEST_ORDER_MS }]);
};

/**
 * Notes that each order to start a run was answered.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - Where they were sent.
 * @param started - The run.
 */
export const closeStart = (
  state: BatchState,
  endpointId: EndpointId,
  started: StartedRun,
): void => {
  const instanceId = instanceOf(endpointId);
  const open = state.openStarts.get(instanceId) ?? [];
  replace(
    state,
    instanceId,
    open.filter((one) => !isOf(started)(one)),
  );
};

/**
 * Tells whether an order to start a run may still be carried out.
 *
 * @param state - All that is known.
 * @param endpointId - Where it was sent.
 * @param started - The run.
 * @param nowMs - The time.
 * @returns True while one without an answer may be under way.
 */
export const isStartOpen = (
  state: BatchState,
  endpointId: EndpointId,
  started: StartedRun,
  nowMs: number,
): boolean => openStartsAt(state, instanceOf(endpointId), nowMs).some(isOf(started));
