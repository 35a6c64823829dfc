/**
 * Announced starts, which the code calls trials: starts of tasks under which endpoints crashed or may have crashed.
 * Each is written to the job's row before it is ordered. If the control holder is lost before it can record that the
 * next endpoint crashed as well, the row still holds the announced start, and the next holder counts it as a crash
 * unless an endpoint reports what became of the run.
 */
import { change } from '../../shared/change.js';
import { hasSurvivedObservation } from './endpoint-crashes.js';
import { nextRunNumber } from '../endpoints/runs.js';
import type {
  BatchState,
  EndpointState,
  JobState,
  RunState,
  StepRun,
  Task,
} from '../model/state.js';

/** Tells whether the end of a run, or of a later run of the task, is known. */
const hasKnownEnd = ({ lastEnd, crashes }: Task, run: number): boolean =>
  (lastEnd?.run ?? 0) >= run || crashes.some((crash) => crash.run >= run);

/**
 * Returns the announced start of a task if the end of its run is not known.
 *
 * @param task - The task.
 * @returns The run number; undefined if there is no such start.
 */
export const findOpenTrialRun = (
  task: Pick<Task, 'trial' | 'lastEnd' | 'crashes'>,
): number | undefined =>
  task.trial && !hasKnownEnd(task as Task, task.trial.run) ? task.trial.run : undefined;

/**
 * Returns the run under which a task may be started because this holder announced the start.
 *
 * @param task - The task.
 * @returns The run number; undefined if the start must be announced first.
 */
export const findAnnouncedRun = (task: Task): number | undefined =>
  task.trial?.isInherited === false ? findOpenTrialRun(task) : undefined;

/**
 * Tells whether all recorded crashes and announced starts are in the job's row, so that the next holder will know of
 * them.
 *
 * @param job - The job.
 * @returns False while a write is pending.
 */
export const areCrashRecordsWritten = ({
  crashRecordRevision,
  writtenCrashRecordRevision,
}: JobState): boolean => writtenCrashRecordRevision >= crashRecordRevision;

/**
 * Announces the next start of tasks in the row of their job. The tasks are not started until the row has been written.
 *
 * @param state - The batch state, changed in place.
 * @param step - Their step.
 * @param tasks - The tasks. All get the same run number, as the members of a gang must.
 */
export const announceTrials = (state: BatchState, step: StepRun, tasks: readonly Task[]): void => {
  const { job } = step;
  const run = nextRunNumber(state.fence, Math.max(...tasks.map(({ lastRun }) => lastRun)));
  tasks.forEach((task) => {
    change(task, { trial: { run, isInherited: false } });
    state.effects.push({
      kind: 'note',
      event: 'start-announced',
      fields: { task: task.key, run, crashes: task.crashes.length },
    });
  });
  change(job, { crashRecordRevision: job.crashRecordRevision + 1 });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Restores a start that an earlier holder announced.
 *
 * @param task - The task, changed in place.
 * @param run - The run number.
 */
export const restoreTrial = (task: Task, run: number): void =>
  change(task, { trial: { run, isInherited: true }, lastRun: Math.max(task.lastRun, run) });

/**
 * Counts as crashes those inherited announced starts of a step that no endpoint reports, because the endpoint that
 * started the run must be gone. To be called only after all endpoints that may run the step have answered.
 *
 * @param state - The batch state, changed in place.
 * @param step - The step.
 * @param nowMs - The current time.
 */
export const countLostTrials = (state: BatchState, step: StepRun, nowMs: number): void => {
  const { job, tasks } = step;
  const lost = tasks.flatMap((task) => {
    const run = findOpenTrialRun(task);
    const isLost = run !== undefined && task.trial?.isInherited && task.phase === 'waiting';
    return isLost ? [{ task, run }] : [];
  });
  if (lost.length === 0) return;
  lost.forEach(({ task, run }) => {
    change(task, {
      crashes: [
        ...task.crashes,
        {
          run,
          livedMs: 0,
          isConfirmed: false,
          isSuspected: true,
          isSoleSuspect: true,
          isCorrelated: false,
          fence: state.fence,
          countedAtMs: Math.round(nowMs + state.wallClockOffsetMs),
        },
      ],
    });
    state.effects.push({
      kind: 'note',
      event: 'announced-start-lost',
      fields: { task: task.key, run, crashes: task.crashes.length },
    });
  });
  change(job, { crashRecordRevision: job.crashRecordRevision + 1 });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Removes the announced start of a run once its endpoint has been alive with it for the observation period: a later
 * crash is no longer conclusive.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint that runs it.
 * @param run - The run.
 */
export const closeTrial = (state: BatchState, endpoint: EndpointState, run: RunState): void => {
  const { task, step } = run;
  if (task.trial?.run !== run.run || !hasSurvivedObservation(endpoint, run)) return;
  change(task, { trial: null });
  state.effects.push({ kind: 'save', jobId: step.job.job.jobId, isUrgent: false });
};
