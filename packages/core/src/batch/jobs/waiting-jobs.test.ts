/** Which jobs count as waiting. */
import { describe, expect, it } from 'vitest';

import { brand } from '../../shared/ids.js';
import {
  applyAnswer,
  FIRST,
  FIRST_RUN,
  POOL,
  addEndpoint,
  createStateWithJob,
  JOB,
  TASK,
} from '../testing/batch-state.fixtures.js';
import { applyStartOutcome } from '../endpoints/order-responses.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, poolOf, type BatchState, type EndpointCrash } from '../model/state.js';
import { buildProgressRow, hasStartedTasks, type ProgressRow } from './progress.js';
import { restoreJob } from './restore-job.js';
import { countWaitingJobs } from './waiting-jobs.js';

const START = { task: TASK, run: FIRST_RUN };

const waitingJobsIn = (state: BatchState): number => countWaitingJobs(state).get(brand('q')) ?? 0;

describe('a job whose only task an endpoint was ordered to start', () => {
  const stateAfterOrder = (): BatchState => {
    const state = createStateWithJob();
    addEndpoint(state, FIRST);
    applyAnswer(state, { requestedAtMs: 8, nowMs: 10 });
    schedulePool(state, POOL, 20);
    return state;
  };

  it('counts as waiting until its task is known to have started, since the order may have been lost', () => {
    const state = stateAfterOrder();
    expect(waitingJobsIn(state)).toBe(1);
    applyStartOutcome(state, FIRST, { ...START, outcome: 'unknown', nowMs: 900 });
    expect(waitingJobsIn(state)).toBe(1);
  });

  it('no longer counts as waiting once the endpoint confirms the start', () => {
    const state = stateAfterOrder();
    applyStartOutcome(state, FIRST, { ...START, outcome: 'started', nowMs: 25 });
    expect(waitingJobsIn(state)).toBe(0);
  });

  it('no longer counts as waiting once its endpoint reports the run or its end', () => {
    const running = [{ ...START, checkpoint: '', percent: 10, figure: 0 }];
    const ended = [{ ...START, number: 1, kind: 'stopped' as const, checkpoint: '' }];
    [{ running }, { ended }].forEach((lists) => {
      const state = stateAfterOrder();
      applyAnswer(state, { ...lists, requestedAtMs: 28, nowMs: 30 });
      expect(waitingJobsIn(state)).toBe(0);
    });
  });
});

describe('a job that the next holder restores', () => {
  const restoredFrom = (progress: ProgressRow): BatchState => {
    const { job, policy } = createStateWithJob().jobs.get(JOB) ?? {};
    if (!job || !policy) throw new Error('the state does not contain the default job');
    const state = createBatchState(3);
    restoreJob(state, { job, policy, progress, nowMs: 0, wallClockMs: 0 });
    return state;
  };

  /** Tells whether the job counts as waiting, for the holder and for an entry that reads the row; both must agree. */
  const isWaitingBy = (progress: ProgressRow): boolean => {
    const state = restoredFrom(progress);
    const isWaiting = waitingJobsIn(state) === 1;
    expect(hasStartedTasks(progress)).toBe(!isWaiting);
    expect(state.jobs.get(JOB)?.phase).toBe(isWaiting ? 'pending' : 'running');
    return isWaiting;
  };

  const crashOf = (livedMs: number): EndpointCrash => ({
    run: FIRST_RUN,
    livedMs,
    isKnown: false,
    isConfirmed: false,
    isSuspected: true,
    isSoleSuspect: true,
    isCorrelated: false,
    fence: 2,
    countedAtMs: 0,
  });

  it('counts as waiting if its row names only an announced start, which no endpoint may have been ordered', () => {
    // Guards against waiting jobs that are left out of the count after two changes of the holder.
    const state = createStateWithJob({ isInherited: true });
    addEndpoint(state, FIRST);
    applyAnswer(state, { requestedAtMs: 8, nowMs: 10 });
    poolOf(state, POOL).hadHostDownAtTakeover = true;
    schedulePool(state, POOL, 20);
    const job = state.jobs.get(JOB);
    const progress = job ? buildProgressRow(job) : {};
    expect(progress[0]?.[0]?.trials).toHaveLength(1);
    expect(isWaitingBy(progress)).toBe(true);
  });

  it('counts as waiting if its row is left without progress, or with a crash under a start that is not confirmed', () => {
    expect(isWaitingBy({ 0: {} })).toBe(true);
    expect(isWaitingBy({ 0: { 0: { done: '0', crashes: [[0, [crashOf(0)]]] } } })).toBe(true);
  });

  it('does not count as waiting if a task of it failed, or ran when its endpoint crashed', () => {
    expect(isWaitingBy({ 0: { 0: { done: '0', failed: [[0, [FIRST_RUN]]] } } })).toBe(false);
    expect(isWaitingBy({ 0: { 0: { done: '0', crashes: [[0, [crashOf(300)]]] } } })).toBe(false);
  });
});
