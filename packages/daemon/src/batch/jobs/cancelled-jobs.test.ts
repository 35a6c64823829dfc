/** Tasks of cancelled jobs that an endpoint starts late, or that keep running after the entry that started them is gone. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  listRunKeys,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

/** How long a task may keep running once its endpoint is reachable: 3 s to react, 0.9 s to stop. */
const MAX_RUN_MS = 3900;
const POLL_MS = 100;

/** Measures the longest uninterrupted time for which any task of a job runs. */
const measureLongestRunMs = async (
  fleet: SimFleet,
  jobId: JobId,
  durationMs: number,
): Promise<number> => {
  let longestMs = 0;
  let currentMs = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += POLL_MS) {
    await advanceTime(POLL_MS);
    currentMs = listRunKeys(fleet, jobId).length > 0 ? currentMs + POLL_MS : 0;
    longestMs = Math.max(longestMs, currentMs);
  }
  return longestMs;
};

describe('a cancelled job', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Submits a job whose start orders are all executed late, and cancels it before they are. */
  const cancelJobStartedLate = async () => {
    const fleet = await createStartedFleet();
    const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 30_000 });
    fleet.faults.lateOrders = 1;
    await advanceTime(900);
    expect(listRunKeys(fleet, jobId)).toEqual([]);
    fleet.faults.lateOrders = 0;
    fleet.cancel(jobId);
    return { fleet, jobId };
  };

  it('has tasks that an endpoint started late stopped in time', async () => {
    const { fleet, jobId } = await cancelJobStartedLate();
    expect(await measureLongestRunMs(fleet, jobId, 16_000)).toBeLessThanOrEqual(MAX_RUN_MS);
    expect(phaseOf(fleet, jobId)).toBe('cancelled');
    expect(fleet.violations).toEqual([]);
  });

  it('has tasks that an endpoint started late for a former holder stopped in time', async () => {
    const { fleet, jobId } = await cancelJobStartedLate();
    await advanceTime(600);
    fleet.kill(requireHolder(fleet));
    expect(await measureLongestRunMs(fleet, jobId, 20_000)).toBeLessThanOrEqual(MAX_RUN_MS);
    expect(phaseOf(fleet, jobId)).toBe('cancelled');
    expect(fleet.violations).toEqual([]);
  });

  it('has its tasks stopped by the next holder after the entry that started them was removed', async () => {
    const fleet = await createStartedFleet();
    const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 60_000 });
    await advanceTime(1500);
    expect(listRunKeys(fleet, jobId)).toHaveLength(6);
    fleet.kill(requireHolder(fleet));
    fleet.addEntry('another');
    fleet.cancel(jobId);
    // The next holder takes over within 4 s; the bound applies from then on.
    await advanceTime(4000);
    expect(await measureLongestRunMs(fleet, jobId, 12_000)).toBeLessThanOrEqual(MAX_RUN_MS);
    expect(fleet.violations).toEqual([]);
  });
});
