/** Guards against relays that are passed over for seconds because one of many orders had no answer in time. */
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
import { encodeAnswer, encodeRelayClock, encodeReply } from './order-message.js';
import { RELAY_CLOCK_METHOD } from './relay-roster.js';
import { createRelayedOrders, RELAY_REFRESH_INTERVAL_MS } from './relayed-orders.js';

const RELAY = brand<EntryId>('relay');
const NORTH = brand<DataCentreId>('north');
const TIMEOUT_MS = 250;
const LIST = { fence: 1, acknowledged: 0, waitMs: 0 };
const CLOCK = { incarnation: 1, clockMs: 5000 };
const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

const targetOf = (name: string) => ({
  endpointId: brand<EndpointId>(name),
  address: '',
  dataCentre: NORTH,
});

/** A holder that relays its orders, beside one relay that answers each order while `isAnswering`. */
const createHolder = async () => {
  const relay = { isAnswering: true, silentMs: 0 };
  const sent = { direct: 0, relayed: 0 };
  const orders = {
    list: async () => {
      sent.direct += 1;
      return Ok({ clockMs: 1, running: [], ended: [], hasMoreEnds: false });
    },
  } as unknown as EndpointOrders;
  const relayed = createRelayedOrders({
    orders,
    peers: () => ({
      members: () => [{ entryId: RELAY, dataCentre: NORTH, strength: 1 }],
      ensureLink: () => undefined,
      silentForMs: () => relay.silentMs,
      ask: async (_, method, __, ms) => {
        if (method === RELAY_CLOCK_METHOD) return encodeRelayClock(CLOCK);
        sent.relayed += 1;
        if (relay.isAnswering)
          return encodeReply({ clock: CLOCK, answer: encodeAnswer(Ok({ clockMs: 1 })) });
        await new Promise((resolve) => {
          setTimeout(resolve, ms);
        });
        throw new Error('no answer');
      },
    }),
    readLinkUsage: () => ({ sentBytes: 0, receivedBytes: 0, bytesPerS: Infinity }),
    cores: 0.1,
    mayRelay: true,
    log,
    metrics: createMetrics(),
  });
  const list = async (name: string): Promise<void> => {
    const answer = relayed.list(targetOf(name), LIST, TIMEOUT_MS);
    await vi.advanceTimersByTimeAsync(relay.isAnswering ? 1 : 1000);
    await answer;
  };
  relayed.refresh();
  for (let order = 0; order < 100; order += 1) await list(`i-${order}@0`);
  await vi.advanceTimersByTimeAsync(RELAY_REFRESH_INTERVAL_MS);
  relayed.refresh();
  Object.assign(sent, { direct: 0, relayed: 0 });
  return { relay, sent, list };
};

describe('a relay that does not answer one order in time', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('goes on relaying to the other endpoints if it was heard meanwhile', async () => {
    const { relay, sent, list } = await createHolder();
    Object.assign(relay, { isAnswering: false, silentMs: 10 });
    await list('i-1@0');
    relay.isAnswering = true;
    await list('i-2@0');
    await list('i-1@0');
    await list('i-1@0');
    expect(sent).toEqual({ direct: 1, relayed: 3 });
  });

  it('gets no orders for a time if it was silent meanwhile', async () => {
    const { relay, sent, list } = await createHolder();
    Object.assign(relay, { isAnswering: false, silentMs: 1000 });
    await list('i-1@0');
    Object.assign(relay, { isAnswering: true, silentMs: 0 });
    await list('i-2@0');
    expect(sent).toEqual({ direct: 1, relayed: 1 });
  });
});
