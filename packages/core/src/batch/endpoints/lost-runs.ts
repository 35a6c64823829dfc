/** Runs that ended without a report. */
import { requeue, dropRun, type DropRunOptions } from './runs.js';
import type { BatchState } from '../model/state.js';

/** Options for a run that ended without a report. */
export type LoseRunOptions = Omit<DropRunOptions, 'settle'> & {
  /** What else follows, once the task waits again. */
  readonly afterwards?: () => void;
};

/**
 * Takes a run for ended without a report.
 *
 * @param state - All that is known, changed in place.
 * @param options - The run and what shows that it has ended.
 */
export const loseRun = (
  state: BatchState,
  { endpoint, run, evidence, nowMs, fields, afterwards }: LoseRunOptions,
): void => {
  const { task, step } = run;
  const settle = (): void => {
    if (step.spec.isLasting && task.awaySinceMs === 0) task.awaySinceMs = nowMs;
    requeue(state, step, task);
    afterwards?.();
  };
  dropRun(state, { endpoint, run, evidence, nowMs, fields, settle });
};
