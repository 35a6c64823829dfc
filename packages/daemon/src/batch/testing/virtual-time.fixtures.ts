/** Shared by the tests that run a simulated fleet in virtual time: faked timers, a started fleet and queries. */
import { vi } from 'vitest';
import type { ClientAccount, PlacementPolicy } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import { createSimFleet, type SimEntry, type SimFleet } from './sim-fleet.fixtures.js';
import type { SimDomains } from './sim-environment.fixtures.js';

/** The timers and clocks that vi.useFakeTimers replaces. */
export const FAKED_TIMERS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'setImmediate',
  'clearImmediate',
  'performance',
  'Date',
] as const;

/** Creates a seeded random number generator (Lehmer); the same seed gives the same sequence. */
export const createRandom = (seed: number): (() => number) => {
  let state = seed % 2147483647 || 1;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

export const advanceTime = async (ms: number): Promise<void> => {
  await vi.advanceTimersByTimeAsync(ms);
};

/** Returns the phase of an ended job, the kind of its row otherwise, and 'missing' without a row. */
export const phaseOf = (fleet: SimFleet, jobId: JobId): string => {
  const row = fleet.findJobRow(jobId);
  return row?.kind === 'ended' ? row.phase : (row?.kind ?? 'missing');
};

/** Creates a fleet with the entries a, b and c, and gives them 1.5 s to elect a holder. */
export const createStartedFleet = async (
  options: {
    hostsPerPool?: number;
    sparePool?: string;
    domains?: SimDomains;
    endpointLeaseMs?: number;
    linkBytesPerMs?: number;
    mayRelayOrders?: boolean;
    placementPolicy?: PlacementPolicy;
    jobMemoryBytes?: number;
    tickMs?: number;
    evacuateMs?: number;
    accounts?: readonly ClientAccount[];
    seed?: number;
  } = {},
) => {
  const { seed = 7, ...rest } = options;
  const fleet = createSimFleet({ ...rest, random: createRandom(seed) });
  ['a', 'b', 'c'].forEach((name) => fleet.addEntry(name));
  await advanceTime(1500);
  return fleet;
};

/** Lists the task keys of a job's runs on all endpoints. */
export const listRunKeys = (fleet: SimFleet, jobId: JobId): readonly string[] =>
  Array.from(fleet.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.keys()))
    .filter((key) => key.startsWith(jobId));

/** Returns the entry that holds the control lease; throws if there is none. */
export const requireHolder = (fleet: SimFleet): SimEntry => {
  const holder = fleet.findHolder();
  if (!holder) throw new Error('no entry holds the control lease');
  return holder;
};

/** Submits a job with one long-running step, of which each endpoint of the pool runs one task at most. */
export const submitLongRunningJob = (fleet: SimFleet, taskCount: number): JobId =>
  fleet.submit({
    pool: 'alpha',
    steps: [{ taskCount, isLasting: true, mostPerEndpoint: 1, cpuMillis: 4000 }],
  });

/** Returns an entry that does not hold control; throws if all do. */
export const requireOther = (fleet: SimFleet): SimEntry => {
  const other = fleet.entries.find(({ control }) => control.term() === undefined);
  if (!other) throw new Error('all entries hold control');
  return other;
};

/** The longest time that a test waits for the answer of an entry. */
const MAX_ANSWER_MS = 20_000;
const ANSWER_POLL_MS = 10;

/** Lets time pass until an entry has answered, and returns its answer. */
export const settle = async <Value>(pending: Promise<Value>): Promise<Value> => {
  let isSettled = false;
  void pending.finally(() => {
    isSettled = true;
  });
  for (let waitedMs = 0; !isSettled; waitedMs += ANSWER_POLL_MS) {
    if (waitedMs > MAX_ANSWER_MS) throw new Error('the entry did not answer');
    await advanceTime(ANSWER_POLL_MS);
  }
  return pending;
};
