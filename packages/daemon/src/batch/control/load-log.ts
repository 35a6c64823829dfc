/** Logs the load of control, so that an operator can see what delays the start of tasks. */
import type { BatchState, SharedDelayEstimator, OrderWindow } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { SaverLoad } from '../jobs/job-saver.js';
import type { ProcessLoad } from './process-load.js';

export type LoadLogOptions = {
  readonly state: BatchState;
  /** Limits the orders in flight. */
  readonly orderWindow: OrderWindow;
  /** The estimated response time of endpoints. */
  readonly sharedDelayEstimator: SharedDelayEstimator;
  readonly saverLoad: () => SaverLoad;
  /** The load of this process since the previous call. */
  readonly measureProcessLoad: () => ProcessLoad;
  /**
   * For how many milliseconds it is still certain that no other entry holds control; negative once that time
   * is over.
   */
  readonly remainingSoleHolderMs: () => number;
  readonly nowMs: () => number;
  readonly log: Log;
};

/**
 * Writes one log line about the load if any task waits, or any job waits to be saved.
 *
 * @param options - The state of the jobs, the orders in flight and the response times.
 */
export const logLoad = ({
  state,
  orderWindow,
  sharedDelayEstimator,
  saverLoad,
  measureProcessLoad,
  remainingSoleHolderMs,
  nowMs,
  log,
}: LoadLogOptions): void => {
  const { cpuMs, loopDelayMs } = measureProcessLoad();
  const { changedJobs, waitingSubmissions, roundAgeMs, transactionsInFlight } = saverLoad();
  const pools = Array.from(state.pools.values());
  const steps = pools.flatMap(({ openSteps }) => Array.from(openSteps));
  const waitingTasks = steps.reduce((sum, { waiting }) => sum + waiting.length, 0);
  if (waitingTasks + changedJobs + waitingSubmissions === 0) return;
  const endpoints = Array.from(state.endpoints.values());
  log.info('control-load', {
    jobs: state.jobs.size,
    openSteps: steps.length,
    waitingTasks,
    oldestMs: Math.round(Math.max(0, ...steps.map(({ job }) => nowMs() - job.submittedAtMs))),
    runs: endpoints.reduce((sum, { runs }) => sum + runs.size, 0),
    orphanRuns: endpoints.reduce((sum, { orphanRuns }) => sum + orphanRuns.size, 0),
    changedJobs,
    waitingSubmissions,
    saveRoundMs: Math.round(roundAgeMs),
    saves: transactionsInFlight,
    cpuMs: Math.round(cpuMs),
    loopDelayMs: Math.round(loopDelayMs),
    notReported: pools.reduce((sum, { unreportedInstances }) => sum + unreportedInstances.size, 0),
    soleForMs: Math.round(remainingSoleHolderMs()),
    window: orderWindow.size(),
    underWay: orderWindow.inFlight(),
    answerMs: Math.round(sharedDelayEstimator.meanMs()),
    timeoutMs: Math.round(sharedDelayEstimator.timeoutMs()),
  });
};
