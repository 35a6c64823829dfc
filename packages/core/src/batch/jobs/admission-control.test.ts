/** Which jobs are refused by a forecast, and which never are. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { takeAccounts } from '../accounts/quota.js';
import { NO_LIMIT } from '../model/capacity.js';
import type { BatchJob, StepSpec } from '../model/job.js';
import { PLAIN_STEP } from '../model/plain-step.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { answer, FIRST, POOL, see, submitJob } from '../testing/batch-state.fixtures.js';
import { createAdmissionControl, type SubmittedJob } from './admission-control.js';
import { noteFirstAttempts } from './first-attempts.js';

const ACCOUNT = brand<AccountName>('declared');
const HEAVY = brand<AccountName>('heavy');
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
const NOW_MS = 10_000;

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

/** An endpoint of eight cores, and a backlog of jobs of one core-second each. */
const withBacklog = (jobs: number, account = HEAVY): BatchState => {
  const state = createBatchState(2);
  takeAccounts(
    state,
    new Map([ACCOUNT, HEAVY].map((name) => [name, { weight: 1, maximum: NO_LIMIT }] as const)),
  );
  state.takenOverAtMs = 0;
  see(state, FIRST);
  answer(state, { askedAtMs: 5, nowMs: 10 });
  Array.from({ length: jobs }, (_, index) =>
    submitJob(state, jobIdOf(index), {
      step: { estimateMs: 1000 },
      owner: { account, maximum: NO_LIMIT },
      nowMs: NOW_MS,
    }),
  );
  return state;
};

const jobOf = (step: Partial<StepSpec> = {}, rest: Partial<BatchJob> = {}): SubmittedJob => ({
  job: {
    jobId: brand('00000000000000ff'),
    queue: brand('q'),
    pool: POOL,
    spec: '',
    steps: [{ ...PLAIN_STEP, estimateMs: 1000, ...step }],
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
  createAdmissionControl({ state, random: () => 0.5 }).judge(job, NOW_MS);

describe('a job behind a backlog of its account that takes longer than its objective', () => {
  it('is refused until the backlog is expected to be gone', () => {
    // 80 core-seconds wait for eight cores; the objective is 2.6 s, and three of them count.
    const refusal = refusalIn(withBacklog(80));
    expect(refusal).toMatchObject({ account: HEAVY, isOwed: false, limitMs: 7800 });
    expect(refusal?.retryAfterMs).toBeGreaterThanOrEqual(9000);
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(30_000);
  });

  it('is told a time that differs by a quarter, so that clients do not come back together', () => {
    const state = withBacklog(80);
    const [early, late] = [0, 1].map((chance) =>
      createAdmissionControl({ state, random: () => chance }).judge(jobOf(), NOW_MS),
    );
    expect((late?.retryAfterMs ?? 0) / (early?.retryAfterMs ?? 1)).toBeCloseTo(1.25 / 0.75);
  });

  it('is accepted where its account is owed it: the backlog goes behind it', () => {
    const job = jobOf({}, { owner: { account: ACCOUNT, maximum: NO_LIMIT } });
    expect(refusalIn(withBacklog(80), job)).toBeUndefined();
  });

  it('is accepted where the room for it is on its way', () => {
    const state = withBacklog(40);
    expect(refusalIn(state)).toBeDefined();
    const pool = state.pools.get(POOL);
    Object.assign(pool ?? {}, { outlook: { comingCpu: 80_000, freeCpu: 0, reclaimedCpu: 0 } });
    expect(refusalIn(state)).toBeUndefined();
  });

  it('is refused later for each job that was admitted and is not taken in yet', () => {
    const state = withBacklog(0);
    const admission = createAdmissionControl({ state });
    const admitted = Array.from({ length: 100 }, (_, index) =>
      jobOf({}, { jobId: jobIdOf(1000 + index) }),
    ).filter((job) => {
      const refusal = admission.judge(job, NOW_MS);
      if (!refusal) admission.admit(job, NOW_MS);
      return !refusal;
    });
    // Eight cores do 62 in three objectives.
    expect(admitted.length).toBeGreaterThan(20);
    expect(admitted.length).toBeLessThan(63);
  });

  it.each([
    [
      'in the first two seconds of a holder',
      (state: BatchState) => {
        change(state, { takenOverAtMs: NOW_MS - 1900 });
      },
    ],
    [
      'where no account has a weight or a maximum',
      (state: BatchState) => {
        change(state, { accounts: new Map([[HEAVY, { weight: 0, maximum: NO_LIMIT }]]) });
        state.formerAccounts.clear();
      },
    ],
  ] as const)('is never refused %s', (_, prepare) => {
    const state = withBacklog(80);
    prepare(state);
    expect(refusalIn(state)).toBeUndefined();
  });

  it('is never refused where it lasts, is timed, has no account, or was accepted before', () => {
    const state = withBacklog(80);
    const unowned: BatchJob = Object.fromEntries(
      Object.entries(jobOf().job).filter(([field]) => field !== 'owner'),
    ) as BatchJob;
    const jobs = [
      jobOf({ isLasting: true }),
      jobOf({}, { repeats: 2 }),
      { job: unowned, policy: POLICY },
      jobOf({}, { jobId: jobIdOf(0) }),
    ];
    expect(jobs.map((job) => refusalIn(state, job))).toEqual(jobs.map(() => undefined));
  });

  it('is never refused once it was admitted under its id', () => {
    const state = withBacklog(0);
    const admission = createAdmissionControl({ state });
    admission.admit(jobOf(), NOW_MS);
    Array.from({ length: 80 }, (_, index) => {
      const other = jobOf({}, { jobId: jobIdOf(1000 + index) });
      admission.admit(other, NOW_MS);
      return other;
    });
    expect(admission.judge(jobOf(), NOW_MS)).toBeUndefined();
    expect(admission.judge(jobOf({}, { jobId: jobIdOf(5000) }), NOW_MS)).toBeDefined();
  });
});

describe('a backlog of less than half a second', () => {
  it('is no reason to refuse, however little time a job has left', () => {
    const state = withBacklog(3);
    noteFirstAttempts(state, [{ jobId: jobOf().job.jobId, atMs: NOW_MS - 9000 }]);
    expect(refusalIn(state)).toBeUndefined();
  });
});

describe('a job that comes back too late to be in time', () => {
  it('is refused while others that can be in time wait for half a second', () => {
    const state = withBacklog(12, ACCOUNT);
    expect(refusalIn(state, jobOf())).toBeUndefined();
    noteFirstAttempts(state, [{ jobId: jobOf().job.jobId, atMs: NOW_MS - 3000 }]);
    expect(refusalIn(state, jobOf())).toBeDefined();
  });
});
