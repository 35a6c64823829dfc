/**
 * Endpoints as one entry sees them: load, health and ejection. The records change in place, since
 * each request touches them; all functions take the time as an argument.
 */
import { change } from '../shared/change.js';
import type { EndpointId, HostId, ServiceName } from '../shared/ids.js';

/** One executor of a service, with what this entry has seen of it. */
export type Endpoint = {
  readonly endpointId: EndpointId;
  readonly service: ServiceName;
  readonly hostId: HostId;
  /** Base address, for example `http://127.0.0.1:4000`. */
  readonly address: string;
  /** How many requests this entry may have at the endpoint at one time. */
  slotShare: number;
  /** Until when the share may be relied on; an entry that was frozen finds it run out. */
  shareUntilMs: number;
  isLeaving: boolean;
  inFlight: number;
  /** Smoothed time of a good answer, in milliseconds. */
  smoothedMs: number;
  /** Smoothed share of attempts that failed, from 0 to 1, as of its last outcome. */
  failureShare: number;
  lastOutcomeMs: number;
  ejectedUntilMs: number;
  /** When it last answered, or got its first request after being idle. */
  lastProgressMs: number;
  /** How often it was ejected in a row; the ejection grows with it. */
  ejections: number;
};

export type EndpointOptions = {
  readonly endpointId: EndpointId;
  readonly service: ServiceName;
  readonly hostId: HostId;
  readonly address: string;
  readonly slotShare?: number;
  readonly shareUntilMs?: number;
};

const FIRST_GUESS_MS = 20;

/**
 * Builds the record of an endpoint that has not been used yet.
 *
 * @param options - Its identity, address and slots.
 * @returns The record.
 */
export const createEndpoint = ({
  endpointId,
  service,
  hostId,
  address,
  slotShare = 1,
  shareUntilMs = Infinity,
}: EndpointOptions): Endpoint => ({
  endpointId,
  service,
  hostId,
  address,
  slotShare,
  shareUntilMs,
  isLeaving: false,
  inFlight: 0,
  smoothedMs: FIRST_GUESS_MS,
  failureShare: 0,
  lastOutcomeMs: 0,
  ejectedUntilMs: 0,
  lastProgressMs: 0,
  ejections: 0,
});

/** How one attempt at an endpoint ended. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused';

const SMOOTHING = 0.2;
const FAILURE_SMOOTHING = 0.3;
/** An endpoint is ejected when its failure share is above this and above that of its peers. */
const EJECT_ABOVE = 0.5;
const EJECT_OVER_PEERS = 0.3;
const FIRST_EJECTION_MS = 2000;
const LONGEST_EJECTION_MS = 30_000;
/** No more than this share of a service's endpoints is ejected at a time. */
export const MOST_EJECTED_SHARE = 0.5;

/** Old failures count for less and less: this is the time after which they count half. */
const FAILURE_HALF_LIFE_MS = 2000;

/**
 * Gives the share of attempts that failed, with old failures counting for less.
 *
 * @param endpoint - The endpoint.
 * @param nowMs - The time.
 * @returns The share, from 0 to 1.
 */
export const failureShareNow = (endpoint: Endpoint, nowMs: number): number =>
  endpoint.failureShare * 0.5 ** ((nowMs - endpoint.lastOutcomeMs) / FAILURE_HALF_LIFE_MS);

const peerFailureShare = (
  endpoint: Endpoint,
  peers: readonly Endpoint[],
  nowMs: number,
): number => {
  const others = peers.filter((peer) => peer !== endpoint);
  if (others.length === 0) return 1;
  const sum = others.reduce((total, peer) => total + failureShareNow(peer, nowMs), 0);
  return sum / others.length;
};

/**
 * Tells whether an endpoint is ejected.
 *
 * @param endpoint - The endpoint.
 * @param nowMs - The time.
 * @returns True while no request is sent to it.
 */
export const isEjected = (endpoint: Endpoint, nowMs: number): boolean =>
  nowMs < endpoint.ejectedUntilMs;

const LEAST_STALL_MS = 500;
const STALL_FACTOR = 10;

