/**
 * Leases on endpoints: what a holder takes for ended has ended at the endpoint, whatever becomes of its
 * orders and their answers. In virtual time, first one holder and one endpoint under any order of
 * troubles, then each way on its own by which a lease could last longer than its holder counts.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createLeasedEndpoint,
  type Fate,
  type LeasedEndpointOptions,
  type Trouble,
} from './testing/leased-endpoint.fixtures.js';
import { advance, FAKED } from './testing/virtual-time.fixtures.js';

const PLAY_MS = 32_000;
const DEFAULT_RUNS = 60;

describe('leases on endpoints', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('under any order of lost, late and crossing answers', () => {
    const way = fc.oneof(
      { weight: 6, arbitrary: fc.nat(5) },
      { weight: 1, arbitrary: fc.integer({ min: 50, max: 2500 }) },
    );
    const fate: fc.Arbitrary<Fate> = fc.record({
      kind: fc.oneof(
        { weight: 7, arbitrary: fc.constant('carried' as const) },
        {
          weight: 3,
          arbitrary: fc.constantFrom('request-lost', 'answer-lost', 'carried-late' as const),
        },
      ),
      toMs: way,
      backMs: way,
      lateMs: fc.integer({ min: 2000, max: 12_000 }),
    });
    const trouble: fc.Arbitrary<Trouble> = fc.record({
      kind: fc.constantFrom('freeze', 'cut', 'cut', 'refuse', 'table' as const),
      atMs: fc.nat(20_000),
      forMs: fc.oneof(fc.integer({ min: 20, max: 1500 }), fc.integer({ min: 1500, max: 10_000 })),
    });
    const options: fc.Arbitrary<LeasedEndpointOptions> = fc.record({
      fates: fc.array(fate, { minLength: 1, maxLength: 40 }),
      troubles: fc.array(trouble, { maxLength: 5 }),
      clockRate: fc.nat(20).map((perMille) => 1 - perMille / 1000),
      successor: fc.option(
        fc.record({ afterMs: fc.nat(1500), forMs: fc.integer({ min: 500, max: 12_000 }) }),
        { nil: undefined },
      ),
      taskCount: fc.constantFrom(1, 3, 12),
      runMs: fc.constantFrom(300, 2500, 7000, Infinity),
      idleMs: fc.constantFrom(0, 0, 0, 20_000, 150_000),
    });

    const play = async (given: LeasedEndpointOptions): Promise<number> => {
      vi.useRealTimers();
      vi.useFakeTimers({ toFake: [...FAKED] });
      const { idleMs = 0, troubles = [] } = given;
      const pair = createLeasedEndpoint({
        ...given,
        troubles: troubles.map((one) => ({ ...one, atMs: one.atMs + idleMs })),
      });
      await advance(idleMs + PLAY_MS);
      pair.close();
      expect(pair.broken).toEqual([]);
      return pair.gaveUpAtMs.length;
    };

    it('nothing is given up while the endpoint keeps it, and nothing comes back after that', async () => {
      let givenUp = 0;
      await fc.assert(
        fc.asyncProperty(options, async (given) => {
          givenUp += await play(given);
        }),
        {
          numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? DEFAULT_RUNS),
          // Surely gives something up, so that the property says something in each run.
          examples: [[{ troubles: [{ kind: 'cut', atMs: 3000, forMs: 9000 }] }]],
        },
      );
      expect(givenUp).toBeGreaterThan(0);
    }, 600_000);
  });
});
