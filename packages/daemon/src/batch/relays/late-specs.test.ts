/** Guards against a start that leaves its relay long after the holder last checked whether the task may start. */
import type { StartOrder, TaskKey } from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  type EndpointId,
  type EntryId,
} from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { EndpointOrders } from '../ports.js';
import {
  decodeOrder,
  encodeAnswer,
  encodeRelayClock,
  encodeReply,
  SPEC_MISSING,
} from './order-message.js';
import { RELAY_CLOCK_METHOD } from './relay-roster.js';
import { createRelayedOrders } from './relayed-orders.js';

const RELAY = brand<EntryId>('relay');
const TIMEOUT_MS = 2000;
/** How long the relay takes to say that it lacks the spec. */
const RELAY_ANSWER_MS = 1900;
const INCARNATION = 1;
const ORDERS_TO_RELAY = 100;
const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const TARGET = {
  endpointId: brand<EndpointId>('i-1@0'),
  address: '',
  dataCentre: brand<DataCentreId>('north'),
};
const START: StartOrder = {
  task: '00000000000000aa.0.0.0' as TaskKey,
  run: 1,
  spec: 'spec',
  keepUntilMs: 1,
  fence: 1,
  checkpoint: '',
  ticket: '',
};

describe('a start whose spec its relay lacks', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const readClock = () => ({ incarnation: INCARNATION, clockMs: performance.now() });

  /**
   * Starts a task over a relay that lacks the spec. Returns until when the relay may send each of the orders, and the
   * answer.
   */
  const startOverRelay = async (mayStillSend = () => true) => {
    const untilMs: number[] = [];
    const answerStart = async (payload: unknown): Promise<unknown> => {
      const order = decodeOrder(payload);
      if (order?.kind !== 'start') return encodeAnswer(Ok({ clockMs: 1 }));
      untilMs.push(order.deadline.untilMs);
      if (untilMs.length > 1) return encodeAnswer(Ok({ clockMs: 1 }));
      await new Promise((resolve) => {
        setTimeout(resolve, RELAY_ANSWER_MS);
      });
      return SPEC_MISSING;
    };
    const relayed = createRelayedOrders({
      orders: {
        list: async () => Ok({ clockMs: 1, running: [], ended: [], hasMoreEnds: false }),
      } as unknown as EndpointOrders,
      peers: () => ({
        members: () => [{ entryId: RELAY, dataCentre: TARGET.dataCentre, strength: 1 }],
        ensureLink: () => undefined,
        silentForMs: () => 0,
        ask: async (_, method, payload) =>
          method === RELAY_CLOCK_METHOD
            ? encodeRelayClock(readClock())
            : encodeReply({ answer: await answerStart(payload), clock: readClock() }),
      }),
      readLinkUsage: () => ({ sentBytes: 0, receivedBytes: 0, bytesPerS: Infinity }),
      cores: 0.1,
      mayRelay: true,
      log,
      metrics: createMetrics(),
    });
    const list = { fence: 1, acknowledged: 0, waitMs: 0 };
    relayed.refresh();
    for (let order = 0; order < ORDERS_TO_RELAY; order += 1)
      await relayed.list(TARGET, list, TIMEOUT_MS);
    await vi.advanceTimersByTimeAsync(400);
    relayed.refresh();
    const answered = relayed.start(TARGET, START, TIMEOUT_MS, mayStillSend);
    await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
    return { untilMs, answer: await answered };
  };

  it('is sent by the deadline that it had when the holder checked whether the task may start', async () => {
    const { untilMs } = await startOverRelay();
    const [first = 0, second = 0] = untilMs;
    expect(first).toBeGreaterThan(0);
    expect(second).toBeGreaterThan(0);
    expect(second).toBeLessThanOrEqual(first);
  });

  it('is not sent with the spec if the run must not start any more by then', async () => {
    const { untilMs, answer } = await startOverRelay(() => false);
    expect(untilMs).toHaveLength(1);
    expect(answer.unwrapErr()).toMatchObject({ verdict: 'notRun', reason: 'not-sent' });
  });
});
