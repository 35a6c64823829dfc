/** Answers to submissions while the control holder, the table or both do not answer. */
import { chooseRetryAfterS, type BatchJob, type DeclaredQueue } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { ControlClient } from './control-client.js';
import { createIntake } from './intake.js';
import type { AcceptOutcome } from './job-saver.js';
import type { RelayedTable } from '../relays/relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

const queue: DeclaredQueue = {
  name: brand('q'),
  hostName: 'h',
  pathPrefix: '/q/',
  pool: brand('p'),
  timeoutMs: 3000,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
  isOpenToAll: true,
};

const job = {
  jobId: brand('00000000000000aa'),
  queue: queue.name,
  pool: queue.pool,
  spec: '',
  steps: [{ taskCount: 1, cpuMillis: 1, memoryMb: 1, accelerators: 0, estimateMs: 1, after: [] }],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
} as unknown as BatchJob;

const createIntakeWith = (outcome: AcceptOutcome, isServed: boolean) => {
  const silence = { tableMs: 0, holderMs: 0 };
  const reportedVersions: number[] = [];
  const refusedJobs: string[] = [];
  const control = {
    accept: async () => outcome,
    holderSilentMs: () => silence.holderMs,
    notifyAccepted: (_, version) => reportedVersions.push(version),
  } as Partial<ControlClient> as ControlClient;
  const submit = async () =>
    isServed
      ? Ok({ kind: 'committed', version: 12 } as const)
      : Err({ kind: 'unreachable', detail: '503' } as const);
  const intake = createIntake({
    table: {
      isDirectRouteUp: () => isServed,
      unansweredForMs: () => silence.tableMs,
    } as unknown as RelayedTable,
    groupCommit: { submit },
    control,
    onRefused: (jobId) => refusedJobs.push(jobId),
    log,
    metrics: createMetrics(),
  });
  return { intake, reportedVersions, refusedJobs };
};

describe('a job that the holder cannot write', () => {
  it('is written by this entry and reported to the holder, whose own reads may be refused', async () => {
    // Without the report, the holder starts and counts such a job only after its next read: 34 jobs
    // waited while it counted 1.
    const { intake, reportedVersions } = createIntakeWith({ kind: 'away' }, true);
    expect(await intake.submit(queue, job)).toEqual({ kind: 'accepted' });
    expect(reportedVersions).toEqual([12]);
  });

  it('is refused as not run at once if the table refuses this entry as well', async () => {
    const { intake, reportedVersions } = createIntakeWith({ kind: 'away' }, false);
    const answer = await intake.submit(queue, job);
    expect(answer).toMatchObject({ kind: 'refused', verdict: 'notRun', status: 503 });
    expect(reportedVersions).toEqual([]);
  });
});

describe('a job that the holder refuses because of its forecast', () => {
  const refused = { kind: 'refused', detail: 'the job is late', retryAfterS: 7 } as const;

  it('is answered as not run, with Retry-After, and is not written by this entry', async () => {
    const { intake, reportedVersions } = createIntakeWith(refused, true);
    expect(await intake.submit(queue, job)).toEqual({
      kind: 'refused',
      status: 503,
      verdict: 'notRun',
      reason: 'overloaded',
      detail: 'the job is late',
      retryAfterS: 7,
    });
    expect(reportedVersions).toEqual([]);
  });

  it('is reported as refused, so that its time counts from the first attempt', async () => {
    const { intake, refusedJobs } = createIntakeWith(refused, true);
    await intake.submit(queue, job);
    expect(refusedJobs).toEqual([job.jobId]);
  });
});

describe('a submission while neither the table nor the holder answers', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Creates an entry whose table and holder answer nothing from a given time on. */
  const createUnreachableEntry = (unavailableFromMs: number) => {
    const sent: string[] = [];
    const silentMs = () => Math.max(0, performance.now() - unavailableFromMs);
    const intake = createIntake({
      table: { isDirectRouteUp: () => false, unansweredForMs: silentMs } as unknown as RelayedTable,
      groupCommit: {
        submit: () => {
          sent.push('table');
          return new Promise(() => {});
        },
      },
      control: {
        holderSilentMs: silentMs,
        accept: () => {
          sent.push('holder');
          return new Promise(() => {});
        },
      } as Partial<ControlClient> as ControlClient,
      log,
      metrics: createMetrics(),
      random: () => 0,
    });
    const submit = async () => {
      const askedAtMs = performance.now();
      const answer = await intake.submit(queue, job, 3000);
      return { answer, tookMs: performance.now() - askedAtMs };
    };
    return { intake, sent, submit };
  };

  it('is refused as not run before anything is sent, with Retry-After', async () => {
    const { intake, sent, submit } = createUnreachableEntry(performance.now() - 1800);
    const { answer, tookMs } = await submit();
    expect(answer).toMatchObject({ verdict: 'notRun', status: 503, retryAfterS: 2 });
    expect(tookMs).toBe(0);
    expect(sent).toEqual([]);
    expect(intake.canSubmit()).toBe(false);
  });

  it('that was already sent is answered as unknown once both are silent, not at its deadline', async () => {
    // Guards against holding the client for 0.8 of its deadline, 2.4 s of 3 s, in which it could have retried.
    const { sent, submit } = createUnreachableEntry(performance.now() + 100);
    const submitted = submit();
    await vi.advanceTimersByTimeAsync(1200);
    const { answer, tookMs } = await submitted;
    expect(answer).toMatchObject({ verdict: 'mayHaveRun', status: 504 });
    expect(tookMs).toBeLessThanOrEqual(1000);
    expect(sent).toEqual(['holder']);
  });
});

describe('the status of a job while the holder does not answer', () => {
  const statusByRows = async (progress: unknown): Promise<unknown> => {
    const rows = [
      { key: `job/${job.jobId}`, version: 1, value: { kind: 'live', job, policy: queue.policy } },
      { key: `progress/${job.jobId}`, version: 2, value: progress },
    ];
    const intake = createIntake({
      table: { read: async () => Ok(rows) } as unknown as RelayedTable,
      groupCommit: { submit: () => new Promise(() => {}) },
      control: { findStatus: async () => undefined } as Partial<ControlClient> as ControlClient,
      log,
      metrics: createMetrics(),
    });
    const answer = await intake.status(job.jobId, null);
    return answer.kind === 'status' ? answer.status.phase : answer.kind;
  };

  it('is pending while its row names only a start that may never have been ordered', async () => {
    // Guards against a job that is shown as running because a holder announced its start.
    const announced = { done: '0', trials: [[0, 2001, 'i-1']] };
    expect(await statusByRows({ 0: { 0: announced } })).toBe('pending');
    expect(await statusByRows(null)).toBe('pending');
  });

  it('is running once the row shows that a task was done', async () => {
    expect(await statusByRows({ 0: { 0: { done: '1' } } })).toBe('running');
  });
});

describe('the Retry-After of refused clients', () => {
  it('grows with the outage, so that four attempts outlast an outage of 6 s', () => {
    const lastRetryAtMs = [0, 1, 2, 3].reduce(
      (awayMs) => awayMs + 1000 * chooseRetryAfterS(awayMs, 0),
      600,
    );
    expect(chooseRetryAfterS(600, 0)).toBe(1);
    expect(lastRetryAtMs).toBeGreaterThan(6000);
  });

  it('differs between clients that are refused at the same time in a long outage', () => {
    expect([0, 0.9].map((chance) => chooseRetryAfterS(2000, chance))).toEqual([2, 3]);
  });
});
