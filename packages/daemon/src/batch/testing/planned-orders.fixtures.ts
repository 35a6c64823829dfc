/**
 * Sends the orders of a simulated holder to its endpoints. The outcome of each order is given: when it is carried out and
 * when its answer arrives, or that either is lost.
 */
import type { OrderError } from '@valvelatch/core/batch';
import type { EndpointId } from '@valvelatch/core/shared/ids';
import { Err, type Result } from 'ts-results-es';

import type { EndpointOrders } from '../ports.js';
import { NO_ANSWER, REPLACED, refusedOrder } from './order-errors.fixtures.js';
import type { SimEndpoint } from './sim-endpoint.fixtures.js';
import { sleep } from './sim-platform.fixtures.js';

/** The outcome of one order. */
export type OrderOutcome = {
  /** How long until the endpoint carries the order out; null if it never does. */
  readonly requestMs: number | null;
  /** How long the answer is in flight; null if it is lost. */
  readonly answerMs: number | null;
  /** How long until the connection breaks, which ends the call before its timeout; null if it does not break. */
  readonly resetAfterMs?: number | null;
  /** If set, the holder gets the answer that the order was not carried out, with this reason. */
  readonly refusal?: 'unreachable' | 'unhealthy';
};

export type OrderKind = 'start' | 'stop' | 'list';

/**
 * The outcomes of the orders of each kind, in the order in which they are sent; later orders are carried out and
 * answered without delay.
 */
export type OrderOutcomes = Readonly<Record<OrderKind, readonly OrderOutcome[]>>;

/** The outcome of an order that is carried out and answered without delay. */
export const PROMPT_OUTCOME: OrderOutcome = { requestMs: 1, answerMs: 1 };

type Answer<Value> = Result<Value, OrderError>;

export type PlannedOrdersOptions = {
  readonly endpoints: ReadonlyMap<EndpointId, SimEndpoint>;
  readonly outcomes: Partial<OrderOutcomes>;
  /** The maximum number of run ends in one answer of an endpoint. */
  readonly maxReportedEnds: number;
  /** True once the holder is stopped: it sends no further orders, and none in flight is delivered. */
  readonly isStopped: () => boolean;
};

/**
 * Creates the orders of a holder.
 *
 * @param options - The endpoints and the outcomes of orders.
 * @returns The orders, and the outcomes of the next ones, which may be changed.
 */
export const createPlannedOrders = ({
  endpoints,
  outcomes,
  maxReportedEnds,
  isStopped,
}: PlannedOrdersOptions) => {
  const nowMs = (): number => performance.now();
  const plannedOutcomes: Record<OrderKind, OrderOutcome[]> = {
    start: [...(outcomes.start ?? [])],
    stop: [...(outcomes.stop ?? [])],
    list: [...(outcomes.list ?? [])],
  };

  /** Sends an order, which meets the next planned outcome of its kind. */
  const send = <Value>(
    kind: OrderKind,
    endpointId: EndpointId,
    timeoutMs: number,
    carryOut: (endpoint: SimEndpoint) => Promise<Answer<Value>> | Answer<Value>,
    onAnswer: (endpoint: SimEndpoint, answer: Answer<Value>) => void = () => undefined,
  ): Promise<Answer<Value>> =>
    new Promise((resolve) => {
      const {
        requestMs,
        answerMs,
        resetAfterMs = null,
        refusal,
      } = plannedOutcomes[kind].shift() ?? PROMPT_OUTCOME;
      const endpoint = endpoints.get(endpointId);
      if (!endpoint || isStopped()) return;
      let isFinished = false;
      const finish = (answer: Answer<Value>): void => {
        if (isFinished) return;
        isFinished = true;
        onAnswer(endpoint, answer);
        resolve(answer);
      };
      const deliver = async (): Promise<void> => {
        const cutForMs = endpoint.cutUntilMs - nowMs();
        if (cutForMs > 0 && !endpoint.deliversAfterCut) return;
        if (cutForMs > 0) await sleep(cutForMs);
        if (isStopped() || (!endpoint.model.isUp() && !endpoint.isReplaced)) return;
        const answer = endpoint.model.isUp() ? await carryOut(endpoint) : Err(REPLACED);
        if (answerMs === null) return;
        await sleep(answerMs);
        if (nowMs() >= endpoint.cutUntilMs) finish(answer);
      };
      setTimeout(() => finish(Err(NO_ANSWER)), timeoutMs);
      if (refusal !== undefined) {
        setTimeout(() => finish(Err(refusedOrder(refusal))), answerMs ?? 1);
      }
      if (resetAfterMs !== null) setTimeout(() => finish(Err(NO_ANSWER)), resetAfterMs);
      if (requestMs === null) return;
      setTimeout(() => {
        void deliver();
      }, requestMs);
    });

  const orders: EndpointOrders = {
    list: ({ endpointId }, order, timeoutMs) =>
      send(
        'list',
        endpointId,
        order.waitMs + timeoutMs,
        async ({ model, lease }) => {
          lease.apply(order.keepUntilMs);
          const answer = await model.list(order);
          return answer.map((reported) => ({
            ...reported,
            ended: reported.ended.slice(0, maxReportedEnds),
          }));
        },
        ({ reportedEnds }, answer) => {
          if (answer.isOk()) answer.value.ended.forEach(({ number }) => reportedEnds.add(number));
        },
      ),
    start: ({ endpointId }, order, timeoutMs) =>
      send('start', endpointId, timeoutMs, ({ model, lease }) => {
        lease.apply(order.keepUntilMs);
        return model.start(order);
      }),
    stop: ({ endpointId }, order, timeoutMs) =>
      send('stop', endpointId, timeoutMs, ({ model }) => model.stop(order)),
    setPace: async () => Err(NO_ANSWER),
    release: () => undefined,
  };

  return { orders, plannedOutcomes };
};
