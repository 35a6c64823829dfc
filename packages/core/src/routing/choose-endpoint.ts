/**
 * Chooses an endpoint by the power of two choices: draws two usable endpoints at random and takes
 * the one with the shorter expected response time.
 */
import { pickRandom, type Rng } from '../shared/rng.js';
import type { EndpointId } from '../shared/ids.js';
import { decayedFailureShare, isEjected, type Endpoint } from './endpoint.js';

export type ChooseEndpointOptions = {
  /**
   * Endpoints that must not be chosen, such as those that this request has already been sent to.
   */
  readonly exclude?: readonly EndpointId[];
};

/**
 * Weight of the failure share in the expected response time: an endpoint that always fails is
 * ranked as if it took 1 + FAILURE_WEIGHT times as long as one that never fails.
 */
const FAILURE_WEIGHT = 20;

/**
 * Returns the expected time to a successful response, in milliseconds: the queue length per slot
 * including this request, times the smoothed response time, times a penalty for failures. Without
 * the penalty, an endpoint that fails fast would be preferred as if it answered fast.
 */
const expectedResponseMs = (endpoint: Endpoint, nowMs: number): number => {
  const { inFlight, slotShare, smoothedResponseMs } = endpoint;
  const penalty = 1 + FAILURE_WEIGHT * decayedFailureShare(endpoint, nowMs);
  return ((inFlight + 1) / slotShare) * smoothedResponseMs * penalty;
};

/**
 * Lists the endpoints that can take a request now.
 *
 * @param endpoints - All endpoints of the service.
 * @param nowMs - The current time, in milliseconds.
 * @param options - Endpoints to exclude.
 * @returns The endpoints that are not excluded, leaving or ejected, whose slot share has not
 * expired and which have a free slot.
 */
export const filterUsableEndpoints = (
  endpoints: readonly Endpoint[],
  nowMs: number,
  { exclude = [] }: ChooseEndpointOptions = {},
): readonly Endpoint[] =>
  endpoints.filter(
    (endpoint) =>
      !endpoint.isLeaving &&
      endpoint.inFlight < endpoint.slotShare &&
      nowMs < endpoint.slotShareExpiresAtMs &&
      !isEjected(endpoint, nowMs) &&
      !exclude.includes(endpoint.endpointId),
  );

/**
 * Chooses an endpoint for one attempt.
 *
 * @param endpoints - All endpoints of the service.
 * @param nowMs - The current time, in milliseconds.
 * @param rng - The source of random numbers.
 * @param options - Endpoints to exclude.
 * @returns The endpoint, or undefined if no endpoint is usable.
 */
export const chooseEndpoint = (
  endpoints: readonly Endpoint[],
  nowMs: number,
  rng: Rng,
  options: ChooseEndpointOptions = {},
): Endpoint | undefined => {
  const usable = filterUsableEndpoints(endpoints, nowMs, options);
  if (usable.length < 2) return usable[0];
  const first = pickRandom(usable, rng) as Endpoint;
  const second = pickRandom(usable, rng) as Endpoint;
  return expectedResponseMs(second, nowMs) < expectedResponseMs(first, nowMs) ? second : first;
};
