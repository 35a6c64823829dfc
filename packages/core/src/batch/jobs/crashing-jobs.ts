/** Fails jobs one of whose tasks repeatedly crashes the endpoints that run it. */
import { giveUpReason } from '../crashes/endpoint-crashes.js';
import { endJob } from './job-lifecycle.js';
import type { BatchState, RunState } from '../model/state.js';

/**
 * Fails a job if so many endpoints crashed under one of its tasks that the next one would be expected to crash, too.
 *
 * @param state - The state, changed in place.
 * @param run - A run of the task, after the crash of its endpoint was recorded.
 */
export const failJobIfCrashing = (
  state: BatchState,
  { task, step }: Pick<RunState, 'task' | 'step'>,
): void => {
  const reason = giveUpReason(task);
  if (reason !== undefined) endJob(state, step.job, 'failed', reason);
};
