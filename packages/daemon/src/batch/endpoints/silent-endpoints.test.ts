/** Crashes of endpoints of which one alone was silent before, in virtual time: its runs had ended with its lease. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { InstanceId, JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';

const STEP_MS = 20;
const PLAY_MS = 60_000;
/** Longer than leases last. */
const CUT_MS = 14_000;

const endpointOf = (fleet: SimFleet, jobId: JobId) =>
  Array.from(fleet.endpoints.values()).find(
    (one) => one.isUp() && Array.from(one.runs.keys()).some((key) => key.startsWith(jobId)),
  );

const cutOff = (fleet: SimFleet, instanceId: InstanceId): void =>
  fleet.entries.forEach((entry) => entry.unreachableEndpoints.add(instanceId));

const reconnect = (fleet: SimFleet, instanceId: InstanceId): void =>
  fleet.entries.forEach((entry) => entry.unreachableEndpoints.delete(instanceId));

describe('beside endpoints that alone are silent', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('a harmless job is not failed if four of them crash after its runs have lapsed', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 6 });
    const jobId = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: 40_000 });
    for (let crashes = 0; crashes < 4; crashes += 1) {
      for (let ms = 0; ms < PLAY_MS && !endpointOf(fleet, jobId); ms += STEP_MS)
        await advanceTime(STEP_MS);
      const endpoint = endpointOf(fleet, jobId);
      if (!endpoint) break;
      await advanceTime(3000);
      cutOff(fleet, endpoint.instanceId);
      await advanceTime(CUT_MS);
      expect(endpoint.runs.size).toBe(0);
      fleet.crash(endpoint.instanceId);
      reconnect(fleet, endpoint.instanceId);
      await advanceTime(500);
    }
    await advanceTime(2 * PLAY_MS);
    expect(fleet.crashes.size).toBe(0);
    expect(fleet.violations).toEqual([]);
    expect(phaseOf(fleet, jobId)).toBe('completed');
  });

  it.each([false, true])(
    'a task that crashes whatever starts it is given up (host list down: %s)',
    async (isHostListDown) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      const [silent] = Array.from(fleet.endpoints.values()).filter(({ pool }) => pool === 'alpha');
      if (!silent) throw new Error('no endpoint');
      cutOff(fleet, silent.instanceId);
      fleet.faults.isHostListDown = isHostListDown;
      await advanceTime(5000);
      const jobId = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 1 }],
        runMs: 640,
        crashesAfterMs: 10,
      });
      for (let ms = 0; ms < 4 * PLAY_MS && phaseOf(fleet, jobId) !== 'failed'; ms += 1000)
        await advanceTime(1000);
      expect(fleet.violations).toEqual([]);
      expect(phaseOf(fleet, jobId)).toBe('failed');
      expect(Math.max(...fleet.crashes.values())).toBeLessThan(6);
    },
  );
});
