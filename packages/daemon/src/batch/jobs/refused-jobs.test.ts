/** Reports of refused jobs from an entry to the holder. */
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createRefusedJobs, type RefusedJob } from './refused-jobs.js';

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

describe('jobs that an entry has refused', () => {
  const createWithHolder = () => {
    const holder = { isReached: true, reported: [] as RefusedJob[] };
    const clock = { nowMs: 0 };
    const refused = createRefusedJobs({
      send: async (jobs) => {
        if (holder.isReached) holder.reported.push(...jobs);
        return holder.isReached;
      },
      nowMs: () => clock.nowMs,
    });
    return { holder, clock, refused };
  };

  it('are reported once, with the age of the first attempt', async () => {
    const { holder, clock, refused } = createWithHolder();
    refused.add(jobIdOf(1));
    clock.nowMs = 200;
    refused.add(jobIdOf(1));
    clock.nowMs = 300;
    await refused.report();
    await refused.report();
    expect(holder.reported).toEqual([[jobIdOf(1), 300]]);
  });

  it('are kept until the holder is reached, and reported with their age', async () => {
    const { holder, clock, refused } = createWithHolder();
    refused.add(jobIdOf(1));
    holder.isReached = false;
    await refused.report();
    clock.nowMs = 5000;
    holder.isReached = true;
    await refused.report();
    expect(holder.reported).toEqual([[jobIdOf(1), 5000]]);
  });

  it('are reported in messages of bounded size, and the oldest are dropped if there are too many', async () => {
    const { holder, refused } = createWithHolder();
    Array.from({ length: 5000 }).forEach((_, index) => refused.add(jobIdOf(index)));
    await refused.report();
    expect(holder.reported).toHaveLength(500);
    expect(holder.reported[0]?.[0]).toBe(jobIdOf(1000));
  });
});
