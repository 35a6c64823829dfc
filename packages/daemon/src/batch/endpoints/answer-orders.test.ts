/**
 * What a holder makes of the answers of its endpoints, in whatever order they come: starts, stops and
 * lists are carried out at once, late or never, and their answers pass each other or are lost.
 */
import { taskKey } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createHeldWorld,
  SOUND,
  type Fate,
  type HeldWorld,
  type HeldWorldOptions,
} from '../testing/answer-orders.fixtures.js';
import { advance, FAKED } from '../testing/virtual-time.fixtures.js';

/** In this time orders and answers go astray. */
const TROUBLE_MS = 12_000;
/** Longer than the latest order is late (7 s) and an endpoint keeps what runs there after it (6.5 s). */
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
      cuts: fc.array(
        fc.record({
          atMs: fc.nat(3000),
          pick: fc.nat(1),
          forMs: fc.oneof(fc.integer({ min: 50, max: 2000 }), fc.integer({ min: 5500, max: 9000 })),
          isHeldUp: fc.boolean(),
        }),
        { maxLength: 2 },
      ),
      fates: fc.record({ start: someFates(8), stop: someFates(8), list: someFates(14) }),
    });

    type Play = typeof play extends fc.Arbitrary<infer One> ? One : never;

    const playOut = async (
      { taskCount, isGang, stops, crashes, cuts, ...world }: Play,
      prepare?: (held: HeldWorld) => void,
    ) => {
      vi.clearAllTimers();
      const room = world.rooms.reduce((sum, one) => sum + one, 0);
      const step = { taskCount: isGang ? Math.min(taskCount, room) : taskCount, isGang };
      const options: HeldWorldOptions = {
        ...world,
        steps: [step],
        hasSuccessor: prepare !== undefined,
      };
      const held = createHeldWorld(options);
      held.submit();
      prepare?.(held);
      stops.forEach(({ atMs, pick }) => setTimeout(() => held.stopOne(pick), atMs));
      crashes.forEach(({ atMs, pick, backAfterMs }) =>
        setTimeout(() => held.crash(pick, backAfterMs), atMs),
      );
      cuts.forEach(({ atMs, pick, forMs, isHeldUp }) =>
        setTimeout(() => held.cut(pick, forMs, isHeldUp), atMs),
      );
      await advance(TROUBLE_MS);
      held.calm();
      await advance(QUIET_MS);
      held.stop();
      return held;
    };

    const numRuns = Number(process.env.VALVELATCH_FUZZ_RUNS ?? 400);

    it('has no task run twice, and acknowledges no end that it has not applied', async () => {
      await fc.assert(
        fc.asyncProperty(play, async (one) => {
          const { broken } = await playOut(one);
          expect(broken).toEqual([]);
        }),
        { numRuns },
      );
    });

    it('begins nothing again whose end another holder has acknowledged, though endpoints die', async () => {
      // The other holder reaches each endpoint at its own time; until then this one's fence is the highest.
      const handover = fc.record({
        atMs: fc.integer({ min: 100, max: 3000 }),
        afterMs: fc.tuple(fc.nat(3000), fc.nat(9000)),
      });
      await fc.assert(
        fc.asyncProperty(play, handover, async (one, { atMs, afterMs }) => {
          const { broken } = await playOut(one, (held) => {
            setTimeout(() => held.succeed(afterMs), atMs);
          });
          expect(broken).toEqual([]);
        }),
        { numRuns: Math.ceil(numRuns / 8) },
      );
    });

    it('has all work end once answers come again', async () => {
      await fc.assert(
        fc.asyncProperty(play, async (one) => {
          // A stop that an unhealthy endpoint refuses has a case of its own below.
          const stop = one.fates.stop.filter(({ refusal }) => refusal !== 'unhealthy');
          const held = await playOut({ ...one, fates: { ...one.fates, stop } });
          expect(held.open()).toEqual([]);
        }),
        { numRuns: Math.ceil(numRuns / 4) },
      );
    });
  });

  /** A world in which all endpoints have answered once and nothing runs. */
  const ready = async (options: Partial<HeldWorldOptions> = {}): Promise<HeldWorld> => {
    const world = createHeldWorld({ rooms: [1, 1], runMs: [300], steps: [{}], ...options });
    await advance(20);
    return world;
  };

  const LOST: Fate = { goMs: 1, backMs: null };
  const NEVER: Fate = { goMs: null, backMs: null };

  const runsOf = ({ starts }: HeldWorld): readonly number[] => starts.map(({ run }) => run);
  const phaseOf = ({ jobs }: HeldWorld): string => jobs[0]?.phase ?? 'missing';
  const firstEndpoint = ({ endpoints }: HeldWorld) => {
    const [first] = endpoints.values();
    if (!first) throw new Error('there is no endpoint');
    return first;
  };

  describe('whose order to start a task was given up', () => {
    it('begins the task elsewhere only once the first order can do nothing any more', async () => {
      const late: Fate = { goMs: 5000, backMs: null };
      const world = await ready({ runMs: [4000], fates: { start: [late, late] } });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.broken]).toEqual(['completed', [2002], []]);
    });

    it('does not begin it elsewhere while the order to stop it has no answer either', async () => {
      const late: Fate = { goMs: 2500, backMs: null };
      const world = await ready({
        runMs: [400],
        fates: { start: [late, late], stop: [NEVER, NEVER, NEVER, NEVER, NEVER, NEVER] },
      });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.broken]).toEqual(['completed', [2001], []]);
    });

    it('takes "old" for a run that was begun by the order before and has ended', async () => {
      const world = await ready({ runMs: [50], fates: { start: [LOST], list: [LOST, LOST] } });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.broken]).toEqual(['completed', [2001], []]);
    });

    it('keeps the run where the second order is refused, which says nothing of the first', async () => {
      const world = await ready({ runMs: [3000], fates: { start: [LOST] } });
      world.plan('start', { goMs: null, backMs: 1, refusal: 'unhealthy' });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), world.broken]).toEqual(['completed', []]);
    });

    it('begins it elsewhere within 3 s of an order to stop that an unhealthy endpoint refused once', async () => {
      const world = await ready({ fates: { start: [NEVER, NEVER] } });
      world.plan('stop', { goMs: null, backMs: 1, refusal: 'unhealthy' });
      world.submit();
      await advance(5000);
      world.stop();
      expect([runsOf(world), world.broken]).toEqual([[2002], []]);
    });
  });

  describe('whose question passes an order to start', () => {
    it('keeps a run that the answer lacks because it was composed before the start', async () => {
      // While a run is being stopped the endpoint is asked at once and often.
      const world = await ready({ rooms: [3], runMs: [1000] });
      world.submit();
      await advance(50);
      world.plan('start', { goMs: 240, backMs: 1 });
      world.stopOne(0);
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([world.open(), runsOf(world), world.broken]).toEqual([[], [2001, 2001, 2002], []]);
    });
  });

  describe('with two questions under way at once', () => {
    it('takes an end in once, whichever of the two answers comes last', async () => {
      // The run has ended when its stop arrives, and the question asked before brings its answer later.
      const world = await ready({ rooms: [1], runMs: [200] });
      world.plan('list', { goMs: 1, backMs: 240 }, SOUND);
      world.submit();
      await advance(215);
      world.stopOne(0);
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.broken]).toEqual(['completed', [2001], []]);
    });

    /**
     * A run is stopped on an endpoint that takes no new work. Counts how often it is believed to run
     * there again after the holder was told of its end.
     */
    const countTakenOver = async (stop: Fate, ...lists: readonly Fate[]): Promise<number> => {
      const world = await ready({ rooms: [1], runMs: [5000] });
      world.submit();
      await advance(680);
      const [known] = world.state.endpoints.values();
      if (!known) throw new Error('there is no endpoint');
      known.isCordoned = true;
      world.plan('stop', stop);
      world.plan('list', ...lists);
      world.stopOne(0);
      let takenOver = 0;
      let before = known.runs.size;
      for (let turn = 0; turn < 2000; turn += 1) {
        await advance(1);
        if (before === 0 && known.runs.size > 0) takenOver += 1;
        before = known.runs.size;
      }
      world.stop();
      expect([before, world.broken]).toEqual([0, []]);
      return takenOver;
    };

    it('does not believe a run back that the answer to the older question lists, coming last', async () => {
      const stop: Fate = { goMs: 1, backMs: 200 };
      expect(await countTakenOver(stop, { goMs: 1, backMs: 240 }, { goMs: 130, backMs: 1 })).toBe(
        0,
      );
    });

    it('does not believe a run back that the answer to an overtaking question lists', async () => {
      // Asked later, it was carried out before the run had ended, and the older one after that.
      const stop: Fate = { goMs: 1, backMs: 200 };
      expect(await countTakenOver(stop, { goMs: 230, backMs: 1 }, { goMs: 1, backMs: 220 })).toBe(
        0,
      );
    });
  });

  describe('of a gang', () => {
    it('takes the end of one member for that of all, though another is listed as running later', async () => {
      const world = await ready({ runMs: [300, 900], steps: [{ taskCount: 2, isGang: true }] });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), world.starts.length, world.broken]).toEqual(['completed', 2, []]);
    });

    it('does not begin it again while the order to start one member has no answer', async () => {
      const late: Fate = { goMs: 4000, backMs: null };
      const world = await ready({
        runMs: [500],
        steps: [{ taskCount: 2, isGang: true }],
        fates: { start: [SOUND, late, late] },
      });
      world.submit();
      await advance(QUIET_MS);
      world.stop();
      expect([phaseOf(world), world.starts.length, world.broken]).toEqual(['completed', 1, []]);
    });
  });

  describe('told of more ends than an endpoint lists at once', () => {
    it('begins no task again whose end is listed later, when the earlier ones are acknowledged', async () => {
      // An endpoint lists 500 ends at once. The table is away, so none is acknowledged.
      const world = await ready({
        rooms: [30],
        runMs: [100],
        steps: [{ taskCount: 540 }],
        saveMs: 20_000,
        mostEnds: 500,
      });
      world.submit();
      await advance(5000);
      world.stop();
      expect(world.broken).toEqual([]);
    });
  });

  describe('told of an end whose task it does not know yet', () => {
    it('acknowledges it only once it has been applied', async () => {
      // The holder before had a clock ahead of this one's: there the time of the job had come.
      const task = taskKey(brand<JobId>('0000000000000001'), 0, 0, 0);
      const order = { task, run: 1001, spec: '', checkpoint: '', ticket: '', fence: 1 };
      const world = createHeldWorld({
        rooms: [1],
        runMs: [50],
        steps: [{}],
        before: ([first]) => first?.start({ ...order, keepUntilMs: 7000 }),
        meetsAfterMs: 100,
      });
      world.submit({ repeats: 1, firstDueAtMs: Date.now() + 1500, intervalMs: 1 });
      await advance(QUIET_MS);
      world.stop();
      expect(world.broken).toEqual([]);
    });
  });

  describe('that another holder has replaced', () => {
    it('does not take the lease of an endpoint for ended that the other may have prolonged', async () => {
      const world = await ready({ runMs: [1500], hasSuccessor: true });
      world.submit();
      await advance(100);
      // What is given up there could only be begun on the other one.
      const [known] = world.state.endpoints.values();
      if (known) known.isCordoned = true;
      world.cut(0, 11_000, false);
      world.succeed([200, 15_000]);
      await advance(12_000);
      world.stop();
      expect([runsOf(world), world.broken]).toEqual([[2001], []]);
    });

    it('begins nothing again that ended while its own question waited, and whose end the other acknowledged', async () => {
      const world = await ready({ runMs: [600], hasSuccessor: true });
      world.submit();
      await advance(500);
      const { model } = firstEndpoint(world);
      world.plan('list', ...Array.from({ length: 12 }, (): Fate => ({ goMs: 1, backMs: null })));
      const later = { fence: 3, acknowledged: 0, keepUntilMs: 9000, waitMs: 400 };
      await Promise.all([model.list(later), advance(300)]);
      await model.list({ ...later, acknowledged: 1, waitMs: 0 });
      await advance(QUIET_MS);
      world.stop();
      expect([runsOf(world), world.broken]).toEqual([[2001], []]);
    });
  });
});
