/** A conclusive start whose run is done before its endpoint crashes and its holder is lost, in virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { ProgressRow } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import { batchKey } from '../keys.js';
import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

const STEP_MS = 10;
const PLAY_MS = 60_000;

/** One known crash with others there that may have caused it, late in the observation period, and two supposed ones. */
const FACTS = { isSuspected: true, isCorrelated: false, fence: 1, countedAtMs: 0 };
const KNOWN = { run: 3, livedMs: 1000, isKnown: true, isConfirmed: true, isSoleSuspect: false };
const SUPPOSED = { livedMs: 0, isKnown: false, isConfirmed: false, isSoleSuspect: true };
const PROGRESS = {
  0: {
    0: {
      done: '0',
      crashes: [[0, [{ ...FACTS, ...KNOWN }]]],
      supposed: [[0, [1, 2].map((run) => ({ ...FACTS, ...SUPPOSED, run }))]],
    },
  },
} as unknown as ProgressRow;

const endpointOf = (fleet: SimFleet, jobId: JobId) =>
  Array.from(fleet.endpoints.values()).find(
    (one) => one.isUp() && Array.from(one.runs.keys()).some((key) => key.startsWith(jobId)),
  );

describe('a harmless job with one known crash, whose conclusive run is done unheard', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([150, 300, 600, 1200])(
    'is not failed as its endpoint crashes after that and its holder is lost (run of %i ms)',
    async (runMs) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      Array.from(fleet.entries).forEach(fleet.kill);
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs });
      fleet.commit({
        checks: [],
        writes: [{ key: batchKey.progress(jobId), value: PROGRESS }],
      });
      await advanceTime(1000);
      ['d', 'e', 'f'].forEach((name) => fleet.addEntry(name));
      for (let ms = 0; ms < PLAY_MS && !endpointOf(fleet, jobId); ms += STEP_MS)
        await advanceTime(STEP_MS);
      const endpoint = endpointOf(fleet, jobId);
      if (!endpoint) throw new Error('no endpoint has the task');
      await advanceTime(100);
      fleet.entries.forEach((entry) => entry.unreachableEndpoints.add(endpoint.instanceId));
      while (endpoint.runs.size > 0) await advanceTime(STEP_MS);
      fleet.kill(requireHolder(fleet));
      fleet.crash(endpoint.instanceId);
      await advanceTime(PLAY_MS);
      expect(fleet.crashes.size).toBe(0);
      expect(fleet.violations).toEqual([]);
      expect(phaseOf(fleet, jobId)).toBe('completed');
    },
  );
});
