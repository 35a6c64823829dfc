/**
 * Load, health and ejection of endpoints, as observed by one entry. The records are changed in
 * place, because each request updates them. All functions take the time as an argument.
 */
import { change } from '../shared/change.js';
import type { EndpointId, HostId, ServiceName } from '../shared/ids.js';

/** One executor of a service, with the load and health that this entry has observed. */
export type Endpoint = {
  readonly endpointId: EndpointId;
  readonly service: ServiceName;
  readonly hostId: HostId;
  /** Base address, for example `http://127.0.0.1:4000`. */
  readonly address: string;
  /** The number of requests that this entry may have in flight at the endpoint at one time. */
  slotShare: number;
  /**
   * The time at which `slotShare` expires, in milliseconds. An entry whose process was
   * suspended finds its share expired and stops using it.
   */
  slotShareExpiresAtMs: number;
  /** Whether the endpoint is shutting down and takes no new requests. */
  isLeaving: boolean;
  inFlight: number;
  /** Smoothed response time in milliseconds; a failed attempt can only raise it. */
  smoothedResponseMs: number;
  /** Smoothed share of attempts that failed, from 0 to 1, as of `lastOutcomeAtMs`. */
  failureShare: number;
  /** When the last attempt ended, in milliseconds. */
  lastOutcomeAtMs: number;
  /** The end of the current or last ejection, in milliseconds. */
  ejectedUntilMs: number;
  /** When an attempt last ended, or when the first request after an idle period was sent. */
  lastProgressAtMs: number;
  /**
   * Consecutive ejections because of failures. The ejection time doubles with each; the count is
   * reset once the failure share has fallen far enough.
   */
  consecutiveEjections: number;
};

export type EndpointOptions = {
  readonly endpointId: EndpointId;
  readonly service: ServiceName;
  readonly hostId: HostId;
  readonly address: string;
  readonly slotShare?: number;
  readonly slotShareExpiresAtMs?: number;
};

/** Assumed response time of an endpoint that has not answered yet. */
const INITIAL_RESPONSE_MS = 20;

/**
 * Creates the record of an endpoint that has not been used yet.
 *
 * @param options - The identity and address of the endpoint, and this entry's share of its slots.
 * @returns The record.
 */
export const createEndpoint = ({
  endpointId,
  service,
  hostId,
  address,
  slotShare = 1,
  slotShareExpiresAtMs = Infinity,
}: EndpointOptions): Endpoint => ({
  endpointId,
  service,
  hostId,
  address,
  slotShare,
  slotShareExpiresAtMs,
  isLeaving: false,
  inFlight: 0,
  smoothedResponseMs: INITIAL_RESPONSE_MS,
  failureShare: 0,
  lastOutcomeAtMs: 0,
  ejectedUntilMs: 0,
  lastProgressAtMs: 0,
  consecutiveEjections: 0,
});

/** How one attempt at an endpoint ended. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused';

/** Weight of the newest sample in the smoothed response time. */
const RESPONSE_SMOOTHING = 0.2;
/** Weight of the newest outcome in the failure share. */
const FAILURE_SMOOTHING = 0.3;
/**
 * An endpoint is ejected when its failure share reaches EJECTION_THRESHOLD and exceeds the average
 * failure share of its peers by EJECTION_MARGIN.
 */
const EJECTION_THRESHOLD = 0.5;
const EJECTION_MARGIN = 0.3;
const FIRST_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 30_000;
/** The largest share of a service's endpoints that may be ejected at the same time. */
export const MAX_EJECTED_SHARE = 0.5;

/** The half-life of the failure share: a failure that is this old counts half. */
const FAILURE_HALF_LIFE_MS = 2000;

/**
 * Returns the share of attempts that failed, decayed by the time since the last outcome.
 *
 * @param endpoint - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 * @returns The share, from 0 to 1.
 */
export const decayedFailureShare = (endpoint: Endpoint, nowMs: number): number =>
  endpoint.failureShare * 0.5 ** ((nowMs - endpoint.lastOutcomeAtMs) / FAILURE_HALF_LIFE_MS);

/**
 * Returns the average failure share of the other endpoints. For an endpoint without peers this is
 * 1, so that the only endpoint of a service is never ejected because of failures.
 */
const peerFailureShare = (
  endpoint: Endpoint,
  peers: readonly Endpoint[],
  nowMs: number,
): number => {
  const others = peers.filter((peer) => peer !== endpoint);
  if (others.length === 0) return 1;
  const sum = others.reduce((total, peer) => total + decayedFailureShare(peer, nowMs), 0);
  return sum / others.length;
};

/**
 * Checks whether an endpoint is ejected.
 *
 * @param endpoint - The endpoint.
 * @param nowMs - The current time, in milliseconds.
 * @returns True while no request is sent to it because of an ejection.
 */
