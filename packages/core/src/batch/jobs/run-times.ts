/**
 * Run times recorded from completed tasks, by kind of task. The estimates of clients can be off by any factor, so an
 * exponential moving average of the measured run times replaces them as soon as there are enough measurements.
 */

/** The weight of a new run time in the moving average. The first ten run times are averaged with equal weights. */
const SAMPLE_WEIGHT = 0.1;
/** With fewer completed tasks than this the client's estimate is more reliable than the average. */
const MIN_COMPLETIONS = 5;

type MeanRunTime = { meanMs: number; completions: number };

/** The recorded run times by kind of task. */
export type RunTimes = { readonly byKind: Map<string, MeanRunTime> };

/**
 * Creates an empty record of run times.
 *
 * @returns The record.
 */
export const createRunTimes = (): RunTimes => ({ byKind: new Map() });

/**
 * Records the run time of a completed task.
 *
 * @param times - The recorded run times, changed in place.
 * @param kind - The kind of the task, see `taskKindOf`.
 * @param runTimeMs - The run time in milliseconds.
 */
export const recordRunTime = (times: RunTimes, kind: string, runTimeMs: number): void => {
  const known = times.byKind.get(kind);
  if (!known) {
    times.byKind.set(kind, { meanMs: runTimeMs, completions: 1 });
    return;
  }
  known.completions += 1;
  known.meanMs += (runTimeMs - known.meanMs) * Math.max(SAMPLE_WEIGHT, 1 / known.completions);
};

/**
 * Estimates the run time of a task.
 *
 * @param times - The recorded run times.
 * @param kind - The kind of the task, see `taskKindOf`.
 * @param estimateMs - The client's estimate.
 * @returns The average of the kind, or the client's estimate while too few tasks have completed; in milliseconds.
 */
export const estimateRunTime = (times: RunTimes, kind: string, estimateMs: number): number => {
  const known = times.byKind.get(kind);
  return known && known.completions >= MIN_COMPLETIONS ? known.meanMs : Math.max(1, estimateMs);
};
