/** Jobs that come back after they were refused, beside new ones that can be in time. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import { answer, FIRST, POOL, see, submitJob } from '../testing/batch-state.fixtures.js';
import { noteFirstAttempts } from './first-attempts.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, type BatchState } from '../model/state.js';

const NOW_MS = 10_000;
const OBJECTIVE_MS = 1600;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const submit = (state: BatchState, number: number): void =>
  submitJob(state, jobIdOf(number), { step: { taskCount: 4 }, nowMs: NOW_MS });

/** An outage has ended: ten jobs that were refused in it come back, and then two come for the first time. */
const afterOutage = (refusedAgoMs: number): readonly number[] => {
  const state = createBatchState(2);
  see(state, FIRST);
  answer(state, { askedAtMs: NOW_MS - 10, nowMs: NOW_MS - 5 });
  const numbers = Array.from({ length: 12 }, (_, index) => index);
  const returning = numbers.slice(0, 10);
  noteFirstAttempts(
    state,
    returning.map((number) => ({ jobId: jobIdOf(number), atMs: NOW_MS - refusedAgoMs })),
  );
  numbers.forEach((number) => submit(state, number));
  schedulePool(state, POOL, NOW_MS);
  const runs = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  const begun = new Set(runs.map(({ step }) => step.job.job.jobId));
  return numbers.filter((number) => begun.has(jobIdOf(number)));
};

describe('room that is short after an outage', () => {
  it('goes to new jobs that can be in time before those that come back too late', () => {
    expect(afterOutage(2 * OBJECTIVE_MS)).toEqual([10, 11]);
  });

  it('goes to those that come back first where they can be in time as well', () => {
    expect(afterOutage(OBJECTIVE_MS / 4)).toEqual([0, 1]);
  });
});

describe('the memory of first attempts', () => {
  it('keeps the first of several attempts at one job', () => {
    const state = createBatchState(2);
    noteFirstAttempts(state, [{ jobId: jobIdOf(1), atMs: 500 }]);
    noteFirstAttempts(state, [{ jobId: jobIdOf(1), atMs: 900 }]);
    expect(state.firstAttempts.get(jobIdOf(1))).toBe(500);
  });

  it('is bounded', () => {
    const state = createBatchState(2);
    const attempts = Array.from({ length: 12_000 }, (_, index) => ({
      jobId: jobIdOf(index),
      atMs: index,
    }));
    noteFirstAttempts(state, attempts);
    expect(state.firstAttempts.size).toBe(10_000);
    expect(state.firstAttempts.has(jobIdOf(0))).toBe(false);
  });
});
