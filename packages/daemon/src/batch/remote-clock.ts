/** Estimates the monotonic clock of another process, an endpoint or a relay, from its responses. */

/** A reading of the other process's monotonic clock, taken at some time before its response arrived. */
export type ClockReading = { readonly clockMs: number };

/**
 * The lowest clock rate that is assumed: the other clock may be 2 % slow. Times on it are extrapolated at this
 * rate, so that no lease is longer than 1.02 times the intended length, however old the reading is. The next holder
 * relies on this bound.
 */
const MIN_CLOCK_RATE = 0.98;
/**
 * The maximum age of a reading. On a clock that is not slow, a lease is shorter than intended by 2 % of the age of
 * the reading: with this limit by 0.6 s at most.
 */
const MAX_READING_AGE_MS = 30_000;

/** The estimate of another process's clock. */
export type RemoteClock = {
  /** Records the clock reading of a response. */
  readonly recordReading: (reading: ClockReading) => void;
  /**
   * Estimates a future time on the other clock.
   *
   * @param ms - How far the time is ahead of now, in milliseconds.
   * @returns The time on the other clock in milliseconds, or an earlier one; undefined before the first reading.
   */
  readonly estimateTimeAfter: (ms: number) => number | undefined;
  /** True if the last reading is too old to compute a lease from; false before the first reading. */
  readonly isReadingTooOld: () => boolean;
};

/**
 * Creates the estimate of the clock of a process that has not responded yet.
 *
 * @param nowMs - This entry's monotonic clock, in milliseconds.
 * @returns The estimate, without a reading.
 */
export const createRemoteClock = (nowMs: () => number): RemoteClock => {
  let best: { readonly clockMs: number; readonly atMs: number } | undefined;
  let readAtMs = 0;

  const estimate = (): number =>
    best ? best.clockMs + (nowMs() - best.atMs) * MIN_CLOCK_RATE : -Infinity;

  return {
    recordReading: ({ clockMs }) => {
      readAtMs = nowMs();
      // A reading that was on its way for longer, or that this process handled late, estimates less.
      if (clockMs > estimate()) best = { clockMs, atMs: readAtMs };
    },
    estimateTimeAfter: (ms) => (best ? Math.floor(estimate() + ms) : undefined),
    isReadingTooOld: () => best !== undefined && nowMs() - readAtMs > MAX_READING_AGE_MS,
  };
};
