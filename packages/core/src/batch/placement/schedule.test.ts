/** The order in which open steps get capacity that becomes free. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  addEndpoint,
  submitJob,
  type JobOptions,
} from '../testing/batch-state.fixtures.js';
import { schedulePool } from './schedule.js';
import { createBatchState, type BatchState } from '../model/state.js';

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const submit = (state: BatchState, number: number, submission: JobOptions): void =>
  submitJob(state, jobIdOf(number), submission);

const countRuns = (state: BatchState, number: number): number =>
  Array.from(state.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.values()))
    .filter(({ step }) => step.job.job.jobId === jobIdOf(number)).length;

/** Builds a state with two endpoints of eight cores each, filled by the first job. */
const createFullState = (): BatchState => {
  const state = createBatchState(2);
  [FIRST, SECOND].forEach((endpointId) => {
    addEndpoint(state, endpointId);
    applyAnswer(state, { endpointId, requestedAtMs: 5, nowMs: 10 });
  });
  submit(state, 1, { step: { taskCount: 16 } });
  schedulePool(state, POOL, 20);
  return state;
};

/** Completes this many tasks on the first endpoint. */
const completeRuns = (state: BatchState, count: number, nowMs: number): void => {
  const runs = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  const ended = runs.slice(0, count).map(({ task, run }, index) => ({
    number: index + 1,
    task: task.key,
    run,
    kind: 'done' as const,
    checkpoint: '',
  }));
  applyAnswer(state, { ended, requestedAtMs: nowMs - 1, nowMs });
};

describe('capacity that becomes free just after the first step in order could not be placed', () => {
  it('goes to that step and not to one behind it', () => {
    const state = createFullState();
    submit(state, 2, { priority: 0, step: { taskCount: 4 } });
    schedulePool(state, POOL, 100);
    submit(state, 3, { priority: 1, step: { taskCount: 4 } });
    completeRuns(state, 4, 105);
    schedulePool(state, POOL, 110);
    expect([countRuns(state, 2), countRuns(state, 3)]).toEqual([4, 0]);
  });

  it('goes to a step behind it if only that one fits', () => {
    const state = createFullState();
    submit(state, 2, { priority: 0, step: { taskCount: 1, cpuMillis: 6000 } });
    schedulePool(state, POOL, 100);
    submit(state, 3, { priority: 1, step: { taskCount: 4 } });
    completeRuns(state, 4, 105);
    schedulePool(state, POOL, 110);
    expect([countRuns(state, 2), countRuns(state, 3)]).toEqual([0, 4]);
  });

  it('goes in order to the remaining steps when more are open than one pass tries', () => {
    const state = createFullState();
    Array.from({ length: 60 }).forEach((_, index) => submit(state, 10 + index, {}));
    schedulePool(state, POOL, 100);
    completeRuns(state, 2, 105);
    schedulePool(state, POOL, 110);
    expect(Array.from({ length: 60 }, (_, index) => countRuns(state, 10 + index)).indexOf(1)).toBe(
      0,
    );
    expect(countRuns(state, 11)).toBe(1);
  });
});
