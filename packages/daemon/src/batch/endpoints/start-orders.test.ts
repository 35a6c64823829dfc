/** When an order to start may leave. */
import {
  createBatchState,
  createSharedDelayEstimator,
  createOrderWindow,
  DEFAULT_STEP,
  schedulePool,
  upsertEndpoint,
  takeEffects,
  addJob,
  applyReport,
  type BatchEffect,
  type StartOrder,
} from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createStartOrders } from './start-orders.js';

const POOL = brand<PoolName>('alpha');
const ENDPOINT = brand<EndpointId>('i-1');
const DATA_CENTRE = brand<DataCentreId>('north');
const SOLE_UNTIL_MS = 2400;

type SendOptions = {
  readonly mayStartIn?: (dataCentre: DataCentreId) => boolean;
  /** No order is answered. */
  readonly isLost?: boolean;
  readonly onSent?: () => void;
};

/** A holder that heard its one endpoint at a time, places a task there, and gets to send the order at another. */
const sentAt = async (
  nowMs: number,
  heardAtMs: number,
  { mayStartIn = () => true, isLost = false, onSent = () => undefined }: SendOptions = {},
): Promise<readonly StartOrder[]> => {
  const state = createBatchState(2);
  state.soleHolderUntilMs = SOLE_UNTIL_MS;
  const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
  const sighting = {
    endpointId: ENDPOINT,
    pool: POOL,
    hostId: null,
    address: '',
    dataCentre: DATA_CENTRE,
  };
  upsertEndpoint(state, { ...sighting, labels: [], capacity, isDraining: false }, 0);
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
  const empty = { running: [], ended: [], hasMoreEnds: false };
  applyReport(state, ENDPOINT, { ...empty, requestedAtMs: heardAtMs, nowMs: heardAtMs });
  schedulePool(state, POOL, heardAtMs);
  const [start] = takeEffects(state) as readonly Extract<BatchEffect, { kind: 'start' }>[];
  if (!start) throw new Error('nothing was placed');
  const sent: StartOrder[] = [];
  const orders = createStartOrders({
    target: { endpointId: ENDPOINT, address: '', dataCentre: DATA_CENTRE },
    context: {
      state,
      orders: {
        start: async (_: unknown, order: StartOrder) => {
          sent.push(order);
          onSent();
          return isLost
            ? Err({ verdict: 'mayHaveRun', reason: 'no-answer', detail: '' })
            : Ok({ clockMs: 1 });
        },
      } as never,
      linkDelay: createSharedDelayEstimator(),
      window: createOrderWindow(),
      endpointLeaseMs: 8000,
      log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
      metrics: createMetrics(),
      nowMs: () => nowMs,
      mayOrder: () => true,
      mayStartIn,
      poke: () => undefined,
      wantSave: () => undefined,
      onFenceLost: () => undefined,
      onReplaced: () => undefined,
      onRestarted: () => undefined,
    },
    refreshClock: async () => undefined,
    keepUntil: () => 9000,
    noteClock: () => undefined,
    send: (order) => order(500),
    noteError: () => undefined,
    isClosed: () => false,
  });
  await orders(start);
  return sent;
};

describe('an order to start', () => {
  it('leaves while no other entry can hold control, however long its endpoint was not heard', async () => {
    expect(await sentAt(2300, 100)).toHaveLength(1);
  });

  it('leaves later for an endpoint that was heard just now', async () => {
    expect(await sentAt(2900, 2300)).toHaveLength(1);
  });

  it('does not leave for an endpoint that may have started again unheard while another entry took control', async () => {
    expect(await sentAt(5200, 2300)).toEqual([]);
  });

  describe('into a data centre that is evacuated after the task was placed there', () => {
    it('does not leave', async () => {
      const asked: DataCentreId[] = [];
      const mayStartIn = (dataCentre: DataCentreId): boolean => {
        asked.push(dataCentre);
        return false;
      };
      expect(await sentAt(2300, 100, { mayStartIn })).toEqual([]);
      expect(asked).toEqual([DATA_CENTRE]);
    });

    it('is not sent again there after a first one without an answer', async () => {
      let isEvacuated = false;
      const sent = await sentAt(2300, 100, {
        isLost: true,
        mayStartIn: () => !isEvacuated,
        onSent: () => {
          isEvacuated = true;
        },
      });
      expect(sent).toHaveLength(1);
      expect(await sentAt(2300, 100, { isLost: true })).toHaveLength(2);
    });
  });
});