export const isEjected = (endpoint: Endpoint, nowMs: number): boolean =>
  nowMs < endpoint.ejectedUntilMs;

/** An endpoint is stalled after max(MIN_STALL_MS, STALL_FACTOR times the typical time). */
const MIN_STALL_MS = 500;
const STALL_FACTOR = 10;

/**
 * Records that a request is sent to the endpoint.
 *
 * @param endpoint - The endpoint, changed in place.
 * @param nowMs - The current time, in milliseconds.
 */
export const recordSent = (endpoint: Endpoint, nowMs: number): void => {
  const lastProgressAtMs = endpoint.inFlight === 0 ? nowMs : endpoint.lastProgressAtMs;
  change(endpoint, { lastProgressAtMs, inFlight: endpoint.inFlight + 1 });
};

/**
 * Checks whether an endpoint has requests in flight and has ended none of them for much longer than
 * the typical time.
 *
 * @param endpoint - The endpoint.
 * @param typicalMs - The typical response time of the service, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @returns True if it is probably suspended or unreachable.
 */
export const isStalled = (endpoint: Endpoint, typicalMs: number, nowMs: number): boolean =>
  endpoint.inFlight > 0 &&
  nowMs - endpoint.lastProgressAtMs > Math.max(MIN_STALL_MS, typicalMs * STALL_FACTOR);

/**
 * Ejects stalled endpoints, up to the largest share that may be ejected at the same time.
 *
 * @param endpoints - All endpoints of the service.
 * @param typicalMs - The typical response time of the service, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 */
export const ejectStalled = (
  endpoints: readonly Endpoint[],
  typicalMs: number,
  nowMs: number,
): void => {
  endpoints.forEach((endpoint) => {
    if (isEjected(endpoint, nowMs) || !isStalled(endpoint, typicalMs, nowMs)) return;
    if (!canEjectOneMore(endpoints, nowMs)) return;
    change(endpoint, { ejectedUntilMs: nowMs + FIRST_EJECTION_MS });
  });
};

/** Checks whether one more ejection stays within MAX_EJECTED_SHARE. */
const canEjectOneMore = (peers: readonly Endpoint[], nowMs: number): boolean => {
  const ejected = peers.filter((peer) => isEjected(peer, nowMs)).length;
  return ejected + 1 <= peers.length * MAX_EJECTED_SHARE;
};

/** Ejects an endpoint that fails often and clearly more often than its peers. */
const ejectIfWorseThanPeers = (
  endpoint: Endpoint,
  peers: readonly Endpoint[],
  nowMs: number,
): void => {
  const { failureShare, consecutiveEjections } = endpoint;
  if (failureShare < EJECTION_THRESHOLD || isEjected(endpoint, nowMs)) return;
  if (failureShare < peerFailureShare(endpoint, peers, nowMs) + EJECTION_MARGIN) return;
  if (!canEjectOneMore(peers, nowMs)) return;
  const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** consecutiveEjections);
  change(endpoint, {
    ejectedUntilMs: nowMs + ejectionMs,
    consecutiveEjections: consecutiveEjections + 1,
    // Puts the endpoint on probation: the share starts at the threshold, so that one more failure
    // can eject the endpoint again, while one success takes the share below the threshold.
    failureShare: EJECTION_THRESHOLD,
  });
};

/**
 * Records the outcome of an attempt and ejects the endpoint if it fails more than its peers.
 *
 * @param endpoint - The endpoint, changed in place.
 * @param outcome - How the attempt ended.
 * @param durationMs - How long it took, in milliseconds.
 * @param peers - All endpoints of the service, the endpoint among them.
 * @param nowMs - The current time, in milliseconds.
 */
export const recordOutcome = (
  endpoint: Endpoint,
  outcome: AttemptOutcome,
  durationMs: number,
  peers: readonly Endpoint[],
  nowMs: number,
): void => {
  const { smoothedResponseMs, consecutiveEjections } = endpoint;
  const shareBefore = decayedFailureShare(endpoint, nowMs);
  change(endpoint, { lastProgressAtMs: nowMs, lastOutcomeAtMs: nowMs, failureShare: shareBefore });
  if (outcome === 'answered') {
    const failureShare = shareBefore * (1 - FAILURE_SMOOTHING);
    change(endpoint, {
      smoothedResponseMs:
        smoothedResponseMs + RESPONSE_SMOOTHING * (durationMs - smoothedResponseMs),
      failureShare,
      consecutiveEjections: failureShare < EJECTION_THRESHOLD / 2 ? 0 : consecutiveEjections,
    });
    return;
  }
  if (outcome === 'failed') {
    change(endpoint, {
      failureShare: shareBefore + FAILURE_SMOOTHING * (1 - shareBefore),
      smoothedResponseMs: Math.max(smoothedResponseMs, durationMs),
    });
    ejectIfWorseThanPeers(endpoint, peers, nowMs);
  }
};
