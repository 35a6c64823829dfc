/** Harmless tasks of many jobs whose endpoints crashed at about the same time, once their pool is calm again. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  listRunKeys,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';

/** A pool is calm once nothing has disturbed it for this long. */
const CALM_MS = 4000;
/** A calm pool with free capacity starts each waiting task within this time. */
const MAX_WAIT_MS = 3000;
const DOWN_MS = 1200;
/** Less than the observation period, so that all tasks are suspects. */
const CRASH_AFTER_MS = 150;
const SIMULATION_MS = 30_000;
/** A task under which three endpoints have crashed must be started fewer than three times more. */
const MAX_CRASHES = 5;

/** Submits jobs of one task that take half of the pool's capacity together. */
const submitJobs = (fleet: SimFleet): readonly JobId[] =>
  Array.from({ length: 64 }, () =>
    fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1, cpuMillis: 500 }], runMs: 2500 }),
  );

/** Crashes all endpoints of the pool shortly after tasks have started, the given number of times. */
const crashAll = async (fleet: SimFleet, times: number): Promise<void> => {
  for (let crash = 0; crash < times; crash += 1) {
    await advanceTime(CRASH_AFTER_MS);
    Array.from(fleet.endpoints.values())
      .filter(({ pool }) => pool === 'alpha')
      .forEach(({ instanceId }) => fleet.crash(instanceId, DOWN_MS));
    await advanceTime(DOWN_MS);
  }
};

const countStarts = (fleet: SimFleet, job: JobId): number =>
  fleet.startsSent.filter(({ task }) => task.startsWith(job)).length;

const isWaiting = (fleet: SimFleet, job: JobId): boolean =>
  phaseOf(fleet, job) !== 'completed' && listRunKeys(fleet, job).length === 0;

describe('harmless tasks of many jobs whose endpoints crashed together', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([1, 2])(
    'have all been started again 3 s after the pool became calm, if it crashed %i times',
    async (times) => {
      const fleet = await createStartedFleet({ hostsPerPool: 8 });
      const jobs = submitJobs(fleet);
      await crashAll(fleet, times);
      await advanceTime(CALM_MS + MAX_WAIT_MS);
      expect(jobs.filter((job) => isWaiting(fleet, job))).toEqual([]);
      await advanceTime(SIMULATION_MS);
      expect(jobs.filter((job) => phaseOf(fleet, job) !== 'completed')).toEqual([]);
      expect(fleet.violations).toEqual([]);
    },
  );

  it('lose one more run each at most if a task among them crashes its endpoints', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 8 });
    const jobs = submitJobs(fleet);
    const crashing = fleet.submit({
      pool: 'alpha',
      steps: [{ taskCount: 1, cpuMillis: 500 }],
      runMs: 2500,
      crashesAfterMs: 10,
    });
    await crashAll(fleet, 1);
    await advanceTime(SIMULATION_MS);
    expect(jobs.filter((job) => phaseOf(fleet, job) !== 'completed')).toEqual([]);
    expect(Math.max(...jobs.map((job) => countStarts(fleet, job)))).toBeLessThanOrEqual(3);
    expect(phaseOf(fleet, crashing)).toBe('failed');
    expect(Math.max(...fleet.crashes.values())).toBeLessThanOrEqual(MAX_CRASHES);
    expect(fleet.violations).toEqual([]);
  });
});
