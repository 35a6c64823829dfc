/** What the tests of control in virtual time share: faked clocks, a fleet that has begun, questions. */
import { vi } from 'vitest';
import type { ClientAccount, PlacementPolicy } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import { createSimFleet, type SimEntry, type SimFleet } from './sim-fleet.fixtures.js';
import type { SimDomains } from './sim-world.fixtures.js';

export const FAKED = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'setImmediate',
  'clearImmediate',
  'performance',
  'Date',
] as const;

/** A source of chance that repeats. */
export const chance = (seed: number): (() => number) => {
  let state = seed % 2147483647 || 1;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

export const advance = async (ms: number): Promise<void> => {
  await vi.advanceTimersByTimeAsync(ms);
};

export const phaseOf = (fleet: SimFleet, jobId: JobId): string => {
  const row = fleet.rowOf(jobId);
  return row?.kind === 'ended' ? row.phase : (row?.kind ?? 'missing');
};

export const started = async (
  options: {
    hostsPerPool?: number;
    sparePool?: string;
    domains?: SimDomains;
    endpointLeaseMs?: number;
    linkBytesPerMs?: number;
    mayRelayOrders?: boolean;
    placementPolicy?: PlacementPolicy;
    tickMs?: number;
    evacuateMs?: number;
    accounts?: readonly ClientAccount[];
    seed?: number;
  } = {},
) => {
  const { seed = 7, ...rest } = options;
  const fleet = createSimFleet({ ...rest, random: chance(seed) });
  ['a', 'b', 'c'].forEach((name) => fleet.addEntry(name));
  await advance(1500);
  return fleet;
};

export const runningOf = (fleet: SimFleet, jobId: JobId): readonly string[] =>
  Array.from(fleet.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.keys()))
    .filter((key) => key.startsWith(jobId));

export const holderOf = (fleet: SimFleet): SimEntry => {
  const holder = fleet.holder();
  if (!holder) throw new Error('nobody holds control');
  return holder;
};

/** One task on each of the pool's endpoints. */
export const submitLasting = (fleet: SimFleet, taskCount: number): JobId =>
  fleet.submit({
    pool: 'alpha',
    steps: [{ taskCount, isLasting: true, mostPerEndpoint: 1, cpuMillis: 4000 }],
  });
