/**
 * The relay side of relayed orders: forwards orders of the control holder to endpoints and returns the endpoints'
 * answers.
 */
import { parseTaskKey, type OrderError } from '@valvelatch/core/batch';
import { Err } from 'ts-results-es';

import type { Metrics } from '../../observe/metrics.js';
import { OPEN_GATE, type StartGate } from '../configuration/start-gate.js';
import { decodeOrder, encodeAnswer, SPEC_MISSING, type RelayedOrder } from './order-message.js';
import type { EndpointOrders } from '../ports.js';

/** Maximum number of job specs in the cache. A spec has 4 KB at most, and all starts of a job arrive within seconds. */
const MAX_CACHED_SPECS = 500;

const DATA_CENTRE_EVACUATED: OrderError = {
  verdict: 'notRun',
  reason: 'evacuated',
  detail: 'by what the relay knows, the data centre is evacuated',
};

/**
 * The reason `unreachable` makes the holder send its next order to the endpoint directly: this relay cannot tell which
 * data centres are evacuated, while the holder may know.
 */
const EVACUATION_VIEW_OUTDATED: OrderError = {
  verdict: 'notRun',
  reason: 'unreachable',
  detail: 'the relay has not heard of evacuations for too long',
};

export type RelayOrderHandler = {
  /**
   * Decodes an order, sends it to its endpoint and returns the encoded answer, which the mesh sends back to the holder.
   * Throws if the payload is not an order.
   */
  readonly answer: (payload: unknown) => Promise<unknown>;
};

/**
 * Creates the handler of relayed orders. Its only state is a cache of job specs, which may be lost: each order carries
 * its own fence and deadline.
 *
 * @param orders - Sends orders to the endpoints.
 * @param metrics - Counts the relayed orders by kind.
 * @param gate - Tells whether this entry may send starts. The relay checks this itself since it may know of an evacuation
 * before the holder does, and a relay whose process was paused may send an order seconds after the holder's check.
 * @returns The handler.
 */
export const createRelayOrderHandler = (
  orders: EndpointOrders,
  metrics: Metrics,
  gate: Pick<StartGate, 'mayStartIn' | 'isOpen'> = OPEN_GATE,
): RelayOrderHandler => {
  const cachedSpecs = new Map<string, string>();

  const cacheSpec = (jobId: string, spec: string): void => {
    cachedSpecs.set(jobId, spec);
    const [oldest] = cachedSpecs.keys();
    if (cachedSpecs.size > MAX_CACHED_SPECS && oldest !== undefined) cachedSpecs.delete(oldest);
  };

  const start = async ({
    target,
    timeoutMs,
    order,
  }: Extract<RelayedOrder, { kind: 'start' }>): Promise<unknown> => {
    const jobId = parseTaskKey(order.task)?.jobId ?? '';
    if (order.spec !== null) cacheSpec(jobId, order.spec);
    const spec = cachedSpecs.get(jobId);
    if (spec === undefined) return SPEC_MISSING;
    if (!gate.isOpen()) return encodeAnswer(Err(EVACUATION_VIEW_OUTDATED));
    if (!gate.mayStartIn(target.dataCentre)) return encodeAnswer(Err(DATA_CENTRE_EVACUATED));
    return encodeAnswer(await orders.start(target, { ...order, spec }, timeoutMs));
  };

  const handlers: {
    readonly [Kind in RelayedOrder['kind']]: (
      carried: Extract<RelayedOrder, { kind: Kind }>,
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
      const handle = handlers[carried.kind] as (order: RelayedOrder) => Promise<unknown>;
      return handle(carried);
    },
  };
};
