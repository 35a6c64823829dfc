/** What callers get when one queue's peak follows another's that has left a backlog, in virtual time. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { advance, FAKED, phaseOf, started } from './testing/virtual-time.fixtures.js';

const OBJECTIVE_MS = 3800;
const RUN_MS = 1600;
const FIRST_PEAK_JOBS = 100;
const JOBS = 40;
/** 128 cores, where all hosts of both pools have 160. */
const EVERY_MS = 200;

describe('a peak that follows another queue’s', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('gets hosts of the other before that has worked off what is late', async () => {
    // 11 of 40 jobs in time; 2 where hosts changed their pool only once they stood empty by themselves.
    const fleet = await started({ hostsPerPool: 10 });
    const job = (pool: string): JobId =>
      fleet.submit({ pool, steps: [{ taskCount: 8, cpuMillis: 2000 }], runMs: RUN_MS });
    for (let one = 0; one < FIRST_PEAK_JOBS; one += 1) {
      job('alpha');
      await advance(40);
    }
    await advance(2000);
    const inTime = new Set<JobId>();
    const look = (jobId: JobId): void => {
      if (phaseOf(fleet, jobId) === 'completed') inTime.add(jobId);
    };
    for (let one = 0; one < JOBS; one += 1) {
      setTimeout(look, OBJECTIVE_MS, job('beta'));
      await advance(EVERY_MS);
    }
    await advance(60_000);
    expect(fleet.broken).toEqual([]);
    expect(inTime.size).toBeGreaterThanOrEqual(9);
  });
});
