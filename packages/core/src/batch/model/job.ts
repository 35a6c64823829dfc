/** Batch jobs: steps of equal tasks, as they were accepted. */
import type { AccountName, Branded, JobId, PoolName } from '../../shared/ids.js';
import type { JobOwner } from './accounts.js';

export type QueueName = Branded<'QueueName'>;
/** Names one task of a fleet: job, occurrence, step and index, joined by dots. */
export type TaskKey = Branded<'TaskKey'>;

/** One step: `taskCount` tasks of the same size. Absent requirements are 0, '' or false. */
export type StepSpec = {
  readonly taskCount: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** A rough guess by the client of a task's run time. */
  readonly estimateMs: number;
  /** The steps, by number, whose tasks must all be done before. */
  readonly after: readonly number[];
  /** The tasks work only together and end together. */
  readonly isGang: boolean;
  /** The tasks of a gang slow down when they are spread over racks. */
  readonly isRackLocal: boolean;
  /** A label that the endpoint must have. */
  readonly requiredLabel: string;
  /** The rack where the data is; the task is slower elsewhere. */
  readonly nearRack: string;
  /** How many tasks of the step one endpoint may hold; 0 for any number. */
  readonly mostPerEndpoint: number;
  readonly isSpeculative: boolean;
  /** The tasks run until the job is cancelled. */
  readonly isLasting: boolean;
  /** How many tasks of a lasting step may be away at once by our doing. */
  readonly mayMiss: number;
  readonly image: string;
  /** The tail of answer times that a lasting task is to stay under; 0 for none. */
  readonly targetMs: number;
  /** The step's processors are not reserved: it takes what others leave unused. */
  readonly fillsGaps: boolean;
  readonly savesProgress: boolean;
};

/** How the tasks of a queue are treated; from the configuration. */
export type QueuePolicy = {
  /** 0 goes before all others. */
  readonly priority: number;
  /** A task that has failed so often fails its job. */
  readonly maxAttempts: number;
  /** The objective is this many times the longest chain of work, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Only endpoints with a ticket may run the queue's steps: see `advice.ts`. */
  readonly needsAdvice?: boolean;
};

/** A job as a client handed it in. */
export type BatchJob = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly pool: PoolName;
  /** Text for the tasks; not read by us. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; 0 for once, at once. */
  readonly repeats: number;
  /** When occurrence 0 is due, by the time of day, in milliseconds since 1970. */
  readonly firstDueAtMs: number;
  readonly intervalMs: number;
  /** By the time of day of the entry that accepted it. */
  readonly acceptedAtMs: number;
  /** Left out for a job of a queue that is open to all, and in rows from before there were accounts. */
  readonly owner?: JobOwner;
};

/** What a client sees of a job. */
export type BatchPhase = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** The phases that never change again. */
export type FinalPhase = Exclude<BatchPhase, 'pending' | 'running'>;

/** What a job's client and operators are told of it. */
export type JobStatus = {
  readonly phase: BatchPhase;
  /** Why it is in its final phase; '' before that. */
  readonly reason: string;
  /** Whose job it is; left out for a job of no account. */
  readonly account?: AccountName | undefined;
};

/**
 * Names a task.
 *
 * @param jobId - The job.
 * @param occurrence - Which of its repetitions, from 0.
 * @param step - The step's number, from 0.
 * @param index - The task within the step, from 0.
 * @returns The key.
 */
export const taskKey = (jobId: string, occurrence: number, step: number, index: number): TaskKey =>
  `${jobId}.${occurrence}.${step}.${index}` as TaskKey;

/** The parts of a task's key. */
export type TaskName = {
  readonly jobId: JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
};

/**
 * Takes a task's key apart.
 *
 * @param key - The key, as an endpoint reports it.
 * @returns Its parts, or undefined for what is no key.
 */
export const parseTaskKey = (key: string): TaskName | undefined => {
  const parts = key.split('.');
  const [jobId, ...numbers] = parts;
  if (parts.length !== 4 || !jobId) return undefined;
  const [occurrence, step, index] = numbers.map(Number);
  const isWhole = [occurrence, step, index].every(
    (one) => Number.isInteger(one) && Number(one) >= 0,
  );
  if (!isWhole) return undefined;
  return {
    jobId: jobId as JobId,
    occurrence: occurrence as number,
    step: step as number,
    index: index as number,
  };
};

/** The most tasks and steps of one job that are accepted: each costs memory until the job's end. */
export const MOST_TASKS_PER_JOB = 20_000;
export const MOST_STEPS_PER_JOB = 256;

const stepFault = (
  step: StepSpec,
  number: number,
  steps: readonly StepSpec[],
): string | undefined => {
  if (!Number.isInteger(step.taskCount) || step.taskCount < 1) return 'has no tasks';
  if (step.taskCount > MOST_TASKS_PER_JOB) return `has more than ${MOST_TASKS_PER_JOB} tasks`;
  const sizes = [step.cpuMillis, step.memoryMb, step.accelerators, step.estimateMs];
  if (sizes.some((size) => !Number.isFinite(size) || size < 0)) return 'asks for a size below 0';
  if (step.after.some((one) => !Number.isInteger(one) || one < 0 || one >= steps.length)) {
    return 'comes after a step that is not there';
  }
  if (step.after.includes(number)) return 'comes after itself';
  return undefined;
};

const hasCycle = (steps: readonly StepSpec[]): boolean => {
  const done = new Set<number>();
  for (;;) {
    const next = steps.findIndex(
      ({ after }, number) => !done.has(number) && after.every((one) => done.has(one)),
    );
    if (next < 0) return done.size < steps.length;
    done.add(next);
  }
};

/**
 * Checks a job before it is accepted.
 *
 * @param job - The job.
 * @returns What is wrong with it, for people, or undefined.
 */
export const findJobFault = ({ steps, repeats, intervalMs }: BatchJob): string | undefined => {
  if (steps.length === 0) return 'a job needs at least one step';
  if (steps.length > MOST_STEPS_PER_JOB) return `a job has at most ${MOST_STEPS_PER_JOB} steps`;
  const faults = steps.flatMap((step, number) => {
    const fault = stepFault(step, number, steps);
    return fault === undefined ? [] : [`step ${number} ${fault}`];
  });
  if (faults.length > 0) return faults[0];
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks > MOST_TASKS_PER_JOB) return `a job has at most ${MOST_TASKS_PER_JOB} tasks`;
  if (hasCycle(steps)) return 'the steps wait for each other';
  if (!Number.isInteger(repeats) || repeats < 0) return 'repeats is not a whole number';
  if (repeats > 1 && !(intervalMs > 0)) return 'a job that repeats needs an interval';
  return undefined;
};
