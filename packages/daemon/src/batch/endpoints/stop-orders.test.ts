/** When an order to stop a run is sent again. */
import {
  applyReport,
  applyStartOutcome,
  addJob,
  createBatchState,
  DEFAULT_STEP,
  removeEffects,
  schedulePool,
  upsertEndpoint,
  type BatchEffect,
  type OrderError,
} from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import { Err, Ok, type Result } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';
import { createStopOrderSender } from './stop-orders.js';

const POOL = brand<PoolName>('alpha');
const ENDPOINT = brand<EndpointId>('i-1');
const DATA_CENTRE = brand<DataCentreId>('north');
/** More than all repeats of one order take. */
const ALL_REPEATS_MS = 20_000;
const LEASE_PAUSE_MS = 1000;

type StopEffect = Extract<BatchEffect, { kind: 'stop' }>;

const errorOf = (reason: OrderError['reason']): OrderError => ({
  verdict: 'notRun',
  reason,
  detail: '',
});

/** Creates the state of a holder with one run whose start order had no answer, and the order to stop it. */
const createStateWithRunToStop = () => {
  const state = createBatchState(2);
  const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
  const description = { endpointId: ENDPOINT, pool: POOL, hostId: null, address: '' };
  upsertEndpoint(
    state,
    { ...description, dataCentre: DATA_CENTRE, labels: [], capacity, isDraining: false },
    0,
  );
  addJob(state, {
    job: {
      jobId: brand<JobId>('00000000000000aa'),
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
  const emptyReport = { running: [], ended: [], hasMoreEnds: false };
  applyReport(state, ENDPOINT, { ...emptyReport, requestedAtMs: 0, nowMs: 0 });
  schedulePool(state, POOL, 0);
  const [start] = removeEffects(state) as readonly Extract<BatchEffect, { kind: 'start' }>[];
  if (!start) throw new Error('nothing was placed');
  applyStartOutcome(state, ENDPOINT, { ...start, outcome: 'unknown', reason: '', nowMs: 0 });
  const stop = removeEffects(state).find((effect): effect is StopEffect => effect.kind === 'stop');
  if (!stop) throw new Error('nothing is to be stopped');
  return { state, stop };
};

describe('an order to stop a run', () => {
  let answer: Result<{ clockMs: number }, OrderError>;
  let isCertainlyHolder: boolean;
  let sent: number;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
    answer = Ok({ clockMs: 1 });
    isCertainlyHolder = true;
    sent = 0;
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const createSender = () => {
    const { state, stop } = createStateWithRunToStop();
    const sender = createStopOrderSender({
      target: { endpointId: ENDPOINT, address: '', dataCentre: DATA_CENTRE },
      context: {
        state,
        orders: {
          stop: async () => {
            sent += 1;
            return answer;
          },
        },
        log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
        nowMs: () => performance.now(),
        isCertainlyHolder: () => isCertainlyHolder,
      } as never,
      send: (order) => order(500),
      recordError: () => undefined,
      onStopped: async () => undefined,
      isClosed: () => false,
    });
    return { sender, stop };
  };

  /** Sends the order until it is given up, then reports that the endpoint answers orders again. */
  const sendAndReport = async (): Promise<void> => {
    const { sender, stop } = createSender();
    void sender.stop(stop);
    await advanceTime(ALL_REPEATS_MS);
    answer = Ok({ clockMs: 1 });
    isCertainlyHolder = true;
    sent = 0;
    sender.repeatUnanswered();
    sender.repeatUnanswered();
    await advanceTime(0);
  };

  it('is not sent again after it was answered', async () => {
    await sendAndReport();
    expect(sent).toBe(0);
  });

  it.each(['unreachable', 'unhealthy', 'no-answer', 'malformed', 'late'] as const)(
    'is sent again once with the next report after it was given up with the error %s',
    async (reason) => {
      answer = Err(errorOf(reason));
      await sendAndReport();
      expect(sent).toBe(1);
    },
  );

  it('is sent once the control lease is certain again, though the holder has no such run and gets no report', async () => {
    const { sender, stop } = createSender();
    isCertainlyHolder = false;
    void sender.stop({ ...stop, run: stop.run + 1 });
    await advanceTime(LEASE_PAUSE_MS);
    expect(sent).toBe(0);
    isCertainlyHolder = true;
    await advanceTime(LEASE_PAUSE_MS);
    expect(sent).toBe(1);
  });

  it('is sent again with the next report after the control lease was uncertain', async () => {
    isCertainlyHolder = false;
    await sendAndReport();
    expect(sent).toBe(1);
  });
});
