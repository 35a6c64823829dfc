/** How many jobs the loss of a rack touches, by the policy of placement that a fleet is started with. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { parseTaskKey, type PlacementPolicy } from '@valvelatch/core/batch';

import { advance, FAKED, started } from '../testing/virtual-time.fixtures.js';

const RACKS = 8;
const LOOKS = 5;

describe('the policy of placement that a fleet is started with', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** The jobs with a task in a rack, in the mean over all racks and several looks. */
  const jobsTouched = async (placementPolicy: PlacementPolicy): Promise<number> => {
    const domains = { hostsPerRack: 4, dataCentres: 4 };
    const fleet = await started({ hostsPerPool: 32, domains, accounts: [], placementPolicy });
    const work = setInterval(() => {
      const steps = [{ taskCount: 8, cpuMillis: 1400 }];
      fleet.submit({ pool: 'alpha', steps, runMs: 1000 });
    }, 100);
    await advance(4000);
    let touched = 0;
    for (let look = 0; look < LOOKS; look += 1) {
      await advance(500);
      const pairs = Array.from(fleet.endpoints.values())
        .filter((one) => one.isUp())
        .flatMap(({ hostId, runs }) =>
          Array.from(runs.keys(), (key) => [
            fleet.hosts.get(hostId)?.labels[0],
            parseTaskKey(key)?.jobId,
          ]),
        );
      touched += new Set(pairs.map((pair) => pair.join(' '))).size / RACKS / LOOKS;
    }
    clearInterval(work);
    expect(fleet.broken).toEqual([]);
    return touched;
  };

  it('has the loss of a rack touch fewer jobs together than spread', async () => {
    const together = await jobsTouched('together');
    const spread = await jobsTouched('spread');
    expect(together).toBeLessThan(spread / 2);
  });
});
