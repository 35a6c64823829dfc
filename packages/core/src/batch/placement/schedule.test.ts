/** In which order open steps get the room that comes free. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import {
  answer,
  FIRST,
  POOL,
  SECOND,
  see,
  submitJob,
  type Submission,
} from '../testing/batch-state.fixtures.js';
import { schedulePool } from './schedule.js';
import { createBatchState, type BatchState } from '../model/state.js';

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const submit = (state: BatchState, number: number, submission: Submission): void =>
  submitJob(state, jobIdOf(number), submission);

const runsOf = (state: BatchState, number: number): number =>
  Array.from(state.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.values()))
    .filter(({ step }) => step.job.job.jobId === jobIdOf(number)).length;

/** Two endpoints of eight cores that the first job fills. */
const full = (): BatchState => {
  const state = createBatchState(2);
  [FIRST, SECOND].forEach((endpointId) => {
    see(state, endpointId);
    answer(state, { endpointId, askedAtMs: 5, nowMs: 10 });
  });
  submit(state, 1, { step: { taskCount: 16 } });
  schedulePool(state, POOL, 20);
  return state;
};

/** So many tasks on the first endpoint are done. */
const endSome = (state: BatchState, count: number, nowMs: number): void => {
  const runs = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  const ended = runs.slice(0, count).map(({ task, run }, index) => ({
    number: index + 1,
    task: task.key,
    run,
    kind: 'done' as const,
    checkpoint: '',
  }));
  answer(state, { ended, askedAtMs: nowMs - 1, nowMs });
};

describe('room that comes free just after the first step in order had fitted nowhere', () => {
  it('goes to that step, not to one behind it', () => {
    const state = full();
    submit(state, 2, { priority: 0, step: { taskCount: 4 } });
    schedulePool(state, POOL, 100);
    submit(state, 3, { priority: 1, step: { taskCount: 4 } });
    endSome(state, 4, 105);
    schedulePool(state, POOL, 110);
    expect([runsOf(state, 2), runsOf(state, 3)]).toEqual([4, 0]);
  });

  it('goes to a step behind it that fits where it does not', () => {
    const state = full();
    submit(state, 2, { priority: 0, step: { taskCount: 1, cpuMillis: 6000 } });
    schedulePool(state, POOL, 100);
    submit(state, 3, { priority: 1, step: { taskCount: 4 } });
    endSome(state, 4, 105);
    schedulePool(state, POOL, 110);
    expect([runsOf(state, 2), runsOf(state, 3)]).toEqual([0, 4]);
  });

  it('goes in order also to the steps that were not tried, so many stood before them', () => {
    const state = full();
    Array.from({ length: 60 }).forEach((_, index) => submit(state, 10 + index, {}));
    schedulePool(state, POOL, 100);
    endSome(state, 2, 105);
    schedulePool(state, POOL, 110);
    expect(Array.from({ length: 60 }, (_, index) => runsOf(state, 10 + index)).indexOf(1)).toBe(0);
    expect(runsOf(state, 11)).toBe(1);
  });
});
