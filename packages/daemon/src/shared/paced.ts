/** Readings that repeat, no more often than the link carries them. */

/**
 * A reading is followed by a pause of so many times what it took: readings of one kind take a third of a
 * link that is full, and leave the rest to orders. On an idle link they take some 5 ms.
 */
const PAUSE_FACTOR = 2;
/** However slow, a reading is not put off for longer: endpoints and hosts that are gone would be used. */
const MOST_PAUSE_MS = 1500;

/** A repeated reading. */
export type PacedReading = {
  /** Reads, and notes how long it took. */
  readonly run: <Value>(read: () => Promise<Value>) => Promise<Value>;
  /**
   * Gives the pause before the next one.
   *
   * @param leastMs - The pause on an idle link.
   * @returns Milliseconds.
   */
  readonly pauseMs: (leastMs: number) => number;
};

/**
 * Builds the pace of a reading that has not been made yet.
 *
 * @param nowMs - The monotonic clock.
 * @returns The pace.
 */
export const createPacedReading = (nowMs: () => number): PacedReading => {
  let tookMs = 0;
  return {
    run: async (read) => {
      const startedAtMs = nowMs();
      try {
        return await read();
      } finally {
        tookMs = nowMs() - startedAtMs;
      }
    },
    pauseMs: (leastMs) => Math.max(leastMs, Math.min(MOST_PAUSE_MS, tookMs * PAUSE_FACTOR)),
  };
};
