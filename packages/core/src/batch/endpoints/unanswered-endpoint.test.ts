/** Guards against tasks that are placed again and again on an endpoint that lists its runs and answers no start order. */
import { describe, expect, it } from 'vitest';

import { addEndpoint, FIRST } from '../testing/batch-state.fixtures.js';
import { brand, type JobId } from '../../shared/ids.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { recordAnsweredStart, recordUnansweredStart } from './endpoint-health.js';

const JOBS = ['a', 'b', 'c'].map((name) => brand<JobId>(name));
const NOW_MS = 1000;

const createState = (): BatchState => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  return state;
};

const isWithheld = (state: BatchState): boolean =>
  (state.endpoints.get(FIRST)?.withheldUntilMs ?? 0) > NOW_MS;

describe('an endpoint that answers no start order', () => {
  it('gets no new work after the orders of three jobs', () => {
    const state = createState();
    JOBS.forEach((jobId) => recordUnansweredStart(state, FIRST, jobId, NOW_MS));
    expect(isWithheld(state)).toBe(true);
  });

  it('gets new work although all orders of one job had no answer', () => {
    const state = createState();
    JOBS.forEach(() => recordUnansweredStart(state, FIRST, brand('a'), NOW_MS));
    expect(isWithheld(state)).toBe(false);
  });

  it('gets new work if it answered an order between', () => {
    const state = createState();
    JOBS.forEach((jobId) => {
      recordUnansweredStart(state, FIRST, jobId, NOW_MS);
      if (jobId === JOBS[1]) recordAnsweredStart(state, FIRST);
    });
    expect(isWithheld(state)).toBe(false);
  });
});
