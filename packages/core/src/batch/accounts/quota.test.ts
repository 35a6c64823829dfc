/** Quotas of client accounts, and which runs count towards them. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type EndpointId, type JobId } from '../../shared/ids.js';
import type { JobOwner } from '../model/accounts.js';
import { NO_LIMIT } from '../model/capacity.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  addEndpoint,
  submitJob,
  type JobOptions,
} from '../testing/batch-state.fixtures.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { addPendingReports } from '../endpoints/endpoints.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { cancelJob } from '../jobs/job-lifecycle.js';
import { applyStartOutcome } from '../endpoints/order-responses.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import {
  findQuotaViolation,
  estimateUnreportedUsage,
  setAccounts,
  recordOwnerLimits,
} from './quota.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, type BatchState } from '../model/state.js';

const NORTH = brand<AccountName>('north');
const SOUTH = brand<AccountName>('south');
const JOBS = ['a1', 'b2', 'c3'].map((end) => brand<JobId>(end.padStart(16, '0'))) as [
  JobId,
  JobId,
  JobId,
];
const THIRD = brand<EndpointId>('i-0000000003');

const ownerOf = (account: AccountName, cpuMillis: number): JobOwner => ({
  account,
  maximum: { ...NO_LIMIT, cpuMillis },
});

const submit = (state: BatchState, jobId: JobId, submission: JobOptions): void => {
  submitJob(state, jobId, submission);
  if (submission.owner) recordOwnerLimits(state, submission.owner);
};

/** The state of a control holder with two endpoints of eight cores that have reported. */
const stateWithTwoEndpoints = (): BatchState => {
  const state = createBatchState(2);
  [FIRST, SECOND].forEach((endpointId) => {
    addEndpoint(state, endpointId);
    applyAnswer(state, { endpointId, requestedAtMs: 5, nowMs: 10 });
  });
  return state;
};

const runsOf = (state: BatchState, jobId: JobId): number =>
  Array.from(state.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.values()))
    .filter(({ step }) => step.job.job.jobId === jobId).length;

const setOwners = (state: BatchState, ...owners: readonly JobOwner[]): void =>
  setAccounts(
    state,
    new Map(owners.map(({ account, maximum }) => [account, { maximum, weight: 1 }])),
  );

