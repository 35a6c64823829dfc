/** Tasks of cancelled jobs that begin or run where nobody expects them. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advance,
  FAKED,
  holderOf,
  phaseOf,
  runningOf,
  started,
} from '../testing/virtual-time.fixtures.js';

/** A task may run on for so long once its endpoint is in contact: 3 s to act, 0.9 s to stop. */
const MOST_RUN_MS = 3900;
const LOOK_MS = 100;

/** Watches for how long in a row any task of a job runs. */
const longestRunMs = async (fleet: SimFleet, jobId: JobId, forMs: number): Promise<number> => {
  let longestMs = 0;
  let inRowMs = 0;
  for (let passedMs = 0; passedMs < forMs; passedMs += LOOK_MS) {
    await advance(LOOK_MS);
    inRowMs = runningOf(fleet, jobId).length > 0 ? inRowMs + LOOK_MS : 0;
    longestMs = Math.max(longestMs, inRowMs);
  }
  return longestMs;
};

describe('a cancelled job', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Submits a job whose orders to start are all carried out late, and cancels it meanwhile. */
  const lateJob = async () => {
    const fleet = await started();
    const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 30_000 });
    fleet.faults.lateOrders = 1;
    await advance(900);
    expect(runningOf(fleet, jobId)).toEqual([]);
    fleet.faults.lateOrders = 0;
    fleet.cancel(jobId);
    return { fleet, jobId };
  };

  it('has no task at work for long that an endpoint began late', async () => {
    const { fleet, jobId } = await lateJob();
    expect(await longestRunMs(fleet, jobId, 16_000)).toBeLessThanOrEqual(MOST_RUN_MS);
    expect(phaseOf(fleet, jobId)).toBe('cancelled');
    expect(fleet.broken).toEqual([]);
  });

  it('has no task at work for long that an endpoint began late for a holder that is gone', async () => {
    const { fleet, jobId } = await lateJob();
    await advance(600);
    fleet.kill(holderOf(fleet));
    expect(await longestRunMs(fleet, jobId, 20_000)).toBeLessThanOrEqual(MOST_RUN_MS);
    expect(phaseOf(fleet, jobId)).toBe('cancelled');
    expect(fleet.broken).toEqual([]);
  });

  it('has its tasks stopped by the next holder where the entry that began them was removed', async () => {
    const fleet = await started();
    const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 60_000 });
    await advance(1500);
    expect(runningOf(fleet, jobId)).toHaveLength(6);
    fleet.kill(holderOf(fleet));
    fleet.addEntry('another');
    fleet.cancel(jobId);
    // The next holder is there after 4 s at most; from then on the bound counts.
    await advance(4000);
    expect(await longestRunMs(fleet, jobId, 12_000)).toBeLessThanOrEqual(MOST_RUN_MS);
    expect(fleet.broken).toEqual([]);
  });
});
