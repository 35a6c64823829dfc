/**
 * Detects that a whole rack or data centre may be lost. When several endpoints of a domain leave requests unanswered at
 * the same time, all its endpoints are polled at once, and each of them gets no new work until it has answered. Nothing
 * is concluded about the tasks that run there; leases decide that.
 */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { domainName, namedDomains } from './domains.js';
import {
  poolOf,
  type BatchState,
  type Domain,
  type EndpointState,
  type SuspectedDomain,
} from '../model/state.js';

/**
 * Unanswered requests count together if they fall into this time. Endpoints are polled every 0.4 to 1 s, so endpoints
 * that were lost at the same moment have been noticed within it.
 */
const CORRELATION_WINDOW_MS = 1500;
/** The share of a domain's endpoints that must leave requests unanswered before the domain is suspected. */
const MIN_UNANSWERING_SHARE = 1 / 3;
/** The number of endpoints of a rack that must leave requests unanswered as well. */
const MIN_UNANSWERING_IN_RACK = 2;
/** The number of racks of a data centre in which endpoints must leave requests unanswered. */
const MIN_UNANSWERING_RACKS = 2;
/** The number of endpoints for a data centre if none of those that leave requests unanswered has a rack. */
const MIN_UNANSWERING_WITHOUT_RACKS = 3;
/**
 * The longest time for which a domain is suspected. Outages of racks and data centres last about 6 s; after this time,
 * starting tasks there shows whether the domain is back.
 */
const MAX_SUSPICION_MS = 10_000;

/** Why a domain is no longer suspected: it answered, the longest time has passed, or its endpoints are gone. */
type SuspicionEndReason = 'answered' | 'time' | 'gone';

/** Whether an endpoint is expected to stay. The end of one that leaves as planned shows nothing about its domain. */
const isExpectedToStay = ({ isCordoned, hasAnnouncedEnd }: EndpointState): boolean =>
  !isCordoned && !hasAnnouncedEnd;

/** Whether enough endpoints of a rack leave requests unanswered for the rack to be lost. */
const mayRackBeLost = (unanswering: readonly EndpointState[]): boolean =>
  unanswering.length >= MIN_UNANSWERING_IN_RACK;

/** Whether the same holds for a data centre. One rack alone is not enough, because only the rack may be lost. */
const mayDataCentreBeLost = (unanswering: readonly EndpointState[]): boolean => {
  const racks = new Set(unanswering.flatMap(({ domains }) => domains.rack ?? []));
  return racks.size === 0
    ? unanswering.length >= MIN_UNANSWERING_WITHOUT_RACKS
    : racks.size >= MIN_UNANSWERING_RACKS;
};

const MAY_BE_LOST: Readonly<
  Record<Domain['kind'], (unanswering: readonly EndpointState[]) => boolean>
> = { rack: mayRackBeLost, dataCentre: mayDataCentreBeLost };

const recordEvent = (
  state: BatchState,
  event: 'domain-suspected' | 'domain-back',
  fields: Readonly<Record<string, string | number>>,
): void => {
  state.effects.push({ kind: 'note', event, fields });
};

const suspectDomain = (
  state: BatchState,
  { domainId, kind, members }: Domain,
  unanswering: number,
  nowMs: number,
): void => {
  const unansweringEndpoints = new Set(Array.from(members, ({ endpointId }) => endpointId));
  state.suspectedDomains.set(domainId, {
    domainId,
    sinceMs: nowMs,
    endpointCount: members.size,
    unansweringEndpoints,
  });
  recordEvent(state, 'domain-suspected', {
    domain: domainName(domainId),
    kind,
    endpoints: members.size,
    unanswering,
    runs: Array.from(members).reduce((sum, { runs }) => sum + runs.size, 0),
  });
  unansweringEndpoints.forEach((endpointId) => state.effects.push({ kind: 'ask', endpointId }));
};

const checkDomain = (state: BatchState, domain: Domain, nowMs: number): void => {
  if (state.suspectedDomains.has(domain.domainId)) return;
  const staying = Array.from(domain.members).filter(isExpectedToStay);
  const unanswering = staying.filter(
    ({ unansweredSinceMs }) =>
      unansweredSinceMs <= nowMs && nowMs - unansweredSinceMs <= CORRELATION_WINDOW_MS,
  );
  const isShareReached = unanswering.length >= staying.length * MIN_UNANSWERING_SHARE;
  if (isShareReached && MAY_BE_LOST[domain.kind](unanswering)) {
    suspectDomain(state, domain, unanswering.length, nowMs);
  }
};

