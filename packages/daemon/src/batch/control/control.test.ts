/** Submissions that are passed on to a holder of control elsewhere. */
import { indexQueues, type BatchJobRow } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createControl, type Control } from './control.js';
import type { Peers } from '../entry/peers.js';
import type { BatchPlatform } from '../ports.js';
import type { RelayedTable } from '../relays/relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const row = { kind: 'live', job: { jobId: 'a' } } as unknown as BatchJobRow;

const lease = { holder: 'holder', epoch: 1, renewals: 3, durationMs: 4000 };

const table = {
  read: async () => Ok([{ key: 'lease/control', value: lease, version: 4 }]),
  isServed: () => true,
  silentForMs: () => 0,
} as unknown as RelayedTable;

describe('submissions to a holder elsewhere', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const controlWith = async (peers: Partial<Peers>): Promise<Control> => {
    const control = createControl({
      self: brand('self'),
      platform: {} as BatchPlatform,
      table,
      peers: () => ({ knows: () => true, keepLink: () => undefined, ...peers }) as unknown as Peers,
      configuration: () => indexQueues({ version: 1, queues: [], pools: [], accounts: [] }),
      log,
      metrics: createMetrics(),
    });
    await control.tick();
    return control;
  };

  const timeOf = async (control: Control): Promise<{ kind: string | undefined; ms: number }> => {
    const startedAtMs = performance.now();
    const told = { kind: undefined as string | undefined, ms: Infinity };
    void control.accept(row).then((outcome) => {
      Object.assign(told, { kind: outcome?.kind, ms: performance.now() - startedAtMs });
    });
    await vi.advanceTimersByTimeAsync(5000);
    return told;
  };

  it('are given up early where the holder has fallen silent', async () => {
    // A holder that was replaced kept submissions for 1.6 s, and then they were told 504.
    const bornAtMs = performance.now();
    const control = await controlWith({
      ask: () => new Promise(() => {}),
      silentForMs: () => performance.now() - bornAtMs + 500,
    });
    const { kind, ms } = await timeOf(control);
    expect(kind).toBe('unheard');
    expect(ms).toBeLessThan(1200);
  });

  it('may have been written also where the holder is not known any more', async () => {
    // It was told as never sent, and then, with the table away, as not run: an untrue refusal.
    let isKnown = true;
    const control = await controlWith({
      knows: () => isKnown,
      ask: async () => {
        isKnown = false;
        throw new Error('no answer');
      },
      silentForMs: () => 300,
    });
    expect((await timeOf(control)).kind).toBe('unheard');
  });

  it('are waited for while the holder is heard, as a slow table takes its time', async () => {
    const control = await controlWith({
      ask: () =>
        new Promise((resolve) => {
          setTimeout(() => resolve({ kind: 'committed', version: 9 }), 1900);
        }),
      silentForMs: () => 300,
    });
    const { kind, ms } = await timeOf(control);
    expect(kind).toBe('committed');
    expect(ms).toBeGreaterThan(1800);
  });
});

describe('a look at the lease', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('does not wait for a call of the table that hangs, and makes no second one beside it', async () => {
    // A holder found only after 4.6 s that the table served others: each renewal that hung held up its look.
    const read = vi.fn(() => new Promise(() => {}));
    const control = createControl({
      self: brand('self'),
      platform: {} as BatchPlatform,
      table: { ...table, read } as unknown as RelayedTable,
      peers: () => undefined,
      configuration: () => undefined,
      log,
      metrics: createMetrics(),
    });
    const looks: number[] = [];
    const look = async (): Promise<void> => {
      await control.tick();
      looks.push(performance.now());
    };
    const startedAtMs = performance.now();
    void look().then(look);
    await vi.advanceTimersByTimeAsync(1300);
    expect(looks.map((atMs) => atMs - startedAtMs)).toEqual([600, 1200]);
    expect(read).toHaveBeenCalledTimes(1);
  });
});
