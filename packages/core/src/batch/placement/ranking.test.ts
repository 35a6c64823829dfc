/** What a pass over a large backlog considers, and what that costs. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type JobId } from '../../shared/ids.js';
import { takeAccounts } from '../accounts/quota.js';
import { answer, FIRST, POOL, see, submitJob } from '../testing/batch-state.fixtures.js';
import { NO_LIMIT, type Capacity } from '../model/capacity.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { schedulePool } from './schedule.js';

const HEAVY = brand<AccountName>('heavy');
const OTHER = brand<AccountName>('other');
const BACKLOG = 5000;
const PASS_EVERY_MS = 5;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

/** An endpoint with eight places, and a heavy account that has handed in jobs of one task. */
const withBacklog = (heavyMaximum: Capacity = NO_LIMIT): BatchState => {
  const state = createBatchState(2);
  const limits = { weight: 1, maximum: NO_LIMIT };
  const heavy = { weight: 1, maximum: heavyMaximum };
  takeAccounts(
    state,
    new Map([
      [HEAVY, heavy],
      [OTHER, limits],
    ]),
  );
  see(state, FIRST);
  answer(state, { askedAtMs: 5, nowMs: 10 });
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

const endOne = (state: BatchState, nowMs: number): void => {
  const [run] = Array.from(state.endpoints.get(FIRST)?.runs.values() ?? []);
  if (!run) throw new Error('nothing runs');
  const end = {
    number: 1,
    task: run.task.key,
    run: run.run,
    kind: 'done' as const,
    checkpoint: '',
  };
  answer(state, { ended: [end], askedAtMs: nowMs - 1, nowMs });
};

describe('passes over a pool with 5,000 waiting steps', () => {
  it('rank few of them: ranking all at each pass took the whole processor of a holder', () => {
    const state = withBacklog();
    schedulePool(state, POOL, 20);
    const { byKind } = state.runTimes;
    const lookUp = byKind.get.bind(byKind);
    let lookUps = 0;
    byKind.get = (kind) => {
      lookUps += 1;
      return lookUp(kind);
    };
    const passes = 100;
    for (let pass = 1; pass <= passes; pass += 1) {
      schedulePool(state, POOL, 20 + pass * PASS_EVERY_MS);
    }
    // One look-up a step that is ranked: 500 at a pass, and all of them at each tenth.
    expect(lookUps / passes).toBeLessThan(BACKLOG / 4);
  });

  it('give the first place that comes free to a step that was opened since the last ranking', () => {
    const state = withBacklog();
    schedulePool(state, POOL, 1000);
    const jobId = submitOther(state, 1001);
    endOne(state, 1002);
    schedulePool(state, POOL, 1003);
    expect(isRunning(state, jobId)).toBe(true);
  });

  it('serve others where all those wait for the quota of their account', () => {
    const state = withBacklog({ ...NO_LIMIT, cpuMillis: 2000 });
    schedulePool(state, POOL, 1000);
    const jobId = submitOther(state, 1001);
    schedulePool(state, POOL, 1002);
    schedulePool(state, POOL, 1200);
    expect(isRunning(state, jobId)).toBe(true);
    expect(state.endpoints.get(FIRST)?.runs.size).toBe(3);
  });
});
