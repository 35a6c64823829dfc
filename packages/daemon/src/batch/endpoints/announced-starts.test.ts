/** Announced starts over changes of the control holder, in virtual time. */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  createStartedFleet,
  listRunKeys,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

/** The number of endpoints of the pool. */
const ENDPOINTS = 4;
/** Longer than all kills of the holder together. */
const FILLING_MS = 60_000;
/** Longer than the simulation, so that the crashed endpoint is lost for good. */
const LOST_MS = 600_000;
const KILLS = 6;
/** Longer than it takes the next holder to recover and to schedule all tasks that wait. */
const KILL_INTERVAL_MS = 7000;
const RESTART_MS = 500;
/** Long enough for all jobs to be done after the last kill, from the first start anew. */
const SETTLED_MS = 40_000;

describe('jobs that wait in a full pool from which an endpoint was lost', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Fills the pool, has further jobs wait, and crashes one endpoint for good. */
  const startFullPool = async ({ fillingMs = FILLING_MS, seed = 7 } = {}): Promise<{
    fleet: SimFleet;
    waiting: readonly JobId[];
  }> => {
    const fleet = await createStartedFleet({ hostsPerPool: ENDPOINTS, seed });
    const filling = { pool: 'alpha', runMs: 5000 + fillingMs };
    fleet.submit({ ...filling, steps: [{ taskCount: ENDPOINTS, cpuMillis: 8000 }] });
    await advanceTime(1500);
    const waiting = [1, 2, 3].map(() =>
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }], runMs: 300 }),
    );
    await advanceTime(1000);
    const lost = Array.from(fleet.endpoints.values()).find(({ runs }) => runs.size > 0);
    if (!lost) throw new Error('no endpoint of the pool runs a task');
    fleet.crash(lost.instanceId, LOST_MS);
    await advanceTime(2500);
    return { fleet, waiting };
  };

  const killHolders = async (fleet: SimFleet, kills: number): Promise<void> => {
    for (let kill = 0; kill < kills; kill += 1) {
      const holder = requireHolder(fleet);
      fleet.kill(holder);
      await advanceTime(RESTART_MS);
      fleet.addEntry(holder.entryId);
      await advanceTime(KILL_INTERVAL_MS - RESTART_MS);
    }
  };

  it('are not failed for starts that no holder has sent, however often the holder is killed', async () => {
    const { fleet, waiting } = await startFullPool();
    await killHolders(fleet, KILLS);
    expect(waiting.flatMap((job) => listRunKeys(fleet, job))).toEqual([]);
    expect(waiting.map((job) => phaseOf(fleet, job))).toEqual(['live', 'live', 'live']);
    await advanceTime(FILLING_MS);
    expect(waiting.map((job) => phaseOf(fleet, job))).toEqual([
      'completed',
      'completed',
      'completed',
    ]);
    expect(fleet.violations).toEqual([]);
  });

  it('are done in the end and never failed, whenever holders are killed while jobs wait and start', async () => {
    // Each kill is followed by the next one while some starts are announced, written or under way.
    const kill = fc.integer({ min: 100, max: 4000 });
    await fc.assert(
      fc.asyncProperty(
        fc.array(kill, { minLength: 4, maxLength: 10 }),
        fc.integer({ min: 1, max: 20_000 }),
        fc.integer({ min: 1, max: 100_000 }),
        async (intervals, fillingMs, seed) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
          const { fleet, waiting } = await startFullPool({ fillingMs, seed });
          for (let index = 0; index < intervals.length; index += 1) {
            const holder = fleet.findHolder();
            if (holder) {
              fleet.kill(holder);
              setTimeout(() => fleet.addEntry(holder.entryId), RESTART_MS);
            }
            await advanceTime(intervals[index] as number);
          }
          await advanceTime(fillingMs + SETTLED_MS);
          expect(fleet.violations).toEqual([]);
          expect(new Set(waiting.map((job) => phaseOf(fleet, job)))).toEqual(
            new Set(['completed']),
          );
        },
      ),
      {
        numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 15),
        endOnFailure: true,
        ...(process.env.VALVELATCH_FUZZ_RUNS === undefined ? { seed: 1 } : {}),
      },
    );
  }, 600_000);

  it('are all counted as waiting after changes of the holder', async () => {
    const { fleet, waiting } = await startFullPool();
    await killHolders(fleet, 3);
    const counts = requireHolder(fleet).control.term()?.countWaitingJobs();
    expect(Array.from(counts?.values() ?? [])).toEqual([waiting.length]);
  });
});
