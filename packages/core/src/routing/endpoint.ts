/**
 * Endpoints as one entry sees them: load, health and ejection. The records change in place, since
 * each request touches them; all functions take the time as an argument.
 */
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
  isLeaving: boolean;
  inFlight: number;
  /** Smoothed time of a good answer, in milliseconds. */
  smoothedMs: number;
  /** Smoothed share of attempts that failed, from 0 to 1. */
  failureShare: number;
  ejectedUntilMs: number;
  /** How often it was ejected in a row; the ejection grows with it. */
  ejections: number;
};

/** Options for a new endpoint record. */
export type EndpointOptions = {
  readonly endpointId: EndpointId;
  readonly service: ServiceName;
  readonly hostId: HostId;
  readonly address: string;
  readonly slotShare?: number;
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
}: EndpointOptions): Endpoint => ({
  endpointId,
  service,
  hostId,
  address,
  slotShare,
  isLeaving: false,
  inFlight: 0,
  smoothedMs: FIRST_GUESS_MS,
  failureShare: 0,
  ejectedUntilMs: 0,
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

const peerFailureShare = (endpoint: Endpoint, peers: readonly Endpoint[]): number => {
  const others = peers.filter((peer) => peer !== endpoint);
  if (others.length === 0) return 1;
  return others.reduce((sum, peer) => sum + peer.failureShare, 0) / others.length;
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

const mayEjectOneMore = (peers: readonly Endpoint[], nowMs: number): boolean => {
  const ejected = peers.filter((peer) => isEjected(peer, nowMs)).length;
  return ejected + 1 <= peers.length * MOST_EJECTED_SHARE;
};

const ejectIfWorse = (endpoint: Endpoint, peers: readonly Endpoint[], nowMs: number): void => {
  const one = endpoint;
  if (one.failureShare < EJECT_ABOVE || isEjected(one, nowMs)) return;
  if (one.failureShare < peerFailureShare(one, peers) + EJECT_OVER_PEERS) return;
  if (!mayEjectOneMore(peers, nowMs)) return;
  const durationMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** one.ejections);
  one.ejectedUntilMs = nowMs + durationMs;
  one.ejections += 1;
  // It comes back on probation: one more failure ejects it again, one success clears it.
  one.failureShare = EJECT_ABOVE;
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
  const one = endpoint;
  if (outcome === 'answered') {
    one.smoothedMs += SMOOTHING * (tookMs - one.smoothedMs);
    one.failureShare *= 1 - FAILURE_SMOOTHING;
    if (one.failureShare < EJECT_ABOVE / 2) one.ejections = 0;
    return;
  }
  if (outcome === 'failed') {
    one.failureShare += FAILURE_SMOOTHING * (1 - one.failureShare);
    one.smoothedMs = Math.max(one.smoothedMs, tookMs);
    ejectIfWorse(one, peers, nowMs);
  }
};
