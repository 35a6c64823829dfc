/**
 * Sends the holder's orders to endpoints through other entries (relays) while the holder's own link is
 * busy. An order that a relay does not answer is handled like one that the endpoint did not answer, and
 * the next order does not use that relay. No further safeguard is needed, since orders are safe when an
 * endpoint's answer is lost.
 */
import {
  createRelayAssignment,
  createRelayDecision,
  parseTaskKey,
  selectRelays,
  type LinkUsage,
  type OrderError,
  type RelayCandidate,
} from '@valvelatch/core/batch';
import type { EndpointId, EntryId } from '@valvelatch/core/shared/ids';
import { Err, type Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import {
  decodeAnswer,
  encodeOrder,
  SPEC_MISSING,
  type RelayedOrder,
  type ListAnswer,
} from './order-message.js';
import type { Peers } from '../entry/peers.js';
import type { EndpointOrders, OrderTarget } from '../ports.js';

/** The mesh method that asks another entry to relay an order. */
export const RELAY_ORDER_METHOD = 'order';

/** A relay that has sent nothing for this long gets no orders. Entries send each other a message every 0.5 s. */
const MAX_RELAY_SILENCE_MS = 1200;
/**
 * How long a relay that did not answer gets no orders, and how long an endpoint that its relay could not reach gets its
 * orders directly.
 */
const FAILURE_COOLDOWN_MS = 3000;
/** Time allowed for the round trip to a relay, in addition to the time-out of the relay's own call to the endpoint. */
const RELAY_ROUND_TRIP_MS = 150;
/** Links are kept open to more entries than serve as relays, so that replacing a lost relay needs no new link. */
const LINKS_PER_DATA_CENTRE = 5;
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
  readonly peers: () => Pick<Peers, 'ask' | 'ensureLink' | 'members' | 'silentForMs'> | undefined;
  /** Returns how many bytes this entry's link has transferred so far, and its capacity. */
  readonly readLinkUsage: () => LinkUsage;
  /** False if all orders are to be sent directly, however busy the link is. */
  readonly mayRelay: boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
};

export type RelayedOrders = EndpointOrders & {
  /**
   * Decides from the load of the link whether to relay orders, and selects the relays. The holder must call this every
   * `RELAY_REFRESH_INTERVAL_MS`.
   */
  readonly refresh: () => void;
};

/**
 * Creates the sender of orders, which sends them directly or through relays.
 *
 * @param options - The direct route, the other entries, and the load of this entry's link.
 * @returns The sender.
 */
