/**
 * How long to wait for an answer of the advice service. The service goes on with a question that nobody waits for any
 * more, so giving up early costs the time of the next one: the timeout follows the time that the queue declares, and grows
 * with each question that was not answered.
 */
import type { QueuePolicy } from '../model/job.js';

/** The time of an answer about 30 endpoints if the queue declares none. */
const DEFAULT_TIMES = { decideMs: 150, eachMs: 5 };
/** No queue is believed to need less or more for one question. */
const MIN_EXPECTED_MS = 100;
const MAX_EXPECTED_MS = 600_000;
/** An answer is late once it has taken this multiple of the expected time, and the margin. */
const LATE_FACTOR = 2;
const LATE_MARGIN_MS = 1000;
/** The service is believed to take this multiple of the declared time at most, and this much longer at most. */
const MAX_SLOWNESS = 16;
const MAX_EXTRA_MS = 30_000;
/** The weight of the last answer in the estimate of how slow the service is. */
const LAST_ANSWER_WEIGHT = 0.5;
/** The pause after a question that failed at once, which doubles with each further one. */
const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 2000;

/**
 * Computes how long the advice service takes for a question.
 *
 * @param policy - The policy of the queue, which may declare the times.
 * @param endpointCount - How many endpoints the question names.
 * @returns The time in milliseconds.
 */
export const expectedAdviceMs = (
  { adviceTimes = DEFAULT_TIMES }: Pick<QueuePolicy, 'adviceTimes'>,
  endpointCount: number,
): number =>
  Math.min(
    MAX_EXPECTED_MS,
    Math.max(MIN_EXPECTED_MS, adviceTimes.decideMs + adviceTimes.eachMs * endpointCount),
  );

/** The timeout of questions, as far as the earlier ones show how slow the service is. */
export type AdviceTimeout = {
  /** How long to wait for an answer that is expected to take `expectedMs`. */
  readonly timeoutMs: (expectedMs: number) => number;
  readonly recordAnswer: (expectedMs: number, tookMs: number) => void;
  /** Records that a question was given up. */
  readonly recordNoAnswer: () => void;
  /** Records that a question failed at once, and returns the pause before the next one. */
  readonly recordFailure: () => number;
};

/**
 * Creates the timeout of a service that was not asked yet.
 *
 * @returns The timeout.
 */
export const createAdviceTimeout = (): AdviceTimeout => {
  let slowness = 1;
  let failures = 0;

  return {
    timeoutMs: (expectedMs) =>
      Math.min(expectedMs * LATE_FACTOR * slowness, expectedMs * LATE_FACTOR + MAX_EXTRA_MS) +
      LATE_MARGIN_MS,
    recordAnswer: (expectedMs, tookMs) => {
      const last = (tookMs / expectedMs) * LAST_ANSWER_WEIGHT;
      const mean = slowness * (1 - LAST_ANSWER_WEIGHT) + last;
      slowness = Math.min(MAX_SLOWNESS, Math.max(1, mean));
      failures = 0;
    },
    recordNoAnswer: () => {
      slowness = Math.min(MAX_SLOWNESS, slowness * 2);
    },
    recordFailure: () => {
      failures += 1;
      return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
    },
  };
};
