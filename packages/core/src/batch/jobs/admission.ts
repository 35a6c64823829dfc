/**
 * Whether a submission can be written at all now, and when a client that is refused comes back.
 * Guards against a table that is away and a data centre that is cut off: a submission that nobody
 * can write is refused at once instead of being tried until its client's time is over.
 */

/**
 * A table that has answered nothing for so long is away. A slow one answers a reading within
 * 310 ms, and each entry reads at least every 400 ms; an entry that is not away in truth sends its
 * clients back for a second.
 */
export const TABLE_AWAY_MS = 600;
/** Entries send a heartbeat each 0.5 s: a holder that has missed one may be cut off. */
export const HOLDER_DOUBTFUL_MS = 800;

/** The routes on which a submission could be written, by when each last answered. */
export type WritePaths = {
  /** For how long the table has answered nothing that this entry asked, by itself or by others. */
  readonly tableSilentMs: number;
  /** For how long the holder of control has been silent; Infinity where it is this entry. */
  readonly holderSilentMs: number;
};

/**
 * Tells whether any route is left on which a submission could be written.
 *
 * @param paths - For how long each has not answered.
 * @returns False where neither the table nor the holder answers.
 */
export const hasWritePath = ({ tableSilentMs, holderSilentMs }: WritePaths): boolean =>
  tableSilentMs < TABLE_AWAY_MS || holderSilentMs < HOLDER_DOUBTFUL_MS;

const LEAST_RETRY_S = 1;
const MOST_RETRY_S = 3;
/** From this age of an outage on, every other client is sent away for a second longer. */
const SPREAD_FROM_MS = 2000;

/**
 * Chooses when a refused client comes back. An outage that has lasted a second is expected to last
 * about as long again, so a client with four tries outlasts one of 6 s, and the first of them is
 * back within a second of a short one.
 *
 * @param awayMs - How long the outage has lasted.
 * @param chance - A number from 0 to 1, drawn for this client: spreads those who return.
 * @returns Whole seconds, 1 to 3.
 */
export const chooseRetryAfterS = (awayMs: number, chance: number): number => {
  const spreadS = awayMs >= SPREAD_FROM_MS && chance >= 0.5 ? 1 : 0;
  const expectedS = Math.round(awayMs / 1000) + spreadS;
  return Math.min(MOST_RETRY_S, Math.max(LEAST_RETRY_S, expectedS));
};
