/**
 * How long a task with supposed crashes waits for a calm pool, in virtual time. Rule LOST allows 3 s after 4 calm seconds.
 */
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
const MAX_WAIT_MS = 40_000;

/** A row that names supposed crashes under the only task of a job. */
const progressWith = (supposed: number): ProgressRow =>
  ({
    0: {
      0: {
        done: '0',
        supposed: [
          [
            0,
            Array.from({ length: supposed }, (_, index) => ({
              run: index + 1,
              livedMs: 0,
              isKnown: false,
              isConfirmed: false,
              isSuspected: true,
              isSoleSuspect: true,
              isCorrelated: false,
              fence: 1,
              countedAtMs: 0,
            })),
          ],
        ],
      },
    },
  }) as unknown as ProgressRow;

const waitUntil = async (isTrue: () => boolean): Promise<boolean> => {
  for (let ms = 0; ms < MAX_WAIT_MS && !isTrue(); ms += STEP_MS) await advanceTime(STEP_MS);
  return isTrue();
};

const hostsWith = (fleet: SimFleet, jobId: JobId) =>
  Array.from(fleet.endpoints.values()).filter(
    (one) => one.isUp() && Array.from(one.runs.keys()).some((key) => key.startsWith(jobId)),
  );

/** Submits a job whose row names crashes. */
const submitWithCrashes = (fleet: SimFleet, supposed: number): JobId => {
  const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 2000 });
  if (supposed > 0)
    fleet.commit({
      checks: [],
      writes: [{ key: batchKey.progress(jobId), value: progressWith(supposed) }],
    });
  return jobId;
};

/** Returns how long after now a task of the job is on an endpoint. */
const waitForStart = async (fleet: SimFleet, jobId: JobId): Promise<number> => {
  const sinceMs = performance.now();
  expect(await waitUntil(() => hostsWith(fleet, jobId).length > 0)).toBe(true);
  return Math.round(performance.now() - sinceMs);
};

describe('a task with supposed crashes in a pool of idle endpoints', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([0, 1, 2, 4])(
    'with %i of them starts within 7 s of the loss of the holder',
    async (supposed) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      await advanceTime(10_000);
      const jobId = submitWithCrashes(fleet, supposed);
      fleet.kill(requireHolder(fleet));
      expect(await waitForStart(fleet, jobId)).toBeLessThan(7000);
      await advanceTime(10_000);
      expect(phaseOf(fleet, jobId)).toBe('completed');
    },
  );

  it.each([0, 1, 2])(
    'with %i of them starts within 3 s of a handover of control that was planned',
    async (supposed) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      await advanceTime(10_000);
      const holder = requireHolder(fleet);
      void holder.control.resign();
      const jobId = submitWithCrashes(fleet, supposed);
      await advanceTime(100);
      fleet.kill(holder);
      expect(await waitForStart(fleet, jobId)).toBeLessThan(3000);
    },
  );

  it.each([0, 1, 2])(
    'with %i of them starts within 7 s although tasks of other jobs crash endpoints',
    async (supposed) => {
      const fleet = await createStartedFleet({ hostsPerPool: 6 });
      const jobId = submitWithCrashes(fleet, supposed);
      fleet.kill(requireHolder(fleet));
      Array.from({ length: 10 }, (_, index) => index * 4000).forEach((atMs) =>
        setTimeout(
          () =>
            fleet.submit({
              pool: 'alpha',
              steps: [{ taskCount: 1 }],
              runMs: 640,
              crashesAfterMs: 10,
            }),
          atMs,
        ),
      );
      expect(await waitForStart(fleet, jobId)).toBeLessThan(7000);
    },
  );
});
