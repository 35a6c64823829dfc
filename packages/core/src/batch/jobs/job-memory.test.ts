/** Guards against accepted jobs that together take more memory than there is, and against one scope that takes it all. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type JobId, type PoolName } from '../../shared/ids.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import type { BatchJob, QueueName } from '../model/job.js';
import { createBatchState, type BatchState } from '../model/state.js';
import { requestDeferredJob, selectDeferredJobs } from './deferred-jobs.js';
import { addJob } from './job-lifecycle.js';
import { estimateJobBytes } from './job-bytes.js';
import { createJobMemory, type JobMemory } from './job-memory.js';

const BOUND_BYTES = 1_000_000;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
const NO_MAXIMUM = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

type JobOptions = { readonly queue?: string; readonly account?: string; readonly tasks?: number };

const createPlay = () => {
  const state = createBatchState(1);
  const memory = createJobMemory({ state, boundBytes: BOUND_BYTES, random: () => 0.5 });
  let jobs = 0;
  let nowMs = 0;

  const createJob = ({ queue = 'q', account, tasks = 1000 }: JobOptions): BatchJob => {
    jobs += 1;
    return {
      jobId: brand<JobId>(`job-${jobs}`),
      queue: brand<QueueName>(queue),
      pool: brand<PoolName>('p'),
      spec: '',
      steps: [{ ...DEFAULT_STEP, taskCount: tasks }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
      ...(account === undefined
        ? {}
        : { owner: { account: brand<AccountName>(account), maximum: NO_MAXIMUM } }),
    };
  };

  /** Submits a job, and adds it if it is accepted. */
  const submit = (options: JobOptions): boolean => {
    const job = createJob(options);
    if (memory.findShortage(job, nowMs)) return false;
    memory.addPending(job);
    addJob(state, { job, policy: POLICY, nowMs, wallClockMs: 0 });
    memory.removePending(job.jobId);
    return true;
  };

  const submitUntilRefused = (options: JobOptions): number => {
    let accepted = 0;
    while (accepted < 10_000 && submit(options)) accepted += 1;
    return accepted;
  };

  return {
    state,
    memory,
    createJob,
    submit,
    submitUntilRefused,
    waitMs: (ms: number) => {
      nowMs += ms;
    },
    nowMs: () => nowMs,
  };
};

const defer = (state: BatchState, job: BatchJob, version: number): void => {
  const { jobId, queue, owner } = job;
  state.deferredJobs.set(jobId, {
    jobId,
    queue,
    account: owner?.account,
    neededBytes: estimateJobBytes(job),
    version,
    hasStarted: false,
    isRequested: false,
  });
};

const heldBytes = (memory: JobMemory, nowMs: number): number => memory.measure(nowMs).heldBytes;

describe('the memory that jobs take', () => {
  describe('while one queue has jobs', () => {
    it('is half of the bound at most', () => {
      const play = createPlay();
      play.submitUntilRefused({});
      expect(heldBytes(play.memory, play.nowMs())).toBeGreaterThan(0.45 * BOUND_BYTES);
      expect(heldBytes(play.memory, play.nowMs())).toBeLessThan(0.55 * BOUND_BYTES);
    });

    it('is the same for many small jobs', () => {
      const play = createPlay();
      play.submitUntilRefused({ tasks: 1 });
      expect(heldBytes(play.memory, play.nowMs())).toBeLessThan(0.55 * BOUND_BYTES);
    });

    it('is free again once they are gone', () => {
      const play = createPlay();
      play.submitUntilRefused({});
      play.state.jobs.clear();
      play.waitMs(200);
      expect(play.submit({})).toBe(true);
    });

    it('counts the tasks that have begun', () => {
      const play = createPlay();
      play.submit({});
      const before = heldBytes(play.memory, play.nowMs());
      play.state.jobs.forEach(({ occurrences }) => occurrences.get(0)?.steps[0]?.tasks.all());
      play.waitMs(200);
      expect(heldBytes(play.memory, play.nowMs())).toBeGreaterThan(before + 1000 * 400);
    });
  });

  describe('while one queue or account has as much as it may', () => {
    it.each([
      ['another queue', { queue: 'other' }],
      ['an account', { account: 'a' }],
    ])('leaves space for jobs of %s', (_, other) => {
      const play = createPlay();
      play.submitUntilRefused({});
      expect(play.submitUntilRefused(other)).toBeGreaterThan(5);
    });

    it('leaves space for another account in the same queue', () => {
      const play = createPlay();
      play.submitUntilRefused({ account: 'a' });
      expect(play.submit({ account: 'b' })).toBe(true);
    });

    it('never exceeds the bound, whoever submits', () => {
      const play = createPlay();
      for (let index = 0; index < 40; index += 1)
        play.submitUntilRefused({ queue: `q-${index}`, tasks: 10 });
      expect(heldBytes(play.memory, play.nowMs())).toBeLessThan(BOUND_BYTES);
    });
  });

  describe('while jobs are being written', () => {
    it('counts them from the moment when they were let in', () => {
      const play = createPlay();
      const jobs = Array.from({ length: 100 }, () => play.createJob({}));
      const accepted = jobs.filter((job) => {
        if (play.memory.findShortage(job, 0)) return false;
        play.memory.addPending(job);
        return true;
      });
      play.waitMs(200);
      expect(accepted.length * estimateJobBytes(play.createJob({}))).toBeLessThan(
        0.55 * BOUND_BYTES,
      );
      expect(heldBytes(play.memory, play.nowMs())).toBeGreaterThan(0);
      accepted.forEach(({ jobId }) => play.memory.removePending(jobId));
      play.waitMs(200);
      expect(heldBytes(play.memory, play.nowMs())).toBe(0);
    });
  });

  describe('while accepted jobs wait for it', () => {
    const createFullPlay = () => {
      const play = createPlay();
      play.submitUntilRefused({});
      const first = play.createJob({});
      const second = play.createJob({});
      const other = play.createJob({ queue: 'other' });
      [first, second, other].forEach((job, index) => defer(play.state, job, index + 1));
      return { ...play, first, second, other };
    };

    const select = ({ state, memory, nowMs }: ReturnType<typeof createFullPlay>, most = 10) =>
      selectDeferredJobs(state, memory, { most, nowMs: nowMs() }).map(({ jobId }) => jobId);

    it('goes to those of other queues', () => {
      const play = createFullPlay();
      expect(select(play)).toEqual([play.other.jobId]);
    });

    it('goes to them in the order in which they were accepted once there is some', () => {
      const play = createFullPlay();
      play.state.jobs.clear();
      play.waitMs(200);
      expect(select(play, 2)).toEqual([play.first.jobId, play.second.jobId]);
    });

    it('goes first to those on which something depends', () => {
      const play = createFullPlay();
      expect(requestDeferredJob(play.state, play.second.jobId)).toBe(true);
      expect(select(play)).toEqual([play.second.jobId, play.other.jobId]);
    });

    it('goes to no new job of the same queue', () => {
      const play = createFullPlay();
      play.state.jobs.clear();
      play.waitMs(200);
      expect(play.submit({ tasks: 1 })).toBe(false);
      expect(play.submit({ tasks: 1, queue: 'third' })).toBe(true);
    });
  });
});