/**
 * Notes that a request goes to the endpoint.
 *
 * @param endpoint - The endpoint, changed in place.
 * @param nowMs - The time.
 */
export const noteSent = (endpoint: Endpoint, nowMs: number): void => {
  const lastProgressMs = endpoint.inFlight === 0 ? nowMs : endpoint.lastProgressMs;
  change(endpoint, { lastProgressMs, inFlight: endpoint.inFlight + 1 });
};

/**
 * Tells whether an endpoint has requests under way and has answered none for far longer than usual.
 *
 * @param endpoint - The endpoint.
 * @param usualMs - The usual time of a request of the service.
 * @param nowMs - The time.
 * @returns True if it is likely to be frozen or cut off.
 */
export const isStalled = (endpoint: Endpoint, usualMs: number, nowMs: number): boolean =>
  endpoint.inFlight > 0 &&
  nowMs - endpoint.lastProgressMs > Math.max(LEAST_STALL_MS, usualMs * STALL_FACTOR);

/**
 * Ejects endpoints that are stalled, but never more than the allowed share.
 *
 * @param endpoints - All endpoints of the service.
 * @param usualMs - The usual time of a request.
 * @param nowMs - The time.
 */
export const ejectStalled = (
  endpoints: readonly Endpoint[],
  usualMs: number,
  nowMs: number,
): void => {
  endpoints.forEach((endpoint) => {
    if (isEjected(endpoint, nowMs) || !isStalled(endpoint, usualMs, nowMs)) return;
    if (!mayEjectOneMore(endpoints, nowMs)) return;
    change(endpoint, { ejectedUntilMs: nowMs + FIRST_EJECTION_MS });
  });
};

const mayEjectOneMore = (peers: readonly Endpoint[], nowMs: number): boolean => {
  const ejected = peers.filter((peer) => isEjected(peer, nowMs)).length;
  return ejected + 1 <= peers.length * MOST_EJECTED_SHARE;
};

const ejectIfWorse = (endpoint: Endpoint, peers: readonly Endpoint[], nowMs: number): void => {
  const { failureShare, ejections } = endpoint;
  if (failureShare < EJECT_ABOVE || isEjected(endpoint, nowMs)) return;
  if (failureShare < peerFailureShare(endpoint, peers, nowMs) + EJECT_OVER_PEERS) return;
  if (!mayEjectOneMore(peers, nowMs)) return;
  const durationMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** ejections);
  change(endpoint, {
    ejectedUntilMs: nowMs + durationMs,
    ejections: ejections + 1,
    // It comes back on probation: one more failure ejects it again, one success clears it.
    failureShare: EJECT_ABOVE,
  });
};

/**
 * Notes the outcome of an attempt and ejects the endpoint if it fails more than its peers.
 *
 * @param endpoint - The endpoint, changed in place.
 * @param outcome - How the attempt ended.
 * @param tookMs - How long it took.
 * @param peers - All endpoints of the service, the endpoint among them.
 * @param nowMs - The time.
 */
export const noteOutcome = (
  endpoint: Endpoint,
  outcome: AttemptOutcome,
  tookMs: number,
  peers: readonly Endpoint[],
  nowMs: number,
): void => {
  const { smoothedMs, ejections } = endpoint;
  const shareBefore = failureShareNow(endpoint, nowMs);
  change(endpoint, { lastProgressMs: nowMs, lastOutcomeMs: nowMs, failureShare: shareBefore });
  if (outcome === 'answered') {
    const failureShare = shareBefore * (1 - FAILURE_SMOOTHING);
    change(endpoint, {
      smoothedMs: smoothedMs + SMOOTHING * (tookMs - smoothedMs),
      failureShare,
      ejections: failureShare < EJECT_ABOVE / 2 ? 0 : ejections,
    });
    return;
  }
  if (outcome === 'failed') {
    change(endpoint, {
      failureShare: shareBefore + FAILURE_SMOOTHING * (1 - shareBefore),
      smoothedMs: Math.max(smoothedMs, tookMs),
    });
    ejectIfWorse(endpoint, peers, nowMs);
  }
};
