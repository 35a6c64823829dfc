/** What an entry tells the holder of jobs that it refused. */
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createRefusedJobs, type RefusedJob } from './refused-jobs.js';

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

describe('jobs that an entry has refused', () => {
  const withHolder = () => {
    const holder = { isReached: true, told: [] as RefusedJob[] };
    const clock = { nowMs: 0 };
    const refused = createRefusedJobs({
      send: async (jobs) => {
        if (holder.isReached) holder.told.push(...jobs);
        return holder.isReached;
      },
      nowMs: () => clock.nowMs,
    });
    return { holder, clock, refused };
  };

  it('are told once, with how long ago the first attempt was', async () => {
    const { holder, clock, refused } = withHolder();
    refused.add(jobIdOf(1));
    clock.nowMs = 200;
    refused.add(jobIdOf(1));
    clock.nowMs = 300;
    await refused.tell();
    await refused.tell();
    expect(holder.told).toEqual([[jobIdOf(1), 300]]);
  });

  it('are kept until the holder is reached, with their age', async () => {
    const { holder, clock, refused } = withHolder();
    refused.add(jobIdOf(1));
    holder.isReached = false;
    await refused.tell();
    clock.nowMs = 5000;
    holder.isReached = true;
    await refused.tell();
    expect(holder.told).toEqual([[jobIdOf(1), 5000]]);
  });

  it('are told in messages of bounded size, and forgotten where there are too many', async () => {
    const { holder, refused } = withHolder();
    Array.from({ length: 5000 }).forEach((_, index) => refused.add(jobIdOf(index)));
    await refused.tell();
    expect(holder.told).toHaveLength(500);
    expect(holder.told[0]?.[0]).toBe(jobIdOf(1000));
  });
});
