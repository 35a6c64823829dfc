/**
 * Records the end of a run: updates its task and job, and logs one line with the evidence, its age, and for how long
 * this entry is certain to be the only holder.
 */
import { change } from '../../shared/change.js';
import { withdrawTrial } from '../crashes/announced-start-record.js';
import type { TaskKey } from '../model/job.js';
import { hasAnswered } from './listing-status.js';
import {
  isFinal,
  type BatchState,
  type EndpointState,
  type StepRun,
  type Task,
} from '../model/state.js';

/** The evidence for which the holder considers a run ended. */
export type RunEvidence = {
  /**
   * `reported`: the endpoint lists the run as ended. `not-listed`: the endpoint lists the run neither as running nor as
   * ended. `lease-over`: the endpoint's lease was not extended. `endpoint-gone`: the endpoint's incarnation is over.
   * `start-refused`: the start order was refused or never sent.
   */
  readonly cause: 'reported' | 'not-listed' | 'lease-over' | 'endpoint-gone' | 'start-refused';
  /**
   * When the evidence held, by the holder's monotonic clock: when the endpoint's list was requested, when the lease
   * ended, when the host list was requested, when the other endpoint responded, or when the refusal arrived.
   */
  readonly atMs: number;
  /** The kind of end, or the reason for the drop or refusal. A single word, to keep the log line short. */
  readonly detail: string;
};

/** The fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/**
 * Returns for how long no other entry can be the holder.
 *
 * @param state - The holder's batch state.
 * @param nowMs - The current time.
 * @returns The remaining time in whole milliseconds, negative once it is over; undefined if it is unlimited.
 */
export const remainingSoleHolderMs = (
  { soleHolderUntilMs }: BatchState,
  nowMs: number,
): number | undefined =>
  soleHolderUntilMs === Infinity ? undefined : Math.round(soleHolderUntilMs - nowMs);

const silentMs = (endpoint: EndpointState, nowMs: number): number | string =>
  hasAnswered(endpoint) ? Math.round(nowMs - endpoint.reportedAtMs) : 'never';

/** A task with its step. */
export type TaskWithStep = { readonly step: StepRun; readonly task: Task };

type NextForTask = 'done' | 'again' | 'job-over' | 'none';

const nextForTask = (found: TaskWithStep | undefined): NextForTask => {
  if (!found) return 'none';
  if (found.task.phase === 'done') return 'done';
  if (isFinal(found.step.job.phase)) return 'job-over';
  return found.task.phase === 'waiting' ? 'again' : 'none';
};

const recordLastEnd = ({ task }: TaskWithStep, run: number, countedAtMs: number): void => {
  if (run < (task.lastEnd?.run ?? 0)) return;
  change(task, { lastEnd: { run, countedAtMs } });
};

/** Causes that rule out that the run has crashed its endpoint: the endpoint answered afterwards, or was not ordered. */
const CAUSES_WITHOUT_CRASH: ReadonlySet<RunEvidence['cause']> = new Set([
  'reported',
  'not-listed',
  'start-refused',
]);

/** Options for a run that has ended. */
export type RunEndOptions = {
  readonly endpoint: EndpointState;
  readonly task: TaskKey;
  readonly run: number;
  /** The task of the run; undefined if it is not known, or not known any more. */
  readonly taskWithStep: TaskWithStep | undefined;
  /** When the holder recorded the run; undefined if the run is not in the holder's state. */
  readonly startedAtMs: number | undefined;
  readonly evidence: RunEvidence;
  readonly nowMs: number;
  /** Additional fields of the log line. */
  readonly fields?: LogFields | undefined;
  /** Updates the task and its job. */
  readonly updateTask: () => void;
};

/**
 * Logs that a run has ended, and updates its task and job.
 *
 * @param state - The holder's batch state, modified in place.
 * @param end - The run, the evidence, and the update of the task and its job.
 */
export const recordRunEnd = (
  state: BatchState,
  {
    endpoint,
    task,
    run,
    taskWithStep,
    startedAtMs,
    evidence,
    nowMs,
    fields: extraFields,
    updateTask,
  }: RunEndOptions,
): void => {
  const isKnown = startedAtMs !== undefined;
  const fields: LogFields = {
    task,
    run,
    endpoint: endpoint.endpointId,
    cause: evidence.cause,
    detail: evidence.detail,
    ageMs: Math.round(nowMs - evidence.atMs),
    silentMs: silentMs(endpoint, nowMs),
    soleForMs: remainingSoleHolderMs(state, nowMs),
    ranMs: isKnown ? Math.round(nowMs - startedAtMs) : undefined,
    isKnown: isKnown ? undefined : false,
    ...extraFields,
    next: undefined,
  };
  // The line is logged before the effects of the update, so that log readers see the cause first. Its `next` field is
  // set after the update, when the task's new phase is known.
  state.effects.push({ kind: 'note', event: 'run-ended', fields });
  if (taskWithStep) recordLastEnd(taskWithStep, run, nowMs);
  updateTask();
  if (taskWithStep && CAUSES_WITHOUT_CRASH.has(evidence.cause))
    withdrawTrial(state, taskWithStep.step, taskWithStep.task, run);
  change(fields, { next: nextForTask(taskWithStep) });
};

/** Options for a task that is being started. */
export type TaskStartOptions = {
  readonly endpoint: EndpointState;
  /** The task, before this start is applied to it. */
  readonly task: Task;
  readonly run: number;
  readonly nowMs: number;
};

/**
 * Logs the start of a task that had a run before.
 *
 * @param state - The holder's batch state, modified in place.
 * @param start - The start.
 */
export const logTaskRestart = (
  state: BatchState,
  { endpoint, task, run, nowMs }: TaskStartOptions,
): void => {
  const { lastRun, lastEnd } = task;
  const runBefore = Math.max(lastRun, lastEnd?.run ?? 0);
  if (runBefore === 0) return;
  const isCounted = lastEnd?.run === runBefore;
  state.effects.push({
    kind: 'note',
    event: 'task-started-again',
    fields: {
      task: task.key,
      run,
      endpoint: endpoint.endpointId,
      runBefore,
      waitedMs: isCounted ? Math.round(nowMs - lastEnd.countedAtMs) : undefined,
    },
  });
};