describe('an account with a maximum', () => {
  it('never uses more than its maximum on all endpoints together', () => {
    const state = stateWithTwoEndpoints();
    submit(state, JOBS[0], { step: { taskCount: 16 }, owner: ownerOf(NORTH, 10_000) });
    schedulePool(state, POOL, 20);
    expect(runsOf(state, JOBS[0])).toBe(10);
  });

  it('leaves the remaining capacity to other accounts', () => {
    const state = stateWithTwoEndpoints();
    submit(state, JOBS[0], { step: { taskCount: 16 }, owner: ownerOf(NORTH, 10_000) });
    submit(state, JOBS[1], { step: { taskCount: 6 }, owner: ownerOf(SOUTH, 0) });
    submit(state, JOBS[2], { step: { taskCount: 6 } });
    schedulePool(state, POOL, 20);
    expect(JOBS.map((jobId) => runsOf(state, jobId))).toEqual([10, 6, 0]);
  });

  it('does not delay other jobs, however many of its steps wait for the quota', () => {
    const state = stateWithTwoEndpoints();
    const owner = ownerOf(NORTH, 1000);
    Array.from({ length: 90 }).forEach((_, index) =>
      submit(state, brand<JobId>(`${index}`.padStart(16, '0')), { owner }),
    );
    submit(state, JOBS[2], { step: { taskCount: 4 } });
    schedulePool(state, POOL, 20);
    expect(runsOf(state, JOBS[2])).toBe(4);
  });

  it('is charged for cancelled runs until they have ended with certainty', () => {
    const state = stateWithTwoEndpoints();
    const owner = ownerOf(NORTH, 8000);
    submit(state, JOBS[0], { step: { taskCount: 8 }, owner });
    schedulePool(state, POOL, 20);
    cancelJob(state, JOBS[0], NORTH);
    submit(state, JOBS[1], { step: { taskCount: 8 }, owner });
    schedulePool(state, POOL, 30);
    expect(runsOf(state, JOBS[1])).toBe(0);
    removeEndpoint(state, FIRST, { detail: 'host-taken', atMs: 40, nowMs: 40 });
    removeEndpoint(state, SECOND, { detail: 'host-taken', atMs: 40, nowMs: 40 });
    giveUpRunsOfGoneEndpoints(state, 40);
    expect(state.usage.get(NORTH)).toEqual(NO_LIMIT);
  });

  it('is no longer charged for a start order that the endpoint rejected', () => {
    const state = stateWithTwoEndpoints();
    submit(state, JOBS[0], { owner: ownerOf(NORTH, 1000) });
    schedulePool(state, POOL, 20);
    expect(state.usage.get(NORTH)).toMatchObject({ cpuMillis: 1000 });
    const places = Array.from(state.endpoints.values()).filter(({ runs }) => runs.size > 0);
    applyStartOutcome(state, places[0]?.endpointId as EndpointId, {
      task: taskKey(JOBS[0], 0, 0, 0),
      run: 2001,
      outcome: 'rejected',
      nowMs: 30,
    });
    expect(state.usage.get(NORTH)).toEqual(NO_LIMIT);
  });

  it('keeps its running tasks but starts no more when its maximum is lowered', () => {
    const state = stateWithTwoEndpoints();
    setOwners(state, ownerOf(NORTH, 16_000));
    submit(state, JOBS[0], { step: { taskCount: 8 }, owner: ownerOf(NORTH, 16_000) });
    schedulePool(state, POOL, 20);
    setOwners(state, ownerOf(NORTH, 2000));
    submit(state, JOBS[1], { owner: ownerOf(NORTH, 2000) });
    schedulePool(state, POOL, 30);
    expect([runsOf(state, JOBS[0]), runsOf(state, JOBS[1])]).toEqual([8, 0]);
    expect(state.effects.filter(({ kind }) => kind === 'stop')).toEqual([]);
  });

  it('keeps its last maximum when the configuration no longer names it', () => {
    const state = stateWithTwoEndpoints();
    setOwners(state, ownerOf(NORTH, 3000));
    setOwners(state);
    submit(state, JOBS[0], { step: { taskCount: 8 }, owner: ownerOf(NORTH, 9000) });
    schedulePool(state, POOL, 20);
    expect(runsOf(state, JOBS[0])).toBe(3);
  });

  it('uses the maximum stored with its job if the configuration has never named it', () => {
    const state = stateWithTwoEndpoints();
    submit(state, JOBS[0], { step: { taskCount: 8 }, owner: ownerOf(NORTH, 4000) });
    schedulePool(state, POOL, 20);
    expect(runsOf(state, JOBS[0])).toBe(4);
  });

  it('may start a task of more than half its maximum while it uses less than half', () => {
    const state = stateWithTwoEndpoints();
    setOwners(state, ownerOf(NORTH, 8000));
    submit(state, JOBS[0], { step: { taskCount: 3 }, owner: ownerOf(NORTH, 8000) });
    submit(state, JOBS[1], {
      step: { taskCount: 2, cpuMillis: 6000 },
      owner: ownerOf(NORTH, 8000),
    });
    schedulePool(state, POOL, 20);
    expect([runsOf(state, JOBS[0]), runsOf(state, JOBS[1])]).toEqual([3, 1]);
  });

  it('starts a gang as a whole or not at all', () => {
    const state = stateWithTwoEndpoints();
    const gang = { taskCount: 6, isGang: true };
    submit(state, JOBS[0], { step: gang, owner: ownerOf(NORTH, 10_000) });
    submit(state, JOBS[1], { step: gang, owner: ownerOf(NORTH, 10_000) });
    schedulePool(state, POOL, 20);
    expect([runsOf(state, JOBS[0]), runsOf(state, JOBS[1])].toSorted()).toEqual([0, 6]);
  });
});

