/** Cancellations whose effect differs from their answer, or costs what has nothing to do with them. */
import {
  addJob,
  applyReport,
  createBatchState,
  createOrderWindow,
  createSharedDelayEstimator,
  DEFAULT_STEP,
  removeEffects,
  schedulePool,
  upsertEndpoint,
  type BatchEffect,
} from '@valvelatch/core/batch';
import {
  brand,
  type AccountName,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import type { GroupCommit } from '@valvelatch/platform';
import { createGroupCommit } from '@valvelatch/platform/group-commit';
import { Err } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createStartOrderSender } from '../endpoints/start-orders.js';
import { batchKey } from '../keys.js';
import type { SimEntry } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  requireHolder,
  requireOther,
  settle,
} from '../testing/virtual-time.fixtures.js';
import { createIntake, type Intake } from './intake.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
/** Within this time a cancellation has to be acknowledged. */
const MAX_ACKNOWLEDGEMENT_MS = 4000;
const SLOW_TRANSACTION_MS = 600;
/** Reads after a compaction of the table may be this far behind. */
const READS_BEHIND_MS = 5500;

/** Handles the requests of clients at an entry whose writes pass through `submit`. */
const createIntakeAt = (
  { table, control }: SimEntry,
  wrap: (groupCommit: GroupCommit) => GroupCommit['submit'],
): Intake =>
  createIntake({
    table,
    groupCommit: { submit: wrap(createGroupCommit({ table })) },
    control,
    log,
    metrics: createMetrics(),
  });

