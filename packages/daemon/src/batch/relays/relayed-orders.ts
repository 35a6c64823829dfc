/**
 * Sends the holder's orders to endpoints through other entries (relays) while they are more than the holder's own
 * processor or link should carry. An order that a relay does not answer is handled like one that the endpoint did not
 * answer, and the next order does not use that relay. Each order names the time until which its relay may send it, on the
 * relay's own clock, since a link of the mesh delivers late what a cut held up.
 */
import { createRelayDecision, parseTaskKey, type OrderError } from '@valvelatch/core/batch';
import type { EndpointId, EntryId } from '@valvelatch/core/shared/ids';
import { Err, type Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import {
  decodeAnswer,
  decodeReply,
  encodeOrder,
  SPEC_MISSING,
  type ListAnswer,
  type OrderDeadline,
  type RelayedOrder,
} from './order-message.js';
import { createDirectRoutes } from './direct-routes.js';
import { createRelayRoster, type RelayPeers } from './relay-roster.js';
import type { EndpointOrders, LinkUsage, OrderTarget } from '../ports.js';

/** The mesh method that asks another entry to relay an order. */
export const RELAY_ORDER_METHOD = 'relay-order';

/**
 * Time allowed for the round trip to a relay, in addition to the timeout of the relay's own call to the endpoint. A relay
 * may send an order until the holder gives it up; the wait of a list request begins only then.
 */
const RELAY_ROUND_TRIP_MS = 150;
/** How often the relays are selected again. */
export const RELAY_REFRESH_INTERVAL_MS = 400;
/**
 * Maximum number of jobs for which the holder remembers, per relay, that the relay has the spec. It must not exceed the
 * number of specs that a relay caches (`MAX_CACHED_SPECS`): otherwise starts would be sent without a spec that the relay
 * has dropped, and each of them would have to be sent twice.
 */
const MAX_TRACKED_SPECS = 400;

export type RelayedOrdersOptions = {
  readonly orders: EndpointOrders;
  /** Returns the other entries; undefined while they are not known yet. */
  readonly peers: () => RelayPeers | undefined;
  /** Returns the bytes of this entry's own calls to endpoints, and the capacity of its link. */
  readonly readLinkUsage: () => LinkUsage;
  /** How many cores this entry may use. */
  readonly cores: number;
  /** False if all orders are to be sent directly, however many there are. */
  readonly mayRelay: boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
};

export type RelayedOrders = EndpointOrders & {
  /**
   * Decides from the traffic of orders whether to relay them, and selects the relays. The holder must call this every
   * `RELAY_REFRESH_INTERVAL_MS`.
   */
  readonly refresh: () => void;
};

const NOT_SENT: OrderError = {
  verdict: 'notRun',
  reason: 'not-sent',
  detail: 'the relay lacked the spec, and the run must not start any more',
};

/** An order on its way to a relay. */
type SentOrder = {
  readonly relay: EntryId;
  readonly endpointId: EndpointId;
  readonly sentAtMs: number;
};

/** The content of an order without the time that it has. */
type UntimedOrder = Pick<RelayedOrder, 'kind' | 'target' | 'order'>;

/** Remembers which relays have the spec of which job. */
const createSentSpecs = () => {
  const jobsByRelay = new Map<EntryId, Set<string>>();
  return {
    /** Records that a relay is sent the spec of a job; returns true if it did not have it, so that it must be sent. */
    record: (relay: EntryId, jobId: string): boolean => {
      const known = jobsByRelay.get(relay) ?? new Set<string>();
      const isNew = !known.has(jobId);
      known.add(jobId);
      const [oldest] = known;
      if (known.size > MAX_TRACKED_SPECS && oldest !== undefined) known.delete(oldest);
      jobsByRelay.set(relay, known);
      return isNew;
    },
    forget: (relay: EntryId): void => {
      jobsByRelay.delete(relay);
    },
  };
};

/** The times of an order that is sent to a relay. */
type OrderTimes = {
  /** How long the relay waits for the endpoint, in milliseconds. */
  readonly timeoutMs: number;
  /** For how long the endpoint may hold its answer back, in milliseconds. */
  readonly waitMs?: number;
  /** After it the relay does not send the order; by default the time that an answer may take. */
  readonly deadline?: OrderDeadline;
};

/**
 * Creates the sender of orders, which sends them directly or through relays.
 *
 * @param options - The direct route, the other entries, and the traffic of this entry's link.
 * @returns The sender.
 */
export const createRelayedOrders = ({
  orders,
  peers,
  readLinkUsage,
  cores,
  mayRelay,
  log,
  metrics,
  nowMs = () => performance.now(),
}: RelayedOrdersOptions): RelayedOrders => {
  const isRelayingNeeded = createRelayDecision();
  const roster = createRelayRoster({ peers, log, nowMs });
  const directRoutes = createDirectRoutes(nowMs);
  const sentSpecs = createSentSpecs();
  let orderCount = 0;
  let isRelaying = false;

  const refresh = (): void => {
    if (!mayRelay) return;
    const wasRelaying = isRelaying;
    isRelaying = isRelayingNeeded({ ...readLinkUsage(), orders: orderCount, cores }, nowMs());
    if (isRelaying !== wasRelaying) log.info('orders-relayed', { isRelaying, orders: orderCount });
    roster.refresh();
  };

  /** Chooses the relay of an order; undefined if it is sent directly. */
  const relayFor = (target: OrderTarget): EntryId | undefined => {
    orderCount += 1;
    const isDirect = !isRelaying || directRoutes.takeNext(target.endpointId);
    return isDirect ? undefined : roster.relayOf(target);
  };

  /**
   * Records that an order got no answer from its relay. A relay that was heard since the order was sent has not failed:
   * the answer is late, here or at the endpoint.
   */
  const recordFailure = (
    { relay, endpointId, sentAtMs }: SentOrder,
    detail: string,
  ): OrderError => {
    const isHeard = (peers()?.silentForMs(relay) ?? Infinity) < nowMs() - sentAtMs;
    metrics.count('relay_unanswered');
    log.info('relay-unanswered', { relay, detail, isHeard });
    if (isHeard) directRoutes.recordLoss(endpointId);
    else {
      roster.recordFailure(relay);
      sentSpecs.forget(relay);
    }
    return { verdict: 'mayHaveRun', reason: 'no-answer', detail: `relay ${relay}: ${detail}` };
  };

  const deadlineOf = (relay: EntryId, ms: number): OrderDeadline => {
    const deadline = roster.deadlineAfter(relay, ms);
    if (!deadline) throw new Error('the clock of the relay is not known');
    return deadline;
  };

  /** Sends an order to a relay; rejects if it does not answer. */
  const sendToRelay = async (
    relay: EntryId,
    content: UntimedOrder,
    {
      timeoutMs,
      waitMs = 0,
      deadline = deadlineOf(relay, timeoutMs + RELAY_ROUND_TRIP_MS),
    }: OrderTimes,
  ): Promise<unknown> => {
    metrics.count(`relayed_${content.kind}`);
    const carried = { ...content, timeoutMs, deadline } as RelayedOrder;
    const answerWithinMs = timeoutMs + waitMs + RELAY_ROUND_TRIP_MS;
    const payload = await peers()?.ask(
      relay,
      RELAY_ORDER_METHOD,
      encodeOrder(carried),
      answerWithinMs,
    );
    const reply = decodeReply(payload);
    if (!reply) throw new Error('the answer of the relay cannot be read');
    roster.recordClock(relay, reply.clock);
    return reply.answer;
  };

  /** Decodes an answer, and records what it shows of the route over the relay. */
  const handleAnswer = (
    endpointId: EndpointId,
    payload: unknown,
  ): Result<ListAnswer, OrderError> => {
    const answer = decodeAnswer(payload);
    const reason = answer.isErr() ? answer.error.reason : undefined;
    if (reason === 'no-answer') directRoutes.recordLoss(endpointId);
    else if (reason === 'unreachable') directRoutes.recordUnreachable(endpointId);
    else directRoutes.recordAnswer(endpointId);
    return answer;
  };

  const send = async (
    relay: EntryId,
    content: UntimedOrder,
    times: OrderTimes,
  ): Promise<Result<ListAnswer, OrderError>> => {
    const { endpointId } = content.target;
    const sent = { relay, endpointId, sentAtMs: nowMs() };
    try {
      return handleAnswer(endpointId, await sendToRelay(relay, content, times));
    } catch (error) {
      return Err(recordFailure(sent, String(error)));
    }
  };

  const start: EndpointOrders['start'] = async (
    target,
    order,
    timeoutMs,
    mayStillSend = () => true,
  ) => {
    const relay = relayFor(target);
    if (relay === undefined) return orders.start(target, order, timeoutMs);
    const { endpointId } = target;
    const sent = { relay, endpointId, sentAtMs: nowMs() };
    const isNew = sentSpecs.record(relay, parseTaskKey(order.task)?.jobId ?? '');
    const withSpec = (spec: string | null): UntimedOrder => ({
      kind: 'start',
      target,
      order: { ...order, spec },
    });
    try {
      // Both messages carry one deadline: whether the task may start was checked before the first.
      const deadline = deadlineOf(relay, timeoutMs + RELAY_ROUND_TRIP_MS);
      const sendWith = (spec: string | null): Promise<unknown> =>
        sendToRelay(relay, withSpec(spec), { timeoutMs, deadline });
      const first = await sendWith(isNew ? order.spec : null);
      if (first !== SPEC_MISSING) return handleAnswer(endpointId, first);
      return mayStillSend() ? handleAnswer(endpointId, await sendWith(order.spec)) : Err(NOT_SENT);
    } catch (error) {
      return Err(recordFailure(sent, String(error)));
    }
  };

  return {
    refresh,
    start,
    list: (target, order, timeoutMs) => {
      const relay = relayFor(target);
      if (relay === undefined) return orders.list(target, order, timeoutMs);
      return send(relay, { kind: 'list', target, order }, { timeoutMs, waitMs: order.waitMs });
    },
    stop: (target, order, timeoutMs) => {
      const relay = relayFor(target);
      if (relay === undefined) return orders.stop(target, order, timeoutMs);
      return send(relay, { kind: 'stop', target, order }, { timeoutMs });
    },
    setPace: orders.setPace,
    release: (target) => {
      roster.unassign(target.endpointId);
      directRoutes.forget(target.endpointId);
      orders.release(target);
    },
  };
};
