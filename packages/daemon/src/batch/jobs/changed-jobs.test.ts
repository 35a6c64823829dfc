/** How changed jobs are chosen for a transaction. */
import { addJob, createBatchState, DEFAULT_STEP, type BatchJob } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createChangedJobs } from './changed-jobs.js';

const JOBS = 300;
const SPACE = 40;
const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

const createChanged = () => {
  const state = createBatchState(1);
  const changed = createChangedJobs({
    state,
    onSaved: () => undefined,
    onCrashRecordsSaved: () => undefined,
    wallClockMs: () => 0,
  });
  Array.from({ length: JOBS }).forEach((_, index) => {
    const job: BatchJob = {
      jobId: brand(`job-${index}`),
      queue: brand('q'),
      pool: brand('p'),
      spec: '',
      steps: [{ ...DEFAULT_STEP, taskCount: 2 }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
    };
    addJob(state, { job, policy, nowMs: 0, wallClockMs: 0 });
    changed.mark(job.jobId);
  });
  return changed;
};

describe('changed jobs', () => {
  it('have no rows built for a full transaction, however many wait', () => {
    const changed = createChanged();
    let built = 0;
    const taken = changed.takeFitting(() => {
      built += 1;
      return built <= SPACE;
    });
    expect(taken).toHaveLength(SPACE);
    expect(built).toBe(SPACE + 1);
  });

  it('are all taken once, in the order in which they changed', () => {
    const changed = createChanged();
    const names: string[] = [];
    while (!changed.isEmpty()) {
      let space = SPACE;
      const taken = changed.takeFitting(() => {
        space -= 1;
        return space >= 0;
      });
      names.push(...taken.map(({ job }) => job.job.jobId));
    }
    expect(names).toEqual(Array.from({ length: JOBS }, (_, index) => `job-${index}`));
  });
});
