/** Guards against a holder whose link and processor are taken by rows of returning clients while it recovers. */
import type { BatchJobRow } from '@valvelatch/core/batch';
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { Peers } from '../entry/peers.js';
import { CONTROL_METHOD, createHolderClient } from './holder-client.js';

const SELF = brand<EntryId>('a');
const HOLDER = brand<EntryId>('b');
const OTHER = brand<EntryId>('c');
const ROW = { kind: 'live' } as BatchJobRow;
const COMMITTED = { kind: 'committed', version: 1 };
const SUBMISSIONS = 40;
const RETRY_MS = 150;

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** An entry beside a holder that answers as `answers` says, by method. */
const createEntry = (answers: Record<string, unknown>) => {
  const asked: string[] = [];
  const world = { holder: HOLDER };
  const peers = {
    has: () => true,
    silentForMs: () => 0,
    ask: async (entryId: EntryId, method: string) => {
      asked.push(`${entryId} ${method}`);
      return answers[method];
    },
  } as unknown as Peers;
  const client = createHolderClient({
    self: SELF,
    peers: () => peers,
    holder: () => world.holder,
    log,
    metrics: createMetrics(),
    nowMs: () => performance.now(),
  });
  const countSent = (method: string): number =>
    asked.filter((one) => one.endsWith(` ${method}`)).length;
  return { client, world, countSent };
};

describe('a holder that recovers', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is sent one row by an entry to which many clients return, and none that the entry wrote', async () => {
    const { client, countSent } = createEntry({
      [CONTROL_METHOD.accept]: null,
      [CONTROL_METHOD.ready]: false,
    });
    for (let turn = 0; turn < SUBMISSIONS; turn += 1) {
      expect(await client.accept(ROW)).toBeNull();
      client.notifyWritten({ row: ROW, version: 1 });
      await vi.advanceTimersByTimeAsync(RETRY_MS);
    }
    expect(countSent(CONTROL_METHOD.accept)).toBe(1);
    expect(countSent(CONTROL_METHOD.taken)).toBe(0);
  });

  it('is sent one notice of a cancellation by an entry with many', async () => {
    const { client, countSent } = createEntry({
      [CONTROL_METHOD.cancelled]: null,
      [CONTROL_METHOD.ready]: false,
    });
    for (let turn = 0; turn < SUBMISSIONS; turn += 1) {
      await client.notifyCancelled({ jobId: '00000000000000aa', caller: null });
      await vi.advanceTimersByTimeAsync(RETRY_MS);
    }
    expect(countSent(CONTROL_METHOD.cancelled)).toBe(1);
  });

  it('is sent rows again soon after it is ready', async () => {
    const answers: Record<string, unknown> = {
      [CONTROL_METHOD.accept]: null,
      [CONTROL_METHOD.ready]: false,
    };
    const { client } = createEntry(answers);
    await client.accept(ROW);
    await vi.advanceTimersByTimeAsync(1000);
    Object.assign(answers, { [CONTROL_METHOD.accept]: COMMITTED, [CONTROL_METHOD.ready]: true });
    await vi.advanceTimersByTimeAsync(300);
    const outcome = client.accept(ROW);
    await vi.advanceTimersByTimeAsync(100);
    expect(await outcome).toEqual(COMMITTED);
  });

  it('does not keep rows from the next holder', async () => {
    const answers: Record<string, unknown> = {
      [CONTROL_METHOD.accept]: null,
      [CONTROL_METHOD.ready]: false,
    };
    const { client, world } = createEntry(answers);
    await client.accept(ROW);
    world.holder = OTHER;
    Object.assign(answers, { [CONTROL_METHOD.accept]: COMMITTED });
    expect(await client.accept(ROW)).toEqual(COMMITTED);
  });

  it('is asked as before if its build does not tell whether it is ready', async () => {
    const { client, countSent } = createEntry({ [CONTROL_METHOD.accept]: null });
    for (let turn = 0; turn < SUBMISSIONS; turn += 1) {
      await client.accept(ROW);
      await vi.advanceTimersByTimeAsync(RETRY_MS);
    }
    expect(countSent(CONTROL_METHOD.accept)).toBeGreaterThan(SUBMISSIONS / 4);
  });
});
