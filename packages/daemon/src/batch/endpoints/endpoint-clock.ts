/** Estimates the monotonic clock of one incarnation of an endpoint from its responses. */
import type { EndpointClock as ClockReading } from '@valvelatch/core/batch';

/**
 * The lowest clock rate that is assumed: an endpoint's clock may be 2 % slow. Times on it are extrapolated at this
 * rate, so that no lease is longer than 1.02 times the intended length, however old the reading is. The next holder
 * relies on this bound.
 */
const MIN_CLOCK_RATE = 0.98;
/**
 * The maximum age of a reading. On a clock that is not slow, a lease is shorter than intended by 2 % of the age of
 * the reading: with this limit by 0.6 s at most.
 */
const MAX_READING_AGE_MS = 30_000;

/** The estimate of an endpoint's clock. */
export type EndpointClockEstimate = {
  /** Records the clock reading of a response. */
  readonly recordReading: (reading: ClockReading) => void;
  /**
   * Estimates a future time on the endpoint's clock.
   *
   * @param ms - How far the time is ahead of now, in milliseconds.
   * @returns The time on the endpoint's clock in milliseconds; undefined before the first reading.
   */
  readonly estimateTimeAfter: (ms: number) => number | undefined;
  /** True if the last reading is too old to compute a lease from; false before the first reading. */
  readonly isReadingTooOld: () => boolean;
};

/**
 * Creates the clock estimate of an incarnation that has not responded yet.
 *
 * @param nowMs - The holder's monotonic clock, in milliseconds.
 * @returns The estimate, without a reading.
 */
export const createEndpointClockEstimate = (nowMs: () => number): EndpointClockEstimate => {
  let lastReading: { readonly clockMs: number; readonly atMs: number } | undefined;

  return {
    recordReading: ({ clockMs }) => {
      lastReading = { clockMs, atMs: nowMs() };
    },
    estimateTimeAfter: (ms) => {
      if (!lastReading) return undefined;
      return Math.floor(lastReading.clockMs + (nowMs() - lastReading.atMs) * MIN_CLOCK_RATE + ms);
    },
    isReadingTooOld: () =>
      lastReading !== undefined && nowMs() - lastReading.atMs > MAX_READING_AGE_MS,
  };
};
