/**
 * Leases on endpoints: what a holder takes for ended has ended at the endpoint, whatever becomes of its
 * orders and their answers. In virtual time, first one holder and one endpoint under any order of
 * troubles, then each cause on its own by which a lease could last longer than its holder counts.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createLeasedEndpoint,
  EARLY_TAKE_MS,
  QUICK,
  type Fate,
  type LeasedEndpoint,
  type LeasedEndpointOptions,
  type Trouble,
} from '../testing/leased-endpoint.fixtures.js';
import { createSimFleet, type SimEntry, type SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, runningOf } from '../testing/virtual-time.fixtures.js';

const PLAY_MS = 32_000;
const DEFAULT_RUNS = 60;
/** What a term counts for what an earlier holder that is surely over may have granted. */
const INHERITED_LEASES_MS = 6800;
/** Longer than any lease that is granted here. */
const LONG_CUT_MS = 16_000;
/** The holder asks an endpoint with nothing on it for nothing, so what it knows of its clock is as old. */
const IDLE_MS = [2000, 150_000];

describe('leases on endpoints', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('under any order of lost, late and crossing answers', () => {
    const hopMs = fc.oneof(
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
      toMs: hopMs,
      backMs: hopMs,
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

    it('are over whenever their runs are given up, and none of those comes back', async () => {
      let givenUp = 0;
      await fc.assert(
        fc.asyncProperty(options, async (given) => {
          givenUp += await play(given);
        }),
        {
          numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? DEFAULT_RUNS),
          examples: [
            // Surely gives something up, so that the property says something in each run.
            [{ troubles: [{ kind: 'cut', atMs: 3000, forMs: 9000 }] }],
            // A start that waited for a reading of the clock was sent after its run was given up.
            [
              {
                fates: [
                  { kind: 'carried', toMs: 0, backMs: 0, lateMs: 2000 },
                  { kind: 'request-lost', toMs: 0, backMs: 0, lateMs: 2000 },
                ],
                troubles: [{ kind: 'cut', atMs: 0, forMs: 8818 }],
                taskCount: 12,
                runMs: 300,
                idleMs: 150_000,
              },
            ],
          ],
        },
      );
      expect(givenUp).toBeGreaterThan(0);
    }, 600_000);
  });

  describe('of one holder that may be the only one', () => {
    /** A holder that knows its endpoint and has had nothing to do for a time. */
    const idlePair = async (idleMs = 2000, options: LeasedEndpointOptions = {}) => {
      const pair = createLeasedEndpoint({
        idleMs,
        inheritedLeasesMs: INHERITED_LEASES_MS,
        ...options,
      });
      await advance(idleMs - 10);
      return pair;
    };

    /** Nothing reaches the endpoint any more: its lease runs out, and the holder counts it out. */
    const runOut = async (pair: LeasedEndpoint): Promise<void> => {
      pair.strike('cut', LONG_CUT_MS);
      await advance(LONG_CUT_MS - 1000);
      pair.close();
    };

    const startsOf = ({ sent }: LeasedEndpoint) => sent.filter(({ kind }) => kind === 'start');

    it('end before their runs are given up where a start is sent twice, and once more late', async () => {
      const pair = await idlePair();
      pair.meet([
        { ...QUICK, kind: 'answer-lost' },
        { ...QUICK, kind: 'carried-late', lateMs: 4000 },
      ]);
      await advance(1500);
      await runOut(pair);
      const [first, second] = startsOf(pair);
      expect(second?.keepUntilMs).toBe(first?.keepUntilMs);
      expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
      expect(pair.broken).toEqual([]);
    });

    it('are not prolonged by questions to an endpoint that counts as silent, however late', async () => {
      const pair = await idlePair();
      await advance(1000);
      const late: Fate = { ...QUICK, kind: 'carried-late', lateMs: 5000 };
      pair.meet(Array.from({ length: 100 }, () => late));
      const sentBefore = pair.sent.length;
      await advance(15_000);
      pair.close();
      const lists = pair.sent.slice(sentBefore).filter(({ kind }) => kind === 'list');
      const withTime = lists.filter(({ keepUntilMs }) => keepUntilMs !== undefined);
      expect(withTime.length).toBeLessThanOrEqual(2);
      expect(lists.length).toBeGreaterThanOrEqual(5);
      expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
      expect(pair.broken).toEqual([]);
    });

    describe('whose clock is known from an old answer', () => {
      it.each(IDLE_MS)(
        'end before their runs are given up after %i ms without one',
        async (idleMs) => {
          const pair = await idlePair(idleMs);
          // The one order that keeps the run is its start.
          pair.meet([QUICK]);
          await advance(15);
          await runOut(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.broken).toEqual([]);
        },
      );

      it('end before their runs are given up where an answer was long under way', async () => {
        const pair = await idlePair();
        await advance(1000);
        pair.meet([{ ...QUICK, toMs: 200, backMs: 500 }]);
        await advance(1000);
        await runOut(pair);
        expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
        expect(pair.broken).toEqual([]);
      });

      it.each([400, 3000, 5500, 7000])(
        'end before their runs are given up where the holder stood still for %i ms before it took one in',
        async (forMs) => {
          const pair = await idlePair();
          await advance(1000);
          pair.strike('freeze', forMs);
          await advance(forMs + 50);
          await runOut(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.broken).toEqual([]);
        },
      );
    });

    describe('of an endpoint that the list loses and names again', () => {
      // The holder forgets what it counted. A grant that counts on an old reading of a slow clock lasts
      // longer by 2 % of the reading's age than what is counted for the endpoint anew.
      it.each(IDLE_MS)(
        'are counted from before, where its first run came after %i ms without any',
        async (idleMs) => {
          const pair = await idlePair(idleMs, { runMs: 200 });
          await advance(300);
          pair.list(false);
          await advance(500);
          expect(pair.countedUntilMs()).toBe(0);
          pair.list(true);
          await advance(450);
          pair.submit(1, Infinity);
          await advance(20);
          await runOut(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.broken).toEqual([]);
        },
      );
    });

    describe('while its control lease has lapsed and is renewed by itself', () => {
      it('are not taken for ended before the renewal, and are over by then', async () => {
        const pair = await idlePair();
        await advance(2000);
        const cutAtMs = performance.now();
        pair.strike('table', 10_000);
        pair.strike('cut', 14_000);
        await advance(9900);
        expect(pair.gaveUpAtMs).toEqual([]);
        await advance(3000);
        pair.close();
        expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
        expect(pair.gaveUpAtMs[0]).toBeGreaterThan(cutAtMs + 10_000);
        expect(pair.broken).toEqual([]);
      });
    });
  });

  describe('of a holder that was replaced and does not know it', () => {
    it.each([0, 300, 900, 1500])(
      'are not taken for ended while the next one keeps what runs there, %i ms after it could',
      async (afterMs) => {
        const pair = createLeasedEndpoint({
          troubles: [
            { kind: 'table', atMs: 3000, forMs: 20_000 },
            { kind: 'cut', atMs: 3000, forMs: 20_000 },
          ],
          successor: { afterMs, forMs: 12_000 },
        });
        await advance(3000 + EARLY_TAKE_MS + afterMs + 10_000);
        pair.close();
        expect(pair.model.runs.size).toBe(0);
        expect(pair.gaveUpAtMs).toEqual([]);
        expect(pair.broken).toEqual([]);
      },
    );
  });

  describe('that a new holder inherits', () => {
    /** A fleet whose endpoints all have clocks that are 2 % slow, and no luck in it. */
    const slowFleet = (...names: readonly string[]): SimFleet => {
      const fleet = createSimFleet({ hostsPerPool: 2, pools: ['alpha'], random: () => 0 });
      names.forEach((name) => fleet.addEntry(name));
      return fleet;
    };

    /** Starts a task that lasts; gives the endpoint that runs it and the job. */
    const runOne = async (fleet: SimFleet) => {
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ isLasting: true }] });
      const runsThere = () =>
        Array.from(fleet.endpoints.values()).find(({ runs }) => runs.size > 0)?.instanceId;
      while (!runsThere()) await advance(10);
      const instanceId = runsThere();
      if (!instanceId) throw new Error('nothing runs');
      return { jobId, instanceId };
    };

    const othersOf = (fleet: SimFleet, one: SimEntry): readonly SimEntry[] =>
      fleet.entries.filter((entry) => entry !== one);

    const nextHolder = async (fleet: SimFleet, before: SimEntry): Promise<SimEntry> => {
      const find = () =>
        othersOf(fleet, before).find(({ control }) => control.term() !== undefined);
      for (let turn = 0; turn < 100 && !find(); turn += 1) await advance(100);
      const next = find();
      if (!next) throw new Error('nobody else took control');
      return next;
    };

    describe('from one that gives control up right after a start', () => {
      // The next holder does not know how old the reading was that the last grant counts on.
      it.each(IDLE_MS)(
        'are over before the run is begun elsewhere, if the endpoint was idle for %i ms',
        async (idleMs) => {
          const fleet = slowFleet('a', 'b');
          await advance(idleMs);
          const first = holderOf(fleet);
          const { jobId, instanceId } = await runOne(fleet);
          fleet.entries.forEach(({ cutFrom }) => cutFrom.add(instanceId));
          void first.control.resign();
          await advance(20_000);
          expect(fleet.broken).toEqual([]);
          expect(runningOf(fleet, jobId)).toHaveLength(1);
        },
      );
    });

    /**
     * The holder is cut off with the endpoint that runs a task, and goes on ordering it until its own
     * lease is over; another entry has taken control.
     */
    const cutOff = async () => {
      const fleet = slowFleet('a', 'b', 'c');
      await advance(2000);
      const { jobId, instanceId } = await runOne(fleet);
      await advance(1000);
      const first = holderOf(fleet);
      othersOf(fleet, first).forEach(({ cutFrom }) => cutFrom.add(instanceId));
      Array.from(fleet.endpoints.keys())
        .filter((other) => other !== instanceId)
        .forEach((other) => first.cutFrom.add(other));
      Object.assign(first, { isCutFromTable: true, isSilent: true });
      const second = await nextHolder(fleet, first);
      return { fleet, jobId, instanceId, second };
    };

    describe('from one that took control from one that still orders', () => {
      // The third holder has to count with the first, whose name the row of the lease no longer tells.
      it('are over before the run is begun elsewhere, if it keeps control', async () => {
        const { fleet, jobId } = await cutOff();
        await advance(20_000);
        expect(fleet.broken).toEqual([]);
        expect(runningOf(fleet, jobId)).toHaveLength(1);
      });

      it('are over before the run is begun elsewhere, if it gives control up at once', async () => {
        const { fleet, jobId, second } = await cutOff();
        void second.control.resign();
        await advance(20_000);
        expect(fleet.broken).toEqual([]);
        expect(runningOf(fleet, jobId)).toHaveLength(1);
      });

      it('are over before the run is begun elsewhere, if it is killed and comes back at once', async () => {
        const { fleet, jobId, instanceId, second } = await cutOff();
        fleet.kill(second);
        fleet.addEntry(second.entryId).cutFrom.add(instanceId);
        await advance(20_000);

        expect(fleet.broken).toEqual([]);
        expect(runningOf(fleet, jobId)).toHaveLength(1);
      });

      it('are over before the run is begun elsewhere, if it is killed for good', async () => {
        const { fleet, jobId, second } = await cutOff();
        fleet.kill(second);
        await advance(20_000);
        expect(fleet.broken).toEqual([]);
        expect(runningOf(fleet, jobId)).toHaveLength(1);
      });
    });

    it.each([500, 2000, 3500])(
      'are not taken for over by one that is itself replaced unknowingly, cut off after %i ms',
      async (afterMs) => {
        const fleet = slowFleet('a', 'b', 'c');
        await advance(2000);
        const { instanceId } = await runOne(fleet);
        const first = holderOf(fleet);
        // The second never hears the endpoint; the third, which replaces it, does.
        othersOf(fleet, first).forEach(({ cutFrom }) => cutFrom.add(instanceId));
        void first.control.resign();
        const second = await nextHolder(fleet, first);
        await advance(afterMs);
        const elsewhere = Array.from(fleet.endpoints.keys()).filter((one) => one !== instanceId);
        othersOf(fleet, second).forEach(({ cutFrom }) => {
          cutFrom.delete(instanceId);
          elsewhere.forEach((one) => cutFrom.add(one));
        });
        Object.assign(second, { isCutFromTable: true, isSilent: true });
        await advance(12_000);
        expect(fleet.broken).toEqual([]);
      },
    );

    it('are believed to be over by the only entry once its lapsed control lease is renewed', async () => {
      const fleet = slowFleet('a');
      await advance(2000);
      const { jobId, instanceId } = await runOne(fleet);
      await advance(1000);
      const only = holderOf(fleet);
      const givenUp = () => fleet.logged.filter(({ event }) => event === 'endpoint-lease-ended');
      only.cutFrom.add(instanceId);
      only.isCutFromTable = true;
      await advance(10_000);
      expect(runningOf(fleet, jobId)).toHaveLength(0);
      expect(givenUp()).toHaveLength(0);
      only.isCutFromTable = false;
      await advance(2500);
      expect(givenUp()).toHaveLength(1);
      expect(fleet.broken).toEqual([]);
    });
  });
});
