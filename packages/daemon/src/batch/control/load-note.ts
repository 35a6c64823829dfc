/** What control carries: the figures by which an operator sees what holds starts back. */
import type { BatchState, SharedDelayEstimator, OrderWindow } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';

export type LoadNoteOptions = {
  readonly state: BatchState;
  readonly window: OrderWindow;
  readonly linkDelay: SharedDelayEstimator;
  /** For how long it is sure that no other entry holds control. */
  readonly soleForMs: () => number;
  readonly nowMs: () => number;
  readonly log: Log;
};

/**
 * Tells one line about the load, where any task waits.
 *
 * @param options - What the holder knows of its work and of its link.
 */
export const noteLoad = ({
  state,
  window,
  linkDelay,
  soleForMs,
  nowMs,
  log,
}: LoadNoteOptions): void => {
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
    soleForMs: Math.round(soleForMs()),
    window: window.size(),
    underWay: window.inFlight(),
    answerMs: Math.round(linkDelay.meanMs()),
    timeoutMs: Math.round(linkDelay.timeoutMs()),
  });
};
