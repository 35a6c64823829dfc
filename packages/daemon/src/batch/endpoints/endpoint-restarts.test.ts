/** Endpoints that restart under the same id, in virtual time. */
import type { InstanceId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  phaseOf,
  listRunKeys,
  createStartedFleet,
  submitLongRunningJob,
} from '../testing/virtual-time.fixtures.js';

/** The longest time for which a long-running task may be unavailable before that counts as a failure. */
const MAX_UNAVAILABLE_MS = 6000;

const findEndpoint = (fleet: SimFleet): InstanceId => {
  const found = Array.from(fleet.endpoints.values()).find(({ pool }) => pool === 'alpha');
  if (!found) throw new Error('the pool has no endpoint');
  return found.instanceId;
};

describe('an endpoint that restarts under its id', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([20, 900, 3000])(
    'gets its long-running task back after %i ms of downtime',
    async (downMs) => {
      const fleet = await createStartedFleet();
      const job = submitLongRunningJob(fleet, 3);
      await advanceTime(12_000);
      fleet.crash(findEndpoint(fleet), downMs);
      await advanceTime(downMs + MAX_UNAVAILABLE_MS);
      expect(listRunKeys(fleet, job)).toHaveLength(3);
      expect(fleet.violations).toEqual([]);
    },
  );

  it.each([20, 900, 3000])(
    'has the ended runs of its new incarnation applied after %i ms of downtime, though the previous one used their numbers',
    async (downMs) => {
      const fleet = await createStartedFleet({ hostsPerPool: 1 });
      const before = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
      await advanceTime(4000);
      fleet.crash(findEndpoint(fleet), downMs);
      const after = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 300 });
      await advanceTime(downMs + MAX_UNAVAILABLE_MS);
      expect([before, after].map((job) => phaseOf(fleet, job))).toEqual(['completed', 'completed']);
      expect(fleet.violations).toEqual([]);
    },
  );

  it('gets work again after several crashes within one heartbeat', async () => {
    const fleet = await createStartedFleet();
    const job = submitLongRunningJob(fleet, 3);
    await advanceTime(12_000);
    for (let crash = 0; crash < 3; crash += 1) {
      fleet.crash(findEndpoint(fleet), 60);
      await advanceTime(300);
    }
    await advanceTime(MAX_UNAVAILABLE_MS);
    expect(listRunKeys(fleet, job)).toHaveLength(3);
    expect(fleet.violations).toEqual([]);
  });

  it.each([1, 1000])(
    'has tasks of %i ms completed once that were sent to it before its new incarnation was known',
    async (runMs) => {
      // The list of endpoints is read every 400 ms, and jobs every 500 ms.
      for (let beforeMs = 0; beforeMs < 1000; beforeMs += 20) {
        const fleet = await createStartedFleet({ hostsPerPool: 2 });
        fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
        await advanceTime(4000);
        const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs });
        await advanceTime(beforeMs);
        fleet.crash(findEndpoint(fleet), 3);
        await advanceTime(5000);
        expect(phaseOf(fleet, job)).toBe('completed');
        expect(fleet.violations).toEqual([]);
        Array.from(fleet.entries).forEach(fleet.kill);
      }
    },
  );

  it('has no task started elsewhere while it is unreachable and may keep it by a lease on the clock of its previous incarnation', async () => {
    for (let beforeMs = 0; beforeMs < 1000; beforeMs += 40) {
      const fleet = await createStartedFleet({ hostsPerPool: 2 });
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
      await advanceTime(12_000);
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 30_000 });
      await advanceTime(beforeMs);
      const restarted = findEndpoint(fleet);
      fleet.crash(restarted, 3);
      await advanceTime(700);
      fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(restarted));
      await advanceTime(14_000);
      expect(fleet.violations).toEqual([]);
      Array.from(fleet.entries).forEach(fleet.kill);
    }
  });

  it.each([10, 400, 3000])(
    'is not crashed again and again by one task, with %i ms of downtime each time',
    async (downMs) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      Object.assign(fleet.faults, { crashMs: downMs });
      const crashing = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 3 }],
        runMs: 640,
        crashesAfterMs: 10,
      });
      await advanceTime(60_000);
      expect(phaseOf(fleet, crashing)).toBe('failed');
      expect(Math.max(...fleet.crashes.values())).toBeLessThan(4);
      expect(fleet.violations).toEqual([]);
    },
  );

  it('has the holder log which incarnation is gone, what showed that, and how many runs it had', async () => {
    const fleet = await createStartedFleet();
    submitLongRunningJob(fleet, 3);
    await advanceTime(12_000);
    fleet.crash(findEndpoint(fleet), 20);
    await advanceTime(3000);
    const linesOf = (event: string) => fleet.loggedEvents.filter((line) => line.event === event);
    const [gone] = linesOf('endpoint-gone').map(({ fields }) => fields as Record<string, unknown>);
    expect(gone).toMatchObject({
      endpoint: expect.stringMatching(/^i-1@[0-9a-z]+$/) as string,
      reason: 'a later incarnation has its id',
      toldBy: 'answer',
      runs: 1,
      isCrash: true,
    });
    expect(linesOf('endpoint-seen').at(-1)?.fields).toMatchObject({
      endpoint: expect.stringMatching(/^i-1@[0-9a-z]+$/) as string,
    });
  });
});
