/**
 * What a holder makes of the answers of its endpoints, in whatever order they come: starts, stops and
 * lists are carried out at once, late or never, and their answers pass each other or are lost.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createHeldWorld,
  type Fate,
  type HeldWorldOptions,
} from './testing/answer-orders.fixtures.js';
import { advance, FAKED } from './testing/virtual-time.fixtures.js';

const QUIET_MS = 20_000;

describe('a holder of control', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('under any order of starts, stops, lists and their answers', () => {
    /** Times of the size of a hop, of a time-out and of a lease: each changes what comes first. */
    const ms = fc.oneof(
      { weight: 6, arbitrary: fc.integer({ min: 1, max: 12 }) },
      { weight: 3, arbitrary: fc.integer({ min: 13, max: 400 }) },
      { weight: 2, arbitrary: fc.integer({ min: 400, max: 1500 }) },
      { weight: 1, arbitrary: fc.integer({ min: 1500, max: 7000 }) },
    );

    const fate: fc.Arbitrary<Fate> = fc.oneof(
      { weight: 5, arbitrary: fc.record({ goMs: ms, backMs: ms }) },
      { weight: 2, arbitrary: fc.record({ goMs: ms, backMs: fc.constant(null) }) },
      { weight: 1, arbitrary: fc.constant<Fate>({ goMs: null, backMs: null }) },
      {
        weight: 2,
        arbitrary: fc.record({
          goMs: fc.option(ms),
          backMs: fc.constant(null),
          breaksMs: fc.integer({ min: 1, max: 200 }),
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({
          goMs: fc.constant(null),
          backMs: fc.integer({ min: 1, max: 200 }),
          refusal: fc.constantFrom('unreachable', 'unhealthy'),
        }),
      },
    );

    const someFates = (maxLength: number): fc.Arbitrary<Fate[]> => fc.array(fate, { maxLength });

    const play = fc.record({
      rooms: fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 1, maxLength: 2 }),
      runMs: fc.array(fc.integer({ min: 20, max: 1500 }), { minLength: 1, maxLength: 3 }),
      taskCount: fc.integer({ min: 1, max: 3 }),
      isGang: fc.boolean(),
      failsOn: fc.constantFrom<readonly number[]>([], [], [0]),
      clockRate: fc.constantFrom(1, 0.98),
      saveMs: fc.constantFrom(1, 40, 700),
      stops: fc.array(fc.record({ atMs: fc.nat(3000), pick: fc.nat(5) }), { maxLength: 3 }),
      crashes: fc.array(
        fc.record({ atMs: fc.nat(3000), pick: fc.nat(1), backAfterMs: fc.nat(4000) }),
        { maxLength: 1 },
      ),
      fates: fc.record({ start: someFates(8), stop: someFates(8), list: someFates(14) }),
    });

    type Play = typeof play extends fc.Arbitrary<infer One> ? One : never;

    const playOut = async ({ taskCount, isGang, stops, crashes, ...world }: Play) => {
      vi.clearAllTimers();
      const room = world.rooms.reduce((sum, one) => sum + one, 0);
      const step = { taskCount: isGang ? Math.min(taskCount, room) : taskCount, isGang };
      const options: HeldWorldOptions = { ...world, steps: [step] };
      const held = createHeldWorld(options);
      held.submit();
      stops.forEach(({ atMs, pick }) => setTimeout(() => held.stopOne(pick), atMs));
      crashes.forEach(({ atMs, pick, backAfterMs }) =>
        setTimeout(() => held.crash(pick, backAfterMs), atMs),
      );
      await advance(QUIET_MS);
      held.stop();
      return held;
    };

    const numRuns = Number(process.env.VALVELATCH_FUZZ_RUNS ?? 150);

    it('has no task run twice, and acknowledges no end that it has not applied', async () => {
      await fc.assert(
        fc.asyncProperty(play, async (one) => {
          const { broken } = await playOut(one);
          expect(broken).toEqual([]);
        }),
        { numRuns },
      );
    });
  });
});
