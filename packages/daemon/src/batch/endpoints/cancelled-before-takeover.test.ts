/** A job that is cancelled while there is no holder, and another one that waits for its capacity, in virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  listRunKeys,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

/** As many tasks as the two endpoints of the pool have capacity for. */
const FULL = [{ taskCount: 16, cpuMillis: 1000 }];

describe('a job that waits for the capacity of one that is cancelled before a takeover', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a new holder that counts the capacity of runs as free while they are being stopped.
  it('is ordered to start only once the runs of that job have ended', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 2 });
    await advanceTime(2000);
    const cancelled = fleet.submit({ pool: 'alpha', steps: FULL, runMs: 60_000 });
    await advanceTime(1000);
    expect(listRunKeys(fleet, cancelled)).toHaveLength(16);
    const waiting = fleet.submit({ pool: 'alpha', steps: FULL, runMs: 1000 });
    await advanceTime(1000);
    fleet.kill(requireHolder(fleet));
    fleet.cancel(cancelled);
    await advanceTime(12_000);
    const refused = fleet.loggedEvents.filter(({ event }) => event === 'order-failed');
    expect(refused).toEqual([]);
    expect(phaseOf(fleet, waiting)).toBe('completed');
    expect(fleet.violations).toEqual([]);
  });
});
