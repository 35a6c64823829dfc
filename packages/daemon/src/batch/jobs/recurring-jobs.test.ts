/** Guards against a recurring job of many due times that holds up other jobs, its own row, or a change of the holder. */
import type { BatchJobRow } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { batchKey } from '../keys.js';
import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import { SIM_QUEUE_POLICY } from '../testing/sim-environment.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

const ROW_BYTES = 65_536;
const RUN_MS = 20;

/** Commits the row of a job that is due once a second, with due times in the past. */
const submitRecurring = (fleet: SimFleet, repeats: number): JobId => {
  const { job } = fleet.prepareJob({ pool: 'alpha', steps: [{ taskCount: 2 }], runMs: RUN_MS });
  const times = { repeats, firstDueAtMs: Date.now() - repeats * 1000, intervalMs: 1000 };
  const row: BatchJobRow = { kind: 'live', job: { ...job, ...times }, policy: SIM_QUEUE_POLICY };
  fleet.commit({ checks: [], writes: [{ key: batchKey.job(job.jobId), value: row }] });
  return job.jobId;
};

const submitSmall = (fleet: SimFleet): JobId =>
  fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }], runMs: 100 });

const replaceHolder = async (fleet: SimFleet, name: string): Promise<void> => {
  fleet.kill(requireHolder(fleet));
  fleet.addEntry(name);
  await advanceTime(5000);
};

const countTasks = (fleet: SimFleet, jobId: JobId): number =>
  new Set(fleet.startsSent.filter(({ task }) => task.startsWith(jobId)).map(({ task }) => task))
    .size;

describe('a recurring job with many due times in the past', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('does not hold up jobs that are accepted after it', async () => {
    const fleet = await createStartedFleet({ accounts: [] });
    submitRecurring(fleet, 86_400);
    await advanceTime(1000);
    const small = Array.from({ length: 5 }, () => submitSmall(fleet));
    await advanceTime(3000);
    expect(small.map((jobId) => phaseOf(fleet, jobId))).toEqual(small.map(() => 'completed'));
    expect(fleet.violations).toEqual([]);
  });

  it('keeps few of them in the state of the holder', async () => {
    const fleet = await createStartedFleet({ accounts: [] });
    const jobId = submitRecurring(fleet, 86_400);
    await advanceTime(5000);
    const job = requireHolder(fleet).control.term()?.state.jobs.get(jobId);
    expect(job?.doneBelow).toBeGreaterThan(20);
    expect(job?.occurrences.size).toBeLessThan(100);
  });

  it.each([1, 2, 3, 4])(
    'runs each of them once although holders are lost, seed %i',
    async (seed) => {
      const fleet = await createStartedFleet({ accounts: [], seed });
      const jobId = submitRecurring(fleet, 3000);
      for (let index = 0; index < 3; index += 1) {
        await advanceTime(1000 + seed * 300);
        await replaceHolder(fleet, `later-${index}`);
      }
      await advanceTime(60_000);
      expect(phaseOf(fleet, jobId)).toBe('completed');
      expect(countTasks(fleet, jobId)).toBe(6000);
      expect(fleet.violations).toEqual([]);
    },
  );

  it('has a row that the table accepts, and that the next holder reads', async () => {
    const fleet = await createStartedFleet({ accounts: [] });
    const jobId = submitRecurring(fleet, 86_400);
    await advanceTime(20_000);
    const before = requireHolder(fleet).control.term()?.state.jobs.get(jobId)?.doneBelow ?? 0;
    const row = fleet.findProgressRow(jobId);
    expect(JSON.stringify(row).length).toBeLessThan(ROW_BYTES / 4);
    await replaceHolder(fleet, 'd');
    const after = requireHolder(fleet).control.term()?.state.jobs.get(jobId);
    expect(after?.doneBelow).toBeGreaterThanOrEqual(before - 50);
    expect(fleet.violations).toEqual([]);
  });
});
