/**
 * The story. On a calm day of 102 endpoints the holder's link of 250 KB a second was full. Time-outs of
 * 0.25 to 0.9 s gave up what was under way and sent it again, which filled the link further: 3,249
 * connections for 7,343 questions, and answers that were never read. Leases lapsed at endpoints that
 * were well, tasks were begun twice, and the storm went on after the load had gone.
 */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createSimLink } from '../testing/sim-platform.fixtures.js';
import { advance, FAKED, phaseOf, started } from '../testing/virtual-time.fixtures.js';

const JOBS = 60;
const LOAD_MS = 12_000;
/** What the load below puts on the busier direction of a link that is wide enough, measured. */
const NEEDED_BYTES_PER_MS = 106;
/** One play has 45 to 51 jobs in time, by chance alone. */
const SEEDS = 24;

describe('a holder whose link is too small for its load', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Plays jobs of twelve tasks of 0.8 s over a link, and then some time without new ones. */
  const play = async (bytesPerMs: number, restMs: number, seed = 7) => {
    const fleet = await started({ hostsPerPool: 6, seed });
    fleet.entries.forEach((entry) => Object.assign(entry, { link: createSimLink(bytesPerMs) }));
    const jobs: JobId[] = [];
    for (let turn = 0; turn < JOBS; turn += 1) {
      const pool = turn % 2 ? 'alpha' : 'beta';
      jobs.push(fleet.submit({ pool, steps: [{ taskCount: 12 }], runMs: 800, specBytes: 1200 }));
      await advance(LOAD_MS / JOBS);
    }
    const inTime = jobs.filter((job) => phaseOf(fleet, job) === 'completed').length;
    await advance(restMs);
    const bytes = fleet.entries.reduce((sum, { orderBytes }) => sum + orderBytes.out, 0);
    const done = jobs.filter((job) => phaseOf(fleet, job) === 'completed').length;
    // What goes on there would slow the plays that follow.
    Array.from(fleet.entries).forEach(fleet.kill);
    const lapsed = fleet.logged.filter(({ event }) => event === 'endpoint-lease-ended').length;
    return { done, inTime, lapsed, bytesPerMs: bytes / LOAD_MS, broken: fleet.broken };
  };

  it('loses nothing that is in time over a link that just carries the load', async () => {
    // 34 of 60 with time-outs that did not back off and without a window; 54 over a wide link.
    const inTimes: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { done, inTime, lapsed, broken } = await play(NEEDED_BYTES_PER_MS, 20_000, seed);
      expect({ done, lapsed, broken }).toEqual({ done: JOBS, lapsed: 0, broken: [] });
      inTimes.push(inTime);
    }
    const sum = inTimes.reduce((total, inTime) => total + inTime, 0);
    expect(sum / SEEDS).toBeGreaterThanOrEqual(47.5);
  }, 300_000);

  it('does all of twice the load once the load has gone, and loses no lease on the way', async () => {
    // Six endpoints that were well had their leases lapse, and 177 bytes were sent for each 106.
    const { done, lapsed, bytesPerMs, broken } = await play(NEEDED_BYTES_PER_MS / 2, 20_000);
    expect({ done, lapsed, broken }).toEqual({ done: JOBS, lapsed: 0, broken: [] });
    expect(bytesPerMs).toBeLessThan(NEEDED_BYTES_PER_MS * 1.15);
  });

  it.each([5, 20])('breaks no promise at %i times the load', async (times) => {
    const { broken } = await play(NEEDED_BYTES_PER_MS / times, 10_000);
    expect(broken).toEqual([]);
  });

  it('loses no lease at five times the load', async () => {
    const { lapsed } = await play(NEEDED_BYTES_PER_MS / 5, 10_000);
    expect(lapsed).toBe(0);
  });
});
