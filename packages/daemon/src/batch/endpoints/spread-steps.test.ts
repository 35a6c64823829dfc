/** How many tasks a long-running step loses with each of its racks and data centres. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  listRunKeys,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const RACKS = 6;
const DATA_CENTRES = 3;
const TASKS = 12;

describe('a long-running step over six racks in three data centres', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const startStep = async (): Promise<{ readonly fleet: SimFleet; readonly jobId: JobId }> => {
    const domains = { hostsPerRack: 3, dataCentres: DATA_CENTRES };
    const fleet = await createStartedFleet({ hostsPerPool: RACKS * 3, domains, accounts: [] });
    const step = { taskCount: TASKS, isLasting: true, mayMiss: 2, cpuMillis: 1000 };
    const jobId = fleet.submit({ pool: 'alpha', steps: [step] });
    await advanceTime(2000);
    expect(listRunKeys(fleet, jobId)).toHaveLength(TASKS);
    return { fleet, jobId };
  };

  /** Crashes the endpoints on all hosts of a rack or of a data centre at once. */
  const crashDomain = (
    fleet: SimFleet,
    isIn: (label: string, dataCentre: string) => boolean,
  ): void =>
    Array.from(fleet.hosts.values())
      .filter(({ labels, dataCentre }) => isIn(labels[0] ?? '', dataCentre))
      .forEach(({ instanceId }) => instanceId && fleet.crash(instanceId));

  const expectRecovery = async ({ fleet, jobId }: Awaited<ReturnType<typeof startStep>>) => {
    await advanceTime(8000);
    expect(listRunKeys(fleet, jobId)).toHaveLength(TASKS);
    expect(fleet.violations).toEqual([]);
  };

  Array.from({ length: RACKS }, (_, number) => `rack-${number}`).forEach((rack) =>
    it(`loses no more tasks than its mayMiss with ${rack}`, async () => {
      const { fleet, jobId } = await startStep();
      crashDomain(fleet, (label) => label === rack);
      expect(listRunKeys(fleet, jobId).length).toBeGreaterThanOrEqual(TASKS - TASKS / RACKS);
      await expectRecovery({ fleet, jobId });
    }),
  );

  Array.from({ length: DATA_CENTRES }, (_, number) => `dc-${number}`).forEach((lost) =>
    it(`loses no more than a third of its tasks with data centre ${lost}`, async () => {
      const { fleet, jobId } = await startStep();
      crashDomain(fleet, (_, dataCentre) => dataCentre === lost);
      expect(listRunKeys(fleet, jobId).length).toBeGreaterThanOrEqual(TASKS - TASKS / DATA_CENTRES);
      await expectRecovery({ fleet, jobId });
    }),
  );
});
