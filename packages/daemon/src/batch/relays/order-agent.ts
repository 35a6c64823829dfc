/** Sends orders for the holder of control, and answers with what the endpoint answered. */
import { parseTaskKey, type OrderError } from '@valvelatch/core/batch';
import { Err } from 'ts-results-es';

import type { Metrics } from '../../observe/metrics.js';
import { OPEN_GATE, type StartGate } from '../configuration/start-gate.js';
import { decodeOrder, encodeAnswer, SPEC_MISSING, type CarriedOrder } from './order-message.js';
import type { EndpointOrders } from '../ports.js';

/** Texts of jobs that are kept: of 4 KB at most, and a job's starts come within seconds. */
const MOST_SPECS = 500;

const EVACUATED: OrderError = {
  verdict: 'notRun',
  reason: 'evacuated',
  detail: 'by what the relay knows, the data centre is evacuated or may be',
};

export type OrderAgent = {
  /** Sends an order; the answer of the mesh. */
  readonly answer: (payload: unknown) => Promise<unknown>;
};

/**
 * Builds the agent. It keeps nothing that matters: the order carries its fence and its time.
 *
 * @param orders - Sends orders to the endpoints.
 * @param metrics - Counts what was carried.
 * @param gate - Whether starts may leave this entry: it may know of an evacuation before the holder does, and one
 * that was paused may send an order seconds after the holder's check.
 * @returns The agent.
 */
export const createOrderAgent = (
  orders: EndpointOrders,
  metrics: Metrics,
  gate: Pick<StartGate, 'mayStartIn'> = OPEN_GATE,
): OrderAgent => {
  const specs = new Map<string, string>();

  const keepSpec = (jobId: string, spec: string): void => {
    specs.set(jobId, spec);
    const [oldest] = specs.keys();
    if (specs.size > MOST_SPECS && oldest !== undefined) specs.delete(oldest);
  };

  const start = async ({
    target,
    timeoutMs,
    order,
  }: Extract<CarriedOrder, { kind: 'start' }>): Promise<unknown> => {
    const jobId = parseTaskKey(order.task)?.jobId ?? '';
    if (order.spec !== null) keepSpec(jobId, order.spec);
    const spec = specs.get(jobId);
    if (spec === undefined) return SPEC_MISSING;
    if (!gate.mayStartIn(target.dataCentre)) return encodeAnswer(Err(EVACUATED));
    return encodeAnswer(await orders.start(target, { ...order, spec }, timeoutMs));
  };

  const handlers: {
    readonly [Kind in CarriedOrder['kind']]: (
      carried: Extract<CarriedOrder, { kind: Kind }>,
    ) => Promise<unknown>;
  } = {
    start,
    list: async ({ target, timeoutMs, order }) =>
      encodeAnswer(await orders.list(target, order, timeoutMs)),
    stop: async ({ target, timeoutMs, order }) =>
      encodeAnswer(await orders.stop(target, order, timeoutMs)),
  };

  return {
    answer: async (payload) => {
      const carried = decodeOrder(payload);
      if (!carried) throw new Error('this is no order');
      metrics.count(`carried_${carried.kind}`);
      const handle = handlers[carried.kind] as (one: CarriedOrder) => Promise<unknown>;
      return handle(carried);
    },
  };
};
