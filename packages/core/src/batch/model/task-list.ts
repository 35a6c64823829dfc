/**
 * The tasks of one step. A task gets a record when it is first looked up, and a completed task without a history gives
 * its record back: all other tasks are alike, so the memory of a step grows with its tasks in progress.
 */
import type { Task } from './job-state.js';
import { taskKey, type TaskKey } from './job.js';

const BITS_PER_BYTE = 8;
/** In a shorter list, the bits of completed tasks would take more memory than their records. */
const MIN_LENGTH_TO_RELEASE = 64;

/** No run of the task has failed, and no endpoint has crashed under it. Shared by all records without a history. */
const NONE: readonly never[] = Object.freeze([]);

const createTask = (key: TaskKey, index: number, phase: Task['phase']): Task => ({
  key,
  index,
  phase,
  failedRuns: NONE,
  lastRun: 0,
  isOrdered: false,
  isLocated: false,
  lastEnd: null,
  checkpoint: '',
  avoidedEndpoint: null,
  unavailableSinceMs: 0,
  crashes: NONE,
  trial: null,
});

/** Identifies the step whose tasks a list contains. */
export type TaskListOptions = {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  /** How many tasks the step has. */
  readonly length: number;
};

/** The tasks of a step by their index. */
export class TaskList {
  readonly length: number;

  private readonly step: Omit<TaskListOptions, 'length'>;

  /** A sparse array: a task that nobody has looked up yet has no element. */
  private readonly records: (Task | undefined)[] = [];

  /** How many tasks have a record. */
  private recordCount = 0;

  /** A bit for each completed task whose record was given back; undefined before the first one. */
  private completedBits: Uint8Array | undefined;

  constructor({ length, ...step }: TaskListOptions) {
    this.length = length;
    this.step = step;
  }

  private create(index: number, phase: Task['phase']): Task {
    const { jobId, occurrence, step } = this.step;
    return createTask(taskKey(jobId, occurrence, step, index), index, phase);
  }

  private isReleased(index: number): boolean {
    const bits = this.completedBits?.[Math.floor(index / BITS_PER_BYTE)] ?? 0;
    return Math.floor(bits / 2 ** (index % BITS_PER_BYTE)) % 2 === 1;
  }

  /**
   * Returns a task.
   *
   * @param index - Its index.
   * @returns Its record, which is created at the first use; undefined if the step has no such task. Of a completed task
   *   that gave its record back, changes are not kept.
   */
  at(index: number): Task | undefined {
    const known = this.records[index];
    if (known) return known;
    if (!Number.isInteger(index) || index < 0 || index >= this.length) return undefined;
    if (this.isReleased(index)) return this.create(index, 'done');
    const created = this.create(index, 'waiting');
    this.records[index] = created;
    this.recordCount += 1;
    return created;
  }

  /**
   * Returns the record of a task without creating it.
   *
   * @param index - The index of the task.
   * @returns The record; undefined if the task has none, and so neither a run nor a history.
   */
  recordAt(index: number): Task | undefined {
    return this.records[index];
  }

  /**
   * Lists the tasks that have a record: all that have a run or a history.
   *
   * @returns The tasks in the order of their indices.
   */
  recorded(): readonly Task[] {
    return this.records.filter((record) => record !== undefined);
  }

  /**
   * Lists all tasks, and creates their records.
   *
   * @returns The tasks in the order of their indices.
   */
  all(): readonly Task[] {
    return Array.from({ length: this.length }, (_, index) => this.at(index) as Task);
  }

  /**
   * Tells whether a task is done.
   *
   * @param index - The index of the task.
   * @returns True if it is.
   */
  isDone(index: number): boolean {
    return this.isReleased(index) || this.records[index]?.phase === 'done';
  }

  /**
   * Gives back the record of a completed task.
   *
   * @param task - The task; nothing of it but its completion may have to be stored.
   */
  releaseCompleted({ index }: Task): void {
    if (this.length < MIN_LENGTH_TO_RELEASE || !this.records[index]) return;
    this.completedBits ??= new Uint8Array(Math.ceil(this.length / BITS_PER_BYTE));
    const byte = Math.floor(index / BITS_PER_BYTE);
    this.completedBits[byte] = (this.completedBits[byte] ?? 0) + 2 ** (index % BITS_PER_BYTE);
    this.records[index] = undefined;
    this.recordCount -= 1;
  }

  /** Marks all tasks as completed, and drops their records. */
  completeAll(): void {
    this.completedBits = new Uint8Array(Math.ceil(this.length / BITS_PER_BYTE)).fill(
      2 ** BITS_PER_BYTE - 1,
    );
    this.records.splice(0);
    this.recordCount = 0;
  }

  /**
   * Counts the tasks that have a record.
   *
   * @returns Their number.
   */
  countRecorded(): number {
    return this.recordCount;
  }
}
