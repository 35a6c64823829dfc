/** Jobs that are given up because endpoints crash under one of their tasks. */
import { giveUpReason } from '../crashes/endpoint-crashes.js';
import { endJob } from './jobs.js';
import type { BatchState, RunState } from '../model/state.js';

/**
 * Ends a job one of whose tasks would take down the next endpoint, too.
 *
 * @param state - All that is known, changed in place.
 * @param run - A run of the task, after its endpoint's end was counted.
 */
export const giveUpIfDue = (
  state: BatchState,
  { task, step }: Pick<RunState, 'task' | 'step'>,
): void => {
  const reason = giveUpReason(task);
  if (reason !== undefined) endJob(state, step.job, 'failed', reason);
};
