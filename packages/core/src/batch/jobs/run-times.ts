/**
 * Run times learned from ends, by queue and step number: what clients guess can be off by any
 * factor. A moving mean is kept of times and of the ratio of time to guess.
 */

/** How much a new time counts in the mean. */
const WEIGHT = 0.1;
/** Fewer ends than this say less than the client's guess. */
const LEAST_ENDS = 5;

type Learned = { meanMs: number; ends: number };

/** What was learned. */
export type RunTimes = { readonly byKind: Map<string, Learned> };

/**
 * Builds an empty memory.
 *
 * @returns The memory.
 */
export const createRunTimes = (): RunTimes => ({ byKind: new Map() });

/**
 * Records how long a task ran until it was done.
 *
 * @param times - The memory, changed in place.
 * @param kind - What the task is alike to.
 * @param ranMs - The time.
 */
export const learnRunTime = (times: RunTimes, kind: string, ranMs: number): void => {
  const known = times.byKind.get(kind);
  if (!known) {
    times.byKind.set(kind, { meanMs: ranMs, ends: 1 });
    return;
  }
  known.ends += 1;
  known.meanMs += (ranMs - known.meanMs) * Math.max(WEIGHT, 1 / known.ends);
};

/**
 * Expects a run time.
 *
 * @param times - The memory.
 * @param kind - What the task is alike to.
 * @param estimateMs - The client's guess.
 * @returns The expected time in milliseconds.
 */
export const expectRunTime = (times: RunTimes, kind: string, estimateMs: number): number => {
  const known = times.byKind.get(kind);
  return known && known.ends >= LEAST_ENDS ? known.meanMs : Math.max(1, estimateMs);
};
