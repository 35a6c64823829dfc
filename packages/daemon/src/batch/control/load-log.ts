/** Logs the load of control, so that an operator can see what delays the start of tasks. */
import type { BatchState, SharedDelayEstimator, OrderWindow } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';

export type LoadLogOptions = {
  readonly state: BatchState;
  /** Limits the orders in flight. */
  readonly orderWindow: OrderWindow;
  /** The estimated response time of endpoints. */
  readonly sharedDelayEstimator: SharedDelayEstimator;
  /**
   * For how many milliseconds it is still certain that no other entry holds control; negative once that time
   * is over.
   */
  readonly remainingSoleHolderMs: () => number;
  readonly nowMs: () => number;
  readonly log: Log;
};

/**
 * Writes one log line about the load if any task waits.
 *
 * @param options - The state of the jobs, the orders in flight and the response times.
 */
export const logLoad = ({
  state,
  orderWindow,
  sharedDelayEstimator,
  remainingSoleHolderMs,
  nowMs,
  log,
}: LoadLogOptions): void => {
  const pools = Array.from(state.pools.values());
  const steps = pools.flatMap(({ openSteps }) => Array.from(openSteps));
  const waitingTasks = steps.reduce((sum, { waiting }) => sum + waiting.length, 0);
  if (waitingTasks === 0) return;
  log.info('control-load', {
    jobs: state.jobs.size,
    openSteps: steps.length,
    waitingTasks,
    oldestMs: Math.round(Math.max(...steps.map(({ job }) => nowMs() - job.submittedAtMs))),
    notReported: pools.reduce((sum, { unreportedInstances }) => sum + unreportedInstances.size, 0),
    soleForMs: Math.round(remainingSoleHolderMs()),
    window: orderWindow.size(),
    underWay: orderWindow.inFlight(),
    answerMs: Math.round(sharedDelayEstimator.meanMs()),
    timeoutMs: Math.round(sharedDelayEstimator.timeoutMs()),
  });
};
