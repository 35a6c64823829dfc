/**
 * Tasks that crash each endpoint on which they start, and endpoints that crash without a task as the cause, in
 * virtual time.
 *
 * The failure: the endpoints of one pool crashed one after another, some 0.3 s apart. Each crash took down 13 to 20
 * other tasks, and two thirds of the pool's jobs were not completed. A task started, and 10 ms later its endpoint was
 * gone. The list of hosts showed another incarnation on the host, the holder returned all tasks of the endpoint to
 * the queue, and the task was started on the next endpoint. One task was started over 20 times under one holder.
 * After the loss of all processes, the next holder continued in the same way.
 *
 * The cause: a crashed endpoint reports nothing, and only reports of endpoints counted against a task. The holder
 * knew that the run was gone, but did not record that it was lost with its endpoint and how often that had happened.
 *
 * The evidence: each of these runs had a number of its own, so each start was a new decision. All of them were on
 * different endpoints, which survived the start by 10 ms. Other tasks that were lost with the same endpoints
 * completed elsewhere.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StepSpec } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import { answerOperator } from '../operators/operator-queries.js';
import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

/** Longer than a host is down after a crash, so that there always is an endpoint for the next start. */
const SIMULATION_MS = 30_000;

/** Submits a job of several tasks, one of which crashes its endpoints. */
const submitCrashing = (fleet: SimFleet, crashesAfterMs = 10): JobId =>
  fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3 }], runMs: 640, crashesAfterMs });

/** Submits harmless jobs throughout the given time. */
const submitOthers = async (fleet: SimFleet, forMs: number): Promise<readonly JobId[]> => {
  const jobs: JobId[] = [];
  for (let ms = 0; ms < forMs; ms += 500) {
    jobs.push(fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 640 }));
    await advanceTime(500);
  }
  return jobs;
};

const phasesOf = (fleet: SimFleet, jobs: readonly JobId[]): ReadonlySet<string> =>
  new Set(jobs.map((job) => phaseOf(fleet, job)));

describe('a task that crashes each endpoint on which it starts', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is given up before it has crashed a fourth one, and the tasks next to it complete', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    const others = await submitOthers(fleet, SIMULATION_MS);
    await advanceTime(SIMULATION_MS);
    expect(fleet.violations).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
    expect(phasesOf(fleet, others)).toEqual(new Set(['completed']));
    expect(Math.max(...fleet.crashes.values())).toBeLessThan(4);
  });

  it('is given up while the list of hosts is unavailable, by the next incarnations on the hosts', async () => {
    // Without the list, only the end of the lease is observed; that the endpoint had crashed shows later.
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    fleet.faults.isHostListDown = true;
    const crashing = submitCrashing(fleet);
    await advanceTime(4 * SIMULATION_MS);
    expect(fleet.violations).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });

  it('is given up if the list of hosts returns long after its endpoints are gone', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    fleet.faults.isHostListDown = true;
    const crashing = submitCrashing(fleet);
    // By then the lease of the second endpoint has ended, and the records of the first two endpoints hold no runs.
    await advanceTime(16_000);
    fleet.faults.isHostListDown = false;
    await advanceTime(SIMULATION_MS);
    expect(fleet.violations).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });

  it('has the reason shown to its client and to operators by each holder, and stored in the row of its job', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    await advanceTime(SIMULATION_MS);
    const explain = () =>
      answerOperator(
        requireHolder(fleet).control,
        { method: 'explain', body: { kind: 'job', name: crashing } },
        1,
      );
    const why = `2 endpoints crashed under task ${crashing}.0.0.0, 2 of them`;
    const reason = expect.stringContaining(why) as string;
    const readReasons = async () => [
      await requireHolder(fleet).control.findStatus(crashing),
      explain(),
      fleet.findJobRow(crashing),
    ];
    const expected = [
      { phase: 'failed', reason },
      { value: { outcome: 'failed', reason } },
      { phase: 'failed', reason },
    ];
    expect(await readReasons()).toMatchObject(expected);
    fleet.kill(requireHolder(fleet));
    await advanceTime(6000);
    expect(await readReasons()).toMatchObject(expected);
  });

  it('is given up by successive holders together if all processes are killed repeatedly', async () => {
    const fleet = await createStartedFleet({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    for (let loss = 0; loss < 6; loss += 1) {
      const before = Array.from(fleet.crashes.values()).reduce((sum, count) => sum + count, 0);
      const total = (): number =>
        Array.from(fleet.crashes.values()).reduce((sum, count) => sum + count, 0);
      for (let ms = 0; ms < 12_000 && total() === before; ms += 100) await advanceTime(100);
      // Long enough for a holder to read the list of hosts and store its conclusions.
      await advanceTime(1400);
      const names = fleet.entries.map(({ entryId }) => entryId);
      Array.from(fleet.entries).forEach(fleet.kill);
      await advanceTime(500);
      names.forEach((name) => fleet.addEntry(name));
    }
    await advanceTime(SIMULATION_MS);
    expect(fleet.violations).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });

  it.each([
    { holderLivesMs: 60, endpoints: 4 },
    { holderLivesMs: 150, endpoints: 4 },
    { holderLivesMs: 300, endpoints: 8 },
  ])(
    'is given up in time if each holder is lost $holderLivesMs ms after a crash, of $endpoints endpoints',
    async ({ holderLivesMs, endpoints }) => {
      const fleet = await createStartedFleet({ hostsPerPool: endpoints });
      const crashing = submitCrashing(fleet);
      const total = (): number =>
        Array.from(fleet.crashes.values()).reduce((sum, count) => sum + count, 0);
      let counted = total();
      for (let ms = 0; ms < 4 * SIMULATION_MS; ms += 10) {
        await advanceTime(10);
        if (total() > counted) {
          counted = total();
          await advanceTime(holderLivesMs);
          const holder = fleet.findHolder();
          if (holder) fleet.kill(holder);
          await advanceTime(500);
          if (holder) fleet.addEntry(holder.entryId);
        }
      }
      expect(fleet.violations).toEqual([]);
      expect(phaseOf(fleet, crashing)).toBe('failed');
    },
  );
});

