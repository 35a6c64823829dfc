/**
 * Transactions of job rows that are in flight together. Guards against ends that wait for a busy holder's event loop, or
 * for submissions, and against two transactions that write one row.
 */
import { addJob, cancelJob, createBatchState, DEFAULT_STEP } from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import type { TableTransaction } from '@valvelatch/platform';
import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createRandom } from '../testing/virtual-time.fixtures.js';
import { createJobSaver, type LiveRow } from './job-saver.js';
import type { BatchTable } from '../ports.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
/** How long the table takes for a transaction. */
const TRANSACTION_MS = 8;
/** By how much an answer is read late by a holder that is busy with other work. */
const LOOP_DELAY_MS = 120;

const rowOf = (name: string): LiveRow => ({
  kind: 'live',
  job: {
    jobId: brand(name),
    queue: brand('q'),
    pool: brand('p'),
    spec: '',
    steps: [{ ...DEFAULT_STEP, taskCount: 2 }],
    repeats: 0,
    firstDueAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
  },
  policy,
});

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A holder's saver and jobs. Ended jobs leave its state once they are saved. */
const createHolder = (transact: BatchTable['transact'], jobCount: number) => {
  const state = createBatchState(1);
  const saved = new Set<JobId>();
  const saver = createJobSaver({
    table: { transact },
    state,
    fence: () => ({ key: 'guard/jobs', version: 1 }),
    log,
    metrics: createMetrics(),
    beginRound: () => () => undefined,
    onSaved: ({ job: { jobId } }) => {
      saved.add(jobId);
      state.jobs.delete(jobId);
    },
    onAccepted: () => undefined,
    onFenceLost: () => undefined,
    wallClockMs: () => 0,
  });
  const jobIds = Array.from({ length: jobCount }, (_, index) => {
    const { job } = rowOf(`job-${index}`);
    addJob(state, { job, policy, nowMs: 0, wallClockMs: 0 });
    return job.jobId;
  });
  const end = (jobId: JobId): void => {
    const job = state.jobs.get(jobId);
    if (job) change(job, { phase: 'completed' });
    saver.requestSave(jobId, true);
  };
  return { saver, state, jobIds, saved, end };
};

/** A table that executes one transaction after the other. */
const createSerialTable = (takesMs: number, answerDelayMs: number) => {
  let queue = Promise.resolve();
  const table = { inFlight: 0, mostInFlight: 0 };
  const transact: BatchTable['transact'] = async () => {
    table.inFlight += 1;
    table.mostInFlight = Math.max(table.mostInFlight, table.inFlight);
    queue = queue.then(() => sleep(takesMs));
    await queue;
    await sleep(answerDelayMs);
    table.inFlight -= 1;
    return Ok({ kind: 'committed', version: 5 });
  };
  return { table, transact };
};

describe('transactions of job rows', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('write the ends of a peak within a second although the event loop of the holder is late', async () => {
    const { transact } = createSerialTable(TRANSACTION_MS, LOOP_DELAY_MS);
    const { jobIds, saved, end } = createHolder(transact, 900);
    jobIds.forEach(end);
    await vi.advanceTimersByTimeAsync(1000);
    expect(saved.size).toBe(jobIds.length);
  });

  it('write ends beside submissions that would fill each of them', async () => {
    const { transact } = createSerialTable(TRANSACTION_MS, LOOP_DELAY_MS);
    const { saver, jobIds, saved, end } = createHolder(transact, 20);
    let submissions = 0;
    const submit = (): void => {
      submissions += 1;
      void saver.accept(rowOf(`submission-${submissions}`)).then(submit);
    };
    Array.from({ length: 200 }).forEach(submit);
    jobIds.forEach(end);
    await vi.advanceTimersByTimeAsync(500);
    expect(saved.size).toBe(jobIds.length);
  });

  it('are sent one at a time to a table that is slow', async () => {
    const { table, transact } = createSerialTable(600, 0);
    const { saver, jobIds } = createHolder(transact, 900);
    await vi.advanceTimersByTimeAsync(0);
    jobIds.slice(0, 1).forEach((jobId) => saver.requestSave(jobId, true));
    await vi.advanceTimersByTimeAsync(700);
    jobIds.forEach((jobId) => saver.requestSave(jobId, false));
    await vi.advanceTimersByTimeAsync(4000);
    expect(table.mostInFlight).toBe(1);
  });

  describe('with answers that are late, lost or refused, in any order', () => {
    /** A table that checks versions. A transaction whose answer is lost may have been committed. */
    const createFaultyTable = (random: () => number) => {
      const versions = new Map<string, number>([['guard/jobs', 1]]);
      const writesInFlight = new Set<string>();
      const sharedRows: string[] = [];
      let version = 10;
      const commit = ({ checks, writes }: TableTransaction): boolean => {
        if (checks.some((check) => (versions.get(check.key) ?? 0) !== check.version)) return false;
        version += 1;
        writes.forEach(({ key, value }) => {
          if (value === null) versions.delete(key);
          else versions.set(key, version);
        });
        return true;
      };
      const transact: BatchTable['transact'] = async (transaction) => {
        const keys = transaction.writes.map(({ key }) => key);
        sharedRows.push(...keys.filter((key) => writesInFlight.has(key)));
        keys.forEach((key) => writesInFlight.add(key));
        await sleep(random() * 100);
        const isLost = random() < 0.2;
        const isCommitted = (!isLost || random() < 0.5) && commit(transaction);
        const committedAs = version;
        await sleep(random() * 100);
        keys.forEach((key) => writesInFlight.delete(key));
        if (isLost) return Err({ kind: 'unknown', detail: 'no answer' });
        if (isCommitted) return Ok({ kind: 'committed', version: committedAs });
        const rows = transaction.checks.map(({ key }) => ({
          key,
          value: {},
          version: versions.get(key) ?? 0,
        }));
        return Ok({ kind: 'conflict', key: '', rows });
      };
      return { transact, sharedRows };
    };

    it('never write one row from two of them, and write each end and each submission in the end', async () => {
      await fc.assert(
        fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), async (seed) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
          const random = createRandom(seed);
          const { transact, sharedRows } = createFaultyTable(random);
          const { saver, state, jobIds, saved, end } = createHolder(transact, 200);
          const outcomes = Array.from({ length: 100 }, (_, index) =>
            saver.accept(rowOf(`submission-${index}`)),
          );
          for (let turn = 0; turn < 400; turn += 1) {
            const jobId = jobIds[Math.floor(random() * jobIds.length)];
            if (jobId && state.jobs.has(jobId)) saver.requestSave(jobId, false);
            await vi.advanceTimersByTimeAsync(5);
          }
          jobIds.forEach((jobId, index) => {
            if (index % 2 === 0) end(jobId);
            else cancelJob(state, jobId, { account: null } as never);
            saver.requestSave(jobId, true);
          });
          await vi.advanceTimersByTimeAsync(60_000);
          const kinds = new Set((await Promise.all(outcomes)).map(({ kind }) => kind));
          expect(sharedRows).toEqual([]);
          expect(saved.size).toBe(jobIds.length);
          expect([...kinds].every((kind) => kind === 'committed' || kind === 'conflict')).toBe(
            true,
          );
          expect(saver.load()).toMatchObject({ changedJobs: 0, waitingSubmissions: 0 });
        }),
        { numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 25) },
      );
    }, 120_000);
  });
});
