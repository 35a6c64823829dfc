/**
 * Orders to endpoints, carried by other entries once the holder's own link is busy. One that a relay
 * does not answer counts as unanswered by the endpoint, and the next goes directly: what is safe for
 * a lost answer is safe for a lost relay.
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
  type CarriedOrder,
  type ListAnswer,
} from './order-message.js';
import type { Peers } from '../entry/peers.js';
import type { EndpointOrders, OrderTarget } from '../ports.js';

/** The mesh method by which entries are asked to carry an order. */
export const ORDER_METHOD = 'order';

/** A relay that has been silent for longer gets no orders: entries say something each 0.5 s. */
const RELAY_SILENT_MS = 1200;
/** A relay that did not answer is passed over for so long, and so is the relay of an endpoint that did not. */
const PASS_OVER_MS = 3000;
/** What the trip to a relay and back takes on top of its own call. */
const HOP_MS = 150;
/** Links are kept to more entries than are used, so that the loss of one needs no new link. */
const LINKED_PER_DATA_CENTRE = 5;
/** How often the relays are chosen anew. */
export const RELAYS_EVERY_MS = 400;
/** Jobs whose text a relay is known to have; as many as it keeps. */
const MOST_SPECS = 400;

export type RelayedOrdersOptions = {
  readonly orders: EndpointOrders;
  readonly peers: () => Pick<Peers, 'ask' | 'keepLink' | 'members' | 'silentForMs'> | undefined;
  readonly linkUse: () => LinkUsage;
  /** False: all orders go directly, however busy the link is. */
  readonly isAllowed: boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
};

export type RelayedOrders = EndpointOrders & {
  /** Looks at the link and at the relays; to be called by the holder each `RELAYS_EVERY_MS`. */
  readonly refresh: () => void;
};

/**
 * Builds orders that may go over relays.
 *
 * @param options - The direct route, the other entries, and what the own link carries.
 * @returns The orders.
 */
export const createRelayedOrders = ({
  orders,
  peers,
  linkUse,
  isAllowed,
  log,
  metrics,
  nowMs = () => performance.now(),
}: RelayedOrdersOptions): RelayedOrders => {
  const isNeeded = createRelayDecision();
  const assignment = createRelayAssignment();
  const failedUntilMs = new Map<EntryId, number>();
  const directUntilMs = new Map<EndpointId, number>();
  const sentSpecs = new Map<EntryId, Set<string>>();
  let relays: ReadonlyMap<string, readonly RelayCandidate[]> = new Map();
  let isRelaying = false;

  const candidates = (): readonly RelayCandidate[] => {
    const known = peers();
    return (known?.members() ?? []).map(({ entryId, dataCentre, strength }) => ({
      entryId,
      dataCentre,
      relativeCapacity: strength,
      isUsable:
        (known?.silentForMs(entryId) ?? Infinity) < RELAY_SILENT_MS &&
        nowMs() >= (failedUntilMs.get(entryId) ?? 0),
    }));
  };

  const refresh = (): void => {
    const wasRelaying = isRelaying;
    isRelaying = isAllowed && isNeeded(linkUse(), nowMs());
    if (!isRelaying) return;
    if (!wasRelaying) log.info('orders-relayed', { reason: 'the link of the holder is busy' });
    const all = candidates();
    const linkable = all.map((one) => ({
      ...one,
      isUsable: nowMs() >= (failedUntilMs.get(one.entryId) ?? 0),
    }));
    selectRelays(linkable, LINKED_PER_DATA_CENTRE).forEach((chosen) =>
      chosen.forEach(({ entryId }) => peers()?.keepLink(entryId)),
    );
    relays = selectRelays(all);
  };

  const relayFor = ({ endpointId, dataCentre }: OrderTarget): EntryId | undefined => {
    if (!isRelaying || nowMs() < (directUntilMs.get(endpointId) ?? 0)) return undefined;
    const relay = assignment.relayOf(endpointId, relays.get(dataCentre) ?? []);
    return relay !== undefined && nowMs() >= (failedUntilMs.get(relay) ?? 0) ? relay : undefined;
  };

  const noteFailure = (relay: EntryId, detail: string): OrderError => {
    failedUntilMs.set(relay, nowMs() + PASS_OVER_MS);
    sentSpecs.delete(relay);
    metrics.count('relay_unanswered');
    log.info('relay-unanswered', { relay, detail });
    return { verdict: 'mayHaveRun', reason: 'no-answer', detail: `relay ${relay}: ${detail}` };
  };

  const carry = async (relay: EntryId, carried: CarriedOrder, waitMs: number): Promise<unknown> => {
    metrics.count(`relayed_${carried.kind}`);
    return peers()?.ask(relay, ORDER_METHOD, encodeOrder(carried), waitMs + HOP_MS);
  };

  /** An endpoint that a relay cannot reach is asked directly for a while. */
  const readAnswer = (
    { endpointId }: OrderTarget,
    payload: unknown,
  ): Result<ListAnswer, OrderError> => {
    const answer = decodeAnswer(payload);
    const isLost = answer.isErr() && ['no-answer', 'unreachable'].includes(answer.error.reason);
    if (isLost) directUntilMs.set(endpointId, nowMs() + PASS_OVER_MS);
    return answer;
  };

  const send = async (
    relay: EntryId,
    carried: CarriedOrder,
    waitMs: number,
  ): Promise<Result<ListAnswer, OrderError>> => {
    try {
      return readAnswer(carried.target, await carry(relay, carried, waitMs));
    } catch (error) {
      return Err(noteFailure(relay, String(error)));
    }
  };

  const noteSpec = (relay: EntryId, jobId: string): boolean => {
    const known = sentSpecs.get(relay) ?? new Set<string>();
    const isNew = !known.has(jobId);
    known.add(jobId);
    const [oldest] = known;
    if (known.size > MOST_SPECS && oldest !== undefined) known.delete(oldest);
    sentSpecs.set(relay, known);
    return isNew;
  };

  const start: EndpointOrders['start'] = async (target, order, timeoutMs) => {
    const relay = relayFor(target);
    if (relay === undefined) return orders.start(target, order, timeoutMs);
    const isNew = noteSpec(relay, parseTaskKey(order.task)?.jobId ?? '');
    const carried = (spec: string | null): CarriedOrder => ({
      kind: 'start',
      target,
      timeoutMs,
      order: { ...order, spec },
    });
    try {
      const first = await carry(relay, carried(isNew ? order.spec : null), timeoutMs);
      const answer =
        first === SPEC_MISSING ? await carry(relay, carried(order.spec), timeoutMs) : first;
      return readAnswer(target, answer);
    } catch (error) {
      return Err(noteFailure(relay, String(error)));
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
    pace: orders.pace,
    forget: (target) => {
      assignment.unassign(target.endpointId);
      directUntilMs.delete(target.endpointId);
      orders.forget(target);
    },
  };
};
