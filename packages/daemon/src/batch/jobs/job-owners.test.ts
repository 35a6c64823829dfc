/** What callers of one account can see of, and do to, the jobs of another account. */
import type {
  BatchJob,
  BatchJobRow,
  Caller,
  JobStatus,
  DeclaredQueue,
} from '@valvelatch/core/batch';
import { brand, type AccountName, type JobId } from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { AcceptOutcome } from './accept-queue.js';
import type { ControlClient } from './control-client.js';
import { createIntake } from './intake.js';
import { batchKey, parseJobKey } from '../keys.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const NORTH = brand<AccountName>('north');
const SOUTH = brand<AccountName>('south');
const JOB = brand<JobId>('00000000000000aa');
const CALLERS: readonly Caller[] = [SOUTH, null];
const queue = { name: 'q' } as unknown as DeclaredQueue;

const jobOf = (account?: AccountName): BatchJob =>
  ({
    jobId: JOB,
    queue: 'q',
    pool: 'p',
    spec: '',
    steps: [
      { taskCount: 1, cpuMillis: 1000, memoryMb: 1, accelerators: 0, estimateMs: 1, after: [] },
    ],
    repeats: 0,
    firstDueAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
    ...(account
      ? { owner: { account, maximum: { cpuMillis: 500, memoryMb: 0, accelerators: 0 } } }
      : {}),
  }) as unknown as BatchJob;

type KnownJob = {
  readonly byHolder?: JobStatus;
  readonly row?: BatchJobRow;
  /** The caller that has written a cancellation row. */
  readonly cancelledBy?: Caller;
};

const createIntakeWith = (
  { byHolder, row, cancelledBy }: KnownJob,
  outcome: AcceptOutcome = { kind: 'conflict' },
) => {
  const cancelled: string[] = [];
  const control = {
    holder: () => null,
    accept: async () => outcome,
    holderSilentMs: () => 0,
    notifyAccepted: () => undefined,
    notifyCancelled: async () => true,
    findStatus: async () => byHolder,
  } as Partial<ControlClient> as ControlClient;
  const intake = createIntake({
    table: {
      isDirectRouteUp: () => true,
      unansweredForMs: () => 0,
      read: async (keys: readonly string[]) =>
        Ok(
          [
            { key: batchKey.job(JOB), value: row, version: 3 },
            ...(cancelledBy === undefined
              ? []
              : [{ key: batchKey.cancel(JOB, cancelledBy), value: {}, version: 4 }]),
          ].filter(({ key, value }) => value !== undefined && keys.includes(key)),
        ),
    } as unknown as RelayedTable,
    groupCommit: {
      submit: async ({ writes }) => {
        cancelled.push(...writes.map(({ key }) => key));
        return Ok({ kind: 'committed', version: 12 } as const);
      },
    },
    control,
    log,
    metrics: createMetrics(),
  });
  return { intake, cancelled };
};

const KNOWN_JOBS: readonly (readonly [string, KnownJob])[] = [
  ['known to the holder', { byHolder: { phase: 'running', reason: '', account: NORTH } }],
  ['that has ended', { byHolder: { phase: 'completed', reason: '', account: NORTH } }],
  [
    'in its row',
    { row: { kind: 'live', job: jobOf(NORTH), policy: {} as never } satisfies BatchJobRow },
  ],
  [
    'in the row of its end',
    {
      row: {
        kind: 'ended',
        phase: 'failed',
        reason: 'secret',
        endedAtMs: 1,
        queue: 'q',
        account: NORTH,
      },
    },
  ],
];

describe.each(KNOWN_JOBS)("another account's job %s", (_, knownJob) => {
  it.each(CALLERS)('looks to %s like a job that does not exist', async (caller) => {
    const hiddenStatus = await createIntakeWith(knownJob).intake.status(JOB, caller);
    expect(hiddenStatus).toEqual(await createIntakeWith({}).intake.status(JOB, caller));
  });

  it.each(CALLERS)('is not cancelled by %s', async (caller) => {
    const { intake, cancelled } = createIntakeWith(knownJob);
    expect(await intake.cancel(JOB, caller)).toEqual(
      await createIntakeWith({}).intake.cancel(JOB, caller),
    );
    expect(cancelled).toEqual([]);
  });

  it('is not mistaken for a job that another account submits under the same id', async () => {
    const answer = await createIntakeWith(knownJob).intake.submit(queue, {
      ...jobOf(SOUTH),
      owner: { account: SOUTH, maximum: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } },
    });
    expect(answer).toMatchObject({ kind: 'refused', verdict: 'notRun', reason: 'job-id-taken' });
  });

  it('is shown to its own account, whichever of its keys the caller uses', async () => {
    expect(await createIntakeWith(knownJob).intake.status(JOB, NORTH)).toMatchObject({
      kind: 'status',
    });
  });
});

describe("another account's cancellation, written while the owner of the job could not be determined", () => {
  it('does not show the job as cancelled to its owner, at the entry that the other account used', async () => {
    const row: BatchJobRow = { kind: 'live', job: jobOf(NORTH), policy: {} as never };
    const { intake } = createIntakeWith({ row, cancelledBy: SOUTH });
    expect(await intake.status(JOB, SOUTH)).toMatchObject({ kind: 'refused', status: 410 });
    expect(await intake.status(JOB, NORTH)).toMatchObject({ status: { phase: 'pending' } });
  });
});

describe('a job without an account, from before accounts existed', () => {
  it.each([NORTH, null])('is shown to %s', async (caller) => {
    const row: BatchJobRow = { kind: 'live', job: jobOf(), policy: {} as never };
    const { intake } = createIntakeWith({ row });
    expect(await intake.status(JOB, caller)).toMatchObject({ kind: 'status' });
  });
});

describe('a job with a task that exceeds the quota of its account', () => {
  it('is refused at submission as not run, with the figures', async () => {
    const { intake, cancelled } = createIntakeWith({}, { kind: 'committed', version: 1 });
    expect(await intake.submit(queue, jobOf(NORTH))).toMatchObject({
      status: 429,
      verdict: 'notRun',
      reason: 'beyond-quota',
      detail: 'a task of step 0 needs 1000 cpuMillis, account=north may have 500',
    });
    expect(cancelled).toEqual([]);
  });
});

describe('cancellation rows', () => {
  it('have one key per account, so that no account replaces the cancellation of another', () => {
    const keys = [NORTH, SOUTH, null].map((caller) => batchKey.cancel(JOB, caller));
    expect(new Set(keys).size).toBe(3);
    expect(keys.map(parseJobKey)).toEqual([
      { jobId: JOB, isCancel: true, cancelledBy: NORTH },
      { jobId: JOB, isCancel: true, cancelledBy: SOUTH },
      { jobId: JOB, isCancel: true, cancelledBy: null },
    ]);
  });
});

describe('the account of a job', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is known to the next holder, even after the job has ended', async () => {
    const fleet = await createStartedFleet({});
    const account = brand<AccountName>('client-a');
    const short = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 100, account });
    const long = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 20_000, account });
    await advanceTime(2000);
    fleet.kill(requireHolder(fleet));
    await advanceTime(6000);
    const { control } = requireHolder(fleet);
    expect(await control.findStatus(short)).toMatchObject({ phase: 'completed', account });
    expect(await control.findStatus(long)).toMatchObject({ phase: 'running', account });
    expect(phaseOf(fleet, short)).toBe('completed');
  });
});
