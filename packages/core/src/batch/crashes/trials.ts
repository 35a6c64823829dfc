/**
 * Starts of tasks that endpoints crashed under. Each is written to the job's row before it is ordered: a holder that
 * is lost before it could write that the next endpoint crashed, too, leaves the start behind, and the next holder counts
 * it unless an endpoint tells what became of it.
 */
import { change } from '../../shared/change.js';
import { isSettled } from './endpoint-crashes.js';
import { nextRunNumber } from '../endpoints/runs.js';
import type {
  BatchState,
  EndpointState,
  JobState,
  RunState,
  StepRun,
  Task,
} from '../model/state.js';

const isAccountedFor = ({ lastEnd, crashes }: Task, run: number): boolean =>
  (lastEnd?.run ?? 0) >= run || crashes.some((crash) => crash.run >= run);

/**
 * Gives the announced start of a task of which no end is known.
 *
 * @param task - The task.
 * @returns The run, or undefined if none is open.
 */
export const openTrialOf = (
  task: Pick<Task, 'trial' | 'lastEnd' | 'crashes'>,
): number | undefined =>
  task.trial && !isAccountedFor(task as Task, task.trial.run) ? task.trial.run : undefined;

/**
 * Tells whether a task may be begun under the run that was announced for it.
 *
 * @param task - The task.
 * @returns The run, or undefined if one must be announced first.
 */
export const announcedRunOf = (task: Task): number | undefined =>
  task.trial?.isInherited === false ? openTrialOf(task) : undefined;

/**
 * Tells whether all that was counted and announced is in the job's row, so that whoever holds control next knows of it.
 *
 * @param job - The job.
 * @returns False while a write is awaited.
 */
export const isWritten = ({ blameRevision, writtenBlameRevision }: JobState): boolean =>
  writtenBlameRevision >= blameRevision;

/**
 * Announces the next start of tasks in the row of their job; they are not begun before it is written.
 *
 * @param state - All that is known, changed in place.
 * @param step - Their step.
 * @param tasks - The tasks; all get the same run, as members of a gang must have.
 */
export const announceTrials = (state: BatchState, step: StepRun, tasks: readonly Task[]): void => {
  const { job } = step;
  const run = nextRunNumber(state.fence, Math.max(...tasks.map(({ lastRun }) => lastRun)));
  tasks.forEach((task) => change(task, { trial: { run, isInherited: false } }));
  change(job, { blameRevision: job.blameRevision + 1 });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Notes a start that an earlier holder announced.
 *
 * @param task - The task, changed in place.
 * @param run - The run.
 */
export const inheritTrial = (task: Task, run: number): void =>
  change(task, { trial: { run, isInherited: true }, lastRun: Math.max(task.lastRun, run) });

/**
 * Counts the inherited starts of a step that no endpoint tells of, once all that may run them have answered: the
 * endpoint that began one is gone.
 *
 * @param state - All that is known, changed in place.
 * @param step - The step.
 * @param nowMs - The time.
 */
export const countLostTrials = (state: BatchState, step: StepRun, nowMs: number): void => {
  const { job, tasks } = step;
  const lost = tasks.flatMap((task) => {
    const run = openTrialOf(task);
    const isLost = run !== undefined && task.trial?.isInherited && task.phase === 'waiting';
    return isLost ? [{ task, run }] : [];
  });
  if (lost.length === 0) return;
  lost.forEach(({ task, run }) =>
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
          countedAtMs: Math.round(nowMs + state.todayAheadMs),
        },
      ],
    }),
  );
  change(job, { blameRevision: job.blameRevision + 1 });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Closes the announced start of a run that its endpoint has lived with: its end tells nothing any more.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - Where it runs.
 * @param run - The run.
 */
export const closeTrial = (state: BatchState, endpoint: EndpointState, run: RunState): void => {
  const { task, step } = run;
  if (task.trial?.run !== run.run || !isSettled(endpoint, run)) return;
  change(task, { trial: null });
  state.effects.push({ kind: 'save', jobId: step.job.job.jobId, isUrgent: false });
};
