/** News that forbids a start, and that reaches the holder between the decision to start a task and the order. */
import {
  createBatchState,
  createJobMemory,
  instanceIdOf,
  type BatchJobRow,
  type EndpointState,
  type ProgressRow,
} from '@valvelatch/core/batch';
import type { DataCentreId, InstanceId, JobId } from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { batchKey } from '../keys.js';
import { createEndedJobs } from './ended-jobs.js';
import { createJobRowReader, type JobRowChanges } from './job-row-reader.js';
import { SIM_QUEUE_POLICY } from '../testing/sim-environment.fixtures.js';
import { createSimAccount, type SimFleet, type SimJob } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
  requireOther,
} from '../testing/virtual-time.fixtures.js';

/** A holder reads the clock of an endpoint without runs again after this time, before it sends a start order. */
const CLOCK_READING_OLD_MS = 31_000;
/** How much longer than usual endpoints take to answer, while a clock is read. */
const SLOW_ANSWER_MS = 400;
/** So slow that the holder waits for each answer as long as it ever does. */
const SLOWEST_ANSWER_MS = 1500;
const STEP_MS = 5;
/** For longer than this no order waits for its endpoint's clock, nor for its answer. */
const ORDER_MS = 6000;
/** How long a client waits for an answer. */
const CLIENT_DEADLINE_MS = 3000;
/** For longer than this the rows of an ended job are kept. */
const ROWS_KEPT_MS = 200_000;

/** How long after an evacuation the last task may start there. */
const EVACUATE_MS = 5000;

const createFleet = () => createStartedFleet({ accounts: [], evacuateMs: EVACUATE_MS });

const listStarts = (fleet: SimFleet, jobId: JobId): SimFleet['startsSent'] =>
  fleet.startsSent.filter(({ task }) => task.startsWith(jobId));

const requireState = (fleet: SimFleet) => {
  const state = requireHolder(fleet).control.term()?.state;
  if (!state) throw new Error('the holder has no term');
  return state;
};

const listPlaces = (fleet: SimFleet, jobId: JobId): readonly InstanceId[] =>
  Array.from(requireState(fleet).endpoints.values())
    .filter(({ runs }) => Array.from(runs.keys()).some((task) => task.startsWith(jobId)))
    .map(({ endpointId }) => instanceIdOf(endpointId));

const waitUntil = async (isReached: () => boolean): Promise<void> => {
  const untilMs = performance.now() + ORDER_MS;
  while (!isReached()) {
    if (performance.now() > untilMs) throw new Error('the state was not reached');
    await advanceTime(STEP_MS);
  }
};

const answerWithin = async <Value>(ms: number, pending: Promise<Value>): Promise<Value> => {
  await advanceTime(ms);
  return pending;
};

const requireEndpoint = (fleet: SimFleet, instanceId: InstanceId): EndpointState => {
  const endpoint = requireState(fleet).currentIncarnations.get(instanceId);
  if (!endpoint) throw new Error('the holder does not know the endpoint');
  return endpoint;
};

