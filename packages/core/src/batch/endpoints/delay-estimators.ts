/**
 * Adaptive timeouts for requests to endpoints. As in TCP retransmission (RFC 6298), the timeout is derived
 * from the smoothed mean and deviation of response times and is doubled after each missed response. A lost
 * order is detected after 250 ms; a fixed timeout that also suits slow links would need four times as long.
 *
 * There are two estimators because responses are late for two reasons: a single endpoint is slow or gone, or
 * this entry's own link or processor delays the responses of all endpoints. With per-endpoint estimators only,
 * a saturated link gives up on responses that would still have arrived and sends the requests again, which
 * adds to the load: at 250 KB/s, 4 of 10 calls were sent more than once, and the link stayed saturated after
 * the load had gone.
 */

import { change } from '../../shared/change.js';

/** Weights of a new sample in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;
const BACKOFF_FACTOR = 2;
/** Responses take 3 ms; a pause of 0.2 s in this entry's own process must not be mistaken for a lost response. */
const MIN_TIMEOUT_MS = 250;
/**
 * An endpoint that is reachable again is detected within this time plus the pause between two list requests.
 */
const MAX_ENDPOINT_TIMEOUT_MS = 900;
/**
 * If more than this share of the endpoints did not respond to their last call, the cause is assumed to be this entry's
 * own link or processor. The share is above 0.3 because a disconnected data centre together with a failed rack can be 3
 * of 10 endpoints. Endpoints are counted instead of misses because the endpoints of a disconnected data centre miss at
 * the same time, dozens in a row.
 */
const LOCAL_FAULT_SHARE = 0.4;
/** Two consecutive list requests must fit into the lease of an endpoint (6 s), however slow the link is. */
const MAX_LINK_TIMEOUT_MS = 2500;

/** Smoothed mean and deviation of response times. */
type Smoothed = { readonly meanMs: number; readonly deviationMs: number };

const smooth = (previous: Smoothed | undefined, tookMs: number): Smoothed => {
  if (!previous) return { meanMs: tookMs, deviationMs: tookMs / 2 };
  const { meanMs, deviationMs } = previous;
  return {
    meanMs: meanMs + MEAN_WEIGHT * (tookMs - meanMs),
    deviationMs: deviationMs + DEVIATION_WEIGHT * (Math.abs(tookMs - meanMs) - deviationMs),
  };
};

const timeoutOf = ({ meanMs, deviationMs }: Smoothed): number =>
  meanMs + DEVIATION_FACTOR * deviationMs;

const clamp = (ms: number, maxMs: number): number => Math.min(maxMs, Math.max(MIN_TIMEOUT_MS, ms));

/** Whether the last call to an endpoint was left without a response. */
export type EndpointCallState = { hasMissedResponse: boolean };

/** Response times over all endpoints, which reflect this entry's own link and processor. */
export type SharedDelayEstimator = {
  readonly recordResponse: (endpoint: EndpointCallState, tookMs: number) => void;
  /** Records that no response arrived within `waitedMs`. */
  readonly recordMiss: (endpoint: EndpointCallState, waitedMs: number) => void;
  readonly remove: (endpoint: EndpointCallState) => void;
  /** True if so many endpoints miss responses that this entry's link or processor must be the cause. */
  readonly isLocalFault: () => boolean;
  /** The timeout that results from the responses of all endpoints; 0 before the first response. */
  readonly timeoutMs: () => number;
  /** The smoothed mean response time of all endpoints; 0 before the first response. */
  readonly meanMs: () => number;
};

/**
 * Creates the estimator that all endpoints share. While many endpoints miss responses, each miss is counted as
 * a response that took twice the time waited. The actual response would have taken longer than the time waited,
 * and ignoring misses would leave only the fast responses in the estimate.
 *
 * @returns The estimator.
 */
export const createSharedDelayEstimator = (): SharedDelayEstimator => {
  const endpoints = new Set<EndpointCallState>();
  let missingCount = 0;
  let smoothed: Smoothed | undefined;

  const setMissing = (endpoint: EndpointCallState, hasMissedResponse: boolean): void => {
    endpoints.add(endpoint);
    if (endpoint.hasMissedResponse !== hasMissedResponse)
      missingCount += hasMissedResponse ? 1 : -1;
    change(endpoint, { hasMissedResponse });
  };

  const isLocalFault = (): boolean => missingCount > endpoints.size * LOCAL_FAULT_SHARE;

  return {
    recordResponse: (endpoint, tookMs) => {
      setMissing(endpoint, false);
      smoothed = smooth(smoothed, tookMs);
    },
    recordMiss: (endpoint, waitedMs) => {
      setMissing(endpoint, true);
      if (isLocalFault())
        smoothed = smooth(smoothed, Math.min(MAX_LINK_TIMEOUT_MS, waitedMs * BACKOFF_FACTOR));
    },
    remove: (endpoint) => {
      if (endpoints.delete(endpoint) && endpoint.hasMissedResponse) missingCount -= 1;
    },
    isLocalFault,
    timeoutMs: () => (smoothed ? Math.min(MAX_LINK_TIMEOUT_MS, timeoutOf(smoothed)) : 0),
    meanMs: () => smoothed?.meanMs ?? 0,
  };
};

/** Response times of one endpoint. */
export type EndpointDelayEstimator = {
  /** Records how long a response took. */
  readonly recordResponse: (tookMs: number) => void;
  /** Records that no response arrived within `waitedMs`. */
  readonly recordMiss: (waitedMs: number) => void;
  /** How long to wait for the next response. */
  readonly timeoutMs: () => number;
  /** Removes the endpoint from the shared estimator, as it is not called any more. */
  readonly close: () => void;
};

/**
 * Creates the estimator of one endpoint.
 *
 * @param link - The estimator that all endpoints share.
 * @returns The estimator; before the first response, its timeout is the maximum for an endpoint.
 */
export const createEndpointDelayEstimator = (
  link: SharedDelayEstimator = createSharedDelayEstimator(),
): EndpointDelayEstimator => {
  const callState: EndpointCallState = { hasMissedResponse: false };
  let smoothed: Smoothed | undefined;
  let backoffFactor = 1;
  return {
    recordResponse: (tookMs) => {
      smoothed = smooth(smoothed, tookMs);
      backoffFactor = 1;
      link.recordResponse(callState, tookMs);
    },
    recordMiss: (waitedMs) => {
      backoffFactor *= BACKOFF_FACTOR;
      link.recordMiss(callState, waitedMs);
    },
    timeoutMs: () => {
      const endpointTimeoutMs = smoothed
        ? clamp(timeoutOf(smoothed) * backoffFactor, MAX_ENDPOINT_TIMEOUT_MS)
        : MAX_ENDPOINT_TIMEOUT_MS;
      return clamp(Math.max(endpointTimeoutMs, link.timeoutMs()), MAX_LINK_TIMEOUT_MS);
    },
    close: () => link.remove(callState),
  };
};
