/** Endpoints that crash shortly after starts, beside outages of the table, lost and late orders and changes of holder. */
import type { InstanceId, JobId } from '@valvelatch/core/shared/ids';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createRandom,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';

const WATCH_STARTS_EVERY_MS = 3;
const RESTARTED_ENTRY_MS = 700;

type Fault = {
  readonly kind: string;
  readonly atMs: number;
  readonly forMs: number;
  readonly pick: number;
};

const fault = fc.record({
  kind: fc.constantFrom(
    'crashAfterStart',
    'crashAfterStart',
    'crashAfterStart',
    'restart',
    'tableDown',
    'outageWithLateOrders',
    'lostWrites',
    'lostAnswers',
    'lateOrders',
    'cutEndpoint',
    'cutHolder',
    'freezeHolder',
    'killHolder',
    'hostListDown',
  ),
  atMs: fc.integer({ min: 0, max: 16_000 }),
  forMs: fc.oneof(
    fc.integer({ min: 10, max: 400 }),
    fc.integer({ min: 400, max: 3000 }),
    fc.integer({ min: 3000, max: 12_000 }),
  ),
  pick: fc.nat(1000),
});

/** Crashes the endpoint that is ordered to start a run next, some time after the order was sent. */
const crashAfterNextStart = (fleet: SimFleet, afterMs: number, downMs: number): void => {
  const { length } = fleet.startsSent;
  const timer = setInterval(() => {
    const start = fleet.startsSent[length];
    if (!start) return;
    clearInterval(timer);
    setTimeout(() => fleet.crash(start.instanceId, downMs), afterMs);
  }, WATCH_STARTS_EVERY_MS);
};

const applyTemporarily = <Target extends object>(
  target: Target | undefined,
  changes: Partial<Target>,
  undo: Partial<Target>,
  forMs: number,
): void => {
  if (!target) return;
  Object.assign(target, changes);
  setTimeout(() => Object.assign(target, undo), forMs);
};

const injectFault = (fleet: SimFleet, { kind, forMs, pick }: Fault): void => {
  const live = Array.from(fleet.endpoints.values()).filter((one) => one.isUp());
  const instanceId = live[pick % Math.max(1, live.length)]?.instanceId as InstanceId;
  const holder: SimEntry | undefined = fleet.findHolder();
  const actions: Readonly<Record<string, () => void>> = {
    crashAfterStart: () => crashAfterNextStart(fleet, pick % 150, forMs),
    restart: () => fleet.crash(instanceId, forMs),
    tableDown: () =>
      applyTemporarily(fleet.faults, { isTableDown: true }, { isTableDown: false }, forMs),
    // Orders are unanswered as the control lease ends, 8 s after its last renewal, and the table is back soon after that.
    outageWithLateOrders: () => {
      applyTemporarily(fleet.faults, { isTableDown: true }, { isTableDown: false }, 9500);
      setTimeout(
        () => applyTemporarily(fleet.faults, { lateOrders: 0.9 }, { lateOrders: 0 }, 2500),
        5000 + pick,
      );
    },
    lostWrites: () =>
      applyTemporarily(fleet.faults, { lostWrites: 0.35 }, { lostWrites: 0 }, forMs),
    lostAnswers: () =>
      applyTemporarily(fleet.faults, { lostAnswers: 0.4 }, { lostAnswers: 0 }, forMs),
    lateOrders: () => applyTemporarily(fleet.faults, { lateOrders: 0.4 }, { lateOrders: 0 }, forMs),
    cutEndpoint: () => {
      fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));
      setTimeout(
        () =>
          fleet.entries.forEach(({ unreachableEndpoints }) =>
            unreachableEndpoints.delete(instanceId),
          ),
        forMs,
      );
    },
    cutHolder: () =>
      applyTemporarily(holder, { isCutFromTable: true }, { isCutFromTable: false }, forMs),
    freezeHolder: () =>
      applyTemporarily(holder, { isFrozen: true }, { isFrozen: false }, Math.min(forMs, 6000)),
    killHolder: () => {
      if (!holder) return;
      fleet.kill(holder);
      setTimeout(() => fleet.addEntry(holder.entryId), RESTARTED_ENTRY_MS);
    },
    hostListDown: () =>
      applyTemporarily(fleet.faults, { isHostListDown: true }, { isHostListDown: false }, forMs),
  };
  actions[kind]?.();
};

const CALM_FAULTS = {
  lostAnswers: 0,
  lateOrders: 0,
  lostWrites: 0,
  isTableDown: false,
  isHostListDown: false,
};

/** Plays the faults beside jobs, and returns the jobs that are not completed after a calm time. */
const simulate = async (seed: number, faults: readonly Fault[]) => {
  const fleet = await createStartedFleet({ hostsPerPool: 5, seed });
  faults.forEach((one) => setTimeout(() => injectFault(fleet, one), one.atMs));
  const random = createRandom(seed);
  const jobs: JobId[] = [];
  for (let turn = 0; turn < 24; turn += 1) {
    const steps = [{ taskCount: 1 + Math.floor(random() * 6) }, { taskCount: 3, after: [0] }];
    jobs.push(fleet.submit({ pool: 'alpha', steps, runMs: 50 + random() * 1500 }));
    await advanceTime(700);
  }
  await advanceTime(12_000);
  Object.assign(fleet.faults, CALM_FAULTS);
  await advanceTime(35_000);
  const lost = jobs.filter((job) => phaseOf(fleet, job) !== 'completed');
  return { fleet, lost };
};

describe('tasks whose endpoints crash shortly after their start', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('are all done after a calm time, with any outages of the table, orders and holders', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.array(fault, { minLength: 1, maxLength: 8 }),
        async (seed, faults) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
          const { fleet, lost } = await simulate(seed, faults);
          Array.from(fleet.entries).forEach(fleet.kill);
          expect(lost).toEqual([]);
          expect(fleet.violations).toEqual([]);
        },
      ),
      {
        numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 10),
        endOnFailure: true,
        ...(process.env.VALVELATCH_FUZZ_RUNS === undefined ? { seed: 1 } : {}),
      },
    );
  }, 1_200_000);
});
