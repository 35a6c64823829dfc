/**
 * Run times recorded from completed tasks, by kind of task. The estimates of clients can be off by any factor, so an
 * exponential moving average of the measured run times replaces them as soon as there are enough measurements.
 *
 * Two times are recorded. The run time lasts from the order until the holder learns of the end and tells when a task that
 * starts now will be over. The work time is measured by the endpoint's clock. Objectives are multiples of the work time:
 * computed from the run time, they would grow with the holder's own delay.
 */

/** The weight of a new run time in the moving average. The first ten run times are averaged with equal weights. */
const SAMPLE_WEIGHT = 0.1;
/** With fewer completed tasks than this the client's estimate is more reliable than the average. */
const MIN_COMPLETIONS = 5;

/** The means of one kind. `meanWorkMs` is left out of kinds that an earlier build stored. */
type MeanRunTime = { meanMs: number; meanWorkMs?: number | undefined; completions: number };

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
 * @param workMs - The work time in milliseconds; the run time if left out.
 */
export const recordRunTime = (
  times: RunTimes,
  kind: string,
  runTimeMs: number,
  workMs = runTimeMs,
): void => {
  const known = times.byKind.get(kind);
  if (!known) {
    times.byKind.set(kind, { meanMs: runTimeMs, meanWorkMs: workMs, completions: 1 });
    return;
  }
  known.completions += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / known.completions);
  known.meanMs += (runTimeMs - known.meanMs) * weight;
  const meanWorkMs = known.meanWorkMs ?? workMs;
  known.meanWorkMs = meanWorkMs + (workMs - meanWorkMs) * weight;
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

/**
 * Estimates the work time of a task.
 *
 * @param times - The recorded run times.
 * @param kind - The kind of the task, see `taskKindOf`.
 * @param estimateMs - The client's estimate.
 * @returns The average of the kind, or the client's estimate while too few tasks have completed; in milliseconds.
 */
export const estimateWorkTime = (times: RunTimes, kind: string, estimateMs: number): number => {
  const known = times.byKind.get(kind);
  return known && known.completions >= MIN_COMPLETIONS
    ? (known.meanWorkMs ?? known.meanMs)
    : Math.max(1, estimateMs);
};
