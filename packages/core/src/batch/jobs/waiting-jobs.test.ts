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
  TASK,
} from '../testing/batch-state.fixtures.js';
import { applyStartOutcome } from '../endpoints/order-responses.js';
import { schedulePool } from '../placement/schedule.js';
import type { BatchState } from '../model/state.js';
import { countWaitingJobs } from './waiting-jobs.js';

const START = { task: TASK, run: FIRST_RUN };

describe('a job whose only task an endpoint was ordered to start', () => {
  const stateAfterOrder = (): BatchState => {
    const state = createStateWithJob();
    addEndpoint(state, FIRST);
    applyAnswer(state, { requestedAtMs: 8, nowMs: 10 });
    schedulePool(state, POOL, 20);
    return state;
  };
  const waitingJobsIn = (state: BatchState): number => countWaitingJobs(state).get(brand('q')) ?? 0;

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
