/** The steady clock of one life of an endpoint, as its answers tell it. */
import type { EndpointClock as ClockReading } from '@valvelatch/core/batch';

/**
 * It may be 2 % slow. A time on it is reckoned as if it were, so that no lease is longer than 1.02 times what
 * is meant, however old the reading is: whoever comes next counts with that.
 */
const SLOWEST_CLOCK = 0.98;
/** On a clock that is not slow a lease is shorter by 2 % of the reading's age: no more than 0.6 s. */
const CLOCK_FRESH_MS = 30_000;

/** What is known of the clock. */
export type EndpointClock = {
  readonly note: (reading: ClockReading) => void;
  /**
   * Gives a time on the clock.
   *
   * @param ms - How far ahead of now it is.
   * @returns The time in milliseconds; undefined before the first reading.
   */
  readonly after: (ms: number) => number | undefined;
  /** True if the last reading is too old to reckon a lease from. */
  readonly isOld: () => boolean;
};

/**
 * Builds the clock of a life that has not answered.
 *
 * @param nowMs - The holder's monotonic clock.
 * @returns The clock.
 */
export const createEndpointClock = (nowMs: () => number): EndpointClock => {
  let last: { readonly clockMs: number; readonly atMs: number } | undefined;

  return {
    note: ({ clockMs }) => {
      last = { clockMs, atMs: nowMs() };
    },
    after: (ms) => {
      if (!last) return undefined;
      return Math.floor(last.clockMs + (nowMs() - last.atMs) * SLOWEST_CLOCK + ms);
    },
    isOld: () => last !== undefined && nowMs() - last.atMs > CLOCK_FRESH_MS,
  };
};
