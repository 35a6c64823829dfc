/**
 * Decides whether a submission can be written at all at the moment, and when a refused client is to retry.
 * If the table is unavailable or this data centre is partitioned from the others, nobody can write the submission:
 * it is refused at once instead of being tried until the client's timeout.
 */

/**
 * A table that has answered nothing for this long counts as unavailable. A slow table answers a read within 310 ms, and
 * each entry reads at least every 400 ms. If the table is available after all, an entry wrongly refuses its clients for
 * a second.
 */
export const TABLE_UNAVAILABLE_MS = 600;
/** Entries send a heartbeat every 0.5 s: a control holder that has missed one may be partitioned from this entry. */
export const HOLDER_SUSPECT_MS = 800;

/** How long each of the two paths by which a submission can be written has been silent, in milliseconds. */
export type WritePaths = {
  /** Time for which the table has answered no request of this entry, neither a direct one nor one via other entries. */
  readonly tableSilentMs: number;
  /** Time for which the control holder has been silent; Infinity if this entry is the control holder. */
  readonly holderSilentMs: number;
};

/**
 * Tells whether a submission can be written by at least one path.
 *
 * @param paths - How long each path has been silent.
 * @returns False if neither the table nor the control holder answers.
 */
export const hasWritePath = ({ tableSilentMs, holderSilentMs }: WritePaths): boolean =>
  tableSilentMs < TABLE_UNAVAILABLE_MS || holderSilentMs < HOLDER_SUSPECT_MS;

const MIN_RETRY_S = 1;
const MAX_RETRY_S = 3;
/** Once an outage has lasted this long, half of the refused clients get a Retry-After that is a second longer. */
const SPREAD_FROM_MS = 2000;

/**
 * Chooses the Retry-After of a refused client. An outage is expected to last about as long again as it has lasted
 * already. A client with four attempts therefore outlasts an outage of 6 s, and after a short outage the first clients
 * retry within a second of its end.
 *
 * @param outageMs - How long the outage has lasted.
 * @param randomValue - A random number from 0 to 1, drawn for this client, which spreads the retries.
 * @returns Whole seconds, 1 to 3.
 */
export const chooseRetryAfterS = (outageMs: number, randomValue: number): number => {
  const spreadS = outageMs >= SPREAD_FROM_MS && randomValue >= 0.5 ? 1 : 0;
  const expectedS = Math.round(outageMs / 1000) + spreadS;
  return Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, expectedS));
};
