/**
 * Two waves over hosts of the same long-running steps, under faults. No order may make more tasks of a step unavailable
 * than its limit (`mayMiss`) allows, and each wave must complete. Single faults of this kind are tested in
 * `host-rules.test.ts`.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const POOLS = ['alpha', 'beta'];
const HOSTS_PER_POOL = 10;
const MAX_COMPLETION_MS = 60_000;

const faults: Readonly<Record<string, (fleet: SimFleet) => void>> = {
  'lost answers of endpoints': (fleet) => Object.assign(fleet.faults, { lostAnswers: 0.03 }),
  'lost or late orders to hosts': (fleet) => Object.assign(fleet.faults, { lostWrites: 0.05 }),
  'orders to hosts that are in flight for long': (fleet) =>
    Object.assign(fleet.faults, { hostOrderMs: 700 }),
  'a replaced holder': (fleet) => {
    setTimeout(() => {
      fleet.kill(requireHolder(fleet));
      fleet.addEntry('d');
      fleet.rereadWaves();
    }, 4500);
  },
};

describe('two waves over hosts of the same long-running steps', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const hostsInRacks = (fleet: SimFleet, racks: readonly string[]): readonly HostId[] =>
    Array.from(fleet.hosts.values())
      .filter(({ labels }) => racks.some((rack) => labels.includes(rack)))
      .map(({ hostId }) => hostId);

  const busyFleet = async (seed: number, mayMiss: number) => {
    const fleet = await createStartedFleet({
      hostsPerPool: HOSTS_PER_POOL,
      domains: { hostsPerRack: 3, dataCentres: 2 },
      seed,
    });
    const longRunningStep = {
      taskCount: 6,
      isLasting: true,
      mostPerEndpoint: 1,
      cpuMillis: 2000,
      mayMiss,
    };
    POOLS.forEach((pool) => fleet.submit({ pool, steps: [longRunningStep], startMs: 1000 }));
    await advanceTime(7000);
    const work = setInterval(() => {
      const peak = Math.floor(performance.now() / 3000) % POOLS.length;
      POOLS.forEach((pool, index) => {
        const taskCount = index === peak ? 6 : 1;
        fleet.submit({ pool, steps: [{ taskCount, cpuMillis: 2800 }], runMs: 1000 });
      });
    }, 200);
    await advanceTime(3000);
    return { fleet, work };
  };

  const waitForCompletion = async (fleet: SimFleet): Promise<void> => {
    const endsAtMs = performance.now() + MAX_COMPLETION_MS;
    const isOpen = (): boolean => [1, 2].some((wave) => fleet.waveStatus.get(wave) !== 'completed');
    while (isOpen() && performance.now() < endsAtMs) await advanceTime(500);
  };

  const cases = Object.keys(faults).flatMap((fault) =>
    [1, 2].map((mayMiss) => ({ fault, mayMiss, seed: 10 * mayMiss })),
  );

  it.each(cases)(
    'keep the limit of $mayMiss unavailable tasks and complete with $fault, seed $seed',
    async ({ fault, mayMiss, seed }) => {
      const { fleet, work } = await busyFleet(seed, mayMiss);
      faults[fault]?.(fleet);
      // The simulated platform counts the hosts that are down for all waves together, so the maximum is the whole
      // fleet.
      const waves = [['rack-0', 'rack-2'], ['rack-1']].map((racks, index) => ({
        waveNumber: index + 1,
        hosts: hostsInRacks(fleet, racks),
        withinMs: 26_000,
        maximum: POOLS.length * HOSTS_PER_POOL,
      }));
      waves.forEach(fleet.orderWave);
      await waitForCompletion(fleet);
      clearInterval(work);
      expect(fleet.violations).toEqual([]);
      waves.forEach(({ waveNumber }) => expect(fleet.waveStatus.get(waveNumber)).toBe('completed'));
    },
  );
});
