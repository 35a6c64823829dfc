/** Which steps of a large backlog a scheduling pass considers, and how many of them it ranks. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type JobId } from '../../shared/ids.js';
import { setAccounts } from '../accounts/quota.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  addEndpoint,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { NO_LIMIT, type Capacity } from '../model/capacity.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { schedulePool } from './schedule.js';

const HEAVY = brand<AccountName>('heavy');
const OTHER = brand<AccountName>('other');
const BACKLOG = 5000;
const PASS_EVERY_MS = 5;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

/**
 * Builds a state with one endpoint that has capacity for eight tasks, and a backlog of one-task jobs of a single
 * account.
 */
const withBacklog = (heavyMaximum: Capacity = NO_LIMIT): BatchState => {
  const state = createBatchState(2);
  const limits = { weight: 1, maximum: NO_LIMIT };
  const heavy = { weight: 1, maximum: heavyMaximum };
  setAccounts(
    state,
    new Map([
      [HEAVY, heavy],
      [OTHER, limits],
    ]),
  );
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: 5, nowMs: 10 });
  Array.from({ length: BACKLOG }, (_, index) =>
    submitJob(state, jobIdOf(index), { owner: { account: HEAVY, maximum: heavyMaximum } }),
  );
  return state;
};

const submitOther = (state: BatchState, nowMs: number): JobId => {
  const jobId = jobIdOf(BACKLOG);
  submitJob(state, jobId, { owner: { account: OTHER, maximum: NO_LIMIT }, nowMs });
  return jobId;
};

const isRunning = (state: BatchState, jobId: JobId): boolean =>
  Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []).some(
    ({ step }) => step.job.job.jobId === jobId,
  );

const completeOneRun = (state: BatchState, nowMs: number): void => {
  const [run] = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  if (!run) throw new Error('no run on the endpoint');
  const end = {
    number: 1,
    task: run.task.key,
    run: run.run,
    kind: 'done' as const,
    checkpoint: '',
  };
  applyAnswer(state, { ended: [end], requestedAtMs: nowMs - 1, nowMs });
};

describe('passes over a pool with 5,000 waiting steps', () => {
  it('rank only a part of them: ranking all in each pass took all CPU time of the holder', () => {
    const state = withBacklog();
    schedulePool(state, POOL, 20);
    const { byKind } = state.runTimes;
    const originalGet = byKind.get.bind(byKind);
    let lookupCount = 0;
    byKind.get = (kind) => {
      lookupCount += 1;
      return originalGet(kind);
    };
    const passes = 100;
    for (let pass = 1; pass <= passes; pass += 1) {
      schedulePool(state, POOL, 20 + pass * PASS_EVERY_MS);
    }
    // Each ranked step costs one look-up: 500 in a pass, and the whole backlog in each tenth pass.
    expect(lookupCount / passes).toBeLessThan(BACKLOG / 4);
  });

  it('give the first free place to a step that was opened since the last ranking', () => {
    const state = withBacklog();
    schedulePool(state, POOL, 1000);
    const jobId = submitOther(state, 1001);
    completeOneRun(state, 1002);
    schedulePool(state, POOL, 1003);
    expect(isRunning(state, jobId)).toBe(true);
  });

  it('place a step of another account while the whole backlog waits for its account quota', () => {
    const state = withBacklog({ ...NO_LIMIT, cpuMillis: 2000 });
    schedulePool(state, POOL, 1000);
    const jobId = submitOther(state, 1001);
    schedulePool(state, POOL, 1002);
    schedulePool(state, POOL, 1200);
    expect(isRunning(state, jobId)).toBe(true);
    expect(state.endpoints.get(FIRST)?.runs.size).toBe(3);
  });
});
