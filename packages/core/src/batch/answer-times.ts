/**
 * How long to wait for an answer, from how long answers took: smoothed mean and deviation, as a
 * transport does for its retransmissions (RFC 6298). An order whose answer is lost is noticed in a
 * quarter of a second where a fixed limit that also suits slow links needs four times that.
 */

/** Weights of a new time in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;
/** Answers take 3 ms; a pause of the entry's own of 0.2 s must not look like a lost one. */
const LEAST_MS = 250;
const MOST_MS = 900;

/** The times of the answers of one kind of order. */
export type AnswerTimes = {
  /** Takes in how long an answer took. */
  readonly note: (tookMs: number) => void;
  /** How long to wait for the next one. */
  readonly timeoutMs: () => number;
};

/**
 * Builds an empty memory of answer times.
 *
 * @returns The memory; before the first answer it allows the longest time.
 */
export const createAnswerTimes = (): AnswerTimes => {
  let meanMs: number | undefined;
  let deviationMs = 0;
  return {
    note: (tookMs) => {
      if (meanMs === undefined) {
        meanMs = tookMs;
        deviationMs = tookMs / 2;
        return;
      }
      deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - meanMs) - deviationMs);
      meanMs += MEAN_WEIGHT * (tookMs - meanMs);
    },
    timeoutMs: () => {
      if (meanMs === undefined) return MOST_MS;
      return Math.min(MOST_MS, Math.max(LEAST_MS, meanMs + DEVIATIONS * deviationMs));
    },
  };
};
