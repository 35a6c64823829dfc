/** Submissions at the holder while the table does not answer, and ends that wait to be written. */
import { addJob, createBatchState, DEFAULT_STEP, type BatchJob } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createJobSaver, type AcceptOutcome, type JobSaver, type LiveRow } from './job-saver.js';
import type { BatchTable } from '../ports.js';
import { cancelKeyOf } from './submission-transaction.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

const rowOf = (name: string): LiveRow => {
  const job: BatchJob = {
    jobId: brand(name),
    queue: brand('q'),
    pool: brand('p'),
    spec: '',
    steps: [],
    repeats: 0,
    firstDueAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
  };
  return { kind: 'live', job, policy };
};

const TRANSACTION_MS = 8;

describe('ends at the holder', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const createWorld = (jobCount: number) => {
    const state = createBatchState(1);
    const finished: number[] = [];
    let rounds = 0;
    let written = 0;
    const saver = createJobSaver({
      table: {
        transact: async ({ writes }) => {
          await new Promise((resolve) => {
            setTimeout(resolve, TRANSACTION_MS);
          });
          written += writes.length;
          return Ok({ kind: 'committed', version: 5 });
        },
      },
      state,
      fence: () => ({ key: 'guard/jobs', version: 1 }),
      log,
      metrics: createMetrics(),
      beginRound: () => {
        rounds += 1;
        const round = rounds;
        return () => finished.push(round);
      },
      onSaved: () => undefined,
      onAccepted: () => undefined,
      onFenceLost: () => undefined,
      wallClockMs: () => 0,
    });
    const jobIds = Array.from({ length: jobCount }, (_, index) => {
      const { job } = rowOf(`job-${index}`);
      const steps = [{ ...DEFAULT_STEP, taskCount: 2 }];
      addJob(state, { job: { ...job, steps }, policy, nowMs: 0, wallClockMs: 0 });
      return job.jobId;
    });
    return { saver, jobIds, finished, written: () => written };
  };

  it('are acknowledged while jobs keep changing faster than they are saved', async () => {
    const { saver, jobIds, finished } = createWorld(200);
    for (let atMs = 0; atMs < 1000; atMs += 4) {
      const jobId = jobIds[(atMs / 4) % jobIds.length];
      if (jobId) saver.requestSave(jobId, false);

      await vi.advanceTimersByTimeAsync(4);
    }
    expect(finished.length).toBeGreaterThanOrEqual(10);
  });

  it('of a round are all written before it is finished', async () => {
    const { saver, jobIds, finished, written } = createWorld(200);
    jobIds.forEach((jobId) => saver.requestSave(jobId, false));
    while (finished.length === 0) {
      await vi.advanceTimersByTimeAsync(1);
    }
    expect(written()).toBe(jobIds.length);
  });
});

describe('submissions at the holder', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const createSaver = (
    transact: BatchTable['transact'],
    isTableUnavailable: () => boolean = () => false,
  ): JobSaver =>
    createJobSaver({
      isTableUnavailable,
      table: { transact },
      state: createBatchState(1),
      fence: () => ({ key: 'guard/jobs', version: 1 }),
      log,
      metrics: createMetrics(),
      beginRound: () => () => undefined,
      onSaved: () => undefined,
      onAccepted: () => undefined,
      onFenceLost: () => undefined,
      wallClockMs: () => 0,
    });

  const trackOutcome = (promise: Promise<AcceptOutcome>): { kind: string } => {
    const outcome = { kind: 'waits' };
    void promise.then(({ kind }) => Object.assign(outcome, { kind }));
    return outcome;
  };

  it('are refused at once while a transaction hangs, if they were not part of it', async () => {
    const saver = createSaver(() => new Promise(() => {}));
    const sent = trackOutcome(saver.accept(rowOf('a')));
    await vi.advanceTimersByTimeAsync(1300);
    const late = trackOutcome(saver.accept(rowOf('b')));
    const later = trackOutcome(saver.accept(rowOf('c')));
    await vi.advanceTimersByTimeAsync(1);
    expect(later.kind).toBe('away');
    expect(sent.kind).toBe('waits');
    expect(['waits', 'away']).toContain(late.kind);
  });

  it('beside one that its owner has cancelled are accepted, and leave no row of a cancellation in memory', async () => {
    const cancelled = rowOf('a');
    const cancelKey = cancelKeyOf(cancelled);
    const saver = createSaver(async ({ checks }) => {
      const rows = checks.map(({ key, version }) => ({
        key,
        value: null,
        version: key === cancelKey ? 3 : version,
      }));
      return checks.some(({ key }) => key === cancelKey)
        ? Ok({ kind: 'conflict', key: cancelKey, rows })
        : Ok({ kind: 'committed', version: 5 });
    });
    const outcomes = [cancelled, rowOf('b')].map((row) => trackOutcome(saver.accept(row)));
    await vi.advanceTimersByTimeAsync(2000);
    expect(outcomes.map(({ kind }) => kind)).toEqual(['cancelled', 'committed']);
    expect(Array.from(saver.versions.keys()).filter((jobId) => jobId.includes('cancel'))).toEqual(
      [],
    );
  });

  it('that may have been written are never reported as not accepted', async () => {
    const saver = createSaver(async () => Err({ kind: 'unknown', detail: 'no answer' }));
    const sent = trackOutcome(saver.accept(rowOf('a')));
    await vi.advanceTimersByTimeAsync(5000);
    expect(sent.kind).toBe('waits');
    saver.stop();
    await vi.advanceTimersByTimeAsync(1);
    expect(sent.kind).toBe('unheard');
  });

  it('that wait behind a transaction are refused once the table is known to be unavailable', async () => {
    let isAway = false;
    const saver = createSaver(
      () => new Promise(() => {}),
      () => isAway,
    );
    const sent = trackOutcome(saver.accept(rowOf('a')));
    await vi.advanceTimersByTimeAsync(10);
    const behind = trackOutcome(saver.accept(rowOf('b')));
    isAway = true;
    saver.refuseIfTableUnavailable();
    await vi.advanceTimersByTimeAsync(1);
    expect([sent.kind, behind.kind]).toEqual(['waits', 'away']);
  });

  it('are accepted again as soon as the table answers', async () => {
    let isAway = true;
    const saver = createSaver(async () =>
      isAway ? Err({ kind: 'unreachable', detail: '503' }) : Ok({ kind: 'committed', version: 5 }),
    );
    const first = trackOutcome(saver.accept(rowOf('a')));
    await vi.advanceTimersByTimeAsync(3000);
    expect(first.kind).toBe('away');
    isAway = false;
    const next = trackOutcome(saver.accept(rowOf('b')));
    await vi.advanceTimersByTimeAsync(100);
    expect(next.kind).toBe('committed');
  });
});
