/** Orders to start a run at one endpoint: sent, sent again, and what becomes of them. */
import {
  applyStartOutcome,
  recordStartsAnswered,
  removeTicket,
  isSoleHolder,
  isSuspected,
  recordStartSent,
  type BatchEffect,
  type EndpointClock,
  type OrderError,
  type StartOrder,
  type StartOutcome,
} from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import type { LinkContext } from './link-context.js';
import type { EndpointOrders, OrderTarget } from '../ports.js';

/** An order is sent again under the same run number before the task goes elsewhere. */
const START_TRIES = 2;

/** An endpoint that is there is heard so often at least, also over a link that is full. */
const RESPONSIVE_MS = 2500;

/** What became of the orders for one run. */
type SentStart = {
  readonly outcome: StartOutcome;
  readonly error?: OrderError;
  /** One had no answer and may still be carried out. */
  readonly isOpen: boolean;
};

export type StartOrdersOptions = {
  readonly target: OrderTarget;
  readonly context: LinkContext;
  /** Reads the endpoint's clock anew if the last reading is old. */
  readonly refreshClock: () => Promise<void>;
  /** Gives the time until when the endpoint is to keep what runs there; undefined while its clock is not known. */
  readonly keepUntil: () => number | undefined;
  readonly noteClock: (reading: EndpointClock) => void;
  /** Sends an order with the time-out of the link. */
  readonly send: <Answer>(
    order: (timeoutMs: number) => Promise<Result<Answer, OrderError>>,
  ) => Promise<Result<Answer, OrderError>>;
  readonly noteError: (error: OrderError, fields: Record<string, string | number>) => void;
  readonly isClosed: () => boolean;
};

/** Has an endpoint begin a run. */
export type StartOrders = (effect: Extract<BatchEffect, { kind: 'start' }>) => Promise<void>;

/**
 * Builds the orders to start of a link.
 *
 * @param options - The link.
 * @returns What sends one, and applies what becomes of it.
 */
export const createStartOrders = ({
  target,
  context,
  refreshClock,
  keepUntil,
  noteClock,
  send,
  noteError,
  isClosed,
}: StartOrdersOptions): StartOrders => {
  const { state, orders, log, metrics, nowMs } = context;
  const { endpointId, dataCentre } = target;

  /**
   * Asked at once before each order leaves, also before one is sent again: what the placement was decided on may be
   * old by then.
   *
   * An order reaches whichever life has the endpoint's id. Where another entry may hold control, and an endpoint may
   * have started again unheard, the next life would take an order of this holder before it knows of the next one.
   */
  const mayStart = (): boolean => {
    if (!context.mayOrder() || !context.mayStartIn(dataCentre) || isClosed()) return false;
    const heardAtMs = state.endpoints.get(endpointId)?.reportedAtMs ?? -Infinity;
    return isSoleHolder(state, nowMs()) || nowMs() - heardAtMs < RESPONSIVE_MS;
  };

  /** Its rack or its data centre may have been lost since the start was decided. */
  const isHeldBack = (): boolean => {
    const endpoint = state.endpoints.get(endpointId);
    return endpoint !== undefined && isSuspected(state, endpoint);
  };

  /** Sends a start as one of those under way. */
  const sendCounted = async (order: StartOrder): ReturnType<EndpointOrders['start']> => {
    const sentAtMs = nowMs();
    context.window.begin();
    const answer = await send((timeoutMs) => orders.start(target, order, timeoutMs));
    const tookMs = nowMs() - sentAtMs;
    const isLost = answer.isErr() && answer.error.reason === 'no-answer';
    if (isLost && !context.linkDelay.isLocalFault()) context.window.cancel();
    else context.window.end(tookMs, nowMs());
    metrics.time('order_start', tookMs * 1000);
    return answer;
  };

  /**
   * Sends a start. One without an answer is sent again: the endpoint begins a run once, however
   * often it is ordered to, so the task need not be barred here and begun elsewhere.
   */
  const sendStart = async (order: StartOrder): Promise<SentStart> => {
    let isFirstLost = false;
    for (let attempt = 1; ; attempt += 1) {
      recordStartSent(state, endpointId, order, nowMs());
      const answer = await sendCounted(order);
      if (answer.isOk()) {
        noteClock(answer.value);
        return { outcome: 'started', isOpen: isFirstLost };
      }
      const { error } = answer;
      noteError(error, { task: order.task, run: order.run, attempt });
      // The run that was begun by the first order has ended already.
      if (isFirstLost && error.reason === 'old') return { outcome: 'started', isOpen: true };
      if (error.verdict === 'notRun')
        return { outcome: isFirstLost ? 'unknown' : 'rejected', error, isOpen: isFirstLost };
      if (attempt === START_TRIES || !mayStart()) {
        return { outcome: 'unknown', error, isOpen: true };
      }
      isFirstLost = true;
    }
  };

  return async (effect) => {
    const { task, run, spec, checkpoint, ticket } = effect;
    await refreshClock();
    // It may have been given up while the answer was awaited, and must not begin after that.
    if (state.endpoints.get(endpointId)?.runs.get(task)?.run !== run) return;
    const keepUntilMs = keepUntil();
    if (keepUntilMs === undefined || !mayStart() || isHeldBack()) {
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
    const { outcome, error, isOpen } = await sendStart(order);
    if (error?.reason === 'ticket') removeTicket(state, task, endpointId);
    const reason = error?.reason;
    applyStartOutcome(state, endpointId, { task, run, outcome, reason, nowMs: nowMs() });
    if (!isOpen) recordStartsAnswered(state, endpointId, order);
    if (outcome !== 'started') {
      context.poke();
      return;
    }
    log.debug('task-started', { task, run, endpoint: endpointId, reason: effect.reason });
  };
};
