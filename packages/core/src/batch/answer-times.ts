/**
 * How long to wait for an answer, from how long answers took: smoothed mean and deviation, backed off
 * after each miss, as a transport does for its retransmissions (RFC 6298). An order whose answer is
 * lost is noticed in a quarter of a second where a fixed limit that also suits slow links needs four
 * times that.
 *
 * Two things make answers late, and each has a memory of its own: one endpoint that is slow or gone,
 * and this entry's own link or processor, which delays the answers of all. Without the second a full
 * link gives up what would have arrived and sends it again, which fills it further: at 250 KB a second
 * 4 of 10 calls were sent more than once, and the link stayed full after the load had gone.
 */

/** Weights of a new time in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;
const BACK_OFF = 2;
/** Answers take 3 ms; a pause of the entry's own of 0.2 s must not look like a lost one. */
const LEAST_MS = 250;
/** An endpoint that is back is noticed within this and a pause between two questions. */
const MOST_OF_ENDPOINT_MS = 900;
/** Weight of one more answer or miss in the share of calls that miss. */
const SHARE_WEIGHT = 1 / 16;
/**
 * Above this share the misses are this entry's own. A rack that is gone is 12 of 100 endpoints, and
 * orders that endpoints leave unanswered were up to 6 of 100.
 */
const OWN_MISS_SHARE = 0.25;
/** Two questions in a row fit into the lease of an endpoint (6 s), whatever the link delays. */
const MOST_OF_LINK_MS = 2500;

/** A smoothed mean and deviation. */
type Smoothed = { readonly meanMs: number; readonly deviationMs: number };

const smooth = (before: Smoothed | undefined, tookMs: number): Smoothed => {
  if (!before) return { meanMs: tookMs, deviationMs: tookMs / 2 };
  const { meanMs, deviationMs } = before;
  return {
    meanMs: meanMs + MEAN_WEIGHT * (tookMs - meanMs),
    deviationMs: deviationMs + DEVIATION_WEIGHT * (Math.abs(tookMs - meanMs) - deviationMs),
  };
};

const limitOf = ({ meanMs, deviationMs }: Smoothed): number => meanMs + DEVIATIONS * deviationMs;

const clamp = (ms: number, mostMs: number): number => Math.min(mostMs, Math.max(LEAST_MS, ms));

/** How long the answers of all endpoints take: what they share is this entry's link and processor. */
export type LinkDelay = {
  readonly note: (tookMs: number) => void;
  /** Takes in that an answer was waited for so long in vain. */
  readonly noteMiss: (waitedMs: number) => void;
  /** How long an answer may take by what all others take; 0 before the first. */
  readonly limitMs: () => number;
  /** How long answers take; 0 before the first. */
  readonly meanMs: () => number;
};

/**
 * Builds the memory of what delays all answers. Once many miss, a miss counts as an answer of twice the
 * time that was waited: it took longer than that, and without it only the quick answers would be seen.
 *
 * @returns The memory.
 */
export const createLinkDelay = (): LinkDelay => {
  let all: Smoothed | undefined;
  let missShare = 0;
  return {
    note: (tookMs) => {
      missShare -= SHARE_WEIGHT * missShare;
      all = smooth(all, tookMs);
    },
    noteMiss: (waitedMs) => {
      missShare += SHARE_WEIGHT * (1 - missShare);
      if (missShare < OWN_MISS_SHARE) return;
      all = smooth(all, Math.min(MOST_OF_LINK_MS, waitedMs * BACK_OFF));
    },
    limitMs: () => (all ? Math.min(MOST_OF_LINK_MS, limitOf(all)) : 0),
    meanMs: () => all?.meanMs ?? 0,
  };
};

/** The times of the answers of one endpoint. */
export type AnswerTimes = {
  /** Takes in how long an answer took. */
  readonly note: (tookMs: number) => void;
  /** Takes in that an answer was waited for so long in vain. */
  readonly noteMiss: (waitedMs: number) => void;
  /** How long to wait for the next one. */
  readonly timeoutMs: () => number;
};

/**
 * Builds an empty memory of answer times.
 *
 * @param link - What delays the answers of all endpoints.
 * @returns The memory; before the first answer it allows the longest time of an endpoint.
 */
export const createAnswerTimes = (link: LinkDelay = createLinkDelay()): AnswerTimes => {
  let own: Smoothed | undefined;
  let backOff = 1;
  return {
    note: (tookMs) => {
      own = smooth(own, tookMs);
      backOff = 1;
      link.note(tookMs);
    },
    noteMiss: (waitedMs) => {
      backOff *= BACK_OFF;
      link.noteMiss(waitedMs);
    },
    timeoutMs: () => {
      const ownMs = own ? clamp(limitOf(own) * backOff, MOST_OF_ENDPOINT_MS) : MOST_OF_ENDPOINT_MS;
      return clamp(Math.max(ownMs, link.limitMs()), MOST_OF_LINK_MS);
    },
  };
};
