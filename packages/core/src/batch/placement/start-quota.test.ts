/** Orders of an account whose quota falls while they wait: which of them may still be sent. */
import { describe, expect, it } from 'vitest';

import { setAccounts } from '../accounts/quota.js';
import { recordStartSent } from '../endpoints/unanswered-starts.js';
import { NO_LIMIT } from '../model/capacity.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { brand, type AccountName, type JobId } from '../../shared/ids.js';
import {
  addEndpoint,
  applyAnswer,
  FIRST,
  POOL,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { isStartWithinQuota, withdrawStart } from './start-quota.js';
import { schedulePool } from './schedule.js';

const NORTH = brand<AccountName>('north');
const OLDER = brand<JobId>('00000000000000b2');
const YOUNGER = brand<JobId>('00000000000000a1');
/** The run of each task that a holder with fence 2 starts first. */
const RUN = 2001;
const OLDER_PLACED_AT_MS = 20;
const YOUNGER_PLACED_AT_MS = 40;
const NOW_MS = 60;

const setMaximum = (state: BatchState, cpuMillis: number): void =>
  setAccounts(state, new Map([[NORTH, { maximum: { ...NO_LIMIT, cpuMillis }, weight: 1 }]]));

/** Places the tasks of two jobs one after the other, each of one core. */
const placeJobs = (olderStep: Partial<StepSpec> = {}, youngerStep: Partial<StepSpec> = {}) => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  applyAnswer(state, { endpointId: FIRST, requestedAtMs: 5, nowMs: 10 });
  const owner = { account: NORTH, maximum: NO_LIMIT };
  submitJob(state, OLDER, { step: olderStep, owner });
  schedulePool(state, POOL, OLDER_PLACED_AT_MS);
  submitJob(state, YOUNGER, { step: youngerStep, owner });
  schedulePool(state, POOL, YOUNGER_PLACED_AT_MS);
  return state;
};

const runOf = (jobId: JobId, index = 0) => ({ task: taskKey(jobId, 0, 0, index), run: RUN });

const mayLeave = (state: BatchState, jobId: JobId, index = 0): boolean =>
  isStartWithinQuota(state, FIRST, runOf(jobId, index), NOW_MS);

const send = (state: BatchState, jobId: JobId, index = 0): void =>
  recordStartSent(state, FIRST, runOf(jobId, index), NOW_MS);

const listPhases = (state: BatchState, jobId: JobId) =>
  state.jobs
    .get(jobId)
    ?.occurrences.get(0)
    ?.steps[0]?.tasks.all()
    .map(({ phase }) => phase);

describe('start orders of an account whose quota falls below what it has placed', () => {
  it('are refused to the one that was placed last, not to both', () => {
    const state = placeJobs();
    setMaximum(state, 1000);
    expect([mayLeave(state, OLDER), mayLeave(state, YOUNGER)]).toEqual([true, false]);
  });

  it('are refused to all but one of those that were placed at the same time', () => {
    const state = placeJobs({ taskCount: 3 });
    setMaximum(state, 1000);
    const allowed = [0, 1, 2].filter((index) => mayLeave(state, OLDER, index));
    expect(allowed).toEqual([0]);
  });

  it('are refused if one was sent that was placed later', () => {
    const state = placeJobs();
    send(state, YOUNGER);
    setMaximum(state, 1000);
    expect(mayLeave(state, OLDER)).toBe(false);
  });

  it('may be repeated if all that may have started is within the quota', () => {
    const state = placeJobs();
    send(state, YOUNGER);
    send(state, OLDER);
    setMaximum(state, 2000);
    expect([mayLeave(state, OLDER), mayLeave(state, YOUNGER)]).toEqual([true, true]);
  });

  it('are refused to each that was sent if either may have started and both exceed the quota', () => {
    const state = placeJobs();
    send(state, YOUNGER);
    send(state, OLDER);
    setMaximum(state, 1000);
    expect([mayLeave(state, OLDER), mayLeave(state, YOUNGER)]).toEqual([false, false]);
  });

  it('may be sent once the quota has risen again', () => {
    const state = placeJobs();
    setMaximum(state, 1000);
    setMaximum(state, 2000);
    expect(mayLeave(state, YOUNGER)).toBe(true);
  });

  it('make their tasks wait for the quota if they are withdrawn, and for no longer', () => {
    const state = placeJobs();
    setMaximum(state, 1000);
    withdrawStart(state, FIRST, runOf(YOUNGER), NOW_MS);
    schedulePool(state, POOL, NOW_MS);
    expect(listPhases(state, YOUNGER)).toEqual(['waiting']);
    expect(state.usage.get(NORTH)?.cpuMillis).toBe(1000);
    setMaximum(state, 2000);
    schedulePool(state, POOL, NOW_MS + 1000);
    expect(listPhases(state, YOUNGER)).toEqual(['placed']);
  });

  describe('for a gang', () => {
    const GANG = { taskCount: 2, isGang: true };

    it('are refused to all of its tasks', () => {
      const state = placeJobs({}, GANG);
      setMaximum(state, 2000);
      expect([mayLeave(state, YOUNGER, 0), mayLeave(state, YOUNGER, 1)]).toEqual([false, false]);
    });

    it('withdraw all of its tasks', () => {
      const state = placeJobs({}, GANG);
      withdrawStart(state, FIRST, runOf(YOUNGER, 1), NOW_MS);
      expect(listPhases(state, YOUNGER)).toEqual(['waiting', 'waiting']);
      expect(listPhases(state, OLDER)).toEqual(['placed']);
    });

    it('go on if one of its tasks was ordered, since it does not run without the others', () => {
      const state = placeJobs(GANG);
      send(state, OLDER, 1);
      setMaximum(state, 1000);
      expect([mayLeave(state, OLDER, 0), mayLeave(state, OLDER, 1)]).toEqual([true, true]);
    });

    it('count in full for others if one of its tasks was ordered', () => {
      const state = placeJobs({}, GANG);
      send(state, YOUNGER, 1);
      setMaximum(state, 2000);
      expect(mayLeave(state, OLDER)).toBe(false);
    });
  });
});
