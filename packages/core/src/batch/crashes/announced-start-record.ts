/**
 * The record of an announced start with its task. It is kept, and written to the job's row, until it is known what became
 * of the run.
 */
import { change } from '../../shared/change.js';
import {
  isFinal,
  type BatchState,
  type RunState,
  type StepRun,
  type Task,
  type Trial,
} from '../model/state.js';

/** Tells whether the end of a run, or of a later run of the task, is known. */
const hasKnownEnd = (
  { lastEnd, crashes }: Pick<Task, 'lastEnd' | 'crashes'>,
  run: number,
): boolean => (lastEnd?.run ?? 0) >= run || crashes.some((crash) => crash.run >= run);

/**
 * Returns the announced start of a task if the end of its run is not known.
 *
 * @param task - The task.
 * @returns The start; undefined if there is no such start.
 */
export const findOpenTrial = ({
  trial,
  ...task
}: Pick<Task, 'trial' | 'lastEnd' | 'crashes'>): Task['trial'] | undefined =>
  trial && !hasKnownEnd(task, trial.run) ? trial : undefined;

/** A start that an earlier holder announced, as the job's row names it. */
export type StoredTrial = Pick<Trial, 'run' | 'endpointId' | 'isConclusive'>;

/**
 * Restores a start that an earlier holder announced.
 *
 * @param state - The batch state, changed in place.
 * @param step - The step of the task.
 * @param task - The task, changed in place.
 * @param stored - The run, the endpoint that was to start it, and whether its loss is conclusive.
 */
export const restoreTrial = (
  state: BatchState,
  step: StepRun,
  task: Task,
  { run, endpointId, isConclusive }: StoredTrial,
): void => {
  change(task, {
    trial: { run, endpointId, isInherited: true, isConclusive },
    lastRun: Math.max(task.lastRun, run),
  });
  state.suspectJobs.add(step.job);
  if (endpointId === null) return;
  const sameEndpoint = state.inheritedTrials.get(endpointId) ?? [];
  sameEndpoint.push({ step, task });
  state.inheritedTrials.set(endpointId, sameEndpoint);
};

/**
 * Removes the announced start of a task once its run is known not to have crashed an endpoint. The job's row is written
 * again, because a later holder would count a start that the row still names as a crash if the endpoint is gone by then.
 *
 * @param state - The batch state, changed in place.
 * @param step - The step of the task.
 * @param task - The task, changed in place.
 * @param run - The run; nothing is done if another run of the task is announced.
 */
export const withdrawTrial = (
  state: BatchState,
  { job }: StepRun,
  task: Task,
  run: number,
): void => {
  if (task.trial?.run !== run) return;
  change(task, { trial: null });
  if (isFinal(job.phase)) return;
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Records that an answer of the endpoint showed a conclusive run. The job's row is written again, so that
 * a later holder can tell the start from one that no endpoint is known to have begun.
 *
 * @param state - The batch state, changed in place.
 * @param run - The run; nothing is done unless it is conclusive.
 */
export const recordTrialSeen = (
  state: BatchState,
  { task, step, run, isConclusive }: RunState,
): void => {
  const { trial } = task;
  if (!isConclusive || trial?.run !== run || trial.isConclusive) return;
  change(task, { trial: { ...trial, isConclusive: true } });
  state.effects.push({ kind: 'save', jobId: step.job.job.jobId, isUrgent: true });
};
