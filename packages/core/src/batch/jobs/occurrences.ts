/**
 * The occurrences of a recurring job. Only those in progress have a state: a due one gets it once there is space for it,
 * and gives it back when it is done. What is kept of the done ones is a number and the few that are ahead of it.
 */
import { change } from '../../shared/change.js';
import { MAX_TASKS_PER_JOB, type BatchJob } from '../model/job.js';
import type { BatchState, JobState, OccurrenceState } from '../model/state.js';
import { estimateOccurrenceBytes } from './job-bytes.js';

/** Open steps of one job are ranked in each scheduling pass and listed in its progress row. */
const MAX_OPEN_STEPS = 800;
/**
 * No further occurrence is opened while this many tasks of the job wait. Catching up with past times then takes at most
 * this many starts in each tick of the holder, which has other jobs to serve.
 */
const MAX_WAITING_TASKS = 50;
/** Bounds the list of done occurrences that are ahead of one that is not done. */
const MAX_AHEAD = 2000;

/** The wall clock jumps on some hosts, so an occurrence starts this long after its due time, never before it. */
const DUE_MARGIN_MS = 20;

/**
 * Returns how many occurrences a job has.
 *
 * @param job - The job.
 * @returns The number; 1 for a job that does not recur.
 */
export const occurrenceCount = ({ repeats }: BatchJob): number => Math.max(1, repeats);

/** Times by the wall clock and the monotonic clock, read together. */
export type ClockReading = { readonly nowMs: number; readonly wallClockMs: number };

/**
 * Computes when an occurrence is due.
 *
 * @param job - The job.
 * @param number - The number of the occurrence.
 * @param clocks - The current time.
 * @returns The time by the monotonic clock; now for a job that does not recur.
 */
export const dueAtMsOf = (
  { repeats, firstDueAtMs, intervalMs }: BatchJob,
  number: number,
  { nowMs, wallClockMs }: ClockReading,
): number => (repeats > 0 ? nowMs - (wallClockMs - (firstDueAtMs + number * intervalMs)) : nowMs);

/**
 * Counts the occurrences that are due.
 *
 * @param job - The job.
 * @param wallClockMs - The current time by the wall clock.
 * @returns The number of the first occurrence that is not due yet.
 */
export const countDue = (job: BatchJob, wallClockMs: number): number => {
  const { repeats, firstDueAtMs, intervalMs } = job;
  if (repeats === 0) return 1;
  const sinceFirstMs = wallClockMs - DUE_MARGIN_MS - firstDueAtMs;
  if (!(sinceFirstMs >= 0)) return 0;
  const passed = intervalMs > 0 ? Math.floor(sinceFirstMs / intervalMs) + 1 : repeats;
  return Math.min(repeats, passed);
};

/**
 * Tells whether an occurrence of a recurring job is done.
 *
 * @param job - The job.
 * @param number - The number of the occurrence.
 * @returns True if it is; it has no state then.
 */
export const isOccurrenceOver = ({ doneBelow, doneAhead }: JobState, number: number): boolean =>
  number < doneBelow || doneAhead.has(number);

/**
 * Records that an occurrence of a recurring job is done, and drops its state.
 *
 * @param job - The job, changed in place.
 * @param number - The number of the occurrence.
 */
export const recordOccurrenceDone = (job: JobState, number: number): void => {
  job.occurrences.delete(number);
  if (isOccurrenceOver(job, number)) return;
  job.doneAhead.add(number);
  let { doneBelow } = job;
  while (job.doneAhead.delete(doneBelow)) doneBelow += 1;
  change(job, { doneBelow, nextOccurrence: Math.max(job.nextOccurrence, doneBelow) });
};

/** Counts the tasks that wait for capacity; those of later steps wait for earlier ones. */
const countWaiting = ({ steps }: OccurrenceState): number =>
  steps.reduce((sum, { isOpen, waiting }) => sum + (isOpen ? waiting.length : 0), 0);

/**
 * Tells whether the next occurrence of a job may get a state. At least one always may.
 *
 * @param state - The batch state; the memory that the occurrence takes is deducted.
 * @param job - The job, whose next occurrence is due.
 * @returns False if it has to wait until earlier ones are done or started.
 */
export const mayOpenNext = (state: BatchState, job: JobState): boolean => {
  const { occurrences, nextOccurrence, doneBelow } = job;
  if (occurrences.has(nextOccurrence)) return true;
  const open = Array.from(occurrences.values()).filter(({ number }) => number < nextOccurrence);
  if (open.length === 0) return true;
  const { steps } = job.job;
  const taskCount = steps.reduce((sum, spec) => sum + spec.taskCount, 0);
  const isFull =
    (open.length + 1) * steps.length > MAX_OPEN_STEPS ||
    (open.length + 1) * taskCount > MAX_TASKS_PER_JOB ||
    nextOccurrence - doneBelow >= MAX_AHEAD ||
    open.reduce((sum, occurrence) => sum + countWaiting(occurrence), 0) >= MAX_WAITING_TASKS;
  const neededBytes = estimateOccurrenceBytes(job.job);
  if (isFull || state.occurrenceBytesLeft < neededBytes) return false;
  change(state, { occurrenceBytesLeft: state.occurrenceBytesLeft - neededBytes });
  return true;
};
