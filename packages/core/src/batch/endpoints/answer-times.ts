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

import { change } from '../../shared/change.js';

/** Weights of a new time in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;
const BACK_OFF = 2;
/** Answers take 3 ms; a pause of the entry's own of 0.2 s must not look like a lost one. */
const LEAST_MS = 250;
/** An endpoint that is back is noticed within this and a pause between two questions. */
const MOST_OF_ENDPOINT_MS = 900;
/**
 * Once so many of the endpoints have not answered their last call, the misses are this entry's own. A
 * data centre that is cut off beside a rack that is gone is 3 of 10 endpoints. Endpoints are counted,
 * not misses: those of a data centre miss together, dozens in a row.
 */
const OWN_MISS_SHARE = 0.4;
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

/** One endpoint, as far as its last call is concerned. */
export type CallState = { isMissing: boolean };

/** How long the answers of all endpoints take: what they share is this entry's link and processor. */
export type LinkDelay = {
  readonly note: (endpoint: CallState, tookMs: number) => void;
  /** Records that an answer was waited for so long in vain. */
  readonly noteMiss: (endpoint: CallState, waitedMs: number) => void;
  readonly forget: (endpoint: CallState) => void;
  /** So many endpoints miss that the cause is this entry's link or processor. */
  readonly isAtFault: () => boolean;
  /** How long an answer may take by what all others take; 0 before the first. */
  readonly limitMs: () => number;
  /** How long answers take; 0 before the first. */
  readonly meanMs: () => number;
};

/**
 * Builds the memory of what delays all answers. Once many endpoints miss, a miss counts as an answer of
 * twice the time that was waited: it took longer than that, and without it only the quick answers would
 * be seen.
 *
 * @returns The memory.
 */
export const createLinkDelay = (): LinkDelay => {
  const known = new Set<CallState>();
  let missing = 0;
  let all: Smoothed | undefined;

  const noteState = (endpoint: CallState, isMissing: boolean): void => {
    known.add(endpoint);
    if (endpoint.isMissing !== isMissing) missing += isMissing ? 1 : -1;
    change(endpoint, { isMissing });
  };

  const isAtFault = (): boolean => missing > known.size * OWN_MISS_SHARE;

  return {
    note: (endpoint, tookMs) => {
      noteState(endpoint, false);
      all = smooth(all, tookMs);
    },
    noteMiss: (endpoint, waitedMs) => {
      noteState(endpoint, true);
      if (isAtFault()) all = smooth(all, Math.min(MOST_OF_LINK_MS, waitedMs * BACK_OFF));
    },
    forget: (endpoint) => {
      if (known.delete(endpoint) && endpoint.isMissing) missing -= 1;
    },
    isAtFault,
    limitMs: () => (all ? Math.min(MOST_OF_LINK_MS, limitOf(all)) : 0),
    meanMs: () => all?.meanMs ?? 0,
  };
};

/** The times of the answers of one endpoint. */
export type AnswerTimes = {
  /** Records how long an answer took. */
  readonly note: (tookMs: number) => void;
  /** Records that an answer was waited for so long in vain. */
  readonly noteMiss: (waitedMs: number) => void;
  /** How long to wait for the next one. */
  readonly timeoutMs: () => number;
  /** The endpoint is not called any more. */
  readonly close: () => void;
};

/**
 * Builds an empty memory of answer times.
 *
 * @param link - What delays the answers of all endpoints.
 * @returns The memory; before the first answer it allows the longest time of an endpoint.
 */
export const createAnswerTimes = (link: LinkDelay = createLinkDelay()): AnswerTimes => {
  const state: CallState = { isMissing: false };
  let own: Smoothed | undefined;
  let backOff = 1;
  return {
    note: (tookMs) => {
      own = smooth(own, tookMs);
      backOff = 1;
      link.note(state, tookMs);
    },
    noteMiss: (waitedMs) => {
      backOff *= BACK_OFF;
      link.noteMiss(state, waitedMs);
    },
    timeoutMs: () => {
      const ownMs = own ? clamp(limitOf(own) * backOff, MOST_OF_ENDPOINT_MS) : MOST_OF_ENDPOINT_MS;
      return clamp(Math.max(ownMs, link.limitMs()), MOST_OF_LINK_MS);
    },
    close: () => link.forget(state),
  };
};
