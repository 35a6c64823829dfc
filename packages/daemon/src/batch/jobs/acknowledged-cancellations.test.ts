/** Cancellations that an entry has acknowledged: in whichever order their rows and notices arrive, no task starts later. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
  requireOther,
  settle,
} from '../testing/virtual-time.fixtures.js';
import { CONTROL_METHOD } from '../control/holder-client.js';
import { batchKey } from '../keys.js';

/** The last task of a job may start this long after its cancellation was acknowledged. */
const CANCEL_MS = 3000;
const RUN_MS = 300;
/** For how long notices are lost; shorter than a client waits for its answer. */
const LOST_NOTICES_MS = 1500;

/** When neighbours make table calls for a holder again that is cut from the table, and for how long. */
const RELAYS_BACK_AFTER_MS = 900;
const RELAYS_BACK_FOR_MS = 200;

const createFleet = () => createStartedFleet({ accounts: [] });

const listStartsAfter = (fleet: SimFleet, jobId: JobId, atMs: number): readonly string[] =>
  fleet.startsSent
    .filter((start) => start.task.startsWith(jobId) && start.atMs > atMs)
    .map(({ task, atMs: sentAtMs }) => `${task} ${Math.round(sentAtMs - atMs)} ms`);

/** The statuses after which a client repeats its cancellation. */
const isRepeatable = (status: number): boolean => status === 503 || status === 504;

