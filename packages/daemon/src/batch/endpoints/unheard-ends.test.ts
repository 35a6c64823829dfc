/**
 * Tasks whose runs are done before their endpoint crashes, while the holder has not heard of it, in virtual time. A run
 * that was over crashed nothing.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';

const STEP_MS = 5;
const PLAY_MS = 60_000;
/** By how much endpoints answer more slowly than usual. */
const SLOW_ANSWER_MS = 300;

const endpointOf = (fleet: SimFleet, jobId: JobId) =>
  Array.from(fleet.endpoints.values()).find(
    (one) => one.isUp() && Array.from(one.runs.keys()).some((key) => key.startsWith(jobId)),
  );

describe('a harmless job of one task whose endpoints crash just after its runs are done', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([60, 100, 150, 200, 240, 300])(
    'is not failed (runs of %i ms, two crashes)',
    async (runMs) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      await advanceTime(5000);
      Object.assign(fleet.faults, { answerMs: SLOW_ANSWER_MS });
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs });
      let crashes = 0;
      for (let ms = 0; ms < PLAY_MS && crashes < 2; ms += STEP_MS) {
        await advanceTime(STEP_MS);
        const endpoint = endpointOf(fleet, jobId);
        if (!endpoint) continue;
        while (endpoint.isUp() && endpoint.runs.size > 0) await advanceTime(1);
        fleet.crash(endpoint.instanceId);
        crashes += 1;
      }
      Object.assign(fleet.faults, { answerMs: 0 });
      await advanceTime(PLAY_MS);
      expect(fleet.crashes.size).toBe(0);
      expect(fleet.violations).toEqual([]);
      expect(phaseOf(fleet, jobId)).toBe('completed');
    },
  );
});
