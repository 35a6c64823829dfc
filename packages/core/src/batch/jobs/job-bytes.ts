/** Estimates the memory that jobs take at the control holder. The sizes were measured on a heap after a collection. */
import type { BatchJob } from '../model/job.js';
import type { JobState } from '../model/state.js';

const JOB_BYTES = 1100;
const STEP_BYTES = 1150;
/** A number in the list of the steps that a step depends on. */
const DEPENDENCY_BYTES = 8;
/** The place of a task in the lists of its step. */
const TASK_BYTES = 16;
/** The record of a task that has a run or a history. */
const TASK_RECORD_BYTES = 420;

const stepBytes = ({ taskCount, after }: BatchJob['steps'][number]): number =>
  STEP_BYTES + DEPENDENCY_BYTES * after.length + TASK_BYTES * taskCount;

/**
 * Estimates what one occurrence of a job takes.
 *
 * @param job - The job.
 * @returns The size in bytes, before a task has started.
 */
export const estimateOccurrenceBytes = ({ steps }: Pick<BatchJob, 'steps'>): number =>
  steps.reduce((sum, step) => sum + stepBytes(step), 0);

/**
 * Estimates what a job takes when it is added to the state.
 *
 * @param job - The job.
 * @returns The size in bytes, with one occurrence.
 */
export const estimateJobBytes = (job: Pick<BatchJob, 'steps' | 'spec'>): number =>
  JOB_BYTES + job.spec.length + estimateOccurrenceBytes(job);

/**
 * Estimates what a job takes now.
 *
 * @param job - The state of the job.
 * @returns The size in bytes, with all its occurrences and the tasks that have started.
 */
export const heldBytesOf = ({ job, occurrences }: JobState): number => {
  let bytes = JOB_BYTES + job.spec.length;
  occurrences.forEach(({ steps }) =>
    steps.forEach(({ spec, tasks }) => {
      bytes += stepBytes(spec) + TASK_RECORD_BYTES * tasks.countRecorded();
    }),
  );
  return bytes;
};