/**
 * Records that an endpoint has left a request or an order unanswered past its time-out.
 *
 * @param state - The batch state, changed in place: the endpoint's rack and data centre may become suspected.
 * @param endpointId - The endpoint.
 * @param nowMs - The time in milliseconds.
 */
export const recordUnanswered = (
  state: BatchState,
  endpointId: EndpointId,
  nowMs: number,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.unansweredSinceMs !== Infinity) return;
  change(endpoint, { unansweredSinceMs: nowMs });
  namedDomains(endpoint.domains).forEach(({ domainId }) => {
    const domain = state.domains.get(domainId);
    if (domain) checkDomain(state, domain, nowMs);
  });
};

const endSuspicion = (
  state: BatchState,
  { domainId, sinceMs, endpointCount, unansweringEndpoints }: SuspectedDomain,
  reason: SuspicionEndReason,
  nowMs: number,
): void => {
  state.suspectedDomains.delete(domainId);
  recordEvent(state, 'domain-back', {
    domain: domainName(domainId),
    endpoints: endpointCount,
    unanswering: unansweringEndpoints.size,
    afterMs: Math.round(nowMs - sinceMs),
    relief: reason,
  });
};

/**
 * Stops awaiting an answer of an endpoint. The suspicion of its domain ends when an answer leaves fewer than half of
 * the domain's endpoints awaited, or when none is awaited any more.
 */
const stopAwaiting = (
  state: BatchState,
  { endpointId, domains }: EndpointState,
  reason: Extract<SuspicionEndReason, 'answered' | 'gone'>,
  nowMs: number,
): void =>
  namedDomains(domains).forEach(({ domainId }) => {
    const suspected = state.suspectedDomains.get(domainId);
    if (!suspected?.unansweringEndpoints.delete(endpointId)) return;
    const { unansweringEndpoints, endpointCount } = suspected;
    const isBack = reason === 'answered' && unansweringEndpoints.size < endpointCount / 2;
    if (isBack || unansweringEndpoints.size === 0) endSuspicion(state, suspected, reason, nowMs);
  });

/**
 * Records that an endpoint has answered a request or an order.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint, which is no longer suspected.
 * @param nowMs - The time in milliseconds.
 */
export const recordAnswered = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  if (endpoint.unansweredSinceMs < Infinity) {
    change(poolOf(state, endpoint.pool), { lastSilenceEndedAtMs: nowMs });
    change(endpoint, { unansweredSinceMs: Infinity });
  }
  if (state.suspectedDomains.size > 0) stopAwaiting(state, endpoint, 'answered', nowMs);
};

/**
 * Stops awaiting an answer of an endpoint that is gone.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint.
 * @param nowMs - The time in milliseconds.
 */
export const stopAwaitingGone = (state: BatchState, endpoint: EndpointState, nowMs: number): void =>
  stopAwaiting(state, endpoint, 'gone', nowMs);

/**
 * Ends suspicions that have reached the longest time. Endpoints that still do not answer are counted afresh from their
 * next unanswered request.
 *
 * @param state - The batch state, changed in place.
 * @param nowMs - The time in milliseconds.
 */
export const expireSuspicions = (state: BatchState, nowMs: number): void =>
  state.suspectedDomains.forEach((suspected) => {
    if (nowMs - suspected.sinceMs < MAX_SUSPICION_MS) return;
    suspected.unansweringEndpoints.forEach((endpointId) => {
      const endpoint = state.endpoints.get(endpointId);
      if (endpoint) change(endpoint, { unansweredSinceMs: Infinity });
    });
    endSuspicion(state, suspected, 'time', nowMs);
  });

/**
 * Tells whether an endpoint is in a suspected rack or data centre and has not answered since the suspicion began.
 *
 * @param state - The batch state.
 * @param endpoint - The endpoint.
 * @returns True if it must not get new work.
 */
export const isSuspected = (
  { suspectedDomains }: BatchState,
  { endpointId, domains: { rack, dataCentre } }: EndpointState,
): boolean =>
  suspectedDomains.size > 0 &&
  [rack, dataCentre].some(
    (domainId) =>
      domainId !== null &&
      suspectedDomains.get(domainId)?.unansweringEndpoints.has(endpointId) === true,
  );
