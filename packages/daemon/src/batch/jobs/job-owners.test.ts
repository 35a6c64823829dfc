/** Jobs of one account, as callers of another see them. */
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
import type { ControlView } from './control-view.js';
import { createIntake } from './intake.js';
import { batchKey, parseJobKey } from '../keys.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import { advance, FAKED, holderOf, phaseOf, started } from '../testing/virtual-time.fixtures.js';

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

type Known = {
  readonly byHolder?: JobStatus;
  readonly row?: BatchJobRow;
  /** Who has written that it is to be cancelled. */
  readonly cancelledBy?: Caller;
};

const intakeWith = (
  { byHolder, row, cancelledBy }: Known,
  outcome: AcceptOutcome = { kind: 'conflict' },
) => {
  const cancelled: string[] = [];
  const control = {
    accept: async () => outcome,
    holderSilentMs: () => 0,
    tellTaken: () => undefined,
    tellCancelled: async () => undefined,
    statusOf: async () => byHolder,
  } as Partial<ControlView> as ControlView;
  const intake = createIntake({
    table: {
      isServed: () => true,
      silentForMs: () => 0,
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
    group: {
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

const known: readonly (readonly [string, Known])[] = [
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

describe.each(known)("another account's job %s", (_, what) => {
  it.each(CALLERS)('looks to %s like one that is not there', async (caller) => {
    const there = await intakeWith(what).intake.status(JOB, caller);
    expect(there).toEqual(await intakeWith({}).intake.status(JOB, caller));
  });

  it.each(CALLERS)('is not cancelled by %s', async (caller) => {
    const { intake, cancelled } = intakeWith(what);
    expect(await intake.cancel(JOB, caller)).toEqual(
      await intakeWith({}).intake.cancel(JOB, caller),
    );
    expect(cancelled).toEqual([]);
  });

  it('is not taken for the job that another account hands in under its id', async () => {
    const answer = await intakeWith(what).intake.submit(queue, {
      ...jobOf(SOUTH),
      owner: { account: SOUTH, maximum: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } },
    });
    expect(answer).toMatchObject({ kind: 'refused', verdict: 'notRun', reason: 'job-id-taken' });
  });

  it('is shown to its own account, asked by whichever of its keys', async () => {
    expect(await intakeWith(what).intake.status(JOB, NORTH)).toMatchObject({ kind: 'status' });
  });
});

describe("another account's word, written while nobody could tell whose a job is, that it is to be cancelled", () => {
  it('does not show the job as cancelled to its owner, at the entry that the other has asked', async () => {
    const row: BatchJobRow = { kind: 'live', job: jobOf(NORTH), policy: {} as never };
    const { intake } = intakeWith({ row, cancelledBy: SOUTH });
    expect(await intake.status(JOB, SOUTH)).toMatchObject({ kind: 'refused', status: 410 });
    expect(await intake.status(JOB, NORTH)).toMatchObject({ status: { phase: 'pending' } });
  });
});

describe('a job from before there were accounts', () => {
  it.each([NORTH, null])('is shown to %s', async (caller) => {
    const row: BatchJobRow = { kind: 'live', job: jobOf(), policy: {} as never };
    const { intake } = intakeWith({ row });
    expect(await intake.status(JOB, caller)).toMatchObject({ kind: 'status' });
  });
});

describe('a job with a task wider than its account may have running', () => {
  it('is refused as it comes in, as not run, with the figures', async () => {
    const { intake, cancelled } = intakeWith({}, { kind: 'committed', version: 1 });
    expect(await intake.submit(queue, jobOf(NORTH))).toMatchObject({
      status: 429,
      verdict: 'notRun',
      reason: 'beyond-quota',
      detail: 'a task of step 0 needs 1000 cpuMillis, account=north may have 500',
    });
    expect(cancelled).toEqual([]);
  });
});

describe('the rows by which accounts cancel', () => {
  it('stand apart, so that none replaces what another has asked', () => {
    const keys = [NORTH, SOUTH, null].map((caller) => batchKey.cancel(JOB, caller));
    expect(new Set(keys).size).toBe(3);
    expect(keys.map(parseJobKey)).toEqual([
      { jobId: JOB, isCancel: true, by: NORTH },
      { jobId: JOB, isCancel: true, by: SOUTH },
      { jobId: JOB, isCancel: true, by: null },
    ]);
  });
});

describe('the account of a job', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is known to the next holder, also once the job has ended', async () => {
    const fleet = await started({});
    const account = brand<AccountName>('client-a');
    const short = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 100, account });
    const long = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 20_000, account });
    await advance(2000);
    fleet.kill(holderOf(fleet));
    await advance(6000);
    const { control } = holderOf(fleet);
    expect(await control.statusOf(short)).toMatchObject({ phase: 'completed', account });
    expect(await control.statusOf(long)).toMatchObject({ phase: 'running', account });
    expect(phaseOf(fleet, short)).toBe('completed');
  });
});
