/**
 * Limits how many start orders may be in flight at once. A link or processor that is too small for its load responds
 * later and later. Orders beyond its capacity wait in its queue, where they can be neither reordered by rank nor
 * withdrawn, until they time out and are sent again. The window therefore follows the response delay, as in delay-based
 * congestion control (TCP Vegas; LEDBAT, RFC 6817): it grows by one for each window of timely responses and shrinks at
 * once when responses are late. Loss-based control was rejected because a loss is detected only after a timeout of at
 * least 0.25 s, and until then the orders keep filling the queue in which lease renewals wait.
 */

/**
 * Responses take 3 to 10 ms without queueing; a delay above this value means that a queue is building up. With a lower
 * value, short bursts would be split into several rounds without need.
 */
const TARGET_DELAY_MS = 250;
/** Large enough not to limit anything while responses are fast: up to 150 orders were in flight with 102 endpoints. */
const INITIAL_SIZE = 256;
/**
 * A delay that other calls cause does not go away with fewer starts. Over a link with half the capacity that the
 * load needs, with relays, 14 of 60 jobs were done in time with a minimum of 4, and 24 of 60 with a minimum of 16.
 */
const MIN_SIZE = 16;
const MAX_SIZE = 2048;
/** The window never shrinks below this share of its previous size, so that one late response does not close it. */
const MIN_SHRINK_SHARE = 0.5;
/** Responses faster than this share of the target show an idle link; the window then doubles in each round. */
const IDLE_DELAY_SHARE = 0.25;
/** Number of consecutive late responses before the window shrinks: a single one may be due to a slow endpoint. */
const LATE_RESPONSES_TO_SHRINK = 3;

/** A limit on the number of start orders in flight. */
export type OrderWindow = {
  /** How many more orders may be sent now. */
  readonly available: () => number;
  readonly begin: () => void;
  /**
   * Records that an order is no longer in flight, because its response has arrived or it has timed out.
   *
   * @param tookMs - The response time, or the time waited without a response.
   * @param nowMs - The current time.
   */
  readonly end: (tookMs: number, nowMs: number) => void;
  /**
   * Records that an order is no longer in flight, without a conclusion about the link: its endpoint is gone while
   * others respond.
   */
  readonly cancel: () => void;
  readonly size: () => number;
  readonly inFlight: () => number;
};

/**
 * Creates a window with no orders in flight.
 *
 * @param initialSize - The window size before the first response.
 * @returns The window.
 */
export const createOrderWindow = (initialSize: number = INITIAL_SIZE): OrderWindow => {
  let size = initialSize;
  let inFlight = 0;
  let consecutiveLate = 0;
  let lastShrink = { size: initialSize, shrunkAtMs: -Infinity };

  const grow = (tookMs: number): void => {
    consecutiveLate = 0;
    // Only a window that is in use shows whether the link could carry a larger one.
    if (inFlight < size / 2) return;
    const isIdleLink = tookMs < TARGET_DELAY_MS * IDLE_DELAY_SHARE;
    size = Math.min(MAX_SIZE, size + (isIdleLink ? 1 : 1 / size));
  };

  /** Late responses to orders that were sent before the window shrank refer to the size that it had then. */
  const shrink = (tookMs: number, nowMs: number): void => {
    consecutiveLate += 1;
    if (consecutiveLate < LATE_RESPONSES_TO_SHRINK) return;
    if (nowMs - tookMs >= lastShrink.shrunkAtMs) lastShrink = { size, shrunkAtMs: nowMs };
    const share = Math.max(MIN_SHRINK_SHARE, TARGET_DELAY_MS / tookMs);
    size = Math.min(size, Math.max(MIN_SIZE, lastShrink.size * share));
  };

  return {
    available: () => Math.max(0, Math.floor(size) - inFlight),
    begin: () => {
      inFlight += 1;
    },
    end: (tookMs, nowMs) => {
      if (tookMs <= TARGET_DELAY_MS) grow(tookMs);
      else shrink(tookMs, nowMs);
      inFlight -= 1;
    },
    cancel: () => {
      inFlight -= 1;
    },
    size: () => Math.floor(size),
    inFlight: () => inFlight,
  };
};
