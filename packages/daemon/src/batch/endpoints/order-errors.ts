/** What follows from a failed order to an endpoint: for the term, and for the new work that the endpoint gets. */
import type { EndpointState, OrderError } from '@valvelatch/core/batch';
import type { EndpointId } from '@valvelatch/core/shared/ids';

import type { LinkContext } from './link-context.js';

/** An endpoint that rejected a task for lack of capacity gets no new work for this time. */
const FULL_WITHHOLD_MS = 150;
/** An endpoint that is unhealthy or does not respond gets no new work for this time. */
export const UNHEALTHY_WITHHOLD_MS = 1000;

/** For how long an endpoint that gave one of these reasons gets no new work, in milliseconds. */
const WITHHOLD_MS: Readonly<Partial<Record<OrderError['reason'], number>>> = {
  room: FULL_WITHHOLD_MS,
  unhealthy: UNHEALTHY_WITHHOLD_MS,
};

type Fields = Readonly<Record<string, string | number>>;

/** Records that an order failed. The fields are added to the log line. */
export type OrderErrorRecorder = (order: string, error: OrderError, fields: Fields) => void;

/**
 * Withholds new work from an endpoint; never for a shorter time than before.
 *
 * @param endpoint - The endpoint.
 * @param untilMs - Until when, on the holder's monotonic clock in milliseconds.
 */
export const withholdWork = (endpoint: EndpointState, untilMs: number): void => {
  Object.assign(endpoint, { withheldUntilMs: Math.max(endpoint.withheldUntilMs, untilMs) });
};

/**
 * Creates the recorder of failed orders to one endpoint. It counts and logs each, reports a lost fence and a replaced or
 * restarted endpoint to the term, and withholds new work from an endpoint that is full or unhealthy.
 *
 * @param endpointId - The endpoint.
 * @param context - The dependencies that the links of the control term share.
 * @returns The recorder.
 */
export const createOrderErrorRecorder = (
  endpointId: EndpointId,
  context: Pick<
    LinkContext,
    'state' | 'log' | 'metrics' | 'nowMs' | 'onFenceLost' | 'onReplaced' | 'onRestarted'
  >,
): OrderErrorRecorder => {
  const { state, log, metrics, nowMs } = context;

  const notifyTerm = (reason: OrderError['reason']): void => {
    if (reason === 'fence') context.onFenceLost();
    if (reason === 'other-endpoint') context.onReplaced(endpointId);
    if (reason === 'other-life') context.onRestarted(endpointId);
  };

  return (order, error, fields) => {
    const { reason } = error;
    metrics.count(`order_${order}_${reason.replace('-', '_')}`);
    log.info('order-failed', { order, endpoint: endpointId, ...fields, ...error });
    notifyTerm(reason);
    const endpoint = state.endpoints.get(endpointId);
    const withholdMs = WITHHOLD_MS[reason];
    if (!endpoint || withholdMs === undefined) return;
    withholdWork(endpoint, nowMs() + withholdMs);
    endpoint.withheldReason = reason;
  };
};
