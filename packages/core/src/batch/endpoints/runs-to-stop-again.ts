/** Runs whose order to stop must be sent again, because it was not answered or had no effect. */
import { budgetedLongRunningSteps, countUnavailable } from '../pools/listed-hosts.js';
import type { BatchState, EndpointState, RunState } from '../model/state.js';
import { STOP_COMPLETED_WITHIN_MS } from './runs.js';

const isStopOverdue = (
  { reportedAtMs }: EndpointState,
  { phase, stopAnsweredAtMs }: RunState,
): boolean =>
  phase === 'stopping' &&
  (stopAnsweredAtMs === Infinity || reportedAtMs - stopAnsweredAtMs > STOP_COMPLETED_WITHIN_MS);

/**
 * Lists the runs of an endpoint that are to be stopped and whose stop order must be sent again: it was not answered, or
 * the run is still listed although it should have ended since. A listed run of a long-running step is left out while so
 * many other tasks of the step are not ready that the step's disruption budget allows no further one.
 *
 * @param state - The batch state.
 * @param endpoint - The endpoint, after its last report was applied.
 * @returns The runs.
 */
export const listRunsToStopAgain = (
  state: BatchState,
  endpoint: EndpointState,
): readonly RunState[] => {
  const overdue = Array.from(endpoint.runs.values()).filter((run) => isStopOverdue(endpoint, run));
  if (overdue.length === 0) return [];
  const budgeted = budgetedLongRunningSteps(endpoint);
  return overdue.filter(
    ({ step, isListed }) =>
      !isListed ||
      !budgeted.has(step) ||
      countUnavailable(state, step, endpoint) <= step.spec.mayMiss,
  );
};
