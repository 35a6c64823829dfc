/** Takeovers while endpoints have more ended runs than one of their list responses holds, in virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  listRunKeys,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

/** Two endpoints have room for them, and list 500 ended ones each at once. */
const TASK_COUNT = 1500;
const RUN_MS = 2000;

/** Submits a wide job of short tasks, and waits until all of them run. */
const startWideJob = async (fleet: SimFleet): Promise<JobId> => {
  const steps = [{ taskCount: TASK_COUNT, cpuMillis: 10, memoryMb: 1 }];
  const jobId = fleet.submit({ pool: 'alpha', steps, runMs: RUN_MS });
  for (let ms = 0; ms < RUN_MS && listRunKeys(fleet, jobId).length < TASK_COUNT; ms += 10)
    await advanceTime(10);
  return jobId;
};

const countRestarts = ({ startsSent }: SimFleet): number =>
  startsSent.length - new Set(startsSent.map(({ task }) => task)).size;

describe('a job whose tasks end while there is no holder', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against taking a list that leaves out ended runs for all that an endpoint ran.
  it('has no task started again although no endpoint can list all ends at once', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 2 });
    await advanceTime(2000);
    const jobId = await startWideJob(fleet);
    expect(listRunKeys(fleet, jobId)).toHaveLength(TASK_COUNT);
    fleet.kill(requireHolder(fleet));
    await advanceTime(15_000);
    expect(phaseOf(fleet, jobId)).toBe('completed');
    expect(countRestarts(fleet)).toBe(0);
    expect(fleet.violations).toEqual([]);
  });
});
