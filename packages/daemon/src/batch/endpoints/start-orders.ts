/** Sends start orders to one endpoint, repeats unanswered ones and applies their outcome. */
import {
  applyStartOutcome,
  parseTaskKey,
  recordAnsweredStart,
  recordStartsAnswered,
  recordUnansweredStart,
  removeTicket,
  isSoleHolder,
  isStartWithinQuota,
  isSuspected,
  recordStartSent,
  withdrawStart,
  type BatchEffect,
  type EndpointClock,
  type OrderError,
  type StartOrder,
  type StartOutcome,
  type TaskKey,
} from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import type { LinkContext } from './link-context.js';
import type { EndpointOrders, OrderTarget } from '../ports.js';

/** A start order is repeated with the same run number before the task is started elsewhere. */
const MAX_START_ATTEMPTS = 2;

/** An endpoint that is up responds at least this often, even over a saturated link. */
const MAX_RESPONSE_GAP_MS = 2500;

/** The outcome of the start orders for one run. */
type StartResult = {
  readonly outcome: StartOutcome;
  readonly error?: OrderError;
  /** The endpoint's clock when it started the run, if the first order did. */
  readonly clockMs?: number;
  /** True if one of the orders got no response and may still be carried out. */
  readonly hasUnansweredOrder: boolean;
};

export type StartOrderSenderOptions = {
  readonly target: OrderTarget;
  readonly context: LinkContext;
  /** Reads the endpoint's clock again if the last reading is too old. */
  readonly refreshClock: () => Promise<void>;
  /**
   * Computes the time on the endpoint's clock until which it keeps its runs, in milliseconds; undefined while its
   * clock is unknown.
   */
  readonly computeLeaseEnd: () => number | undefined;
  /** Records a reading of the endpoint's clock. */
  readonly recordClockReading: (reading: EndpointClock) => void;
  /** Sends an order with the current timeout of the link. */
  readonly send: <Value>(
    order: (timeoutMs: number) => Promise<Result<Value, OrderError>>,
  ) => Promise<Result<Value, OrderError>>;
  /** Logs and handles an order that failed; the fields are added to the log line. */
  readonly recordError: (error: OrderError, fields: Record<string, string | number>) => void;
  readonly isClosed: () => boolean;
};

/** Orders the endpoint to start a run, and applies the outcome to the state. */
export type StartOrderSender = (effect: Extract<BatchEffect, { kind: 'start' }>) => Promise<void>;

/**
 * Creates the sender of start orders of a link.
 *
 * @param options - The endpoint and the parts of its link that the sender uses.
 * @returns The function that sends a start order and applies its outcome.
 */
