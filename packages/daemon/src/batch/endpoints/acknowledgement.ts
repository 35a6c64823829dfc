/**
 * Which ends a question may acknowledge. A question reaches whichever life has the endpoint's id: the next one would
 * forget ends of its own, unread, up to the number that was meant for the life before. So a number is sent
 * only while the life that it is meant for was heard a moment ago, and no more once that life has answered it.
 */

import { MAX_ORDER_DELAY_MS } from '@valvelatch/core/batch';

/** Beyond the pause between two questions: no endpoint is up again, given work and done with it in this time. */
const FRESH_MS = 500;

/** What is acknowledged of one life of an endpoint. */
export type Acknowledgement = {
  /** Tells that ends up to this number are written. */
  readonly noteWritten: (number: number) => void;
  readonly written: () => number;
  /**
   * Gives the number to send.
   *
   * @param pauseMs - How long questions to the endpoint are apart now.
   * @returns The highest end that is written; 0, which acknowledges none, where the life may be over, or knows it.
   */
  readonly toSend: (pauseMs: number) => number;
  /** Tells that the life has answered a question that acknowledged this number. */
  readonly noteAnswer: (sent: number) => void;
  /** Tells that a question that acknowledged this number had no answer. */
  readonly noteMiss: (sent: number) => void;
  /**
   * Tells until when one that was sent may be carried out late, by a life to come.
   *
   * @returns The time; 0 while no question without an answer has been followed by an answer of the same life: it
   *   was lost with the life, rather than held up on the way.
   */
  readonly lateUntilMs: () => number;
};

/**
 * Builds the acknowledgement of a life that has not been heard.
 *
 * @param nowMs - The holder's monotonic clock.
 * @returns The acknowledgement.
 */
export const createAcknowledgement = (nowMs: () => number): Acknowledgement => {
  let written = 0;
  let confirmed = 0;
  let heardAtMs = -Infinity;
  let sentAtMs = -Infinity;
  let missedAtMs = -Infinity;
  /** When one without an answer was sent that the life has outlived. */
  let outlivedAtMs = -Infinity;

  return {
    noteWritten: (number) => {
      written = Math.max(written, number);
    },
    written: () => written,
    toSend: (pauseMs) => {
      const isFresh = nowMs() - heardAtMs < pauseMs + FRESH_MS;
      const isWanted = isFresh && written > confirmed;
      if (isWanted) sentAtMs = nowMs();
      return isWanted ? written : 0;
    },
    noteAnswer: (sent) => {
      confirmed = Math.max(confirmed, sent);
      heardAtMs = nowMs();
      outlivedAtMs = Math.max(outlivedAtMs, missedAtMs);
    },
    noteMiss: (sent) => {
      heardAtMs = -Infinity;
      if (sent > 0) missedAtMs = nowMs();
    },
    lateUntilMs: () => {
      const areLate = nowMs() < outlivedAtMs + MAX_ORDER_DELAY_MS;
      return areLate ? sentAtMs + MAX_ORDER_DELAY_MS : 0;
    },
  };
};
