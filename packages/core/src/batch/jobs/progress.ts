/**
 * The stored rows of a job: the job as accepted, its progress, and how it ended. The next control holder restores the
 * job from them: see `restore-job.ts`. Starts of tasks are not stored, since endpoints report what they run.
 */
import type { AccountName, EndpointId } from '../../shared/ids.js';
import { findOpenTrial } from '../crashes/announced-start-record.js';
import { buildCrashLists, haveCrashedAfterStart, type CrashLists } from '../crashes/crash-rows.js';
import type { BatchJob, FinalPhase, QueuePolicy } from '../model/job.js';
import {
  isFinal,
  type JobState,
  type OccurrenceState,
  type StepRun,
  type Trial,
} from '../model/state.js';
import type { TaskList } from '../model/task-list.js';

/** The row of a job: the full job while it is live, only the outcome once it has ended. */
export type BatchJobRow =
  | { readonly kind: 'live'; readonly job: BatchJob; readonly policy: QueuePolicy }
  | {
      readonly kind: 'ended';
      readonly phase: FinalPhase;
      readonly reason: string;
      readonly endedAtMs: number;
      readonly queue: string;
      readonly account?: AccountName | undefined;
    };

/** The progress of one step. */
export type StepProgress = CrashLists & {
  /** Bit set of the completed tasks as hexadecimal digits: the lowest bit of the first digit is task 0. */
  readonly done: string;
  /** Pairs of a task index and the numbers of its failed runs. */
  readonly failed?: readonly (readonly [number, readonly number[]])[];
  /**
   * The index of each task with an announced start, the run, which may have started, the endpoint that was to start it,
   * which rows of earlier builds do not name, and `CONCLUSIVE` if the run is conclusive and was seen there.
   */
  readonly trials?: readonly TrialRow[];
};

/** Marks an announced start whose run is conclusive and was seen on its endpoint. */
export const CONCLUSIVE = 1;
type TrialRow = readonly [number, number, EndpointId?, typeof CONCLUSIVE?];

const trialRow = (index: number, { run, endpointId, isConclusive }: Trial): TrialRow => {
  if (endpointId === null) return [index, run];
  return isConclusive ? [index, run, endpointId, CONCLUSIVE] : [index, run, endpointId];
};

/** The progress of one occurrence by step number. Steps without progress are left out. */
export type OccurrenceProgress = Readonly<Record<string, StepProgress>>;

/**
 * The progress row: the progress of occurrences by their numbers. The row of a job with few occurrences lists those that
 * are done as well. That of a job with many names them by `doneBelow`, below which all are done, and `doneAhead`, the other
 * done ones. A build that does not know these two takes such a row for unreadable and leaves the job alone.
 */
export type ProgressRow = Readonly<Record<number, OccurrenceProgress>> & {
  readonly doneBelow?: number;
  readonly doneAhead?: readonly number[];
};

/** A job lists its done occurrences if all of them have at most this many steps and tasks; its row stays small then. */
const MAX_LISTED_STEPS = 400;
const MAX_LISTED_TASKS = 40_000;

const BITS_PER_DIGIT = 4;

const doneDigitOf = (tasks: TaskList, digit: number): string => {
  let value = 0;
  for (let bit = 0; bit < BITS_PER_DIGIT; bit += 1) {
    if (tasks.isDone(digit * BITS_PER_DIGIT + bit)) value += 2 ** bit;
  }
  return value.toString(16);
};

const doneBitsOf = ({ tasks }: StepRun): string =>
  Array.from({ length: Math.ceil(tasks.length / BITS_PER_DIGIT) }, (_, digit) =>
    doneDigitOf(tasks, digit),
  ).join('');

/**
 * Tells whether a bit set of completed tasks contains a task.
 *
 * @param digits - The bit set: see `StepProgress`.
 * @param index - The index of the task.
 * @returns True if it does.
 */
export const isBitSet = (digits: string, index: number): boolean => {
  const digit = parseInt(digits[Math.floor(index / BITS_PER_DIGIT)] ?? '0', 16);
  return Math.floor(digit / 2 ** (index % BITS_PER_DIGIT)) % 2 === 1;
};

const stepProgress = (step: StepRun): StepProgress | undefined => {
  const recorded = step.tasks.recorded();
  const failed = recorded
    .filter(({ failedRuns }) => failedRuns.length > 0)
    .map(({ index, failedRuns }) => [index, failedRuns] as const);
  const crashLists = buildCrashLists(recorded);
  const trials = recorded.flatMap((task) => {
    const trial = findOpenTrial(task);
    return trial ? [trialRow(task.index, trial)] : [];
  });
  const lists = [failed, trials, Object.keys(crashLists)];
  if (step.doneCount === 0 && lists.every(({ length }) => length === 0)) return undefined;
  return {
    done: doneBitsOf(step),
    ...(failed.length > 0 ? { failed } : {}),
    ...crashLists,
    ...(trials.length > 0 ? { trials } : {}),
  };
};

