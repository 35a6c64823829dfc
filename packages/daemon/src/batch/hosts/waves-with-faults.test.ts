/**
 * Two waves that share lasting steps, under faults: no order may end a task at work beyond its step's allowance, and
 * each wave gets to its end. Held from the start; single faults of this kind are in `upkeep-rules.test.ts`.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, started } from '../testing/virtual-time.fixtures.js';

const POOLS = ['alpha', 'beta'];
const HOSTS_PER_POOL = 10;
const LONGEST_MS = 60_000;

const faults: Readonly<Record<string, (fleet: SimFleet) => void>> = {
  'answers of endpoints that are lost': (fleet) =>
    Object.assign(fleet.faults, { lostAnswers: 0.03 }),
  'orders to hosts that are lost or late': (fleet) =>
    Object.assign(fleet.faults, { lostWrites: 0.05 }),
  'orders to hosts that are under way for long': (fleet) =>
    Object.assign(fleet.faults, { hostOrderMs: 700 }),
  'a holder that is replaced': (fleet) => {
    setTimeout(() => {
      fleet.kill(holderOf(fleet));
      fleet.addEntry('d');
      fleet.reorder();
    }, 4500);
  },
};

describe('two waves that share lasting steps', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const hostsInRacks = (fleet: SimFleet, racks: readonly string[]): readonly HostId[] =>
    Array.from(fleet.hosts.values())
      .filter(({ labels }) => racks.some((rack) => labels.includes(rack)))
      .map(({ hostId }) => hostId);

  const busyFleet = async (seed: number, mayMiss: number) => {
    const fleet = await started({
      hostsPerPool: HOSTS_PER_POOL,
      domains: { hostsPerRack: 3, dataCentres: 2 },
      seed,
    });
    const lasting = { taskCount: 6, isLasting: true, mostPerEndpoint: 1, cpuMillis: 2000, mayMiss };
    POOLS.forEach((pool) => fleet.submit({ pool, steps: [lasting], startMs: 1000 }));
    await advance(7000);
    const work = setInterval(() => {
      const peak = Math.floor(performance.now() / 3000) % POOLS.length;
      POOLS.forEach((pool, index) => {
        const taskCount = index === peak ? 6 : 1;
        fleet.submit({ pool, steps: [{ taskCount, cpuMillis: 2800 }], runMs: 1000 });
      });
    }, 200);
    await advance(3000);
    return { fleet, work };
  };

  const completion = async (fleet: SimFleet): Promise<void> => {
    const endsAtMs = performance.now() + LONGEST_MS;
    const isOpen = (): boolean => [1, 2].some((one) => fleet.waveStatus.get(one) !== 'completed');
    while (isOpen() && performance.now() < endsAtMs) await advance(500);
  };

  const cases = Object.keys(faults).flatMap((fault) =>
    [1, 2].map((mayMiss) => ({ fault, mayMiss, seed: 10 * mayMiss })),
  );

  it.each(cases)(
    'keep its allowance of $mayMiss beside $fault, seed $seed',
    async ({ fault, mayMiss, seed }) => {
      const { fleet, work } = await busyFleet(seed, mayMiss);
      faults[fault]?.(fleet);
      // The simulated platform counts what is down for all waves together.
      const waves = [['rack-0', 'rack-2'], ['rack-1']].map((racks, index) => ({
        waveNumber: index + 1,
        hosts: hostsInRacks(fleet, racks),
        withinMs: 26_000,
        maximum: POOLS.length * HOSTS_PER_POOL,
      }));
      waves.forEach(fleet.order);
      await completion(fleet);
      clearInterval(work);
      expect(fleet.broken).toEqual([]);
      waves.forEach(({ waveNumber }) => expect(fleet.waveStatus.get(waveNumber)).toBe('completed'));
    },
  );
});
