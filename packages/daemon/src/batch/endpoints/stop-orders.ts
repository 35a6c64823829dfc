/** Orders to stop a run at one endpoint, sent until one is answered. */
import { applyStopResponse, type BatchEffect, type OrderError } from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import { sleep } from '../../shared/sleep.js';
import type { LinkContext } from './link-context.js';
import type { OrderTarget } from '../ports.js';

const STOP_TRIES = 40;
const RETRY_MS = 250;
/** After these a stop is sent again: without it a run whose start had no answer would never be given up. */
const STOP_AGAIN: ReadonlySet<OrderError['reason']> = new Set([
  'no-answer',
  'unreachable',
  'unhealthy',
]);

type StopEffect = Extract<BatchEffect, { kind: 'stop' }>;

export type StopOrdersOptions = {
  readonly target: OrderTarget;
  readonly context: LinkContext;
  /** Sends an order with the time-out of the link. */
  readonly send: <Answer>(
    order: (timeoutMs: number) => Promise<Result<Answer, OrderError>>,
  ) => Promise<Result<Answer, OrderError>>;
  readonly noteError: (error: OrderError, fields: Record<string, string | number>) => void;
  /** The endpoint has answered an order to stop the run. */
  readonly onStopped: (effect: StopEffect) => Promise<void>;
  readonly isClosed: () => boolean;
};

/** Has an endpoint stop a run. */
export type StopOrders = (effect: StopEffect) => Promise<void>;

/**
 * Builds the orders to stop of a link.
 *
 * @param options - The link.
 * @returns What sends one, and applies its answer.
 */
export const createStopOrders = ({
  target,
  context,
  send,
  noteError,
  onStopped,
  isClosed,
}: StopOrdersOptions): StopOrders => {
  const { state, orders, log, nowMs } = context;
  const { endpointId } = target;
  const underWay = new Set<string>();

  const sendStop = async (effect: StopEffect): Promise<void> => {
    const { task, run, reason } = effect;
    log.info('task-stop', { task, run, endpoint: endpointId, reason });
    for (let attempt = 0; attempt < STOP_TRIES && !isClosed() && context.mayOrder(); attempt += 1) {
      const order = { task, run, fence: state.fence };
      const answer = await send((timeoutMs) => orders.stop(target, order, timeoutMs));
      if (answer.isOk()) {
        applyStopResponse(state, endpointId, task, run, nowMs());
        await onStopped(effect);
        return;
      }
      noteError(answer.error, { task, run });
      if (!STOP_AGAIN.has(answer.error.reason)) return;
      await sleep(RETRY_MS);
    }
  };

  /** Each report of a run that is not known here asks for its stop anew: one is under way at most. */
  return async (effect) => {
    const name = `${effect.task}/${effect.run}`;
    if (underWay.has(name)) return;
    underWay.add(name);
    await sendStop(effect).finally(() => underWay.delete(name));
  };
};
