/**
 * Determines which ended runs a list request may acknowledge. An endpoint deletes acknowledged runs from its list.
 *
 * A list request reaches whichever incarnation has the endpoint's id. A later incarnation would delete its own ended
 * runs, which nobody has read, up to the number that was meant for the previous one. Therefore a number is sent only
 * while the intended incarnation has responded recently, and no longer once it has responded to that number.
 */

import { MAX_ORDER_DELAY_MS } from '@valvelatch/core/batch';

/**
 * An incarnation counts as recently heard for this time beyond the pause between two list requests. It is too short
 * for an endpoint to restart, get work and finish it.
 */
const FRESHNESS_MARGIN_MS = 500;

/** Tracks the acknowledged runs of one incarnation of an endpoint. */
export type AcknowledgementTracker = {
  /** Records that the ended runs up to this number are stored. */
  readonly recordStored: (number: number) => void;
  /** The highest number that is stored; 0 if there is none. */
  readonly storedNumber: () => number;
  /** True if the incarnation has not yet responded to the highest number that is stored. */
  readonly isUnconfirmed: () => boolean;
  /**
   * Determines the number to send with a list request.
   *
   * @param pauseMs - The current pause between two list requests to the endpoint, in milliseconds.
   * @returns The number of the highest ended run that is stored. It is 0, which acknowledges none, if the incarnation
   *   may have ended or has already confirmed that number.
   */
  readonly computeNumberToSend: (pauseMs: number) => number;
  /** Records that the incarnation responded to a list request that acknowledged this number. */
  readonly recordResponse: (sent: number) => void;
  /** Records that a list request that acknowledged this number got no response. */
  readonly recordMiss: (sent: number) => void;
  /**
   * Determines until when a list request with an acknowledgement may arrive late, at the next incarnation.
   *
   * @returns The time on the holder's clock, in milliseconds. It is 0 unless the incarnation recently responded after
   *   a list request with an acknowledgement had got no response: otherwise that request counts as lost with the
   *   incarnation, not as delayed on the network.
   */
  readonly lateArrivalUntilMs: () => number;
};

/**
 * Creates the acknowledgement state of an incarnation that has not responded yet.
 *
 * @param nowMs - The holder's monotonic clock, in milliseconds.
 * @returns The acknowledgement state.
 */
export const createAcknowledgementTracker = (nowMs: () => number): AcknowledgementTracker => {
  let written = 0;
  let confirmed = 0;
  let respondedAtMs = -Infinity;
  let sentAtMs = -Infinity;
  let missedAtMs = -Infinity;
  /** When the last acknowledgement was missed after which the same incarnation responded again. */
  let survivedMissAtMs = -Infinity;

  return {
    recordStored: (number) => {
      written = Math.max(written, number);
    },
    storedNumber: () => written,
    isUnconfirmed: () => written > confirmed,
    computeNumberToSend: (pauseMs) => {
      const isFresh = nowMs() - respondedAtMs < pauseMs + FRESHNESS_MARGIN_MS;
      const isNeeded = isFresh && written > confirmed;
      if (isNeeded) sentAtMs = nowMs();
      return isNeeded ? written : 0;
    },
    recordResponse: (sent) => {
      confirmed = Math.max(confirmed, sent);
      respondedAtMs = nowMs();
      survivedMissAtMs = Math.max(survivedMissAtMs, missedAtMs);
    },
    recordMiss: (sent) => {
      respondedAtMs = -Infinity;
      if (sent > 0) missedAtMs = nowMs();
    },
    lateArrivalUntilMs: () => {
      const mayBeLate = nowMs() < survivedMissAtMs + MAX_ORDER_DELAY_MS;
      return mayBeLate ? sentAtMs + MAX_ORDER_DELAY_MS : 0;
    },
  };
};
