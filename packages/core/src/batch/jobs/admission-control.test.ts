/** Which jobs admission control refuses because of their forecast, and which it never refuses. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type JobId, type PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { setAccounts } from '../accounts/quota.js';
import { NO_LIMIT } from '../model/capacity.js';
import type { BatchJob, StepSpec } from '../model/job.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import { createBatchState, type BatchState } from '../model/state.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  addEndpoint,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import {
  createAdmissionControl,
  type ControlLoad,
  type JobSubmission,
} from './admission-control.js';
import { recordFirstAttempts } from './first-attempts.js';

const ACCOUNT = brand<AccountName>('declared');
const HEAVY = brand<AccountName>('heavy');
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
const NOW_MS = 10_000;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

/** State with one endpoint of eight cores and a backlog of the given number of jobs of one core-second each. */
const stateWithBacklog = (jobs: number, account = HEAVY): BatchState => {
  const state = createBatchState(2);
  setAccounts(
    state,
    new Map([ACCOUNT, HEAVY].map((name) => [name, { weight: 1, maximum: NO_LIMIT }] as const)),
  );
  state.takenOverAtMs = 0;
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: 5, nowMs: 10 });
  Array.from({ length: jobs }, (_, index) =>
    submitJob(state, jobIdOf(index), {
      step: { estimateMs: 1000 },
      owner: { account, maximum: NO_LIMIT },
      nowMs: NOW_MS,
    }),
  );
  return state;
};

const jobOf = (step: Partial<StepSpec> = {}, rest: Partial<BatchJob> = {}): JobSubmission => ({
  job: {
    jobId: brand('00000000000000ff'),
    queue: brand('q'),
    pool: POOL,
    spec: '',
    steps: [{ ...DEFAULT_STEP, estimateMs: 1000, ...step }],
    repeats: 0,
    firstDueAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: NOW_MS,
    owner: { account: HEAVY, maximum: NO_LIMIT },
    ...rest,
  },
  policy: POLICY,
});

const refusalIn = (state: BatchState, job = jobOf()) =>
  createAdmissionControl({ state, random: () => 0.5 }).evaluate(job, NOW_MS);

describe('a job behind a backlog of its account that takes longer than its objective', () => {
  it('is refused with a Retry-After at which the backlog is expected to be gone', () => {
    // 80 core-seconds are queued for eight cores. The objective is 2.6 s, and a job is useful for up to three times
    // that.
    const refusal = refusalIn(stateWithBacklog(80));
    expect(refusal).toMatchObject({ account: HEAVY, isOwed: false, limitMs: 7800 });
    expect(refusal?.retryAfterMs).toBeGreaterThanOrEqual(9000);
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(30_000);
  });

  it('gets a Retry-After with a jitter of 25 % on either side, so that clients do not retry together', () => {
    const state = stateWithBacklog(80);
    const [early, late] = [0, 1].map((randomValue) =>
      createAdmissionControl({ state, random: () => randomValue }).evaluate(jobOf(), NOW_MS),
    );
    expect((late?.retryAfterMs ?? 0) / (early?.retryAfterMs ?? 1)).toBeCloseTo(1.25 / 0.75);
  });

  it('is accepted within the guaranteed rate of its account, since it then runs before the backlog', () => {
    const job = jobOf({}, { owner: { account: ACCOUNT, maximum: NO_LIMIT } });
    expect(refusalIn(stateWithBacklog(80), job)).toBeUndefined();
  });

  it('is accepted if hosts with enough capacity are being moved to the pool', () => {
    const state = stateWithBacklog(40);
    expect(refusalIn(state)).toBeDefined();
    const pool = state.pools.get(POOL);
    Object.assign(pool ?? {}, { forecast: { joiningCpu: 80_000, freeCpu: 0, reclaimedCpu: 0 } });
    expect(refusalIn(state)).toBeUndefined();
  });

  it('is refused once too many jobs were admitted that are not in the state yet', () => {
    const state = stateWithBacklog(0);
    const admission = createAdmissionControl({ state });
    const admitted = Array.from({ length: 100 }, (_, index) =>
      jobOf({}, { jobId: jobIdOf(1000 + index) }),
    ).filter((job) => {
      const refusal = admission.evaluate(job, NOW_MS);
      if (!refusal) admission.addPending(job, NOW_MS);
      return !refusal;
    });
    // Eight cores complete 62 jobs of one core-second in three objectives of 2.6 s.
    expect(admitted.length).toBeGreaterThan(20);
    expect(admitted.length).toBeLessThan(63);
  });

  it.each([
    [
      'in the first two seconds after a takeover of control',
      (state: BatchState) => {
        change(state, { takenOverAtMs: NOW_MS - 1900 });
      },
    ],
    [
      'if no account has a weight or a maximum',
      (state: BatchState) => {
        change(state, { accounts: new Map([[HEAVY, { weight: 0, maximum: NO_LIMIT }]]) });
        state.formerAccounts.clear();
      },
    ],
  ] as const)('is never refused %s', (_, prepare) => {
    const state = stateWithBacklog(80);
    prepare(state);
    expect(refusalIn(state)).toBeUndefined();
  });

  it('is never refused if it is long-running, repeated, without an account or accepted already', () => {
    const state = stateWithBacklog(80);
    const jobWithoutOwner: BatchJob = Object.fromEntries(
      Object.entries(jobOf().job).filter(([field]) => field !== 'owner'),
    ) as BatchJob;
    const jobs = [
      jobOf({ isLasting: true }),
      jobOf({}, { repeats: 2 }),
      { job: jobWithoutOwner, policy: POLICY },
      jobOf({}, { jobId: jobIdOf(0) }),
    ];
    expect(jobs.map((job) => refusalIn(state, job))).toEqual(jobs.map(() => undefined));
  });

  it('is never refused once a job with the same id was admitted', () => {
    const state = stateWithBacklog(0);
    const admission = createAdmissionControl({ state });
    admission.addPending(jobOf(), NOW_MS);
    Array.from({ length: 80 }, (_, index) => {
      const other = jobOf({}, { jobId: jobIdOf(1000 + index) });
      admission.addPending(other, NOW_MS);
      return other;
    });
    expect(admission.evaluate(jobOf(), NOW_MS)).toBeUndefined();
    expect(admission.evaluate(jobOf({}, { jobId: jobIdOf(5000) }), NOW_MS)).toBeDefined();
  });
});

