/** Submissions that are forwarded to a control holder at another entry, and ticks of the control lease. */
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
  isDirectRouteUp: () => true,
  unansweredForMs: () => 0,
} as unknown as RelayedTable;

describe('submissions to a holder at another entry', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const createControlWith = async (peers: Partial<Peers>): Promise<Control> => {
    const control = createControl({
      self: brand('self'),
      platform: {} as BatchPlatform,
      table,
      peers: () => ({ has: () => true, ensureLink: () => undefined, ...peers }) as unknown as Peers,
      configuration: () => indexQueues({ version: 1, queues: [], pools: [], accounts: [] }),
      log,
      metrics: createMetrics(),
    });
    await control.tick();
    return control;
  };

  const submitAndMeasure = async (
    control: Control,
  ): Promise<{ kind: string | undefined; ms: number }> => {
    const startedAtMs = performance.now();
    const result = { kind: undefined as string | undefined, ms: Infinity };
    void control.accept(row).then((outcome) => {
      Object.assign(result, { kind: outcome?.kind, ms: performance.now() - startedAtMs });
    });
    await vi.advanceTimersByTimeAsync(5000);
    return result;
  };

  it('fail before their time limit once the holder is silent', async () => {
    // Guards against waiting on a holder that was replaced: submissions waited for 1.6 s and were then
    // answered 504.
    const createdAtMs = performance.now();
    const control = await createControlWith({
      ask: () => new Promise(() => {}),
      silentForMs: () => performance.now() - createdAtMs + 500,
    });
    const { kind, ms } = await submitAndMeasure(control);
    expect(kind).toBe('unheard');
    expect(ms).toBeLessThan(1200);
  });

  it('have an unknown outcome if the holder becomes unknown after they were sent', async () => {
    // Guards against reporting such a job as never sent: with the table unavailable the client was then told
    // that it had not run.
    let isKnown = true;
    const control = await createControlWith({
      has: () => isKnown,
      ask: async () => {
        isKnown = false;
        throw new Error('no answer');
      },
      silentForMs: () => 300,
    });
    expect((await submitAndMeasure(control)).kind).toBe('unheard');
  });

  it('wait for a slow table while the holder is heard', async () => {
    const control = await createControlWith({
      ask: () =>
        new Promise((resolve) => {
          setTimeout(() => resolve({ kind: 'committed', version: 9 }), 1900);
        }),
      silentForMs: () => 300,
    });
    const { kind, ms } = await submitAndMeasure(control);
    expect(kind).toBe('committed');
    expect(ms).toBeGreaterThan(1800);
  });
});

describe('a tick of the control lease', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('does not wait for a table call that hangs, and makes no second call in parallel', async () => {
    // Guards against a hanging renewal that blocks the tick: a holder then noticed only after 4.6 s that the
    // table served others.
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
    const tickEndsMs: number[] = [];
    const tickOnce = async (): Promise<void> => {
      await control.tick();
      tickEndsMs.push(performance.now());
    };
    const startedAtMs = performance.now();
    void tickOnce().then(tickOnce);
    await vi.advanceTimersByTimeAsync(1300);
    expect(tickEndsMs.map((atMs) => atMs - startedAtMs)).toEqual([600, 1200]);
    expect(read).toHaveBeenCalledTimes(1);
  });
});