describe('runs that an earlier control holder may have started', () => {
  /** The state of a new control holder with three endpoints, the last of which has not reported yet. */
  const stateAfterTakeover = (step: Partial<StepSpec>): BatchState => {
    const state = stateWithTwoEndpoints();
    addEndpoint(state, THIRD);
    addPendingReports(state, [{ instanceId: instanceIdOf(THIRD), pool: POOL }]);
    state.inheritedLeasesEndAtMs = 9000;
    submit(state, JOBS[0], { step, owner: ownerOf(NORTH, 10_000), isInherited: true });
    submit(state, JOBS[1], { step: { taskCount: 10 }, owner: ownerOf(NORTH, 10_000) });
    estimateUnreportedUsage(state, 20);
    schedulePool(state, POOL, 20);
    return state;
  };

  it('count as running while an endpoint has not reported', () => {
    const state = stateAfterTakeover({ taskCount: 4 });
    expect(runsOf(state, JOBS[1])).toBe(6);
  });

  it('count only up to the capacity of the endpoints that have not reported', () => {
    const state = stateAfterTakeover({ taskCount: 100 });
    expect(runsOf(state, JOBS[1])).toBe(2);
  });

  it('count in full until the host list is known', () => {
    const state = stateWithTwoEndpoints();
    state.isHostListAwaited = true;
    state.inheritedLeasesEndAtMs = 9000;
    const step = { taskCount: 9 };
    submit(state, JOBS[0], { step, owner: ownerOf(NORTH, 10_000), isInherited: true });
    submit(state, JOBS[1], { step, owner: ownerOf(NORTH, 10_000) });
    estimateUnreportedUsage(state, 20);
    schedulePool(state, POOL, 20);
    expect(runsOf(state, JOBS[1])).toBe(1);
  });

  it('no longer count once all endpoints have reported', () => {
    const state = stateAfterTakeover({ taskCount: 4 });
    applyAnswer(state, { endpointId: THIRD, requestedAtMs: 30, nowMs: 40 });
    estimateUnreportedUsage(state, 50);
    expect(state.unreportedUsage.size).toBe(0);
  });

  it('no longer count once an endpoint has nothing but ended runs left to list', () => {
    const state = stateAfterTakeover({ taskCount: 4 });
    applyAnswer(state, { endpointId: THIRD, hasMoreEnds: true, requestedAtMs: 30, nowMs: 40 });
    estimateUnreportedUsage(state, 50);
    expect(state.unreportedUsage.size).toBe(0);
  });

  it('still count while rows of the list of an endpoint cannot be read', () => {
    const state = stateAfterTakeover({ taskCount: 4 });
    const gaps = { hasMoreEnds: true, hasUnreadableRows: true };
    applyAnswer(state, { endpointId: THIRD, ...gaps, requestedAtMs: 30, nowMs: 40 });
    estimateUnreportedUsage(state, 150);
    expect(state.unreportedUsage.size).toBe(1);
  });

  it('count while an endpoint reports them although their job has ended', () => {
    const state = stateWithTwoEndpoints();
    submit(state, JOBS[0], { owner: ownerOf(NORTH, 1000) });
    cancelJob(state, JOBS[0], NORTH);
    const listed = {
      task: taskKey(JOBS[0], 0, 0, 0),
      run: 7,
      checkpoint: '',
      percent: 1,
      figure: 0,
    };
    applyAnswer(state, { running: [listed], requestedAtMs: 30, nowMs: 40 });
    expect(state.usage.get(NORTH)).toMatchObject({ cpuMillis: 1000 });
    applyAnswer(state, { requestedAtMs: 50, nowMs: 60 });
    expect(state.usage.get(NORTH)).toEqual(NO_LIMIT);
  });
});

describe('the quota check of a job before it is accepted', () => {
  it.each([
    [{ cpuMillis: 6000 }, undefined],
    [{ cpuMillis: 10_001 }, 'a task of step 0 needs 10001 cpuMillis'],
    [{ taskCount: 11, isGang: true }, 'the 11 tasks of gang step 0 needs 11000 cpuMillis'],
    [{ taskCount: 11 }, undefined],
  ])('names a step that can never start under the maximum: %j', (step, expected) => {
    const fault = findQuotaViolation([{ ...DEFAULT_STEP, ...step }], ownerOf(NORTH, 10_000));
    if (expected === undefined) expect(fault).toBeUndefined();
    else expect(fault).toContain(expected);
  });
});