describe('a backlog of less than half a second', () => {
  it('never leads to a refusal, even of a job whose objective has passed', () => {
    const state = stateWithBacklog(3);
    recordFirstAttempts(state, [{ jobId: jobOf().job.jobId, atMs: NOW_MS - 9000 }]);
    expect(refusalIn(state)).toBeUndefined();
  });
});

describe('a retried job that can no longer meet its objective', () => {
  it('is refused while jobs that can still meet their objective wait longer than half a second', () => {
    const state = stateWithBacklog(12, ACCOUNT);
    expect(refusalIn(state, jobOf())).toBeUndefined();
    recordFirstAttempts(state, [{ jobId: jobOf().job.jobId, atMs: NOW_MS - 3000 }]);
    expect(refusalIn(state, jobOf())).toBeDefined();
  });
});

describe('a holder that cannot start what it has accepted', () => {
  /** A pool with room for all its tasks; the holder waits for 300 answers, of which 100 come a second. */
  const BUSY: ControlLoad = { delayMs: () => 200, inFlight: () => 300, startsPerS: () => 100 };
  const IDLE: ControlLoad = { delayMs: () => 0, inFlight: () => 0, startsPerS: () => Infinity };

  const refusalBy = (control: ControlLoad) =>
    createAdmissionControl({
      state: stateWithBacklog(0),
      random: () => 0.5,
      control,
    }).evaluate(jobOf(), NOW_MS);

  it('refuses a job beyond its objective and names control as the bottleneck', () => {
    const refusal = refusalBy(BUSY);
    expect(refusal).toMatchObject({ limitMs: 2600, forecast: { bottleneck: 'control' } });
    // The answers take 3 s, the job itself 1 s, and its start and its end wait for 0.2 s each.
    expect(refusal?.forecast.doneMs).toBeCloseTo(4400);
    expect(refusalBy(IDLE)).toBeUndefined();
  });

  it('accepts a job whose start is delayed, but not beyond its objective', () => {
    expect(refusalBy({ ...BUSY, inFlight: () => 100 })).toBeUndefined();
  });

  it('lets refused jobs return one after the other, while they are of use', () => {
    const control = { ...BUSY, startsPerS: () => 10, inFlight: () => 30 };
    const state = stateWithBacklog(0);
    const admission = createAdmissionControl({ state, random: () => 0.5, control });
    const retries = Array.from({ length: 60 }, (_, index) => {
      const submitted = jobOf({}, { jobId: jobIdOf(1000 + index) });
      const refusal = admission.evaluate(submitted, NOW_MS);
      if (refusal) admission.recordRefusal(refusal, submitted.job.pool);
      return refusal?.retryAfterMs ?? 0;
    });
    expect(retries[0]).toBeGreaterThanOrEqual(3000);
    expect((retries[10] ?? 0) - (retries[0] ?? 0)).toBeCloseTo(1000);
    expect(Math.max(...retries)).toBeLessThan(7800);
  });

  describe('the Retry-After of refused jobs', () => {
    const SLOW = { ...BUSY, startsPerS: () => 10, inFlight: () => 30 };

    it('is not moved on by a refusal that is not sent', () => {
      const state = stateWithBacklog(0);
      const admission = createAdmissionControl({ state, random: () => 0.5, control: SLOW });
      const first = admission.evaluate(jobOf(), NOW_MS)?.retryAfterMs;
      expect(first).toBeGreaterThanOrEqual(3000);
      expect(admission.evaluate(jobOf(), NOW_MS)?.retryAfterMs).toBe(first);
    });

    it('is not moved on by refusals of another pool or beyond the share of another account', () => {
      const state = stateWithBacklog(0);
      const admission = createAdmissionControl({ state, random: () => 0.5, control: SLOW });
      const first = admission.evaluate(jobOf(), NOW_MS);
      if (!first) throw new Error('the job is not refused');
      const otherShare = { ...first, isOwed: !first.isOwed, returnAtMs: NOW_MS + 60_000 };
      admission.recordRefusal(otherShare, POOL);
      admission.recordRefusal({ ...otherShare, isOwed: first.isOwed }, brand<PoolName>('other'));
      expect(admission.evaluate(jobOf(), NOW_MS)?.retryAfterMs).toBe(first.retryAfterMs);
    });
  });
});