export const createRelayedOrders = ({
  orders,
  peers,
  readLinkUsage,
  mayRelay,
  log,
  metrics,
  nowMs = () => performance.now(),
}: RelayedOrdersOptions): RelayedOrders => {
  const isRelayingNeeded = createRelayDecision();
  const assignment = createRelayAssignment();
  const failedUntilMs = new Map<EntryId, number>();
  const directUntilMs = new Map<EndpointId, number>();
  const sentSpecs = new Map<EntryId, Set<string>>();
  let relays: ReadonlyMap<string, readonly RelayCandidate[]> = new Map();
  let isRelaying = false;

  const listCandidates = (): readonly RelayCandidate[] => {
    const known = peers();
    return (known?.members() ?? []).map(({ entryId, dataCentre, strength }) => ({
      entryId,
      dataCentre,
      relativeCapacity: strength,
      isUsable:
        (known?.silentForMs(entryId) ?? Infinity) < MAX_RELAY_SILENCE_MS &&
        nowMs() >= (failedUntilMs.get(entryId) ?? 0),
    }));
  };

  const refresh = (): void => {
    const wasRelaying = isRelaying;
    isRelaying = mayRelay && isRelayingNeeded(readLinkUsage(), nowMs());
    if (!isRelaying) return;
    if (!wasRelaying) log.info('orders-relayed', { reason: 'the link of the holder is busy' });
    const all = listCandidates();
    const linkable = all.map((one) => ({
      ...one,
      isUsable: nowMs() >= (failedUntilMs.get(one.entryId) ?? 0),
    }));
    selectRelays(linkable, LINKS_PER_DATA_CENTRE).forEach((chosen) =>
      chosen.forEach(({ entryId }) => peers()?.ensureLink(entryId)),
    );
    relays = selectRelays(all);
  };

  const relayFor = ({ endpointId, dataCentre }: OrderTarget): EntryId | undefined => {
    if (!isRelaying || nowMs() < (directUntilMs.get(endpointId) ?? 0)) return undefined;
    const relay = assignment.relayOf(endpointId, relays.get(dataCentre) ?? []);
    return relay !== undefined && nowMs() >= (failedUntilMs.get(relay) ?? 0) ? relay : undefined;
  };

  const recordFailure = (relay: EntryId, detail: string): OrderError => {
    failedUntilMs.set(relay, nowMs() + FAILURE_COOLDOWN_MS);
    sentSpecs.delete(relay);
    metrics.count('relay_unanswered');
    log.info('relay-unanswered', { relay, detail });
    return { verdict: 'mayHaveRun', reason: 'no-answer', detail: `relay ${relay}: ${detail}` };
  };

  const sendToRelay = async (
    relay: EntryId,
    carried: RelayedOrder,
    waitMs: number,
  ): Promise<unknown> => {
    metrics.count(`relayed_${carried.kind}`);
    return peers()?.ask(
      relay,
      RELAY_ORDER_METHOD,
      encodeOrder(carried),
      waitMs + RELAY_ROUND_TRIP_MS,
    );
  };

  /**
   * Decodes an answer. An endpoint that the relay could not reach gets its orders directly for `FAILURE_COOLDOWN_MS`.
   */
  const handleAnswer = (
    { endpointId }: OrderTarget,
    payload: unknown,
  ): Result<ListAnswer, OrderError> => {
    const answer = decodeAnswer(payload);
    const isLost = answer.isErr() && ['no-answer', 'unreachable'].includes(answer.error.reason);
    if (isLost) directUntilMs.set(endpointId, nowMs() + FAILURE_COOLDOWN_MS);
    return answer;
  };

  const send = async (
    relay: EntryId,
    carried: RelayedOrder,
    waitMs: number,
  ): Promise<Result<ListAnswer, OrderError>> => {
    try {
      return handleAnswer(carried.target, await sendToRelay(relay, carried, waitMs));
    } catch (error) {
      return Err(recordFailure(relay, String(error)));
    }
  };

  /**
   * Records that a relay is sent the spec of a job. Returns true if it was not recorded before, so that the spec must
   * be sent.
   */
  const recordSentSpec = (relay: EntryId, jobId: string): boolean => {
    const known = sentSpecs.get(relay) ?? new Set<string>();
    const isNew = !known.has(jobId);
    known.add(jobId);
    const [oldest] = known;
    if (known.size > MAX_TRACKED_SPECS && oldest !== undefined) known.delete(oldest);
    sentSpecs.set(relay, known);
    return isNew;
  };

  const start: EndpointOrders['start'] = async (target, order, timeoutMs) => {
    const relay = relayFor(target);
    if (relay === undefined) return orders.start(target, order, timeoutMs);
    const isNew = recordSentSpec(relay, parseTaskKey(order.task)?.jobId ?? '');
    const withSpec = (spec: string | null): RelayedOrder => ({
      kind: 'start',
      target,
      timeoutMs,
      order: { ...order, spec },
    });
    try {
      const first = await sendToRelay(relay, withSpec(isNew ? order.spec : null), timeoutMs);
      const answer =
        first === SPEC_MISSING ? await sendToRelay(relay, withSpec(order.spec), timeoutMs) : first;
      return handleAnswer(target, answer);
    } catch (error) {
      return Err(recordFailure(relay, String(error)));
    }
  };

  return {
    refresh,
    start,
    list: (target, order, timeoutMs) => {
      const relay = relayFor(target);
      if (relay === undefined) return orders.list(target, order, timeoutMs);
      return send(relay, { kind: 'list', target, timeoutMs, order }, timeoutMs + order.waitMs);
    },
    stop: (target, order, timeoutMs) => {
      const relay = relayFor(target);
      if (relay === undefined) return orders.stop(target, order, timeoutMs);
      return send(relay, { kind: 'stop', target, timeoutMs, order }, timeoutMs);
    },
    setPace: orders.setPace,
    release: (target) => {
      assignment.unassign(target.endpointId);
      directUntilMs.delete(target.endpointId);
      orders.release(target);
    },
  };
};
