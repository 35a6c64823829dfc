/** Quotas of client accounts that are raised, lowered, added and removed while control moves between entries and orders are late. */
import type { ClientAccount } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createSimAccount, type SimEntry, type SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createRandom,
  FAKED_TIMERS,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

describe('quotas of client accounts', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  type Fault = {
    readonly kind: string;
    readonly atMs: number;
    readonly forMs: number;
    readonly choice: number;
  };
  const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
    kind: fc.constantFrom(
      'declare',
      'declare',
      'declare',
      'crash',
      'killHolder',
      'killAll',
      'freezeHolder',
      'cutHolder',
      'cutEndpoint',
      'hostListAway',
    ),
    atMs: fc.integer({ min: 0, max: 14_000 }),
    forMs: fc.integer({ min: 50, max: 6000 }),
    choice: fc.nat(1000),
  });

  /** CPU quotas in thousandths of a core, out of the fleet's 64 cores; 0 means no limit. */
  const MAXIMA = [0, 64_000, 16_000, 6000, 3000];

  const selectAccounts = (choice: number): readonly ClientAccount[] => [
    createSimAccount('client-a', MAXIMA[choice % MAXIMA.length] as number),
    createSimAccount('client-b', MAXIMA[Math.floor(choice / 7) % MAXIMA.length] as number),
    // For some draws an account is missing from the configuration while it has jobs.
    ...(choice % 3 === 0 ? [] : [createSimAccount('client-c', 8000)]),
  ];

  const restartLater = (fleet: SimFleet, entry: SimEntry): void => {
    fleet.kill(entry);
    setTimeout(() => fleet.addEntry(entry.entryId), 700);
  };

  const setTemporarily = (
    entry: SimEntry | undefined,
    field: 'isFrozen' | 'isCutFromTable',
    ms: number,
  ) => {
    if (!entry) return;
    Object.assign(entry, { [field]: true });
    setTimeout(() => Object.assign(entry, { [field]: false }), ms);
  };

  const injectFault = (fleet: SimFleet, { kind, forMs, choice }: Fault): void => {
    const liveEndpoints = Array.from(fleet.endpoints.values()).filter((one) => one.isUp());
    const chosen = liveEndpoints[choice % Math.max(1, liveEndpoints.length)]?.instanceId;
    const actions: Readonly<Record<string, () => void>> = {
      declare: () => fleet.declareAccounts(selectAccounts(choice)),
      crash: () => chosen && fleet.crash(chosen, forMs),
      killHolder: () => {
        const holder = fleet.findHolder();
        if (holder) restartLater(fleet, holder);
      },
      killAll: () => Array.from(fleet.entries).forEach((entry) => restartLater(fleet, entry)),
      freezeHolder: () => setTemporarily(fleet.findHolder(), 'isFrozen', forMs),
      cutHolder: () => setTemporarily(fleet.findHolder(), 'isCutFromTable', forMs),
      cutEndpoint: () => {
        if (!chosen) return;
        fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(chosen));
        setTimeout(
          () =>
            fleet.entries.forEach(({ unreachableEndpoints }) =>
              unreachableEndpoints.delete(chosen),
            ),
          forMs,
        );
      },
      hostListAway: () => {
        Object.assign(fleet.faults, { isHostListDown: true });
        setTimeout(() => Object.assign(fleet.faults, { isHostListDown: false }), forMs);
      },
    };
    actions[kind]?.();
  };

  const runScenario = async (
    seed: number,
    firstChoice: number,
    faults: readonly Fault[],
    faultRate: number,
  ): Promise<void> => {
    const fleet = await createStartedFleet({
      hostsPerPool: 4,
      seed,
      accounts: selectAccounts(firstChoice),
    });
    Object.assign(fleet.faults, { lostAnswers: faultRate, lateOrders: faultRate });
    faults.forEach((one) => setTimeout(() => injectFault(fleet, one), one.atMs));
    const nextRandom = createRandom(seed);
    const jobs: JobId[] = [];
    for (let round = 0; round < 30; round += 1) {
      const cpuMillis = 500 + Math.floor(nextRandom() * 2500);
      const steps = [{ taskCount: 1 + Math.floor(nextRandom() * 10), cpuMillis }];
      const pool = nextRandom() < 0.5 ? 'alpha' : 'beta';
      jobs.push(fleet.submit({ pool, steps, runMs: 100 + nextRandom() * 1500 }));
      await advanceTime(500);
    }
    Object.assign(fleet.faults, { lostAnswers: 0, lateOrders: 0 });
    await advanceTime(90_000);
    expect(fleet.violations).toEqual([]);
    expect(jobs.filter((job) => phaseOf(fleet, job) !== 'completed')).toEqual([]);
  };

  it('are respected, and all jobs complete, under any order of quota changes, holder changes, endpoint restarts and late orders', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.nat(1000),
        fc.array(faultArbitrary, { maxLength: 8 }),
        fc.constantFrom(0, 0.03, 0.1),
        async (...drawn) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
          await runScenario(...drawn);
        },
      ),
      {
        numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 20),
        endOnFailure: true,
        ...(process.env.VALVELATCH_FUZZ_RUNS === undefined ? { seed: 1 } : {}),
        examples: [
          // A start order to one incarnation of an endpoint was delayed by 6 s and executed by the next
          // incarnation, while the orders that should have prevented it were lost.
          [
            411_791,
            160,
            [
              { kind: 'declare', atMs: 8632, forMs: 1311, choice: 344 },
              { kind: 'freezeHolder', atMs: 2483, forMs: 5988, choice: 992 },
              { kind: 'hostListAway', atMs: 4, forMs: 54, choice: 160 },
            ],
            0.1,
          ],
          // A holder was replaced while it was frozen, and the next incarnation of an endpoint executed its
          // start order.
          [
            628_099,
            996,
            [
              { kind: 'cutEndpoint', atMs: 7641, forMs: 2973, choice: 708 },
              { kind: 'hostListAway', atMs: 8475, forMs: 3383, choice: 98 },
              { kind: 'freezeHolder', atMs: 9075, forMs: 4483, choice: 583 },
              { kind: 'declare', atMs: 5620, forMs: 390, choice: 123 },
              { kind: 'killAll', atMs: 1549, forMs: 3178, choice: 235 },
              { kind: 'declare', atMs: 8472, forMs: 534, choice: 967 },
              { kind: 'crash', atMs: 10_557, forMs: 2941, choice: 197 },
              { kind: 'killHolder', atMs: 4736, forMs: 3277, choice: 517 },
            ],
            0.1,
          ],
        ],
      },
    );
  }, 900_000);
});
