/**
 * Why a run counts as ended: the evidence, how old it is, and how sure the holder could be of being
 * the only one. Each run that stops being known here leaves one line.
 */
import { change } from '../../shared/change.js';
import type { TaskKey } from '../model/job.js';
import {
  isFinal,
  type BatchState,
  type EndpointState,
  type StepRun,
  type Task,
} from '../model/state.js';

/** What made the holder count a run as ended. */
export type RunEvidence = {
  /**
   * `reported`: the endpoint lists the end. `not-listed`: it lists the run neither as running nor as
   * ended. `lease-over`: nothing has extended the endpoint's lease. `endpoint-gone`: the endpoint's
   * life is over. `start-refused`: the order to start was refused or never sent.
   */
  readonly cause: 'reported' | 'not-listed' | 'lease-over' | 'endpoint-gone' | 'start-refused';
  /**
   * When the evidence held, by the holder's monotonic clock: when the question was asked, when the
   * lease was over, when the list was asked for, when the other endpoint answered or the refusal came.
   */
  readonly atMs: number;
  /** The kind of end, or the reason of the drop or refusal, in a word: the line is kept short. */
  readonly detail: string;
};

/** The fields of a line. */
export type NoteFields = Record<string, string | number | boolean | undefined>;

/**
 * Tells for how long no other entry can be the holder.
 *
 * @param state - All that is known.
 * @param nowMs - The time.
 * @returns The time left in whole milliseconds, negative once it is over; undefined without a bound.
 */
export const soleForMs = ({ soleHolderUntilMs }: BatchState, nowMs: number): number | undefined =>
  soleHolderUntilMs === Infinity ? undefined : Math.round(soleHolderUntilMs - nowMs);

const silentMs = ({ isKnown, reportedAtMs }: EndpointState, nowMs: number): number | string =>
  isKnown ? Math.round(nowMs - reportedAtMs) : 'never';

/** A task with its step. */
export type FoundTask = { readonly step: StepRun; readonly task: Task };

type NextOfTask = 'done' | 'again' | 'job-over' | 'none';

const nextOf = (found: FoundTask | undefined): NextOfTask => {
  if (!found) return 'none';
  if (found.task.phase === 'done') return 'done';
  if (isFinal(found.step.job.phase)) return 'job-over';
  return found.task.phase === 'waiting' ? 'again' : 'none';
};

const noteLastEnd = ({ task }: FoundTask, run: number, countedAtMs: number): void => {
  if (run < (task.lastEnd?.run ?? 0)) return;
  change(task, { lastEnd: { run, countedAtMs } });
};

/** Options for a run that has ended. */
export type RunEnd = {
  readonly endpoint: EndpointState;
  readonly task: TaskKey;
  readonly run: number;
  /** Undefined if the task is not known, or no more. */
  readonly found: FoundTask | undefined;
  /** Since when the run was known here; undefined for one that was not. */
  readonly startedAtMs: number | undefined;
  readonly evidence: RunEvidence;
  readonly nowMs: number;
  /** What else the line tells. */
  readonly fields?: NoteFields | undefined;
  /** What follows for the task and its job. */
  readonly settle: () => void;
};

/**
 * Writes down that a run has ended, and does what follows from it.
 *
 * @param state - All that is known, changed in place.
 * @param end - The run, the evidence, and what follows.
 */
export const noteRunEnd = (
  state: BatchState,
  { endpoint, task, run, found, startedAtMs, evidence, nowMs, fields: more, settle }: RunEnd,
): void => {
  const isKnown = startedAtMs !== undefined;
  const fields: NoteFields = {
    task,
    run,
    endpoint: endpoint.endpointId,
    cause: evidence.cause,
    detail: evidence.detail,
    ageMs: Math.round(nowMs - evidence.atMs),
    silentMs: silentMs(endpoint, nowMs),
    soleForMs: soleForMs(state, nowMs),
    ranMs: isKnown ? Math.round(nowMs - startedAtMs) : undefined,
    isKnown: isKnown ? undefined : false,
    ...more,
    next: undefined,
  };
  // Before what follows from it, as a reader expects; what becomes of the task shows only then.
  state.effects.push({ kind: 'note', event: 'run-ended', fields });
  if (found) noteLastEnd(found, run, nowMs);
  settle();
  change(fields, { next: nextOf(found) });
};

/** Options for a task that is started. */
export type TaskStart = {
  readonly endpoint: EndpointState;
  /** As it was before this start. */
  readonly task: Task;
  readonly run: number;
  readonly nowMs: number;
};

/**
 * Writes down that a task is started that had a run before.
 *
 * @param state - All that is known, changed in place.
 * @param start - The start.
 */
export const noteStartAgain = (
  state: BatchState,
  { endpoint, task, run, nowMs }: TaskStart,
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
