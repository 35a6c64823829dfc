/**
 * Sends stop orders to one endpoint. An order that got no answer is repeated some times, and waits while the control lease
 * is not certain. If it is given up then, the next report of the endpoint requests it again: without an answer, a run whose
 * start order got no response would never be given up.
 */
import {
  applyStopResponse,
  listRunsToStopAgain,
  MAX_ORDER_DELAY_MS,
  type BatchEffect,
  type OrderError,
} from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import { sleep } from '../../shared/sleep.js';
import type { LinkContext } from './link-context.js';
import type { OrderTarget } from '../ports.js';

const RETRY_MS = 250;
/** An order that bars a late start is repeated for as long as that start may still arrive. */
const MAX_STOP_ATTEMPTS = MAX_ORDER_DELAY_MS / RETRY_MS;
/** The errors after which a stop order is repeated at once. After others it is repeated with the next report. */
const RETRIED_REASONS: ReadonlySet<OrderError['reason']> = new Set([
  'no-answer',
  'unreachable',
  'unhealthy',
]);

const REPEATED_STOP_REASON = 'an earlier order to stop it had no answer';

type StopEffect = Extract<BatchEffect, { kind: 'stop' }>;

/** How one attempt to send an order ended; `retry` also while the control lease is not certain. */
type AttemptOutcome = 'answered' | 'retry' | 'given-up';

export type StopOrderSenderOptions = {
  readonly target: OrderTarget;
  readonly context: LinkContext;
  /** Sends an order with the current timeout of the link. */
  readonly send: <Value>(
    order: (timeoutMs: number) => Promise<Result<Value, OrderError>>,
  ) => Promise<Result<Value, OrderError>>;
  /** Logs and handles an order that failed; the fields are added to the log line. */
  readonly recordError: (error: OrderError, fields: Record<string, string | number>) => void;
  /** Called when the endpoint has answered a stop order for the run. */
  readonly onStopped: (effect: StopEffect) => Promise<void>;
  readonly isClosed: () => boolean;
};

export type StopOrderSender = {
  /** Orders the endpoint to stop a run, and applies its response to the state. */
  readonly stop: (effect: StopEffect) => Promise<void>;
  /** Repeats the orders to stop runs that the endpoint has not answered; to be called after each of its reports. */
  readonly repeatUnanswered: () => void;
};

/**
 * Creates the sender of stop orders of a link.
 *
 * @param options - The endpoint and the parts of its link that the sender uses.
 * @returns The sender, which has sent nothing yet.
 */
export const createStopOrderSender = ({
  target,
  context,
  send,
  recordError,
  onStopped,
  isClosed,
}: StopOrderSenderOptions): StopOrderSender => {
  const { state, orders, log, nowMs } = context;
  const { endpointId } = target;
  const inFlight = new Set<string>();

  const sendOnce = async (effect: StopEffect): Promise<AttemptOutcome> => {
    if (!context.isCertainlyHolder()) return 'retry';
    const { task, run } = effect;
    const order = { task, run, fence: state.fence };
    const response = await send((timeoutMs) => orders.stop(target, order, timeoutMs));
    if (response.isOk()) {
      applyStopResponse(state, endpointId, task, run, nowMs());
      await onStopped(effect);
      return 'answered';
    }
    recordError(response.error, { task, run });
    return RETRIED_REASONS.has(response.error.reason) ? 'retry' : 'given-up';
  };

  const sendStop = async (effect: StopEffect): Promise<void> => {
    const { task, run, reason } = effect;
    log.info('task-stop', { task, run, endpoint: endpointId, reason });
    for (let attempt = 0; attempt < MAX_STOP_ATTEMPTS && !isClosed(); attempt += 1) {
      const outcome = await sendOnce(effect);
      if (outcome === 'answered') return;
      await sleep(RETRY_MS);
      if (outcome === 'given-up') return;
    }
  };

  /** Each report of an unknown run requests its stop again; at most one stop per run is in flight. */
  const stop = async (effect: StopEffect): Promise<void> => {
    const key = `${effect.task}/${effect.run}`;
    if (inFlight.has(key)) return;
    inFlight.add(key);
    await sendStop(effect).finally(() => inFlight.delete(key));
  };

  const repeatUnanswered = (): void => {
    const endpoint = state.endpoints.get(endpointId);
    if (!endpoint) return;
    listRunsToStopAgain(state, endpoint).forEach(({ task, run }) => {
      void stop({ kind: 'stop', endpointId, task: task.key, run, reason: REPEATED_STOP_REASON });
    });
  };

  return { stop, repeatUnanswered };
};
