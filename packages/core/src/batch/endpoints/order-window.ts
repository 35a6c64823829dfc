/**
 * How many starts may be under way at once. A link or a processor that is too small for its load
 * answers later and later; what is sent beyond what it carries only waits there, where it can be
 * neither ordered by rank nor taken back, until its time is over and it is sent again. So the window
 * follows the delay of answers, as delay-based congestion control does (TCP Vegas, LEDBAT, RFC 6817):
 * it grows by one for each window that is answered in time and shrinks at once when answers are late.
 * Weighed against control by losses alone: a loss is seen after a time-out of 0.25 s and more, while what
 * was sent continues to fill the queue in which renewals of leases wait.
 */

/**
 * Answers take 3 to 10 ms where nothing waits; a delay of this much more is a queue that is being
 * filled. Below it a short burst would be cut into rounds for nothing.
 */
const TARGET_MS = 250;
/** Holds nothing back where nothing is late: up to 150 were under way with 102 endpoints. */
const FIRST = 256;
/**
 * A delay that other calls cause does not go away with fewer starts: with 4 at least 14 of 60 jobs were in
 * time over a link of half the load and relays, with 16 24 were.
 */
const LEAST = 16;
const MOST = 2048;
/** Never less than this share of what it was, so that one late answer does not close it. */
const LEAST_SHARE = 0.5;
/** Answers within this share of the target show a link with nothing on it: the window doubles. */
const IDLE_SHARE = 0.25;
/** So many answers in a row must be late: one is an endpoint's own slowness. */
const LATE_TO_SHRINK = 3;

/** How many starts may be under way. */
export type OrderWindow = {
  /** How many more may be sent now. */
  readonly left: () => number;
  readonly begin: () => void;
  /**
   * Ends one that was begun.
   *
   * @param tookMs - How long its answer took, or was waited for in vain.
   * @param nowMs - The time.
   */
  readonly end: (tookMs: number, nowMs: number) => void;
  /** Ends one that tells nothing of the link: its endpoint is gone, and others answer. */
  readonly drop: () => void;
  readonly size: () => number;
  readonly underWay: () => number;
};

/**
 * Builds a window with nothing under way.
 *
 * @param first - How many may be under way before any answer has come.
 * @returns The window.
 */
export const createOrderWindow = (first: number = FIRST): OrderWindow => {
  let size = first;
  let underWay = 0;
  let lateInRow = 0;
  let before = { size: first, shrunkAtMs: -Infinity };

  const grow = (tookMs: number): void => {
    lateInRow = 0;
    // Only a window that is used tells whether a larger one would be carried.
    if (underWay < size / 2) return;
    const isIdleLink = tookMs < TARGET_MS * IDLE_SHARE;
    size = Math.min(MOST, size + (isIdleLink ? 1 : 1 / size));
  };

  /** What was sent before the window shrank tells of the size that it had then. */
  const shrink = (tookMs: number, nowMs: number): void => {
    lateInRow += 1;
    if (lateInRow < LATE_TO_SHRINK) return;
    if (nowMs - tookMs >= before.shrunkAtMs) before = { size, shrunkAtMs: nowMs };
    const share = Math.max(LEAST_SHARE, TARGET_MS / tookMs);
    size = Math.min(size, Math.max(LEAST, before.size * share));
  };

  return {
    left: () => Math.max(0, Math.floor(size) - underWay),
    begin: () => {
      underWay += 1;
    },
    end: (tookMs, nowMs) => {
      if (tookMs <= TARGET_MS) grow(tookMs);
      else shrink(tookMs, nowMs);
      underWay -= 1;
    },
    drop: () => {
      underWay -= 1;
    },
    size: () => Math.floor(size),
    underWay: () => underWay,
  };
};
