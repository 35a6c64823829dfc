/** Scheduling of jobs that are retried after a refusal, together with new jobs that can still meet their objective. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  addEndpoint,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { recordFirstAttempts } from './first-attempts.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, type BatchState } from '../model/state.js';

const NOW_MS = 10_000;
const OBJECTIVE_MS = 1600;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const submit = (state: BatchState, number: number): void =>
  submitJob(state, jobIdOf(number), { step: { taskCount: 4 }, nowMs: NOW_MS });

/**
 * Schedules after an outage: ten jobs refused in it are submitted again, then two new ones.
 *
 * @param refusedAgoMs - How long ago the ten were refused.
 * @returns The numbers of the jobs that start: 0 to 9 are retried, 10 and 11 are new.
 */
const startedAfterOutage = (refusedAgoMs: number): readonly number[] => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: NOW_MS - 10, nowMs: NOW_MS - 5 });
  const numbers = Array.from({ length: 12 }, (_, index) => index);
  const retried = numbers.slice(0, 10);
  recordFirstAttempts(
    state,
    retried.map((number) => ({ jobId: jobIdOf(number), atMs: NOW_MS - refusedAgoMs })),
  );
  numbers.forEach((number) => submit(state, number));
  schedulePool(state, POOL, NOW_MS);
  const runs = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  const started = new Set(runs.map(({ step }) => step.job.job.jobId));
  return numbers.filter((number) => started.has(jobIdOf(number)));
};

describe('scarce capacity after an outage', () => {
  it('goes to new jobs that can meet their objective before retried jobs that cannot', () => {
    expect(startedAfterOutage(2 * OBJECTIVE_MS)).toEqual([10, 11]);
  });

  it('goes to the retried jobs first if they can still meet their objective', () => {
    expect(startedAfterOutage(OBJECTIVE_MS / 4)).toEqual([0, 1]);
  });
});

describe('the record of first attempts', () => {
  it('keeps the earliest of several attempts at one job', () => {
    const state = createBatchState(2);
    recordFirstAttempts(state, [{ jobId: jobIdOf(1), atMs: 500 }]);
    recordFirstAttempts(state, [{ jobId: jobIdOf(1), atMs: 900 }]);
    expect(state.firstAttempts.get(jobIdOf(1))).toBe(500);
  });

  it('keeps at most 10,000 attempts and evicts the oldest', () => {
    const state = createBatchState(2);
    const attempts = Array.from({ length: 12_000 }, (_, index) => ({
      jobId: jobIdOf(index),
      atMs: index,
    }));
    recordFirstAttempts(state, attempts);
    expect(state.firstAttempts.size).toBe(10_000);
    expect(state.firstAttempts.has(jobIdOf(0))).toBe(false);
  });
});
