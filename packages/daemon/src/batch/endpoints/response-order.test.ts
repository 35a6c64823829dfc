/**
 * How a holder handles the responses of its endpoints, in whatever order they arrive: start, stop and list orders are
 * carried out at once, late or never, and their responses overtake each other or are lost.
 */
import { taskKey } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createHolderSimulation,
  PROMPT_OUTCOME,
  type OrderOutcome,
  type HolderSimulation,
  type HolderSimulationOptions,
} from '../testing/holder-simulation.fixtures.js';
import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';

/** For this time, orders and responses are delayed or lost. */
const FAULTY_MS = 12_000;
/** Longer than the maximum delay of an order (7 s) and the time for which an endpoint then keeps its runs (6.5 s). */
const RECOVERY_MS = 20_000;

describe('a control holder', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('with any sequence of start, stop and list orders and their responses', () => {
    /**
     * Durations in the range of a network hop, a timeout and a lease: each changes the order of events in another
     * way.
     */
    const ms = fc.oneof(
      { weight: 6, arbitrary: fc.integer({ min: 1, max: 12 }) },
      { weight: 3, arbitrary: fc.integer({ min: 13, max: 400 }) },
      { weight: 2, arbitrary: fc.integer({ min: 400, max: 1500 }) },
      { weight: 1, arbitrary: fc.integer({ min: 1500, max: 7000 }) },
    );

    const fate: fc.Arbitrary<OrderOutcome> = fc.oneof(
      { weight: 5, arbitrary: fc.record({ requestMs: ms, answerMs: ms }) },
      { weight: 2, arbitrary: fc.record({ requestMs: ms, answerMs: fc.constant(null) }) },
      { weight: 1, arbitrary: fc.constant<OrderOutcome>({ requestMs: null, answerMs: null }) },
      {
        weight: 2,
        arbitrary: fc.record({
          requestMs: fc.option(ms),
          answerMs: fc.constant(null),
          resetAfterMs: fc.integer({ min: 1, max: 200 }),
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({
          requestMs: fc.constant(null),
          answerMs: fc.integer({ min: 1, max: 200 }),
          refusal: fc.constantFrom('unreachable', 'unhealthy'),
        }),
      },
    );

    const arbitraryFates = (maxLength: number): fc.Arbitrary<OrderOutcome[]> =>
      fc.array(fate, { maxLength });

    const scenario = fc.record({
      taskCapacities: fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 1, maxLength: 2 }),
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
      outcomes: fc.record({
        start: arbitraryFates(8),
        stop: arbitraryFates(8),
        list: arbitraryFates(14),
      }),
    });

    type Scenario = typeof scenario extends fc.Arbitrary<infer One> ? One : never;

    const simulate = async (
      { taskCount, isGang, stops, crashes, cuts, ...world }: Scenario,
      prepare?: (held: HolderSimulation) => void,
    ) => {
      vi.clearAllTimers();
      const capacity = world.taskCapacities.reduce((sum, one) => sum + one, 0);
      const step = { taskCount: isGang ? Math.min(taskCount, capacity) : taskCount, isGang };
      const options: HolderSimulationOptions = {
        ...world,
        steps: [step],
        hasSuccessor: prepare !== undefined,
      };
      const held = createHolderSimulation(options);
      held.submit();
      prepare?.(held);
      stops.forEach(({ atMs, pick }) => setTimeout(() => held.stopOne(pick), atMs));
      crashes.forEach(({ atMs, pick, backAfterMs }) =>
        setTimeout(() => held.crash(pick, backAfterMs), atMs),
      );
      cuts.forEach(({ atMs, pick, forMs, isHeldUp }) =>
        setTimeout(() => held.cut(pick, forMs, isHeldUp), atMs),
      );
      await advanceTime(FAULTY_MS);
      held.calm();
      await advanceTime(RECOVERY_MS);
      held.stop();
      return held;
    };

    const numRuns = Number(process.env.VALVELATCH_FUZZ_RUNS ?? 400);

    it('has no task run twice, and acknowledges no ended run that it has not applied', async () => {
      await fc.assert(
        fc.asyncProperty(scenario, async (one) => {
          const { violations } = await simulate(one);
          expect(violations).toEqual([]);
        }),
        { numRuns },
      );
    });

    it('restarts no task whose end another holder has acknowledged, even if endpoints crash', async () => {
      // The other holder reaches each endpoint at a different time; until then, the fence of this one is the highest
      // there.
      const handover = fc.record({
        atMs: fc.integer({ min: 100, max: 3000 }),
        afterMs: fc.tuple(fc.nat(3000), fc.nat(9000)),
      });
      await fc.assert(
        fc.asyncProperty(scenario, handover, async (one, { atMs, afterMs }) => {
          const { violations } = await simulate(one, (held) => {
            setTimeout(() => held.succeed(afterMs), atMs);
          });
          expect(violations).toEqual([]);
        }),
        { numRuns: Math.ceil(numRuns / 8) },
      );
    });

    it('has all jobs end once responses arrive again', async () => {
      await fc.assert(
        fc.asyncProperty(scenario, async (one) => {
          // A stop order that an unhealthy endpoint rejects is tested separately below.
          const stop = one.outcomes.stop.filter(({ refusal }) => refusal !== 'unhealthy');
          const held = await simulate({ ...one, outcomes: { ...one.outcomes, stop } });
          expect(held.open()).toEqual([]);
        }),
        { numRuns: Math.ceil(numRuns / 4) },
      );
    });
  });

  /** Creates a simulation in which all endpoints have responded once and nothing runs. */
  const createReadyWorld = async (
    options: Partial<HolderSimulationOptions> = {},
  ): Promise<HolderSimulation> => {
    const world = createHolderSimulation({
      taskCapacities: [1, 1],
      runMs: [300],
      steps: [{}],
      ...options,
    });
    await advanceTime(20);
    return world;
  };

  const RESPONSE_LOST: OrderOutcome = { requestMs: 1, answerMs: null };
  const NOT_DELIVERED: OrderOutcome = { requestMs: null, answerMs: null };

  const runsOf = ({ starts }: HolderSimulation): readonly number[] => starts.map(({ run }) => run);
  const phaseOf = ({ jobs }: HolderSimulation): string => jobs[0]?.phase ?? 'missing';
  const getFirstEndpoint = ({ endpoints }: HolderSimulation) => {
    const [first] = endpoints.values();
    if (!first) throw new Error('there is no endpoint');
    return first;
  };

  describe('whose start order for a task was given up', () => {
    it('starts the task elsewhere only once the first order can no longer take effect', async () => {
      const late: OrderOutcome = { requestMs: 5000, answerMs: null };
      const world = await createReadyWorld({ runMs: [4000], outcomes: { start: [late, late] } });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.violations]).toEqual(['completed', [2002], []]);
    });

    it('does not start the task elsewhere while the stop order is unanswered as well', async () => {
      const late: OrderOutcome = { requestMs: 2500, answerMs: null };
      const world = await createReadyWorld({
        runMs: [400],
        outcomes: {
          start: [late, late],
          stop: [
            NOT_DELIVERED,
            NOT_DELIVERED,
            NOT_DELIVERED,
            NOT_DELIVERED,
            NOT_DELIVERED,
            NOT_DELIVERED,
          ],
        },
      });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.violations]).toEqual(['completed', [2001], []]);
    });

    it('interprets "old" as a run that the previous order started and that has ended', async () => {
      const world = await createReadyWorld({
        runMs: [50],
        outcomes: { start: [RESPONSE_LOST], list: [RESPONSE_LOST, RESPONSE_LOST] },
      });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.violations]).toEqual(['completed', [2001], []]);
    });

    it('keeps the run if the second order is rejected, which says nothing about the first', async () => {
      const world = await createReadyWorld({ runMs: [3000], outcomes: { start: [RESPONSE_LOST] } });
      world.plan('start', { requestMs: null, answerMs: 1, refusal: 'unhealthy' });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), world.violations]).toEqual(['completed', []]);
    });

    it('starts the task elsewhere within 3 s of a stop order that an unhealthy endpoint rejected once', async () => {
      const world = await createReadyWorld({ outcomes: { start: [NOT_DELIVERED, NOT_DELIVERED] } });
      world.plan('stop', { requestMs: null, answerMs: 1, refusal: 'unhealthy' });
      world.submit();
      await advanceTime(5000);
      world.stop();
      expect([runsOf(world), world.violations]).toEqual([[2002], []]);
    });
  });

  describe('whose list request overtakes a start order', () => {
    it('keeps a run that is missing from the response because that was composed before the start', async () => {
      // While a run is being stopped, list requests are sent at once and often.
      const world = await createReadyWorld({ taskCapacities: [3], runMs: [1000] });
      world.submit();
      await advanceTime(50);
      world.plan('start', { requestMs: 240, answerMs: 1 });
      world.stopOne(0);
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([world.open(), runsOf(world), world.violations]).toEqual([[], [2001, 2001, 2002], []]);
    });
  });

  describe('with two list requests in flight at once', () => {
    it('applies an ended run once, whichever of the two responses arrives last', async () => {
      // The run has ended when its stop order arrives, and the response to the earlier list request arrives after
      // that.
      const world = await createReadyWorld({ taskCapacities: [1], runMs: [200] });
      world.plan('list', { requestMs: 1, answerMs: 240 }, PROMPT_OUTCOME);
      world.submit();
      await advanceTime(215);
      world.stopOne(0);
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), runsOf(world), world.violations]).toEqual(['completed', [2001], []]);
    });

    /**
     * Stops a run on a cordoned endpoint. Counts how often the holder considers it active there again after it
     * learned of its end.
     */
    const countReappearances = async (
      stop: OrderOutcome,
      ...lists: readonly OrderOutcome[]
    ): Promise<number> => {
      const world = await createReadyWorld({ taskCapacities: [1], runMs: [5000] });
      world.submit();
      await advanceTime(680);
      const [endpoint] = world.state.endpoints.values();
      if (!endpoint) throw new Error('there is no endpoint');
      endpoint.isCordoned = true;
      world.plan('stop', stop);
      world.plan('list', ...lists);
      world.stopOne(0);
      let reappearances = 0;
      let before = endpoint.runs.size;
      for (let turn = 0; turn < 2000; turn += 1) {
        await advanceTime(1);
        if (before === 0 && endpoint.runs.size > 0) reappearances += 1;
        before = endpoint.runs.size;
      }
      world.stop();
      expect([before, world.violations]).toEqual([0, []]);
      return reappearances;
    };

    it('does not restore a run that the response to the older list request names, if it arrives last', async () => {
      const stop: OrderOutcome = { requestMs: 1, answerMs: 200 };
      expect(
        await countReappearances(
          stop,
          { requestMs: 1, answerMs: 240 },
          { requestMs: 130, answerMs: 1 },
        ),
      ).toBe(0);
    });

    it('does not restore a run that the response to an overtaking list request names', async () => {
      // The later request was carried out before the run had ended, and the older one after that.
      const stop: OrderOutcome = { requestMs: 1, answerMs: 200 };
      expect(
        await countReappearances(
          stop,
          { requestMs: 230, answerMs: 1 },
          { requestMs: 1, answerMs: 220 },
        ),
      ).toBe(0);
    });
  });

  describe('of a gang', () => {
    it('takes the end of one member as that of all, even if another is listed as running later', async () => {
      const world = await createReadyWorld({
        runMs: [300, 900],
        steps: [{ taskCount: 2, isGang: true }],
      });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), world.starts.length, world.violations]).toEqual(['completed', 2, []]);
    });

    it('does not restart the gang while the start order of one member is unanswered', async () => {
      const late: OrderOutcome = { requestMs: 4000, answerMs: null };
      const world = await createReadyWorld({
        runMs: [500],
        steps: [{ taskCount: 2, isGang: true }],
        outcomes: { start: [PROMPT_OUTCOME, late, late] },
      });
      world.submit();
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([phaseOf(world), world.starts.length, world.violations]).toEqual(['completed', 1, []]);
    });
  });

  describe('with more ended runs than an endpoint lists at once', () => {
    it('restarts no task whose end is listed only when the earlier ones are acknowledged', async () => {
      // An endpoint lists at most 500 ended runs at once. The table is unavailable, so none of them is acknowledged.
      const world = await createReadyWorld({
        taskCapacities: [30],
        runMs: [100],
        steps: [{ taskCount: 540 }],
        saveMs: 20_000,
        maxReportedEnds: 500,
      });
      world.submit();
      await advanceTime(5000);
      world.stop();
      expect(world.violations).toEqual([]);
    });
  });

  describe('with an ended run whose task it does not know yet', () => {
    it('acknowledges the run only once it has been applied', async () => {
      // The clock of the previous holder was ahead of this one's, so that the job was due there already.
      const task = taskKey(brand<JobId>('0000000000000001'), 0, 0, 0);
      const order = { task, run: 1001, spec: '', checkpoint: '', ticket: '', fence: 1 };
      const world = createHolderSimulation({
        taskCapacities: [1],
        runMs: [50],
        steps: [{}],
        prepareEndpoints: ([first]) => first?.start({ ...order, keepUntilMs: 7000 }),
        discoveryDelayMs: 100,
      });
      world.submit({ repeats: 1, firstDueAtMs: Date.now() + 1500, intervalMs: 1 });
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect(world.violations).toEqual([]);
    });
  });

  describe('that another holder has replaced', () => {
    it('does not consider a lease ended that the other holder may have extended', async () => {
      const world = await createReadyWorld({ runMs: [1500], hasSuccessor: true });
      world.submit();
      await advanceTime(100);
      // A run that is given up there could only be started on the other endpoint.
      const [endpoint] = world.state.endpoints.values();
      if (endpoint) endpoint.isCordoned = true;
      world.cut(0, 11_000, false);
      world.succeed([200, 15_000]);
      await advanceTime(12_000);
      world.stop();
      expect([runsOf(world), world.violations]).toEqual([[2001], []]);
    });

    it('restarts no task that ended while its own list request waited, and whose end the other holder acknowledged', async () => {
      const world = await createReadyWorld({ runMs: [600], hasSuccessor: true });
      world.submit();
      await advanceTime(500);
      const { model } = getFirstEndpoint(world);
      world.plan(
        'list',
        ...Array.from({ length: 12 }, (): OrderOutcome => ({ requestMs: 1, answerMs: null })),
      );
      const later = { fence: 3, acknowledged: 0, keepUntilMs: 9000, waitMs: 400 };
      await Promise.all([model.list(later), advanceTime(300)]);
      await model.list({ ...later, acknowledged: 1, waitMs: 0 });
      await advanceTime(RECOVERY_MS);
      world.stop();
      expect([runsOf(world), world.violations]).toEqual([[2001], []]);
    });
  });
});