describe('a cancellation', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('of a job that nobody knows, whose write takes effect without an answer', () => {
    it('is not answered as without effect if the table refuses what follows', async () => {
      const fleet = await createStartedFleet({ accounts: [] });
      const { job, queue } = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 1 }] });
      let calls = 0;
      const intake = createIntakeAt(requireOther(fleet), ({ submit }) => async (...call) => {
        calls += 1;
        if (calls > 2) return Err({ kind: 'unreachable', detail: '503' });
        const outcome = await submit(...call);
        return calls === 1 ? Err({ kind: 'unknown', detail: 'no answer' }) : outcome;
      });
      const answer = await settle(intake.cancel(job.jobId, null));
      expect(answer).not.toMatchObject({ verdict: 'notRun', reason: 'store-unavailable' });
      const submitted = await settle(requireOther(fleet).intake.submit(queue, job));
      expect(submitted).toMatchObject({ reason: 'job-cancelled' });
    });
  });

  describe('that a holder has confirmed which is replaced afterwards', () => {
    it('is told to the next holder, whose reads are seconds behind', async () => {
      const fleet = await createStartedFleet({ accounts: [] });
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, cpuMillis: 8000 }], runMs: 6000 });
      await advanceTime(800);
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 1, cpuMillis: 8000 }],
      });
      const { intake } = requireOther(fleet);
      expect(await settle(intake.submit(queue, job))).toEqual({ kind: 'accepted' });
      expect(await settle(intake.cancel(job.jobId, null))).toEqual({ kind: 'cancelled' });
      const acknowledgedAtMs = performance.now();
      await advanceTime(200);
      fleet.kill(requireHolder(fleet));
      const ended = fleet.findJobRow(job.jobId) ?? null;
      const live = { kind: 'live' as const, job, policy: queue.policy };
      const key = batchKey.job(job.jobId);
      const cancelKey = batchKey.cancel(job.jobId, null);
      // What a read returns that is behind; the true rows come back below.
      fleet.commit({
        checks: [],
        writes: [
          { key, value: live },
          { key: cancelKey, value: null },
        ],
      });
      await advanceTime(READS_BEHIND_MS);
      fleet.commit({
        checks: [],
        writes: [
          { key, value: ended },
          { key: cancelKey, value: {} },
        ],
      });
      await advanceTime(5000);
      const starts = fleet.startsSent.filter(({ task }) => task.startsWith(job.jobId));
      expect(starts.map(({ atMs }) => Math.round(atMs - acknowledgedAtMs))).toEqual([]);
    });
  });

  describe('beside others, of jobs whose status cannot be read', () => {
    it('is acknowledged in time by a slow table', async () => {
      const fleet = await createStartedFleet({ accounts: [] });
      const lasting = { taskCount: 1, isLasting: true, cpuMillis: 500 };
      const jobIds = Array.from({ length: 10 }, () =>
        fleet.submit({ pool: 'alpha', steps: [lasting] }),
      );
      await advanceTime(1000);
      const { table, control } = requireOther(fleet);
      let transactions = 0;
      const intake = createIntake({
        table: { ...table, read: async () => Err({ kind: 'unknown', detail: '429' }) },
        groupCommit: createGroupCommit({
          table: {
            transact: async (transaction) => {
              transactions += 1;
              await new Promise((resolve) => {
                setTimeout(resolve, SLOW_TRANSACTION_MS);
              });
              return table.transact(transaction);
            },
          },
        }),
        control: { ...control, findStatus: async () => undefined },
        log,
        metrics: createMetrics(),
      });
      const startedAtMs = performance.now();
      const answers = await settle(
        Promise.all(jobIds.map((jobId) => intake.cancel(jobId, null, MAX_ACKNOWLEDGEMENT_MS))),
      );
      expect(answers).toEqual(jobIds.map(() => ({ kind: 'cancelled' })));
      expect(performance.now() - startedAtMs, `${transactions} transactions`).toBeLessThan(
        MAX_ACKNOWLEDGEMENT_MS,
      );
    });
  });

  describe('of a job of another account', () => {
    const owner = brand<AccountName>('client-b');
    const other = brand<AccountName>('client-a');

    it('does not reveal the job if its row is committed during the cancellation', async () => {
      const fleet = await createStartedFleet();
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 1 }],
        account: owner,
      });
      const value = { kind: 'live' as const, job, policy: queue.policy };
      const intake = createIntakeAt(requireOther(fleet), ({ submit }) => (...call) => {
        const key = batchKey.job(job.jobId);
        fleet.commit({ checks: [{ key, version: 0 }], writes: [{ key, value }] });
        return submit(...call);
      });
      const answer = await settle(intake.cancel(job.jobId, other));
      expect(answer).toMatchObject({ kind: 'refused', status: 410, reason: 'unknown-job' });
    });

    it('does not reveal the job while its status cannot be read', async () => {
      const fleet = await createStartedFleet();
      const jobId = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 1, isLasting: true }],
        account: owner,
      });
      await advanceTime(1000);
      const entry = requireOther(fleet);
      const table = {
        ...entry.table,
        read: async () => Err({ kind: 'unknown' as const, detail: 'no answer' }),
      };
      const intake = createIntake({
        table,
        groupCommit: createGroupCommit({ table }),
        control: { ...entry.control, findStatus: async () => undefined },
        log,
        metrics: createMetrics(),
      });
      const unknown = await settle(intake.cancel(brand<JobId>('00000000000000ff'), other));
      const hidden = await settle(intake.cancel(jobId, other));
      expect(hidden.kind).toBe(unknown.kind);
    });
  });

  describe('of an id that another account submits afterwards', () => {
    it.each([brand<AccountName>('client-a'), null])(
      'by %s leaves the job of its owner alone',
      async (caller) => {
        const fleet = await createStartedFleet();
        const { job, queue } = fleet.prepareJob({
          pool: 'alpha',
          steps: [{ taskCount: 1 }],
          account: brand<AccountName>('client-b'),
        });
        const { intake } = requireOther(fleet);
        await settle(intake.cancel(job.jobId, caller));
        expect(await settle(intake.submit(queue, job))).toEqual({ kind: 'accepted' });
      },
    );
  });

  describe('of a job whose row cannot be read for longer than ended jobs can be queried', () => {
    it('is obeyed by the next holder once the row has been repaired', async () => {
      const fleet = await createStartedFleet({ accounts: [] });
      const { job, queue } = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 1 }] });
      const key = batchKey.job(job.jobId);
      const unreadable = { kind: 'live', job: 7 } as never;
      fleet.commit({ checks: [], writes: [{ key, value: unreadable }] });
      fleet.cancel(job.jobId);
      await advanceTime(185_000);
      fleet.kill(requireHolder(fleet));
      const value = { kind: 'live' as const, job, policy: queue.policy };
      fleet.commit({ checks: [], writes: [{ key, value }] });
      await advanceTime(10_000);
      expect(fleet.startsSent.filter(({ task }) => task.startsWith(job.jobId))).toEqual([]);
    });
  });
});

