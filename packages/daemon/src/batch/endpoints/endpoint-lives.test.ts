/** Endpoints that start again under the id that they had, in virtual time. */
import type { InstanceId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advance,
  FAKED,
  phaseOf,
  runningOf,
  started,
  submitLasting,
} from '../testing/virtual-time.fixtures.js';

/** As long as a long-running task may be away at most before that counts against us. */
const AWAY_MS = 6000;

const anyEndpoint = (fleet: SimFleet): InstanceId => {
  const found = Array.from(fleet.endpoints.values()).find(({ pool }) => pool === 'alpha');
  if (!found) throw new Error('the pool has no endpoint');
  return found.instanceId;
};

describe('an endpoint that starts again under its id', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([20, 900, 3000])(
    'gets its long-running task back after having been down for %i ms',
    async (downMs) => {
      const fleet = await started();
      const job = submitLasting(fleet, 3);
      await advance(12_000);
      fleet.crash(anyEndpoint(fleet), downMs);
      await advance(downMs + AWAY_MS);
      expect(runningOf(fleet, job)).toHaveLength(3);
      expect(fleet.broken).toEqual([]);
    },
  );

  it.each([20, 900, 3000])(
    'has the ends of its new life heard after having been down for %i ms, under numbers that the old one had used',
    async (downMs) => {
      const fleet = await started({ hostsPerPool: 1 });
      const before = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
      await advance(4000);
      fleet.crash(anyEndpoint(fleet), downMs);
      const after = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 300 });
      await advance(downMs + AWAY_MS);
      expect([before, after].map((job) => phaseOf(fleet, job))).toEqual(['completed', 'completed']);
      expect(fleet.broken).toEqual([]);
    },
  );

  it('is used again after each of several crashes within a heartbeat', async () => {
    const fleet = await started();
    const job = submitLasting(fleet, 3);
    await advance(12_000);
    for (let crash = 0; crash < 3; crash += 1) {
      fleet.crash(anyEndpoint(fleet), 60);
      await advance(300);
    }
    await advance(AWAY_MS);
    expect(runningOf(fleet, job)).toHaveLength(3);
    expect(fleet.broken).toEqual([]);
  });

  it.each([1, 1000])(
    'has tasks of %i ms done once that were sent to it before its next life was known',
    async (runMs) => {
      // The list of endpoints is read each 400 ms, and jobs each 500 ms.
      for (let beforeMs = 0; beforeMs < 1000; beforeMs += 20) {
        const fleet = await started({ hostsPerPool: 2 });
        fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
        await advance(4000);
        const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs });
        await advance(beforeMs);
        fleet.crash(anyEndpoint(fleet), 3);
        await advance(5000);
        expect(phaseOf(fleet, job)).toBe('completed');
        expect(fleet.broken).toEqual([]);
        Array.from(fleet.entries).forEach(fleet.kill);
      }
    },
  );

  it('is silent for as long as it may keep tasks that were sent by the clock of the life before', async () => {
    for (let beforeMs = 0; beforeMs < 1000; beforeMs += 40) {
      const fleet = await started({ hostsPerPool: 2 });
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
      await advance(12_000);
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 30_000 });
      await advance(beforeMs);
      const restarted = anyEndpoint(fleet);
      fleet.crash(restarted, 3);
      await advance(700);
      fleet.entries.forEach(({ cutFrom }) => cutFrom.add(restarted));
      await advance(14_000);
      expect(fleet.broken).toEqual([]);
      Array.from(fleet.entries).forEach(fleet.kill);
    }
  });

  it.each([10, 400, 3000])(
    'is not taken down again and again by one task, being back after %i ms each time',
    async (downMs) => {
      const fleet = await started({ hostsPerPool: 4 });
      Object.assign(fleet.faults, { crashMs: downMs });
      const crashing = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 3 }],
        runMs: 640,
        crashesAfterMs: 10,
      });
      await advance(60_000);
      expect(phaseOf(fleet, crashing)).toBe('failed');
      expect(Math.max(...fleet.crashes.values())).toBeLessThan(4);
      expect(fleet.broken).toEqual([]);
    },
  );

  it('tells which life is gone, by whose word, and what went with it', async () => {
    const fleet = await started();
    submitLasting(fleet, 3);
    await advance(12_000);
    fleet.crash(anyEndpoint(fleet), 20);
    await advance(3000);
    const linesOf = (event: string) => fleet.logged.filter((line) => line.event === event);
    const [gone] = linesOf('endpoint-gone').map(({ fields }) => fields as Record<string, unknown>);
    expect(gone).toMatchObject({
      endpoint: expect.stringMatching(/^i-1@[0-9a-z]+$/) as string,
      reason: 'a later life has its id',
      toldBy: 'answer',
      runs: 1,
      isCrash: true,
    });
    expect(linesOf('endpoint-seen').at(-1)?.fields).toMatchObject({
      endpoint: expect.stringMatching(/^i-1@[0-9a-z]+$/) as string,
    });
  });
});
