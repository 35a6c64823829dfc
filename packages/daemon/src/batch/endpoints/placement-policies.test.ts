/** How many jobs the loss of a rack affects, depending on the placement policy of the fleet. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { parseTaskKey, type PlacementPolicy } from '@valvelatch/core/batch';

import { advanceTime, FAKED_TIMERS, createStartedFleet } from '../testing/virtual-time.fixtures.js';

const RACKS = 8;
const SAMPLES = 5;

describe('the placement policy of a fleet', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Computes the mean number of jobs with a task in a rack, over all racks and several samples. */
  const countAffectedJobs = async (placementPolicy: PlacementPolicy): Promise<number> => {
    const domains = { hostsPerRack: 4, dataCentres: 4 };
    const fleet = await createStartedFleet({
      hostsPerPool: 32,
      domains,
      accounts: [],
      placementPolicy,
    });
    const submission = setInterval(() => {
      const steps = [{ taskCount: 8, cpuMillis: 1400 }];
      fleet.submit({ pool: 'alpha', steps, runMs: 1000 });
    }, 100);
    await advanceTime(4000);
    let affected = 0;
    for (let sample = 0; sample < SAMPLES; sample += 1) {
      await advanceTime(500);
      const pairs = Array.from(fleet.endpoints.values())
        .filter((endpoint) => endpoint.isUp())
        .flatMap(({ hostId, runs }) =>
          Array.from(runs.keys(), (key) => [
            fleet.hosts.get(hostId)?.labels[0],
            parseTaskKey(key)?.jobId,
          ]),
        );
      affected += new Set(pairs.map((pair) => pair.join(' '))).size / RACKS / SAMPLES;
    }
    clearInterval(submission);
    expect(fleet.violations).toEqual([]);
    return affected;
  };

  it('has the loss of a rack affect fewer jobs with together than with spread', async () => {
    const together = await countAffectedJobs('together');
    const spread = await countAffectedJobs('spread');
    expect(together).toBeLessThan(spread / 2);
  });
});