describe('news that forbids a start', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('while an order waits for the clock of its endpoint', () => {
    /** Has a job placed on endpoints whose clocks were read long ago, so that its orders wait. */
    const placeJob = async () => {
      const fleet = await createFleet();
      await advanceTime(CLOCK_READING_OLD_MS);
      fleet.faults.answerMs = SLOW_ANSWER_MS;
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }] });
      await waitUntil(() => listPlaces(fleet, jobId).length > 0);
      expect(listStarts(fleet, jobId)).toEqual([]);
      return { fleet, jobId };
    };

    it('keeps the order from being sent if it is the cancellation of its job', async () => {
      const { fleet, jobId } = await placeJob();
      requireHolder(fleet).control.term()?.cancel(jobId, null);
      await advanceTime(ORDER_MS);
      expect(listStarts(fleet, jobId)).toEqual([]);
    });

    it('keeps the order from being sent if its data centre is evacuated', async () => {
      const { fleet, jobId } = await placeJob();
      const [instanceId] = listPlaces(fleet, jobId) as [InstanceId];
      const { dataCentre } = requireEndpoint(fleet, instanceId);
      fleet.evacuate(dataCentre);
      await waitUntil(() => requireState(fleet).evacuatedDataCentres.has(dataCentre));
      await advanceTime(ORDER_MS);
      const starts = listStarts(fleet, jobId);
      expect(starts.filter((start) => start.instanceId === instanceId)).toEqual([]);
    });

    it('keeps the order from being sent if its endpoint leaves the list', async () => {
      const { fleet, jobId } = await placeJob();
      const [instanceId] = listPlaces(fleet, jobId) as [InstanceId];
      fleet.unlist(instanceId);
      await waitUntil(() => requireEndpoint(fleet, instanceId).isDraining);
      expect(listStarts(fleet, jobId)).toEqual([]);
      await advanceTime(ORDER_MS);
      const starts = listStarts(fleet, jobId);
      expect(starts.filter((start) => start.instanceId === instanceId)).toEqual([]);
    });
  });

  describe('while an order has no answer', () => {
    /** Has one endpoint answer no order, over a link whose slow answers make the holder wait long, and places a task there. */
    const placeJob = async (options: { readonly runMs: number; readonly fails?: boolean }) => {
      const fleet = await createFleet();
      fleet.faults.answerMs = SLOW_ANSWER_MS;
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, mostPerEndpoint: 1 }], runMs: 1000 });
      await advanceTime(ORDER_MS);
      fleet.faults.answerMs = 0;
      const silent = Array.from(fleet.endpoints.values()).find(({ pool }) => pool === 'alpha');
      if (!silent) throw new Error('the pool is empty');
      const { instanceId } = silent;
      fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));
      const steps = [{ taskCount: 3, mostPerEndpoint: 1 }];
      const jobId = fleet.submit({ pool: 'alpha', steps, ...options });
      const listSilentStarts = () =>
        listStarts(fleet, jobId).filter((start) => start.instanceId === instanceId);
      await waitUntil(() => listSilentStarts().length > 0);
      return { fleet, jobId, silent, listSilentStarts };
    };

    it('keeps the order from being sent again if its job has failed', async () => {
      const { fleet, jobId, listSilentStarts } = await placeJob({ runMs: 1, fails: true });
      await waitUntil(() => phaseOf(fleet, jobId) === 'failed');
      expect(listSilentStarts()).toHaveLength(1);
      await advanceTime(ORDER_MS);
      expect(listSilentStarts()).toHaveLength(1);
    });

    it('keeps the order from being sent again if its endpoint leaves the list', async () => {
      const { fleet, silent, listSilentStarts } = await placeJob({ runMs: 30_000 });
      fleet.unlist(silent.instanceId);
      await waitUntil(() => requireEndpoint(fleet, silent.instanceId).isDraining);
      expect(listSilentStarts()).toHaveLength(1);
      await advanceTime(ORDER_MS);
      expect(listSilentStarts()).toHaveLength(1);
    });

    it('keeps the order from being sent again if its data centre is evacuated', async () => {
      const { fleet, silent, listSilentStarts } = await placeJob({ runMs: 30_000 });
      const dataCentre = fleet.hosts.get(silent.hostId)?.dataCentre as DataCentreId;
      fleet.evacuate(dataCentre);
      await waitUntil(() => requireState(fleet).evacuatedDataCentres.has(dataCentre));
      expect(listSilentStarts()).toHaveLength(1);
      await advanceTime(ORDER_MS);
      expect(listSilentStarts()).toHaveLength(1);
    });

    it('keeps the order from being sent again if its host is cordoned for maintenance', async () => {
      const { fleet, silent, listSilentStarts } = await placeJob({ runMs: 30_000 });
      requireEndpoint(fleet, silent.instanceId).isCordoned = true;
      expect(listSilentStarts()).toHaveLength(1);
      await advanceTime(ORDER_MS);
      expect(listSilentStarts()).toHaveLength(1);
    });
  });

  describe('while no endpoint answers for seconds', () => {
    /** Entries apply a lower quota within this time. */
    const APPLIED_WITHIN_MS = 3000;
    const MAXIMUM_CPU_MILLIS = 2000;

    it('keeps tasks above a quota that fell meanwhile from starting', async () => {
      const account = createSimAccount('client-a', 0);
      const fleet = await createStartedFleet({ accounts: [account] });
      fleet.faults.answerMs = SLOWEST_ANSWER_MS;
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, mostPerEndpoint: 1 }], runMs: 1000 });
      await advanceTime(CLOCK_READING_OLD_MS * 2);
      fleet.faults.answerMs = 0;
      const instanceIds = Array.from(fleet.endpoints.keys());
      const { unreachableEndpoints } = requireHolder(fleet);
      instanceIds.forEach((instanceId) => unreachableEndpoints.add(instanceId));
      const steps = [{ taskCount: 3, mostPerEndpoint: 1, cpuMillis: 4000 }];
      const jobId = fleet.submit({ pool: 'alpha', steps, runMs: 30_000 });
      await waitUntil(() => listPlaces(fleet, jobId).length === 3);
      fleet.declareAccounts([createSimAccount('client-a', MAXIMUM_CPU_MILLIS)]);
      await advanceTime(APPLIED_WITHIN_MS);
      unreachableEndpoints.clear();
      await advanceTime(ORDER_MS);
      expect(fleet.violations).toEqual([]);
    });
  });

  describe('that an entry remembers of a job whose rows are gone', () => {
    it('does not make it acknowledge a cancellation of the job that its client submits again', async () => {
      const fleet = await createFleet();
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 1 }],
        runMs: 1000,
      });
      const holder = requireHolder(fleet);
      const other = requireOther(fleet);
      await answerWithin(2000, holder.intake.submit(queue, job));
      const status = await answerWithin(50, other.intake.status(job.jobId, null));
      expect(status).toMatchObject({ kind: 'status', status: { phase: 'completed' } });
      await advanceTime(ROWS_KEPT_MS);
      expect(phaseOf(fleet, job.jobId)).toBe('missing');
      await answerWithin(100, holder.intake.submit(queue, job));
      const cancelled = await answerWithin(50, other.intake.cancel(job.jobId, null));
      expect(cancelled).toEqual({ kind: 'cancelled' });
      await advanceTime(ORDER_MS);
      expect(phaseOf(fleet, job.jobId)).toBe('cancelled');
    });
  });

  describe('in rows that a holder reads', () => {
    const log = {
      debug: () => undefined,
      info: () => undefined,
      warn: () => undefined,
      error: () => undefined,
    };

    /** Restores a state from two readings of the rows. */
    const restore = (readings: readonly JobRowChanges[]) => {
      const state = createBatchState(1);
      const ended = createEndedJobs({
        table: { transact: async () => Ok({ kind: 'committed', version: 1 }) },
        guard: () => ({ key: batchKey.guard, version: 1 }),
        log,
        answerableMs: () => ROWS_KEPT_MS,
        wallClockMs: () => 0,
      });
      const reader = createJobRowReader({
        state,
        table: { feed: () => ({ next: async () => Ok([]) }) },
        versions: new Map(),
        ended,
        cancellations: { apply: () => undefined, applyEarlier: () => undefined },
        memory: createJobMemory({ state, boundBytes: Infinity }),
        configuration: () => undefined,
        isSoleHolder: () => true,
        isStopped: () => false,
        requestScheduling: () => undefined,
        log,
        metrics: createMetrics(),
        nowMs: () => 0,
        wallClockMs: () => 0,
      });
      reader.restore(readings);
      return state;
    };

    const liveRow = ({ job }: SimJob): BatchJobRow => ({
      kind: 'live',
      job,
      policy: SIM_QUEUE_POLICY,
    });
    const ENDED: BatchJobRow = {
      kind: 'ended',
      phase: 'completed',
      reason: 'all tasks are done',
      endedAtMs: 0,
      queue: 'q-alpha',
    };

    const prepareJob = async () => {
      const fleet = await createFleet();
      const prepared = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 2 }] });
      return { fleet, prepared, key: batchKey.job(prepared.job.jobId) };
    };

    it('does not restore an ended job whose second reading is older than the first', async () => {
      const { prepared, key } = await prepareJob();
      const state = restore([
        { jobs: [{ key, value: ENDED, version: 9 }], progress: [] },
        { jobs: [{ key, value: liveRow(prepared), version: 5 }], progress: [] },
      ]);
      expect(state.jobs.has(prepared.job.jobId)).toBe(false);
    });

    it('does not start a done task again whose second reading is older than the first', async () => {
      const { prepared, key } = await prepareJob();
      const { jobId } = prepared.job;
      const progressKey = batchKey.progress(jobId);
      const progressOf = (done: string): ProgressRow => ({ 0: { 0: { done } } });
      const live = { key, value: liveRow(prepared), version: 5 };
      const state = restore([
        { jobs: [live], progress: [{ key: progressKey, value: progressOf('1'), version: 9 }] },
        { jobs: [live], progress: [{ key: progressKey, value: progressOf('0'), version: 7 }] },
      ]);
      expect(state.jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.doneCount).toBe(1);
    });

    it('ends a waiting job whose end by a former holder is read after the recovery', async () => {
      const { fleet, prepared, key } = await prepareJob();
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, cpuMillis: 8000 }], runMs: 3000 });
      await advanceTime(600);
      fleet.commit({ checks: [], writes: [{ key, value: liveRow(prepared) }] });
      await advanceTime(1000);
      fleet.commit({ checks: [], writes: [{ key, value: { ...ENDED, phase: 'cancelled' } }] });
      await advanceTime(ORDER_MS);
      expect(listStarts(fleet, prepared.job.jobId)).toEqual([]);
    });
  });

  describe('to a holder that is replaced', () => {
    /** Cancels a waiting job at another entry, so long after its holder was killed, and returns the starts after the bound. */
    const cancelAfterKill = async (afterMs: number) => {
      const fleet = await createFleet();
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, cpuMillis: 8000 }], runMs: 9000 });
      await advanceTime(600);
      const { job, queue } = fleet.prepareJob({
        pool: 'alpha',
        steps: [{ taskCount: 2, cpuMillis: 8000 }],
      });
      const entry = requireOther(fleet);
      const accepted = await answerWithin(100, entry.intake.submit(queue, job));
      expect(accepted).toEqual({ kind: 'accepted' });
      fleet.kill(requireHolder(fleet));
      await advanceTime(afterMs);
      const cancelled = await answerWithin(
        CLIENT_DEADLINE_MS,
        entry.intake.cancel(job.jobId, null),
      );
      expect(cancelled).toEqual({ kind: 'cancelled' });
      await advanceTime(ORDER_MS * 2);
      expect(phaseOf(fleet, job.jobId)).toBe('cancelled');
      return listStarts(fleet, job.jobId);
    };

    it.each(Array.from({ length: 25 }, (_, index) => index * 200))(
      'is obeyed by the next one if it is a cancellation %i ms later',
      async (afterMs) => {
        expect(await cancelAfterKill(afterMs)).toEqual([]);
      },
    );
  });
});
