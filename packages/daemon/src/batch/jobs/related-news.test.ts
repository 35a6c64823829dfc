/** News that forbids a start, and that reaches the holder between the decision to start a task and the order. */
import { instanceIdOf, type EndpointState } from '@valvelatch/core/batch';
import type { JobId, InstanceId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

/** A holder reads the clock of an endpoint without runs again after this time, before it sends a start order. */
const CLOCK_READING_OLD_MS = 31_000;
/** How much longer than usual endpoints take to answer, while a clock is read. */
const SLOW_ANSWER_MS = 400;
const STEP_MS = 5;
/** For longer than this no order waits for its endpoint's clock, nor for its answer. */
const ORDER_MS = 6000;
/** For longer than this the rows of an ended job are kept. */
const ROWS_KEPT_MS = 200_000;

const createFleet = () => createStartedFleet({ accounts: [] });

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

const requireOther = (fleet: SimFleet): SimEntry => {
  const other = fleet.entries.find(({ control }) => control.term() === undefined);
  if (!other) throw new Error('all entries hold control');
  return other;
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

    it('keeps the order from being sent again if its host is cordoned for maintenance', async () => {
      const { fleet, silent, listSilentStarts } = await placeJob({ runMs: 30_000 });
      const { hostId, instanceId } = silent;
      fleet.orderWave({ waveNumber: 1, hosts: [hostId], withinMs: 20_000, maximum: 1 });
      await waitUntil(() => requireEndpoint(fleet, instanceId).isCordoned);
      expect(listSilentStarts()).toHaveLength(1);
      await advanceTime(ORDER_MS);
      expect(listSilentStarts()).toHaveLength(1);
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
});
