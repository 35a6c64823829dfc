/**
 * Endpoints that start again under the id that they had, in virtual time.
 *
 * The failure: a long-running task was lost with its endpoint, which crashed and was back 0.9 s later under its id.
 * The task waited for 23 s although that endpoint stood empty: nothing of it was used again, and its
 * host counted as one of the pool's all the while, so that no other came in its place.
 *
 * The cause: what was known of endpoints, that they had gone among it, was kept under an id that was taken
 * for one life only.
 */
import type { InstanceId, JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from './testing/sim-fleet.fixtures.js';
import { advance, FAKED, phaseOf, runningOf, started } from './testing/virtual-time.fixtures.js';

/** As long as a long-running task may be away at most before that counts against us. */
const AWAY_MS = 6000;

/** One task on each of the pool's endpoints. */
const submitLasting = (fleet: SimFleet, taskCount: number): JobId =>
  fleet.submit({
    pool: 'alpha',
    steps: [{ taskCount, isLasting: true, mostPerEndpoint: 1, cpuMillis: 4000 }],
  });

const anyEndpoint = (fleet: SimFleet): InstanceId => {
  const found = Array.from(fleet.endpoints.values()).find(({ pool }) => pool === 'alpha');
  if (!found) throw new Error('the pool has no endpoint');
  return found.instanceId;
};

describe('an endpoint that starts again under its id', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([20, 900, 3000])(
    'gets its long-running task back after having been down for %i ms',
    async (downMs) => {
      const fleet = await started();
      const job = submitLasting(fleet, 3);
      await advance(12_000);
      fleet.crash(anyEndpoint(fleet), downMs);
      await advance(downMs + AWAY_MS);
      expect(runningOf(fleet, job)).toHaveLength(3);
      expect(fleet.broken).toEqual([]);
    },
  );

  it.each([20, 900, 3000])(
    'has the ends of its new life heard after having been down for %i ms, under numbers that the old one had used',
    async (downMs) => {
      const fleet = await started({ hostsPerPool: 1 });
      const before = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8 }], runMs: 300 });
      await advance(4000);
      fleet.crash(anyEndpoint(fleet), downMs);
      const after = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 300 });
      await advance(downMs + AWAY_MS);
      expect([before, after].map((job) => phaseOf(fleet, job))).toEqual(['completed', 'completed']);
      expect(fleet.broken).toEqual([]);
    },
  );

  it('is used again after each of several crashes within a heartbeat', async () => {
    const fleet = await started();
    const job = submitLasting(fleet, 3);
    await advance(12_000);
    for (let crash = 0; crash < 3; crash += 1) {
      fleet.crash(anyEndpoint(fleet), 60);
      await advance(300);
    }
    await advance(AWAY_MS);
    expect(runningOf(fleet, job)).toHaveLength(3);
    expect(fleet.broken).toEqual([]);
  });
});
