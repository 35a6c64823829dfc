/**
 * The loss of a rack or a data centre as one event. Where several endpoints of one leave questions unanswered at the
 * same time, all the others there are asked at once, and none gets new work until it has answered. Nothing is
 * concluded about what runs there: leases tell that.
 */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { domainName, namedDomains } from './domains.js';
import type { BatchState, Domain, EndpointState, SuspectedDomain } from '../model/state.js';

/** Endpoints are asked every 0.4 to 1 s, so what is lost at one moment shows within this time. */
const TOGETHER_MS = 1500;
const LEAST_SHARE = 1 / 3;
const LEAST_IN_RACK = 2;
const LEAST_RACKS = 2;
const LEAST_WITHOUT_RACKS = 3;
/** Outages of racks and data centres last some 6 s; after this time starts show whether one is back. */
const MOST_SUSPECTED_MS = 10_000;

/** Why a domain is not suspected any more. */
type Relief = 'answered' | 'time' | 'gone';

/** The end of one that leaves by order shows nothing about its domain. */
const isStaying = ({ isClosing, hasAnnouncedEnd }: EndpointState): boolean =>
  !isClosing && !hasAnnouncedEnd;

/** Whether so many of a rack leave questions unanswered that it may be lost. */
const isRackLost = (unanswering: readonly EndpointState[]): boolean =>
  unanswering.length >= LEAST_IN_RACK;

/** The same for a data centre: one rack alone does not show that. */
const isDataCentreLost = (unanswering: readonly EndpointState[]): boolean => {
  const racks = new Set(unanswering.flatMap(({ domains }) => domains.rack ?? []));
  return racks.size === 0 ? unanswering.length >= LEAST_WITHOUT_RACKS : racks.size >= LEAST_RACKS;
};

const IS_LOST: Readonly<
  Record<Domain['kind'], (unanswering: readonly EndpointState[]) => boolean>
> = { rack: isRackLost, dataCentre: isDataCentreLost };

const note = (
  state: BatchState,
  event: 'domain-suspected' | 'domain-back',
  fields: Readonly<Record<string, string | number>>,
): void => {
  state.effects.push({ kind: 'note', event, fields });
};

const suspect = (
  state: BatchState,
  { domainId, kind, members }: Domain,
  unanswering: number,
  nowMs: number,
): void => {
  const awaited = new Set(Array.from(members, ({ endpointId }) => endpointId));
  state.suspectedDomains.set(domainId, {
    domainId,
    sinceMs: nowMs,
    endpoints: members.size,
    awaited,
  });
  note(state, 'domain-suspected', {
    domain: domainName(domainId),
    kind,
    endpoints: members.size,
    unanswering,
    runs: Array.from(members).reduce((sum, { runs }) => sum + runs.size, 0),
  });
  awaited.forEach((endpointId) => state.effects.push({ kind: 'ask', endpointId }));
};

const judge = (state: BatchState, domain: Domain, nowMs: number): void => {
  if (state.suspectedDomains.has(domain.domainId)) return;
  const staying = Array.from(domain.members).filter(isStaying);
  const unanswering = staying.filter(
    ({ unansweredSinceMs }) =>
      unansweredSinceMs <= nowMs && nowMs - unansweredSinceMs <= TOGETHER_MS,
  );
  const isShare = unanswering.length >= staying.length * LEAST_SHARE;
  if (isShare && IS_LOST[domain.kind](unanswering)) {
    suspect(state, domain, unanswering.length, nowMs);
  }
};

/**
 * Notes that an endpoint has left a question or an order unanswered past its time-out.
 *
 * @param state - All that is known, changed in place: its rack and its data centre may be suspected from now on.
 * @param endpointId - The endpoint.
 * @param nowMs - The time in milliseconds.
 */
export const noteUnanswered = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.unansweredSinceMs !== Infinity) return;
  change(endpoint, { unansweredSinceMs: nowMs });
  namedDomains(endpoint.domains).forEach(({ domainId }) => {
    const domain = state.domains.get(domainId);
    if (domain) judge(state, domain, nowMs);
  });
};

const relieve = (
  state: BatchState,
  { domainId, sinceMs, endpoints, awaited }: SuspectedDomain,
  relief: Relief,
  nowMs: number,
): void => {
  state.suspectedDomains.delete(domainId);
  note(state, 'domain-back', {
    domain: domainName(domainId),
    endpoints,
    unanswering: awaited.size,
    afterMs: Math.round(nowMs - sinceMs),
    relief,
  });
};

/** Takes an endpoint from those that are awaited; the domain is back once more than half have answered. */
const awaitNoMore = (
  state: BatchState,
  { endpointId, domains }: EndpointState,
  relief: Extract<Relief, 'answered' | 'gone'>,
  nowMs: number,
): void =>
  namedDomains(domains).forEach(({ domainId }) => {
    const suspected = state.suspectedDomains.get(domainId);
    if (!suspected?.awaited.delete(endpointId)) return;
    const { awaited, endpoints } = suspected;
    const isBack = relief === 'answered' && awaited.size < endpoints / 2;
    if (isBack || awaited.size === 0) relieve(state, suspected, relief, nowMs);
  });

/**
 * Notes that an endpoint has answered a question or an order.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint: it is not suspected any more.
 * @param nowMs - The time in milliseconds.
 */
export const noteAnswered = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  change(endpoint, { unansweredSinceMs: Infinity });
  if (state.suspectedDomains.size > 0) awaitNoMore(state, endpoint, 'answered', nowMs);
};

/**
 * Awaits no answer of an endpoint that is gone.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 * @param nowMs - The time in milliseconds.
 */
export const forgetSuspect = (state: BatchState, endpoint: EndpointState, nowMs: number): void =>
  awaitNoMore(state, endpoint, 'gone', nowMs);

/**
 * Ends suspicions that have lasted for the longest time. Endpoints that are still silent count anew from then on.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time in milliseconds.
 */
export const endOldSuspicions = (state: BatchState, nowMs: number): void =>
  state.suspectedDomains.forEach((suspected) => {
    if (nowMs - suspected.sinceMs < MOST_SUSPECTED_MS) return;
    suspected.awaited.forEach((endpointId) => {
      const endpoint = state.endpoints.get(endpointId);
      if (endpoint) change(endpoint, { unansweredSinceMs: Infinity });
    });
    relieve(state, suspected, 'time', nowMs);
  });

/**
 * Tells whether an endpoint stands in a rack or a data centre that may be lost, and has not answered since.
 *
 * @param state - All that is known.
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
      domainId !== null && suspectedDomains.get(domainId)?.awaited.has(endpointId) === true,
  );