describe('a run that ends while its order to start is unanswered', () => {
  const POOL = brand<PoolName>('alpha');
  const ENDPOINT = brand<EndpointId>('i-1');
  const emptyReport = { running: [], ended: [], hasMoreEnds: false };

  /** Starts a task of each job one after the other; no order is answered, and each run is reported as done before. */
  const endUnanswered = async (jobCount: number) => {
    const state = createBatchState(2);
    state.soleHolderUntilMs = 60_000;
    const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
    const dataCentre = brand<DataCentreId>('north');
    const description = {
      endpointId: ENDPOINT,
      address: '127.0.0.1:1',
      pool: POOL,
      hostId: null,
      dataCentre,
      labels: [],
      capacity,
      isDraining: false,
    };
    upsertEndpoint(state, description, 0);
    applyReport(state, ENDPOINT, { ...emptyReport, requestedAtMs: 0, nowMs: 0 });
    let endNumber = 0;
    const send = createStartOrderSender({
      target: { endpointId: ENDPOINT, address: '', dataCentre },
      context: {
        state,
        orders: {
          start: async (_: unknown, { task, run }: { task: never; run: number }) => {
            endNumber += 1;
            const end = { number: endNumber, task, run, kind: 'done', checkpoint: '' };
            if (state.endpoints.get(ENDPOINT)?.runs.has(task))
              applyReport(state, ENDPOINT, {
                ...emptyReport,
                ended: [end] as never,
                requestedAtMs: 10,
                nowMs: 11,
              });
            else return Err({ verdict: 'notRun', reason: 'old', detail: '' });
            return Err({ verdict: 'mayHaveRun', reason: 'no-answer', detail: '' });
          },
        } as never,
        sharedDelayEstimator: createSharedDelayEstimator(),
        orderWindow: createOrderWindow(),
        endpointLeaseMs: 8000,
        log,
        metrics: createMetrics(),
        nowMs: () => 10,
        isCertainlyHolder: () => true,
        isStartAllowedIn: () => true,
        requestScheduling: () => undefined,
        requestSave: () => undefined,
        onFenceLost: () => undefined,
        onReplaced: () => undefined,
        onRestarted: () => undefined,
      },
      refreshClock: async () => undefined,
      computeLeaseEnd: () => 9000,
      recordClockReading: () => undefined,
      send: (order) => order(500),
      recordError: () => undefined,
      isClosed: () => false,
    });
    for (let number = 1; number <= jobCount; number += 1) {
      addJob(state, {
        job: {
          jobId: brand<JobId>(number.toString(16).padStart(16, '0')),
          queue: brand('q'),
          pool: POOL,
          spec: '',
          steps: [DEFAULT_STEP],
          repeats: 0,
          firstDueAtMs: 0,
          intervalMs: 0,
          acceptedAtMs: 0,
        },
        policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
        nowMs: 0,
        wallClockMs: 0,
      });
      schedulePool(state, POOL, 5);
      const starts = removeEffects(state).filter(
        (effect): effect is Extract<BatchEffect, { kind: 'start' }> => effect.kind === 'start',
      );
      if (starts.length !== 1) throw new Error(`${starts.length} tasks were placed`);
      await Promise.all(starts.map(send));
    }
    return state;
  };

  it('does not count against its endpoint, which has reported the end', async () => {
    const state = await endUnanswered(3);
    const endpoint = state.endpoints.get(ENDPOINT);
    expect(endpoint?.withheldReason ?? '').toBe('');
    expect(Array.from(endpoint?.health.unansweredJobs ?? [])).toEqual([]);
  });
});