describe('endpoints that crash, with and without a task as the cause', () => {
  type Fault = { readonly kind: string; readonly atMs: number; readonly pick: number };
  type JobSpec = {
    readonly step: Partial<StepSpec>;
    readonly runMs: number;
    readonly needsAdvice: boolean;
    readonly crashesAfterMs: number | undefined;
  };

  const fault = fc.record({
    kind: fc.constantFrom('crash', 'crash', 'rack', 'hostList', 'killHolder', 'killAll', 'table'),
    atMs: fc.integer({ min: 0, max: 20_000 }),
    pick: fc.nat(1000),
  });

  const jobSpec = fc.record({
    step: fc.record({
      taskCount: fc.integer({ min: 1, max: 6 }),
      mostPerEndpoint: fc.constantFrom(0, 0, 2),
      isGang: fc.constantFrom(false, false, true),
    }),
    runMs: fc.integer({ min: 100, max: 3000 }),
    // Endpoints with an odd number may not run tasks that need advice, and over time all endpoints of a pool are odd.
    needsAdvice: fc.constant(false),
    crashesAfterMs: fc.constantFrom(undefined, undefined, undefined, undefined, 0, 10, 300, 1200),
  });

  const PLAIN = { step: { taskCount: 1, mostPerEndpoint: 0, isGang: false }, runMs: 100 };
  const gangOf = (taskCount: number) => ({
    step: { taskCount, mostPerEndpoint: 0, isGang: true },
  });
  const AT_300_MS = { needsAdvice: false, crashesAfterMs: 300 };
  const HARMLESS = { needsAdvice: false, crashesAfterMs: undefined };

  const restartLater = (fleet: SimFleet, entry: SimEntry): void => {
    fleet.kill(entry);
    setTimeout(() => fleet.addEntry(entry.entryId), 700);
  };

  const injectFault = (fleet: SimFleet, { kind, pick }: Fault): void => {
    const liveEndpoints = Array.from(fleet.endpoints.values()).filter((one) => one.isUp());
    const chosen = liveEndpoints[pick % Math.max(1, liveEndpoints.length)];
    const actions: Readonly<Record<string, () => void>> = {
      crash: () => chosen && fleet.crash(chosen.instanceId),
      rack: () =>
        liveEndpoints
          .filter((one) => one.pool === chosen?.pool)
          .slice(0, 2)
          .forEach(({ instanceId }) => fleet.crash(instanceId)),
      hostList: () => {
        Object.assign(fleet.faults, { isHostListDown: true });
        setTimeout(() => Object.assign(fleet.faults, { isHostListDown: false }), pick * 8);
      },
      killHolder: () => {
        const holder = fleet.findHolder();
        if (holder) restartLater(fleet, holder);
      },
      killAll: () => Array.from(fleet.entries).forEach((entry) => restartLater(fleet, entry)),
      table: () => {
        Object.assign(fleet.faults, { isTableDown: true });
        setTimeout(() => Object.assign(fleet.faults, { isTableDown: false }), pick * 4);
      },
    };
    actions[kind]?.();
  };

  const simulate = async (
    jobSpecs: readonly JobSpec[],
    faults: readonly Fault[],
    seed: number,
  ): Promise<void> => {
    const fleet = await createStartedFleet({ hostsPerPool: 4, seed });
    faults.forEach((one) => setTimeout(() => injectFault(fleet, one), one.atMs));
    const jobs: (readonly [JobId, JobSpec])[] = [];
    for (let index = 0; index < jobSpecs.length; index += 1) {
      const one = jobSpecs[index] as JobSpec;
      const { step, runMs, needsAdvice, crashesAfterMs } = one;
      const crashing = crashesAfterMs === undefined ? {} : { crashesAfterMs };
      const job = fleet.submit({ pool: 'alpha', steps: [step], runMs, needsAdvice, ...crashing });
      jobs.push([job, one]);
      await advanceTime(700);
    }
    await advanceTime(100_000);
    expect(fleet.violations).toEqual([]);
    jobs.forEach(([job, { step, crashesAfterMs = Infinity }]) => {
      // The end of one gang member counts for all members, and these members continue without one another.
      const expected = crashesAfterMs === Infinity ? ['completed'] : ['failed'];
      const allowed = step.isGang && crashesAfterMs < Infinity ? ['completed', 'failed'] : expected;
      expect(allowed.map((phase) => [job, phase])).toContainEqual([job, phaseOf(fleet, job)]);
    });
  };

  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('have all harmless jobs completed, and all crashing ones given up in time', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(jobSpec, { minLength: 1, maxLength: 12 }),
        fc.array(fault, { maxLength: 8 }),
        fc.integer({ min: 1, max: 100_000 }),
        async (jobSpecs, faults, seed) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
          await simulate(jobSpecs, faults, seed);
        },
      ),
      {
        numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 25),
        // A simulation takes a third of a second, and a failing one is small enough to read without shrinking.
        endOnFailure: true,
        // Two random crashes, each within 0.25 s of a start on an endpoint with no other new run, look as if the task
        // had caused them. Some drawn simulations contain that, so the seed is fixed unless VALVELATCH_FUZZ_RUNS is
        // set.
        ...(process.env.VALVELATCH_FUZZ_RUNS === undefined ? { seed: 1 } : {}),
        examples: [
          // The tickets of all endpoints for a task that needs advice had expired, and no new ones were requested.
          [
            [
              { ...PLAIN, needsAdvice: true, crashesAfterMs: 300 },
              { ...PLAIN, ...HARMLESS },
            ],
            [{ kind: 'crash', atMs: 0, pick: 113 }],
            1,
          ],
          // A task that crashes its endpoint late, next to one that started later; then both endpoints crash at once.
          [
            [
              { ...PLAIN, step: { ...PLAIN.step, mostPerEndpoint: 2 }, runMs: 946, ...HARMLESS },
              { ...PLAIN, step: { ...PLAIN.step, taskCount: 5 }, runMs: 1195, ...HARMLESS },
              { ...PLAIN, runMs: 1063, ...HARMLESS },
              { ...PLAIN, runMs: 923, needsAdvice: false, crashesAfterMs: 1200 },
              { ...PLAIN, step: { ...PLAIN.step, taskCount: 6 }, runMs: 1677, ...HARMLESS },
            ],
            [
              { kind: 'rack', atMs: 4054, pick: 368 },
              { kind: 'killHolder', atMs: 8265, pick: 391 },
              { kind: 'killHolder', atMs: 6121, pick: 357 },
            ],
            5,
          ],
          // Crashes before and after an endpoint survived the task for 0.8 s.
          [
            [
              { ...PLAIN, ...gangOf(3), runMs: 2725, needsAdvice: false, crashesAfterMs: 10 },
              { ...PLAIN, step: { ...PLAIN.step, taskCount: 6 }, runMs: 2010, ...HARMLESS },
              { ...PLAIN, ...gangOf(5), runMs: 1128, needsAdvice: false, crashesAfterMs: 0 },
              { ...PLAIN, step: { ...PLAIN.step, taskCount: 2 }, runMs: 842, ...AT_300_MS },
              { ...PLAIN, ...gangOf(4), runMs: 2912, ...HARMLESS },
            ],
            [
              { kind: 'crash', atMs: 13_887, pick: 531 },
              { kind: 'crash', atMs: 1284, pick: 432 },
              { kind: 'killAll', atMs: 13_908, pick: 995 },
              { kind: 'hostList', atMs: 17_916, pick: 925 },
              { kind: 'rack', atMs: 3763, pick: 304 },
            ],
            99_781,
          ],
        ],
      },
    );
  }, 900_000);

  it('have a task given up in time even if two consecutive holders are lost 0.1 s after their endpoints crashed', async () => {
    const drawn: Parameters<typeof simulate> = [
      [
        {
          step: { taskCount: 5, mostPerEndpoint: 0, isGang: false },
          runMs: 1894,
          needsAdvice: false,
          crashesAfterMs: undefined,
        },
        {
          step: { taskCount: 3, mostPerEndpoint: 0, isGang: false },
          runMs: 2684,
          needsAdvice: false,
          crashesAfterMs: undefined,
        },
        {
          step: { taskCount: 5, mostPerEndpoint: 2, isGang: false },
          runMs: 284,
          needsAdvice: false,
          crashesAfterMs: undefined,
        },
        {
          step: { taskCount: 3, mostPerEndpoint: 2, isGang: true },
          runMs: 2197,
          needsAdvice: false,
          crashesAfterMs: undefined,
        },
        {
          step: { taskCount: 2, mostPerEndpoint: 2, isGang: true },
          runMs: 930,
          needsAdvice: false,
          crashesAfterMs: 1200,
        },
        {
          step: { taskCount: 1, mostPerEndpoint: 2, isGang: false },
          runMs: 1060,
          needsAdvice: false,
          crashesAfterMs: undefined,
        },
        {
          step: { taskCount: 4, mostPerEndpoint: 0, isGang: false },
          runMs: 885,
          needsAdvice: false,
          crashesAfterMs: 1200,
        },
        {
          step: { taskCount: 2, mostPerEndpoint: 0, isGang: false },
          runMs: 2306,
          needsAdvice: false,
          crashesAfterMs: 300,
        },
        {
          step: { taskCount: 2, mostPerEndpoint: 0, isGang: true },
          runMs: 2991,
          needsAdvice: false,
          crashesAfterMs: 1200,
        },
        {
          step: { taskCount: 4, mostPerEndpoint: 0, isGang: false },
          runMs: 138,
          needsAdvice: false,
          crashesAfterMs: 0,
        },
        {
          step: { taskCount: 5, mostPerEndpoint: 2, isGang: false },
          runMs: 2981,
          needsAdvice: false,
          crashesAfterMs: 300,
        },
        {
          step: { taskCount: 4, mostPerEndpoint: 0, isGang: true },
          runMs: 654,
          needsAdvice: false,
          crashesAfterMs: 10,
        },
      ],
      [
        { kind: 'killAll', atMs: 11099, pick: 276 },
        { kind: 'crash', atMs: 5321, pick: 559 },
        { kind: 'crash', atMs: 2406, pick: 687 },
        { kind: 'crash', atMs: 675, pick: 677 },
        { kind: 'hostList', atMs: 16723, pick: 321 },
        { kind: 'hostList', atMs: 19172, pick: 259 },
        { kind: 'killHolder', atMs: 7461, pick: 759 },
        { kind: 'crash', atMs: 12107, pick: 327 },
      ],
      89929,
    ];
    await simulate(...drawn);
  });
});
