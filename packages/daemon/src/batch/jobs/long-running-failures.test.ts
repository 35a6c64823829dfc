/** Guards against long-running tasks that fail on any endpoint and thereby keep all endpoints from other jobs. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';

/** As many jobs as must fail on an endpoint for it to be withheld. */
const FAILING_JOBS = 3;
const OTHER_JOBS = 10;
const INTERVAL_MS = 1000;
/** Many times what the last job takes on idle endpoints. */
const COMPLETED_WITHIN_MS = 5000;

describe('long-running tasks that fail wherever they start', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('do not keep the jobs beside them from completing', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    const steps = [{ taskCount: 3, isLasting: true }];
    for (let index = 0; index < FAILING_JOBS; index += 1)
      fleet.submit({ pool: 'alpha', steps, runMs: 60, fails: true });
    await advanceTime(10 * INTERVAL_MS);
    const others = [];
    for (let index = 0; index < OTHER_JOBS; index += 1) {
      others.push(fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }], runMs: 600 }));
      await advanceTime(INTERVAL_MS);
    }
    await advanceTime(COMPLETED_WITHIN_MS);
    expect(others.map((job) => phaseOf(fleet, job))).toEqual(others.map(() => 'completed'));
    expect(fleet.violations).toEqual([]);
  });
});
