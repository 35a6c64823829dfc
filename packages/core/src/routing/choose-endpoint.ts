/** The choice of an endpoint: the less loaded of two drawn at random. */
import { pick, type Rng } from '../shared/rng.js';
import type { EndpointId } from '../shared/ids.js';
import { failureShareNow, isEjected, type Endpoint } from './endpoint.js';

export type ChooseEndpointOptions = {
  /** Endpoints that this request has already been tried at. */
  readonly exclude?: readonly EndpointId[];
};

/** An endpoint that always fails counts as so many times slower than one that never does. */
const FAILURE_WEIGHT = 20;

/**
 * Expected time to get a good answer: the queue that would stand there, times the usual time. A
 * fast failure must not look like a fast answer.
 */
const expectedMs = (endpoint: Endpoint, nowMs: number): number => {
  const { inFlight, slotShare, smoothedMs } = endpoint;
  const penalty = 1 + FAILURE_WEIGHT * failureShareNow(endpoint, nowMs);
  return ((inFlight + 1) / slotShare) * smoothedMs * penalty;
};

/**
 * Lists the endpoints that may take a request now.
 *
 * @param endpoints - All endpoints of the service.
 * @param nowMs - The time.
 * @param options - Endpoints to leave out.
 * @returns Those that are neither leaving nor ejected and have a slot free.
 */
export const usableEndpoints = (
  endpoints: readonly Endpoint[],
  nowMs: number,
  { exclude = [] }: ChooseEndpointOptions = {},
): readonly Endpoint[] =>
  endpoints.filter(
    (one) =>
      !one.isLeaving &&
      one.inFlight < one.slotShare &&
      nowMs < one.shareUntilMs &&
      !isEjected(one, nowMs) &&
      !exclude.includes(one.endpointId),
  );

/**
 * Chooses an endpoint for one attempt.
 *
 * @param endpoints - All endpoints of the service.
 * @param nowMs - The time.
 * @param rng - The source of random numbers.
 * @param options - Endpoints to leave out.
 * @returns The endpoint, or undefined if none has a slot free.
 */
export const chooseEndpoint = (
  endpoints: readonly Endpoint[],
  nowMs: number,
  rng: Rng,
  options: ChooseEndpointOptions = {},
): Endpoint | undefined => {
  const usable = usableEndpoints(endpoints, nowMs, options);
  if (usable.length < 2) return usable[0];
  const first = pick(usable, rng) as Endpoint;
  const second = pick(usable, rng) as Endpoint;
  return expectedMs(second, nowMs) < expectedMs(first, nowMs) ? second : first;
};
