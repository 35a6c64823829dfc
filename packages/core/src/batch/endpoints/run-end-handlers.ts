/** Updates a task and its job after the end of a run that an endpoint has listed. */
import { change } from '../../shared/change.js';
import { countFailedRuns, hasNoAttemptLeft } from '../jobs/attempts.js';
import { completeTask, endJob } from '../jobs/job-lifecycle.js';
import { recordRunTime } from '../jobs/run-times.js';
import type { BatchState, EndpointState, StepRun, Task } from '../model/state.js';
import { recordTaskFailure, recordTaskSuccess } from './endpoint-health.js';
import type { EndedRunReport, RunEndKind } from './endpoint-report.js';
import { isHeldByRun, requeue } from './runs.js';

type EndHandler = (
  state: BatchState,
  context: {
    readonly step: StepRun;
    readonly task: Task;
    readonly end: EndedRunReport;
    readonly endpoint: EndpointState;
    readonly ranMs: number;
    /** How long the run took by the endpoint's clock; `ranMs` if that is not known. */
    readonly workedMs: number;
  },
) => void;

/** Puts a task back into the queue after the end of one of its runs, unless an endpoint has another run of it. */
const requeueUnlessHeld = (state: BatchState, step: StepRun, task: Task): void => {
  if (!isHeldByRun(state, step, task)) requeue(state, step, task);
};

const returnToQueue: EndHandler = (state, { step, task, end }) => {
  if (end.checkpoint !== '') change(task, { checkpoint: end.checkpoint });
  requeueUnlessHeld(state, step, task);
};

/**
 * Tells whether the last failure of a task was on another endpoint. A long-running task has no limit of attempts, so that
 * one that fails anywhere would be held against every endpoint again and again.
 */
const hasFailedElsewhere = ({ avoidedEndpoint }: Task, { endpointId }: EndpointState): boolean =>
  avoidedEndpoint !== null && avoidedEndpoint !== endpointId;

const handleFailure: EndHandler = (state, context) => {
  const { step, task, end, endpoint } = context;
  if (task.failedRuns.includes(end.run)) {
    returnToQueue(state, context);
    return;
  }
  if (!step.spec.isLasting || !hasFailedElsewhere(task, endpoint))
    recordTaskFailure(state, endpoint, step.job.job.jobId);
  change(task, { avoidedEndpoint: endpoint.endpointId });
  if (step.spec.isLasting) {
    returnToQueue(state, context);
    return;
  }
  change(task, { failedRuns: [...task.failedRuns, end.run] });
  const { job } = step;
  if (hasNoAttemptLeft(task, job.policy)) {
    const failures = countFailedRuns(task);
    endJob(state, job, 'failed', `task ${task.key} failed ${failures} times, which is maxAttempts`);
    return;
  }
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
  returnToQueue(state, context);
};

const handleDone: EndHandler = (state, { step, task, endpoint, ranMs, workedMs }) => {
  recordTaskSuccess(endpoint);
  if (step.spec.isLasting) {
    requeueUnlessHeld(state, step, task);
    return;
  }
  if (ranMs > 0 && task.checkpoint === '')
    recordRunTime(state.runTimes, step.kind, ranMs, workedMs);
  if (step.spec.isGang) step.tasks.all().forEach((member) => completeTask(state, step, member));
  else completeTask(state, step, task);
};

/** What the end of a run means for its task and job, by how the run ended. */
export const endHandlers: Readonly<Record<RunEndKind, EndHandler>> = {
  done: handleDone,
  failed: handleFailure,
  stopped: returnToQueue,
  lapsed: returnToQueue,
  broken: returnToQueue,
  alone: returnToQueue,
  unknown: returnToQueue,
};