const occurrenceProgress = ({ steps }: OccurrenceState): OccurrenceProgress =>
  Object.fromEntries(
    steps.flatMap((step) => {
      const progress = stepProgress(step);
      return progress ? [[step.number, progress]] : [];
    }),
  );

const hasStartedIn = ({ done, failed = [], ...lists }: StepProgress): boolean =>
  /[^0]/.test(done) || failed.length > 0 || haveCrashedAfterStart(lists);

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Tells whether a value can be the number of an occurrence.
 *
 * @param value - The value.
 * @returns True for a whole number from 0.
 */
export const isNumberOfOccurrence = (value: unknown): boolean =>
  Number.isSafeInteger(value) && Number(value) >= 0;

/**
 * Tells whether the value of a row is progress.
 *
 * @param value - The value.
 * @returns True if it can be read: objects by occurrence and step, and the numbers of done occurrences.
 */
export const isProgressRow = (value: unknown): value is ProgressRow => {
  if (!isObject(value)) return false;
  const { doneBelow = 0, doneAhead = [], ...occurrences } = value;
  return (
    isNumberOfOccurrence(doneBelow) &&
    Array.isArray(doneAhead) &&
    doneAhead.every(isNumberOfOccurrence) &&
    Object.values(occurrences).every(
      (steps) => isObject(steps) && Object.values(steps).every(isObject),
    )
  );
};

/**
 * Tells whether a progress row shows that a task of the job has started. An announced start does not: it may never have
 * been ordered.
 *
 * @param progress - The row.
 * @returns True if a task is done, has failed, or is known to have run on an endpoint that crashed.
 */
export const hasStartedTasks = ({
  doneBelow = 0,
  doneAhead = [],
  ...occurrences
}: ProgressRow): boolean =>
  doneBelow > 0 ||
  doneAhead.length > 0 ||
  Object.values(occurrences)
    .flatMap((steps) => Object.values(steps))
    .some(hasStartedIn);

/** Whether the row of a job lists its done occurrences. It never changes, so that all builds read the row alike. */
const listsDoneOccurrences = ({ steps, repeats }: BatchJob): boolean => {
  const taskCount = steps.reduce((sum, spec) => sum + spec.taskCount, 0);
  return steps.length * repeats <= MAX_LISTED_STEPS && taskCount * repeats <= MAX_LISTED_TASKS;
};

/**
 * Builds the bit set of a step whose tasks are all completed.
 *
 * @param taskCount - How many tasks the step has.
 * @returns The bit set: see `StepProgress`.
 */
export const allBitsOf = (taskCount: number): string => {
  const rest = taskCount % BITS_PER_DIGIT;
  const lastDigit = rest > 0 ? (2 ** rest - 1).toString(16) : '';
  return 'f'.repeat(Math.floor(taskCount / BITS_PER_DIGIT)) + lastDigit;
};

/** Lists the done occurrences of a recurring job as if they had a state. */
const listDoneOccurrences = ({ job, doneBelow, doneAhead }: JobState): ProgressRow => {
  const steps: OccurrenceProgress = Object.fromEntries(
    job.steps.map(({ taskCount }, number) => [number, { done: allBitsOf(taskCount) }]),
  );
  const numbers = [...Array.from({ length: doneBelow }, (_, number) => number), ...doneAhead];
  return Object.fromEntries(numbers.map((number) => [number, steps]));
};

const buildDoneOccurrences = (job: JobState): ProgressRow => {
  if (job.job.repeats === 0 || job.doneBelow + job.doneAhead.size === 0) return {};
  if (listsDoneOccurrences(job.job)) return listDoneOccurrences(job);
  return { doneBelow: job.doneBelow, doneAhead: Array.from(job.doneAhead) };
};

/**
 * Builds the progress row of a job.
 *
 * @param job - The job.
 * @returns The row.
 */
export const buildProgressRow = (job: JobState): ProgressRow => ({
  ...buildDoneOccurrences(job),
  ...Object.fromEntries(
    Array.from(job.occurrences.values(), (occurrence) => [
      occurrence.number,
      occurrenceProgress(occurrence),
    ]),
  ),
});

/**
 * Builds the row of a job: the full job while it is live, only the outcome once it has ended.
 *
 * @param job - The job.
 * @param wallClockMs - The current time by the wall clock, in milliseconds since 1970.
 * @returns The row.
 */
export const buildJobRow = (
  { job, policy, phase, reason }: JobState,
  wallClockMs: number,
): BatchJobRow =>
  isFinal(phase)
    ? {
        kind: 'ended',
        phase: phase as FinalPhase,
        reason,
        endedAtMs: wallClockMs,
        queue: job.queue,
        ...(job.owner ? { account: job.owner.account } : {}),
      }
    : { kind: 'live', job, policy };
