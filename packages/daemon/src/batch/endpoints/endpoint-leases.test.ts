/**
 * Leases on endpoints: a lease that a holder considers ended has ended at the endpoint, whatever becomes of the
 * orders and their responses. The tests run in virtual time: first one holder and one endpoint with any sequence of
 * faults, then each single cause by which a lease could last longer than its holder assumes.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createLeasedEndpoint,
  EARLY_TAKEOVER_MS,
  PROMPT_OUTCOME,
  type CallOutcome,
  type LeasedEndpoint,
  type LeasedEndpointOptions,
  type FaultPeriod,
} from '../testing/leased-endpoint.fixtures.js';
import { createSimFleet, type SimEntry, type SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  listRunKeys,
} from '../testing/virtual-time.fixtures.js';

const SIMULATION_MS = 32_000;
const DEFAULT_RUNS = 60;
/** For how long leases may last that were granted by an earlier holder, once that holder has certainly ended. */
const INHERITED_LEASES_MS = 6800;
/** Longer than any lease that is granted here. */
const LONG_CUT_MS = 16_000;
/** Idle times. An endpoint without runs gets no list requests, so the last reading of its clock is as old as that. */
const IDLE_MS = [2000, 150_000];

describe('leases on endpoints', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('with any sequence of lost, late and overtaking responses', () => {
    const hopMs = fc.oneof(
      { weight: 6, arbitrary: fc.nat(5) },
      { weight: 1, arbitrary: fc.integer({ min: 50, max: 2500 }) },
    );
    const fate: fc.Arbitrary<CallOutcome> = fc.record({
      kind: fc.oneof(
        { weight: 7, arbitrary: fc.constant('carried' as const) },
        {
          weight: 3,
          arbitrary: fc.constantFrom('request-lost', 'answer-lost', 'carried-late' as const),
        },
      ),
      requestMs: hopMs,
      answerMs: hopMs,
      executionDelayMs: fc.integer({ min: 2000, max: 12_000 }),
    });
    const fault: fc.Arbitrary<FaultPeriod> = fc.record({
      kind: fc.constantFrom('freeze', 'cut', 'cut', 'refuse', 'table' as const),
      atMs: fc.nat(20_000),
      durationMs: fc.oneof(
        fc.integer({ min: 20, max: 1500 }),
        fc.integer({ min: 1500, max: 10_000 }),
      ),
    });
    const options: fc.Arbitrary<LeasedEndpointOptions> = fc.record({
      outcomes: fc.array(fate, { minLength: 1, maxLength: 40 }),
      faults: fc.array(fault, { maxLength: 5 }),
      clockRate: fc.nat(20).map((perMille) => 1 - perMille / 1000),
      successor: fc.option(
        fc.record({ afterMs: fc.nat(1500), renewsForMs: fc.integer({ min: 500, max: 12_000 }) }),
        { nil: undefined },
      ),
      taskCount: fc.constantFrom(1, 3, 12),
      runMs: fc.constantFrom(300, 2500, 7000, Infinity),
      idleMs: fc.constantFrom(0, 0, 0, 20_000, 150_000),
    });

    const simulate = async (given: LeasedEndpointOptions): Promise<number> => {
      vi.useRealTimers();
      vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
      const { idleMs = 0, faults = [] } = given;
      const pair = createLeasedEndpoint({
        ...given,
        faults: faults.map((one) => ({ ...one, atMs: one.atMs + idleMs })),
      });
      await advanceTime(idleMs + SIMULATION_MS);
      pair.close();
      expect(pair.violations).toEqual([]);
      return pair.gaveUpAtMs.length;
    };

    it('have ended whenever their runs are given up, and none of these runs returns', async () => {
      let givenUp = 0;
      await fc.assert(
        fc.asyncProperty(options, async (given) => {
          givenUp += await simulate(given);
        }),
        {
          numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? DEFAULT_RUNS),
          examples: [
            // Always gives runs up, so that the property is not vacuous.
            [{ faults: [{ kind: 'cut', atMs: 3000, durationMs: 9000 }] }],
            // A start order that waited for a reading of the clock was sent after its run had been given up.
            [
              {
                outcomes: [
                  { kind: 'carried', requestMs: 0, answerMs: 0, executionDelayMs: 2000 },
                  { kind: 'request-lost', requestMs: 0, answerMs: 0, executionDelayMs: 2000 },
                ],
                faults: [{ kind: 'cut', atMs: 0, durationMs: 8818 }],
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

  describe('of a holder that may be the sole holder', () => {
    /** Creates a holder and an endpoint that know each other and have been idle for a time. */
    const idlePair = async (idleMs = 2000, options: LeasedEndpointOptions = {}) => {
      const pair = createLeasedEndpoint({
        idleMs,
        inheritedLeasesMs: INHERITED_LEASES_MS,
        ...options,
      });
      await advanceTime(idleMs - 10);
      return pair;
    };

    /** Cuts the endpoint off until its lease has ended and the holder has given its runs up. */
    const letLeaseExpire = async (pair: LeasedEndpoint): Promise<void> => {
      pair.addFault('cut', LONG_CUT_MS);
      await advanceTime(LONG_CUT_MS - 1000);
      pair.close();
    };

    const startsOf = ({ sent }: LeasedEndpoint) => sent.filter(({ kind }) => kind === 'start');

    it('end before their runs are given up if a start order is repeated and the second one is carried out late', async () => {
      const pair = await idlePair();
      pair.setNextOutcomes([
        { ...PROMPT_OUTCOME, kind: 'answer-lost' },
        { ...PROMPT_OUTCOME, kind: 'carried-late', executionDelayMs: 4000 },
      ]);
      await advanceTime(1500);
      await letLeaseExpire(pair);
      const [first, second] = startsOf(pair);
      expect(second?.keepUntilMs).toBe(first?.keepUntilMs);
      expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
      expect(pair.violations).toEqual([]);
    });

    it('are not extended by list requests to an endpoint that does not respond, however late these are carried out', async () => {
      const pair = await idlePair();
      await advanceTime(1000);
      const late: CallOutcome = { ...PROMPT_OUTCOME, kind: 'carried-late', executionDelayMs: 5000 };
      pair.setNextOutcomes(Array.from({ length: 100 }, () => late));
      const sentBefore = pair.sent.length;
      await advanceTime(15_000);
      pair.close();
      const lists = pair.sent.slice(sentBefore).filter(({ kind }) => kind === 'list');
      const withTime = lists.filter(({ keepUntilMs }) => keepUntilMs !== undefined);
      expect(withTime.length).toBeLessThanOrEqual(2);
      expect(lists.length).toBeGreaterThanOrEqual(5);
      expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
      expect(pair.violations).toEqual([]);
    });

    describe('computed from an old reading of the clock of the endpoint', () => {
      it.each(IDLE_MS)(
        'end before their runs are given up after %i ms without a reading',
        async (idleMs) => {
          const pair = await idlePair(idleMs);
          // The start order is the only order that grants a lease to the run.
          pair.setNextOutcomes([PROMPT_OUTCOME]);
          await advanceTime(15);
          await letLeaseExpire(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.violations).toEqual([]);
        },
      );

      it('end before their runs are given up if a response was in flight for long', async () => {
        const pair = await idlePair();
        await advanceTime(1000);
        pair.setNextOutcomes([{ ...PROMPT_OUTCOME, requestMs: 200, answerMs: 500 }]);
        await advanceTime(1000);
        await letLeaseExpire(pair);
        expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
        expect(pair.violations).toEqual([]);
      });

      it.each([400, 3000, 5500, 7000])(
        'end before their runs are given up if the holder was frozen for %i ms before it processed a response',
        async (forMs) => {
          const pair = await idlePair();
          await advanceTime(1000);
          pair.addFault('freeze', forMs);
          await advanceTime(forMs + 50);
          await letLeaseExpire(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.violations).toEqual([]);
        },
      );
    });

    describe('of an endpoint that disappears from the list and returns', () => {
      // The holder loses the lease end that it recorded. A lease that was computed from an old reading of a slow
      // clock lasts longer, by 2 % of the age of the reading, than the one that is assumed when the endpoint is
      // listed again.
      it.each(IDLE_MS)(
        'are still accounted for if its first run came after %i ms without runs',
        async (idleMs) => {
          const pair = await idlePair(idleMs, { runMs: 200 });
          await advanceTime(300);
          pair.setListed(false);
          await advanceTime(500);
          expect(pair.estimatedLeaseEndsAtMs()).toBe(0);
          pair.setListed(true);
          await advanceTime(450);
          pair.submit(1, Infinity);
          await advanceTime(20);
          await letLeaseExpire(pair);
          expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
          expect(pair.violations).toEqual([]);
        },
      );
    });

    describe('while the control lease has expired until the same entry renews it', () => {
      it('are not considered ended before the renewal, and have ended by then', async () => {
        const pair = await idlePair();
        await advanceTime(2000);
        const cutAtMs = performance.now();
        pair.addFault('table', 10_000);
        pair.addFault('cut', 14_000);
        await advanceTime(9900);
        expect(pair.gaveUpAtMs).toEqual([]);
        await advanceTime(3000);
        pair.close();
        expect(pair.gaveUpAtMs.length).toBeGreaterThan(0);
        expect(pair.gaveUpAtMs[0]).toBeGreaterThan(cutAtMs + 10_000);
        expect(pair.violations).toEqual([]);
      });
    });
  });

  describe('of a holder that was replaced without noticing', () => {
    it.each([0, 300, 900, 1500])(
      'are not considered ended while they are extended by the next holder, which took control %i ms after it could',
      async (afterMs) => {
        const pair = createLeasedEndpoint({
          faults: [
            { kind: 'table', atMs: 3000, durationMs: 20_000 },
            { kind: 'cut', atMs: 3000, durationMs: 20_000 },
          ],
          successor: { afterMs, renewsForMs: 12_000 },
        });
        await advanceTime(3000 + EARLY_TAKEOVER_MS + afterMs + 10_000);
        pair.close();
        expect(pair.model.runs.size).toBe(0);
        expect(pair.gaveUpAtMs).toEqual([]);
        expect(pair.violations).toEqual([]);
      },
    );
  });

  describe('that a new holder inherits', () => {
    /** Creates a fleet without randomness whose endpoints all have clocks that are 2 % slow. */
    const createSlowClockFleet = (...names: readonly string[]): SimFleet => {
      const fleet = createSimFleet({ hostsPerPool: 2, pools: ['alpha'], random: () => 0 });
      names.forEach((name) => fleet.addEntry(name));
      return fleet;
    };

    /** Starts a long-running task, and returns its job and the endpoint that runs it. */
    const startTask = async (fleet: SimFleet) => {
      const jobId = fleet.submit({ pool: 'alpha', steps: [{ isLasting: true }] });
      const findInstance = () =>
        Array.from(fleet.endpoints.values()).find(({ runs }) => runs.size > 0)?.instanceId;
      while (!findInstance()) await advanceTime(10);
      const instanceId = findInstance();
      if (!instanceId) throw new Error('nothing runs');
      return { jobId, instanceId };
    };

    const listOtherEntries = (fleet: SimFleet, one: SimEntry): readonly SimEntry[] =>
      fleet.entries.filter((entry) => entry !== one);

    const waitForNextHolder = async (fleet: SimFleet, before: SimEntry): Promise<SimEntry> => {
      const find = () =>
        listOtherEntries(fleet, before).find(({ control }) => control.term() !== undefined);
      for (let turn = 0; turn < 100 && !find(); turn += 1) await advanceTime(100);
      const next = find();
      if (!next) throw new Error('nobody else took control');
      return next;
    };

    describe('from one that resigns right after a start', () => {
      // The next holder does not know how old the reading was from which the last lease was computed.
      it.each(IDLE_MS)(
        'have ended before the task is started elsewhere, if the endpoint was idle for %i ms',
        async (idleMs) => {
          const fleet = createSlowClockFleet('a', 'b');
          await advanceTime(idleMs);
          const first = requireHolder(fleet);
          const { jobId, instanceId } = await startTask(fleet);
          fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));
          void first.control.resign();
          await advanceTime(20_000);
          expect(fleet.violations).toEqual([]);
          expect(listRunKeys(fleet, jobId)).toHaveLength(1);
        },
      );
    });

    /**
     * Cuts the holder off from everything but the endpoint that runs a task. The holder sends orders there until its
     * own control lease ends, while another entry takes control.
     */
    const cutHolderOff = async () => {
      const fleet = createSlowClockFleet('a', 'b', 'c');
      await advanceTime(2000);
      const { jobId, instanceId } = await startTask(fleet);
      await advanceTime(1000);
      const first = requireHolder(fleet);
      listOtherEntries(fleet, first).forEach(({ unreachableEndpoints }) =>
        unreachableEndpoints.add(instanceId),
      );
      Array.from(fleet.endpoints.keys())
        .filter((other) => other !== instanceId)
        .forEach((other) => first.unreachableEndpoints.add(other));
      Object.assign(first, { isCutFromTable: true, isSilent: true });
      const second = await waitForNextHolder(fleet, first);
      return { fleet, jobId, instanceId, second };
    };

    describe('from one that replaced a holder that still sends orders', () => {
      // The third holder has to allow for leases of the first, whose name is no longer in the row of the control
      // lease.
      it('have ended before the task is started elsewhere, if it keeps control', async () => {
        const { fleet, jobId } = await cutHolderOff();
        await advanceTime(20_000);
        expect(fleet.violations).toEqual([]);
        expect(listRunKeys(fleet, jobId)).toHaveLength(1);
      });

      it('have ended before the task is started elsewhere, if it resigns at once', async () => {
        const { fleet, jobId, second } = await cutHolderOff();
        void second.control.resign();
        await advanceTime(20_000);
        expect(fleet.violations).toEqual([]);
        expect(listRunKeys(fleet, jobId)).toHaveLength(1);
      });

      it('have ended before the task is started elsewhere, if it is killed and restarted at once', async () => {
        const { fleet, jobId, instanceId, second } = await cutHolderOff();
        fleet.kill(second);
        fleet.addEntry(second.entryId).unreachableEndpoints.add(instanceId);
        await advanceTime(20_000);

        expect(fleet.violations).toEqual([]);
        expect(listRunKeys(fleet, jobId)).toHaveLength(1);
      });

      it('have ended before the task is started elsewhere, if it is killed and does not return', async () => {
        const { fleet, jobId, second } = await cutHolderOff();
        fleet.kill(second);
        await advanceTime(20_000);
        expect(fleet.violations).toEqual([]);
        expect(listRunKeys(fleet, jobId)).toHaveLength(1);
      });
    });

    it.each([500, 2000, 3500])(
      'are not considered ended by one that is cut off after %i ms and replaced without noticing',
      async (afterMs) => {
        const fleet = createSlowClockFleet('a', 'b', 'c');
        await advanceTime(2000);
        const { instanceId } = await startTask(fleet);
        const first = requireHolder(fleet);
        // The second holder gets no response of the endpoint; the third, which replaces it, does.
        listOtherEntries(fleet, first).forEach(({ unreachableEndpoints }) =>
          unreachableEndpoints.add(instanceId),
        );
        void first.control.resign();
        const second = await waitForNextHolder(fleet, first);
        await advanceTime(afterMs);
        const elsewhere = Array.from(fleet.endpoints.keys()).filter((one) => one !== instanceId);
        listOtherEntries(fleet, second).forEach(({ unreachableEndpoints }) => {
          unreachableEndpoints.delete(instanceId);
          elsewhere.forEach((one) => unreachableEndpoints.add(one));
        });
        Object.assign(second, { isCutFromTable: true, isSilent: true });
        await advanceTime(12_000);
        expect(fleet.violations).toEqual([]);
      },
    );

    it('are considered ended by the only entry once its expired control lease is renewed', async () => {
      const fleet = createSlowClockFleet('a');
      await advanceTime(2000);
      const { jobId, instanceId } = await startTask(fleet);
      await advanceTime(1000);
      const only = requireHolder(fleet);
      const givenUp = () =>
        fleet.loggedEvents.filter(({ event }) => event === 'endpoint-lease-ended');
      only.unreachableEndpoints.add(instanceId);
      only.isCutFromTable = true;
      await advanceTime(10_000);
      expect(listRunKeys(fleet, jobId)).toHaveLength(0);
      expect(givenUp()).toHaveLength(0);
      only.isCutFromTable = false;
      await advanceTime(2500);
      expect(givenUp()).toHaveLength(1);
      expect(fleet.violations).toEqual([]);
    });
  });
});