describe('an acknowledged cancellation', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('of a job that nobody knows yet', () => {
    it('keeps a submission that arrives later from starting a task', async () => {
      const fleet = await createFleet();
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2 }],
        runMs: RUN_MS,
      });
      const cancelled = await settle(requireOther(fleet).intake.cancel(job.jobId, null));
      expect(cancelled).toMatchObject({ kind: 'refused', status: 410 });
      const acknowledgedAtMs = performance.now();
      await settle(requireHolder(fleet).intake.submit(queue, job));
      await advanceTime(CANCEL_MS * 2);
      expect(listStartsAfter(fleet, job.jobId, acknowledgedAtMs)).toEqual([]);
    });

    it('is told to whoever asks, submits or cancels afterwards', async () => {
      const fleet = await createFleet();
      const { intake } = requireOther(fleet);
      const { job, queue } = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 2 }] });
      await settle(intake.cancel(job.jobId, null));
      expect(await settle(intake.submit(queue, job))).toMatchObject({
        reason: 'job-cancelled',
        verdict: 'notRun',
        status: 410,
      });
      expect(await settle(intake.status(job.jobId, null))).toMatchObject({ status: 410 });
      expect(await settle(intake.cancel(job.jobId, null))).toMatchObject({ status: 410 });
      expect(phaseOf(fleet, job.jobId)).toBe('missing');
    });

    it('is not acknowledged while it cannot be written', async () => {
      const fleet = await createFleet();
      const { job, queue } = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 2 }] });
      fleet.faults.isTableDown = true;
      await advanceTime(3000);
      const answer = await settle(requireOther(fleet).intake.cancel(job.jobId, null));
      expect(answer).toMatchObject({ kind: 'refused', status: expect.toSatisfy(isRepeatable) });
      fleet.faults.isTableDown = false;
      await advanceTime(CANCEL_MS);
      expect(await settle(requireOther(fleet).intake.submit(queue, job))).toEqual({
        kind: 'accepted',
      });
    });

    it('keeps a write from starting a task that the table carries out seconds later', async () => {
      const fleet = await createFleet();
      const entry = requireOther(fleet);
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2 }],
        runMs: RUN_MS,
      });
      const row = { kind: 'live' as const, job, policy: queue.policy };
      setTimeout(() => {
        const key = batchKey.job(job.jobId);
        fleet.commit({ checks: [{ key, version: 0 }], writes: [{ key, value: row }] });
      }, CANCEL_MS + 1000);
      await settle(entry.intake.cancel(job.jobId, null));
      const acknowledgedAtMs = performance.now();
      await advanceTime(CANCEL_MS * 3);
      expect(listStartsAfter(fleet, job.jobId, acknowledgedAtMs)).toEqual([]);
    });
  });

  describe('whose row is older than the row of its job', () => {
    it.each([0, 100, 600, 2000])('is obeyed if it is %i ms older', async (olderMs) => {
      const fleet = await createFleet();
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2 }],
        runMs: RUN_MS,
      });
      const row = { kind: 'live' as const, job, policy: queue.policy };
      fleet.cancel(job.jobId);
      await advanceTime(olderMs);
      fleet.commit({ checks: [], writes: [{ key: batchKey.job(job.jobId), value: row }] });
      await advanceTime(CANCEL_MS);
      expect(listStartsAfter(fleet, job.jobId, 0)).toEqual([]);
      expect(phaseOf(fleet, job.jobId)).toBe('cancelled');
    });

    it('is obeyed if the holder hears of it by a notice', async () => {
      const fleet = await createFleet();
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2 }],
        runMs: RUN_MS,
      });
      const row = { kind: 'live' as const, job, policy: queue.policy };
      await settle(requireOther(fleet).control.notifyCancelled(job.jobId, null));
      fleet.commit({ checks: [], writes: [{ key: batchKey.job(job.jobId), value: row }] });
      await advanceTime(CANCEL_MS);
      expect(listStartsAfter(fleet, job.jobId, 0)).toEqual([]);
      expect(phaseOf(fleet, job.jobId)).toBe('cancelled');
    });
  });

  describe('of a job with an order that its endpoint has not answered', () => {
    it('keeps the order from being sent again', async () => {
      const fleet = await createFleet();
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 30_000 });
      fleet.faults.lateOrders = 1;
      while (listStartsAfter(fleet, jobId, 0).length < 6) await advanceTime(5);
      requireHolder(fleet).control.term()?.cancel(jobId, null);
      const cancelledAtMs = performance.now();
      await advanceTime(CANCEL_MS);
      expect(listStartsAfter(fleet, jobId, cancelledAtMs)).toEqual([]);
    });
  });

  describe('that the holder was not told', () => {
    /** Submits a job that waits for longer than the bound, as its pool is full. */
    const submitWaitingJob = async () => {
      const fleet = await createFleet();
      const fillers = [{ taskCount: 3, cpuMillis: 8000 }];
      fleet.submit({ pool: 'alpha', steps: fillers, runMs: CANCEL_MS * 2 });
      await advanceTime(800);
      const entry = requireOther(fleet);
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2, cpuMillis: 8000 }],
        runMs: RUN_MS,
      });
      expect(await settle(entry.intake.submit(queue, job))).toEqual({ kind: 'accepted' });
      return { fleet, entry, jobId: job.jobId };
    };

    const stopFeedOfHolder = (fleet: SimFleet): void => {
      Object.assign(requireHolder(fleet), { feedMs: CANCEL_MS * 4 });
    };

    it('is obeyed by the holder through its feed', async () => {
      const { fleet, entry, jobId } = await submitWaitingJob();
      fleet.faults.lostMeshCalls.add(CONTROL_METHOD.cancelled);
      expect(await settle(entry.intake.cancel(jobId, null))).toEqual({ kind: 'cancelled' });
      await advanceTime(CANCEL_MS * 4);
      expect(listStartsAfter(fleet, jobId, 0)).toEqual([]);
      expect(phaseOf(fleet, jobId)).toBe('cancelled');
    });

    it('is repeated until the holder has heard it, whose feed gives nothing', async () => {
      const { fleet, entry, jobId } = await submitWaitingJob();
      stopFeedOfHolder(fleet);
      fleet.faults.lostMeshCalls.add(CONTROL_METHOD.cancelled);
      expect(await settle(entry.intake.cancel(jobId, null))).toEqual({ kind: 'cancelled' });
      const acknowledgedAtMs = performance.now();
      fleet.faults.lostMeshCalls.delete(CONTROL_METHOD.cancelled);
      await advanceTime(CANCEL_MS * 4);
      expect(listStartsAfter(fleet, jobId, acknowledgedAtMs + CANCEL_MS)).toEqual([]);
    });

    it('is not acknowledged before the holder has heard it, by an entry that ends just after it', async () => {
      const { fleet, entry, jobId } = await submitWaitingJob();
      stopFeedOfHolder(fleet);
      fleet.faults.lostMeshCalls.add(CONTROL_METHOD.cancelled);
      setTimeout(() => fleet.faults.lostMeshCalls.clear(), LOST_NOTICES_MS);
      expect(await settle(entry.intake.cancel(jobId, null))).toEqual({ kind: 'cancelled' });
      fleet.kill(entry);
      const acknowledgedAtMs = performance.now();
      await advanceTime(CANCEL_MS * 4);
      expect(listStartsAfter(fleet, jobId, acknowledgedAtMs + CANCEL_MS)).toEqual([]);
    });

    it('is acknowledged without the holder once the time of the client is nearly over', async () => {
      const { fleet, entry, jobId } = await submitWaitingJob();
      fleet.faults.lostMeshCalls.add(CONTROL_METHOD.cancelled);
      const sentAtMs = performance.now();
      expect(await settle(entry.intake.cancel(jobId, null, 1000))).toEqual({ kind: 'cancelled' });
      expect(performance.now() - sentAtMs).toBeLessThan(1000);
    });

    it('is noticed by an entry that finds it in its row, whose writer has gone', async () => {
      const { fleet, entry, jobId } = await submitWaitingJob();
      stopFeedOfHolder(fleet);
      fleet.cancel(jobId);
      fleet.faults.lostMeshCalls.add(CONTROL_METHOD.phase);
      expect(await settle(entry.intake.cancel(jobId, null))).toEqual({ kind: 'cancelled' });
      const acknowledgedAtMs = performance.now();
      await advanceTime(CANCEL_MS * 4);
      expect(listStartsAfter(fleet, jobId, acknowledgedAtMs + CANCEL_MS)).toEqual([]);
    });

    describe('and whose tasks start all the time', () => {
      /** Has a job start tasks for longer than the bound, at a holder that hears no notice of its cancellation. */
      const startJob = async () => {
        const fleet = await createFleet();
        const steps = [{ taskCount: 1500, cpuMillis: 2000 }];
        const jobId = fleet.submit({ pool: 'alpha', steps, runMs: RUN_MS / 2 });
        await advanceTime(CANCEL_MS);
        fleet.faults.lostMeshCalls.add(CONTROL_METHOD.cancelled);
        return { fleet, jobId };
      };

      const listLateStarts = async (fleet: SimFleet, jobId: JobId) => {
        const acknowledgedAtMs = performance.now();
        await advanceTime(CANCEL_MS * 2);
        return listStartsAfter(fleet, jobId, acknowledgedAtMs + CANCEL_MS);
      };

      it.each([0, 100, 200, 300, 400, 500])(
        'is obeyed in time by a holder that is cut from the table %i ms later and keeps its lease through neighbours',
        async (laterMs) => {
          const { fleet, jobId } = await startJob();
          fleet.cancel(jobId);
          setTimeout(
            (holder) => Object.assign(holder, { isCutFromTable: true }),
            laterMs,
            requireHolder(fleet),
          );
          expect(await listLateStarts(fleet, jobId)).toEqual([]);
          expect(phaseOf(fleet, jobId)).toBe('cancelled');
        },
      );

      it('is obeyed in time by a holder that is cut from the table and renews its lease once through neighbours', async () => {
        const { fleet, jobId } = await startJob();
        const holder = requireHolder(fleet);
        fleet.cancel(jobId);
        Object.assign(holder, { isCutFromTable: true, isCutFromRelays: true });
        setTimeout(() => Object.assign(holder, { isCutFromRelays: false }), RELAYS_BACK_AFTER_MS);
        setTimeout(
          () => Object.assign(holder, { isCutFromRelays: true }),
          RELAYS_BACK_AFTER_MS + RELAYS_BACK_FOR_MS,
        );
        expect(await listLateStarts(fleet, jobId)).toEqual([]);
      });

      it('is obeyed in time by a holder whose feed alone gives nothing', async () => {
        const { fleet, jobId } = await startJob();
        stopFeedOfHolder(fleet);
        fleet.cancel(jobId);
        expect(await listLateStarts(fleet, jobId)).toEqual([]);
      });
    });
  });
});