export const createStartOrderSender = ({
  target,
  context,
  refreshClock,
  computeLeaseEnd,
  recordClockReading,
  send,
  recordError,
  isClosed,
}: StartOrderSenderOptions): StartOrderSender => {
  const { state, orders, log, metrics, nowMs } = context;
  const { endpointId, dataCentre } = target;

  /**
   * Tells whether a start order may be sent. It is checked immediately before each order, including repeats, because
   * the state on which the placement was decided may be outdated by then.
   *
   * An order reaches whichever incarnation has the endpoint's id. If another entry may be the holder and the endpoint
   * may have restarted unnoticed, the new incarnation would accept an order of this holder before it knows the next
   * holder.
   */
  const mayStart = (): boolean => {
    if (!context.isCertainlyHolder() || !context.isStartAllowedIn(dataCentre) || isClosed())
      return false;
    const heardAtMs = state.endpoints.get(endpointId)?.reportedAtMs ?? -Infinity;
    return isSoleHolder(state, nowMs()) || nowMs() - heardAtMs < MAX_RESPONSE_GAP_MS;
  };

  /**
   * Tells whether a run is still to be started. While its order waits or is unanswered, its job may be cancelled or the run
   * given up.
   */
  const isWanted = ({ task, run }: Pick<StartOrder, 'task' | 'run'>): boolean => {
    const known = state.endpoints.get(endpointId)?.runs.get(task);
    return known?.run === run && known.phase !== 'stopping';
  };

  /** Tells whether a run is still to be started, under the quota that its account has now. */
  const isDue = (run: Pick<StartOrder, 'task' | 'run'>): boolean =>
    isWanted(run) && isStartWithinQuota(state, endpointId, run, nowMs());

  /** The endpoint may have begun to drain, or its host may have been cordoned, since the start was decided. */
  const takesNewWork = (): boolean => {
    const endpoint = state.endpoints.get(endpointId);
    return endpoint !== undefined && !endpoint.isDraining && !endpoint.isCordoned;
  };

  /** The endpoint's rack or data centre may have come under suspicion since the start was decided. */
  const isDomainSuspected = (): boolean => {
    const endpoint = state.endpoints.get(endpointId);
    return endpoint !== undefined && isSuspected(state, endpoint);
  };

  /** Tells whether the order of a run may be sent again, or the rest of it. */
  const mayStillSend = (order: StartOrder): boolean => mayStart() && isDue(order) && takesNewWork();

  /** Sends a start order, and counts it as in flight in the order window. */
  const sendInWindow = async (order: StartOrder): ReturnType<EndpointOrders['start']> => {
    const sentAtMs = nowMs();
    context.orderWindow.begin();
    const response = await send((timeoutMs) =>
      orders.start(target, order, timeoutMs, () => mayStillSend(order)),
    );
    const durationMs = nowMs() - sentAtMs;
    const isUnanswered = response.isErr() && response.error.reason === 'no-answer';
    if (isUnanswered && !context.sharedDelayEstimator.isLocalFault()) context.orderWindow.cancel();
    else context.orderWindow.end(durationMs, nowMs());
    metrics.time('order_start', durationMs * 1000);
    return response;
  };

  /**
   * Sends a start order, and repeats it if it gets no response. The endpoint starts a run only once, however often it
   * is ordered to, so the run does not have to be blocked here and the task started elsewhere.
   */
  const sendStart = async (order: StartOrder): Promise<StartResult> => {
    let isFirstUnanswered = false;
    for (let attempt = 1; ; attempt += 1) {
      recordStartSent(state, endpointId, order, nowMs());
      const response = await sendInWindow(order);
      if (response.isOk()) {
        recordClockReading(response.value);
        const { clockMs } = response.value;
        return isFirstUnanswered
          ? { outcome: 'started', hasUnansweredOrder: true }
          : { outcome: 'started', clockMs, hasUnansweredOrder: false };
      }
      const { error } = response;
      recordError(error, { task: order.task, run: order.run, attempt });
      // The first order started the run, which has already ended.
      if (isFirstUnanswered && error.reason === 'old')
        return { outcome: 'started', hasUnansweredOrder: true };
      if (error.verdict === 'notRun')
        return {
          outcome: isFirstUnanswered ? 'unknown' : 'rejected',
          error,
          hasUnansweredOrder: isFirstUnanswered,
        };
      if (attempt === MAX_START_ATTEMPTS || !mayStillSend(order)) {
        return { outcome: 'unknown', error, hasUnansweredOrder: true };
      }
      isFirstUnanswered = true;
    }
  };

  /**
   * An order without an answer says nothing about the endpoint if this entry's own link or processor is the cause, or if the
   * run ended, was stopped or came to exceed its account's quota before the order was repeated.
   */
  const recordHealth = (outcome: StartOutcome, task: TaskKey, wasDue: boolean): void => {
    const jobId = parseTaskKey(task)?.jobId;
    if (outcome !== 'unknown') recordAnsweredStart(state, endpointId);
    else if (jobId !== undefined && wasDue && !context.sharedDelayEstimator.isLocalFault())
      recordUnansweredStart(state, endpointId, jobId, nowMs());
  };

  return async (effect) => {
    const { task, run, spec, checkpoint, ticket } = effect;
    await refreshClock();
    if (!isWanted(effect)) return;
    if (!isDue(effect)) {
      withdrawStart(state, endpointId, effect, nowMs());
      return;
    }
    const keepUntilMs = computeLeaseEnd();
    if (keepUntilMs === undefined || !mayStart() || !takesNewWork() || isDomainSuspected()) {
      const reason = 'not-sent';
      applyStartOutcome(state, endpointId, {
        task,
        run,
        outcome: 'rejected',
        reason,
        nowMs: nowMs(),
      });
      return;
    }
    const order = { task, run, spec, checkpoint, ticket, keepUntilMs, fence: state.fence };
    const { outcome, error, clockMs, hasUnansweredOrder } = await sendStart(order);
    if (error?.reason === 'ticket') removeTicket(state, task, endpointId);
    const reason = error?.reason;
    const wasDue = isDue(order);
    applyStartOutcome(state, endpointId, { task, run, outcome, reason, clockMs, nowMs: nowMs() });
    recordHealth(outcome, task, wasDue);
    if (!hasUnansweredOrder) recordStartsAnswered(state, endpointId, order);
    if (outcome !== 'started') {
      context.requestScheduling();
      return;
    }
    log.debug('task-started', { task, run, endpoint: endpointId, reason: effect.reason });
  };
};
