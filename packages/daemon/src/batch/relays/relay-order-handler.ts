/**
 * The relay side of relayed orders: forwards orders of the control holder to endpoints and returns the endpoints'
 * answers.
 */
import { randomInt } from 'node:crypto';

import { parseTaskKey, type OrderError } from '@valvelatch/core/batch';
import { Err } from 'ts-results-es';

import type { Metrics } from '../../observe/metrics.js';
import { OPEN_GATE, type StartGate } from '../configuration/start-gate.js';
import {
  decodeOrder,
  encodeAnswer,
  encodeRelayClock,
  encodeReply,
  SPEC_MISSING,
  type OrderDeadline,
  type RelayClockReading,
  type RelayedOrder,
} from './order-message.js';
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

/** A link of the mesh may deliver an order seconds late: after a cut, or after a pause of this process. */
const ORDER_EXPIRED: OrderError = {
  verdict: 'notRun',
  reason: 'no-answer',
  detail: 'the order reached the relay after its deadline',
};

/** The largest number of an incarnation, a bound of `randomInt`. */
const MAX_INCARNATION = 2 ** 47;

export type RelayOrderHandlerOptions = {
  /** Sends orders to the endpoints. */
  readonly orders: EndpointOrders;
  /** Counts the relayed orders by kind. */
  readonly metrics: Metrics;
  /**
   * Tells whether this entry may send starts. The relay checks this itself since it may know of an evacuation before the
   * holder does, and a relay whose process was paused may send an order seconds after the holder's check.
   */
  readonly gate?: Pick<StartGate, 'mayStartIn' | 'isOpen'>;
  /** The relay's monotonic clock, in milliseconds. */
  readonly nowMs?: () => number;
};

export type RelayOrderHandler = {
  /**
   * Decodes an order, sends it to its endpoint and returns the encoded reply, which the mesh sends back to the holder.
   * Throws if the payload is not an order.
   */
  readonly answer: (payload: unknown) => Promise<unknown>;
  /** Returns the encoded clock of this relay, on which the deadlines of orders are times. */
  readonly answerClock: () => unknown;
};

/**
 * Creates the handler of relayed orders. Its only state is a cache of job specs, which may be lost: each order carries
 * its own fence and deadline.
 *
 * @param options - The route to the endpoints, the gate for starts and the clock.
 * @returns The handler.
 */
export const createRelayOrderHandler = ({
  orders,
  metrics,
  gate = OPEN_GATE,
  nowMs = () => performance.now(),
}: RelayOrderHandlerOptions): RelayOrderHandler => {
  const incarnation = randomInt(MAX_INCARNATION);
  const cachedSpecs = new Map<string, string>();

  const cacheSpec = (jobId: string, spec: string): void => {
    cachedSpecs.set(jobId, spec);
    const [oldest] = cachedSpecs.keys();
    if (cachedSpecs.size > MAX_CACHED_SPECS && oldest !== undefined) cachedSpecs.delete(oldest);
  };

  const readClock = (): RelayClockReading => ({ incarnation, clockMs: nowMs() });

  const hasExpired = (deadline: OrderDeadline): boolean =>
    deadline.incarnation !== incarnation || nowMs() >= deadline.untilMs;

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

  const handle = async (carried: RelayedOrder): Promise<unknown> => {
    if (hasExpired(carried.deadline)) {
      metrics.count('carried_expired');
      return encodeAnswer(Err(ORDER_EXPIRED));
    }
    metrics.count(`carried_${carried.kind}`);
    const forward = handlers[carried.kind] as (order: RelayedOrder) => Promise<unknown>;
    return forward(carried);
  };

  return {
    answer: async (payload) => {
      const carried = decodeOrder(payload);
      if (!carried) throw new Error('this is no order');
      const answer = await handle(carried);
      return encodeReply({ clock: readClock(), answer });
    },
    answerClock: () => encodeRelayClock(readClock()),
  };
};
