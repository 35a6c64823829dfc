/** Runs that ended without a report from their endpoint. */
import { requeue, dropRun, type DropRunOptions } from './runs.js';
import type { BatchState } from '../model/state.js';

/** Options for a run that ended without a report. */
export type EndRunWithoutReportOptions = Omit<DropRunOptions, 'updateTask'> & {
  /** Called once the task has been put back into the queue. */
  readonly onRequeued?: () => void;
};

/**
 * Marks a run as ended without a report, and puts its task back into the queue.
 *
 * @param state - The holder's batch state, modified in place.
 * @param options - The run and the evidence that it has ended.
 */
export const endRunWithoutReport = (
  state: BatchState,
  { endpoint, run, evidence, nowMs, fields, onRequeued }: EndRunWithoutReportOptions,
): void => {
  const { task, step } = run;
  const updateTask = (): void => {
    if (step.spec.isLasting && task.unavailableSinceMs === 0) task.unavailableSinceMs = nowMs;
    requeue(state, step, task);
    onRequeued?.();
  };
  dropRun(state, { endpoint, run, evidence, nowMs, fields, updateTask });
};
