/** Quotas that fall while orders wait for endpoints that are slow and then silent, and rise again later. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createSimAccount, type SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createRandom,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

const ACCOUNT = 'client-a';
const NO_MAXIMUM = 0;
/** After this time a holder reads the clocks of endpoints again, so that orders wait for them. */
const CLOCK_READINGS_OLD_MS = 62_000;
const CLOCK_READINGS_RECENT_MS = 15_000;
const QUOTA_RISES_AFTER_MS = 20_000;
const ALL_COMPLETE_AFTER_MS = 60_000;
/** With the quota asked at placement only, tasks start above it with seven of these. */
const SEEDS = [11, 33, 43, 110, 119, 140, 145, 1, 2, 3];

const listSeeds = (): readonly number[] => {
  const runs = process.env.VALVELATCH_FUZZ_RUNS;
  return runs === undefined ? SEEDS : Array.from({ length: Number(runs) }, (_, index) => index + 1);
};

describe('a quota that falls while orders wait', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Has answers take so long that the holder waits long for each, and lets its clock readings grow old. */
  const slowDown = async (fleet: SimFleet, nextRandom: () => number): Promise<void> => {
    Object.assign(fleet.faults, { answerMs: 300 + nextRandom() * 1200 });
    fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, mostPerEndpoint: 1 }], runMs: 1000 });
    await advanceTime(nextRandom() < 0.5 ? CLOCK_READINGS_OLD_MS : CLOCK_READINGS_RECENT_MS);
    Object.assign(fleet.faults, { answerMs: 0 });
  };

  const submitJobs = (fleet: SimFleet, nextRandom: () => number) =>
    Array.from({ length: 1 + Math.floor(nextRandom() * 3) }, () => {
      const taskCount = 2 + Math.floor(nextRandom() * 4);
      const cpuMillis = 1000 + Math.floor(nextRandom() * 1500);
      const runMs = 2000 + nextRandom() * 10_000;
      return fleet.submit({ pool: 'alpha', steps: [{ taskCount, cpuMillis }], runMs });
    });

  it.each(listSeeds())(
    'starts no task above it, and all jobs complete once it has risen again, with seed %i',
    async (seed) => {
      const nextRandom = createRandom(seed * 7919 + 13);
      const accounts = [createSimAccount(ACCOUNT, NO_MAXIMUM)];
      const fleet = await createStartedFleet({ accounts, seed });
      await slowDown(fleet, nextRandom);
      const { unreachableEndpoints } = requireHolder(fleet);
      const silent = Array.from(fleet.endpoints.keys()).filter(() => nextRandom() < 0.8);
      silent.forEach((instanceId) => unreachableEndpoints.add(instanceId));
      const jobs = submitJobs(fleet, nextRandom);
      await advanceTime(100 + nextRandom() * 2500);
      const maximum = 1000 + Math.floor(nextRandom() * 4000);
      fleet.declareAccounts([createSimAccount(ACCOUNT, maximum)]);
      await advanceTime(1500 + nextRandom() * 4000);
      silent.forEach((instanceId) =>
        setTimeout(() => unreachableEndpoints.delete(instanceId), nextRandom() * 1500),
      );
      await advanceTime(QUOTA_RISES_AFTER_MS);
      fleet.declareAccounts(accounts);
      await advanceTime(ALL_COMPLETE_AFTER_MS);
      expect(fleet.violations).toEqual([]);
      expect(jobs.map((job) => phaseOf(fleet, job))).toEqual(jobs.map(() => 'completed'));
    },
  );
});
