/** Batch jobs as they were accepted. A job consists of steps, and a step of tasks of the same size. */
import type { AccountName, Branded, JobId, PoolName } from '../../shared/ids.js';
import type { JobOwner } from './accounts.js';

export type QueueName = Branded<'QueueName'>;
/** Identifies one task in the fleet: job id, occurrence, step and index, joined by dots. */
export type TaskKey = Branded<'TaskKey'>;

/** One step: `taskCount` tasks of the same size. A requirement that a step does not have is 0, '' or false. */
export type StepSpec = {
  readonly taskCount: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** The client's rough estimate of a task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** The numbers of the steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[];
  /** The tasks form a gang: they can only run together, and end together. */
  readonly isGang: boolean;
  /** The tasks of the gang slow down when they are spread over several racks. */
  readonly isRackLocal: boolean;
  /** A label that an endpoint must have to run the tasks. */
  readonly requiredLabel: string;
  /** The rack that holds the tasks' data; the tasks are slower elsewhere. */
  readonly nearRack: string;
  /** How many tasks of the step one endpoint may hold; 0 for no limit. */
  readonly mostPerEndpoint: number;
  readonly isSpeculative: boolean;
  /** The tasks run until the job is cancelled. */
  readonly isLasting: boolean;
  /** How many tasks of a long-running step may be stopped at the same time by planned actions of this system. */
  readonly mayMiss: number;
  readonly image: string;
  /** The tail latency that a long-running task should stay below, in milliseconds; 0 for no target. */
  readonly targetMs: number;
  /** No CPU is reserved for the step: its tasks use what other tasks leave unused. */
  readonly fillsGaps: boolean;
  readonly savesProgress: boolean;
};

/** How the jobs of a queue are treated, as the configuration declares it. */
export type QueuePolicy = {
  /** 0 goes before all others. */
  readonly priority: number;
  /** A task that has failed this many times fails its job. */
  readonly maxAttempts: number;
  /** A job's objective is this many times its longest chain of dependent steps, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Only endpoints with a ticket may run the queue's steps: see `advice.ts`. */
  readonly needsAdvice?: boolean;
  /** How long the advice service takes for a question: `decideMs`, and `eachMs` for each endpoint that it names. */
  readonly adviceTimes?: { readonly decideMs: number; readonly eachMs: number };
};

/** A job as a client submitted it. */
export type BatchJob = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly pool: PoolName;
  /** The text that is passed to the tasks and not interpreted here. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  /** How many occurrences the job has; 0 for one that starts immediately. */
  readonly repeats: number;
  /** The wall-clock time at which occurrence 0 is due, in milliseconds since 1970. */
  readonly firstDueAtMs: number;
  /** The time between the due times of two occurrences. */
  readonly intervalMs: number;
  /** When the job was accepted, by the wall clock of the entry that accepted it. */
  readonly acceptedAtMs: number;
  /** Absent for a job of a queue that is open to all, and in rows written before accounts existed. */
  readonly owner?: JobOwner;
};

/** The phase of a job that its client sees. */
export type BatchPhase = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** The phases that never change again. */
export type FinalPhase = Exclude<BatchPhase, 'pending' | 'running'>;

/** The status of a job that its client and operators see. */
export type JobStatus = {
  readonly phase: BatchPhase;
  /** Why the job is in its final phase; '' before that. */
  readonly reason: string;
  /** The account that owns the job; absent for a job without one. */
  readonly account?: AccountName | undefined;
};

/**
 * Builds the key of a task.
 *
 * @param jobId - The job.
 * @param occurrence - The number of the job's occurrence, from 0.
 * @param step - The step's number, from 0.
 * @param index - The index of the task within the step, from 0.
 * @returns The key.
 */
export const taskKey = (jobId: string, occurrence: number, step: number, index: number): TaskKey =>
  `${jobId}.${occurrence}.${step}.${index}` as TaskKey;

/** The parts of a task's key. */
export type TaskKeyParts = {
  readonly jobId: JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
};

/**
 * Parses the key of a task.
 *
 * @param key - The key, as an endpoint reports it.
 * @returns Its parts; undefined if the text is not a key.
 */
export const parseTaskKey = (key: string): TaskKeyParts | undefined => {
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

/** The largest numbers of tasks and steps in a job that is accepted. Each of them takes memory until the job ends. */
export const MAX_TASKS_PER_JOB = 20_000;
export const MAX_STEPS_PER_JOB = 256;

/** Describes what is wrong with a step; undefined if nothing is. The text follows the step's number in a sentence. */
const findStepFault = (
  step: StepSpec,
  number: number,
  steps: readonly StepSpec[],
): string | undefined => {
  if (!Number.isInteger(step.taskCount) || step.taskCount < 1) return 'has no tasks';
  if (step.taskCount > MAX_TASKS_PER_JOB) return `has more than ${MAX_TASKS_PER_JOB} tasks`;
  const sizes = [step.cpuMillis, step.memoryMb, step.accelerators, step.estimateMs];
  if (sizes.some((size) => !Number.isFinite(size) || size < 0)) return 'asks for a size below 0';
  if (step.after.some((one) => !Number.isInteger(one) || one < 0 || one >= steps.length)) {
    return 'comes after a step that is not there';
  }
  if (step.after.includes(number)) return 'comes after itself';
  return undefined;
};

/** Tells whether some steps depend on each other in a cycle. */
const hasCycle = (steps: readonly StepSpec[]): boolean => {
  const sorted = new Set<number>();
  for (;;) {
    const next = steps.findIndex(
      ({ after }, number) => !sorted.has(number) && after.every((one) => sorted.has(one)),
    );
    if (next < 0) return sorted.size < steps.length;
    sorted.add(next);
  }
};

/**
 * Validates a job before it is accepted.
 *
 * @param job - The job.
 * @returns A message that describes the first fault; undefined if the job is valid.
 */
export const validateJob = ({ steps, repeats, intervalMs }: BatchJob): string | undefined => {
  if (steps.length === 0) return 'a job needs at least one step';
  if (steps.length > MAX_STEPS_PER_JOB) return `a job has at most ${MAX_STEPS_PER_JOB} steps`;
  const faults = steps.flatMap((step, number) => {
    const fault = findStepFault(step, number, steps);
    return fault === undefined ? [] : [`step ${number} ${fault}`];
  });
  if (faults.length > 0) return faults[0];
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks > MAX_TASKS_PER_JOB) return `a job has at most ${MAX_TASKS_PER_JOB} tasks`;
  if (hasCycle(steps)) return 'the steps wait for each other';
  if (!Number.isInteger(repeats) || repeats < 0) return 'repeats is not a whole number';
  if (repeats > 1 && !(intervalMs > 0)) return 'a job that repeats needs an interval';
  return undefined;
};
