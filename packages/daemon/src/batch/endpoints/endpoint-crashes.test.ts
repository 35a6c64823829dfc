/**
 * Tasks that take down each endpoint that begins them, and endpoints that crash with no task to blame,
 * in virtual time.
 *
 * The failure: endpoint after endpoint of one pool crashed, each some 0.3 s after the one before, and
 * with each 13 to 20 tasks of others; two thirds of the pool's jobs were not done. The order of events:
 * a task begins, and 10 ms later its endpoint is gone. The list of hosts shows another life of its host,
 * the holder puts all that ran there back to those that wait, and the task is begun again on the next
 * endpoint. One task was begun over 20 times under one holder; the next holder, after the loss of all
 * processes, went on with it.
 *
 * The cause: an endpoint that crashes reports nothing, and only what endpoints report counted against a
 * task. That its run was gone was known; that it had gone with its endpoint, and how often that had happened, was
 * kept nowhere.
 *
 * The evidence: each of these runs has a number of its own, so each start was decided; all were on different
 * endpoints, which lived with them for 10 ms; others that went with the same endpoints were done elsewhere.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StepSpec } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import { answerOperator } from '../operators/operators.js';
import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, phaseOf, started } from '../testing/virtual-time.fixtures.js';

/** Over the time that a host is crash, so that there is always a place for the next start. */
const PLAY_MS = 30_000;

/** A job of which one of several tasks takes its endpoints down. */
const submitCrashing = (fleet: SimFleet, crashesAfterMs = 10): JobId =>
  fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3 }], runMs: 640, crashesAfterMs });

/** Work of others, all the while. */
const submitOthers = async (fleet: SimFleet, forMs: number): Promise<readonly JobId[]> => {
  const jobs: JobId[] = [];
  for (let ms = 0; ms < forMs; ms += 500) {
    jobs.push(fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 640 }));
    await advance(500);
  }
  return jobs;
};

const phasesOf = (fleet: SimFleet, jobs: readonly JobId[]): ReadonlySet<string> =>
  new Set(jobs.map((job) => phaseOf(fleet, job)));

describe('a task that takes down each endpoint that begins it', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is given up before it has taken down a fourth one, and what ran beside it is done', async () => {
    const fleet = await started({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    const others = await submitOthers(fleet, PLAY_MS);
    await advance(PLAY_MS);
    expect(fleet.broken).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
    expect(phasesOf(fleet, others)).toEqual(new Set(['completed']));
    expect(Math.max(...fleet.crashes.values())).toBeLessThan(4);
  });

  it('is given up while the list of hosts is away, by the next lives of the hosts', async () => {
    // Nothing but the end of a lease is seen then; that the endpoint had crashed shows later.
    const fleet = await started({ hostsPerPool: 4 });
    fleet.faults.isHostListDown = true;
    const crashing = submitCrashing(fleet);
    await advance(4 * PLAY_MS);
    expect(fleet.broken).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });

  it('is given up where the list of hosts comes back long after its endpoints have gone', async () => {
    const fleet = await started({ hostsPerPool: 4 });
    fleet.faults.isHostListDown = true;
    const crashing = submitCrashing(fleet);
    // The lease of the second is over, and nothing runs on what is left of the first two.
    await advance(16_000);
    fleet.faults.isHostListDown = false;
    await advance(PLAY_MS);
    expect(fleet.broken).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });

  it('has its client and operators told why, by each holder and by the job itself', async () => {
    const fleet = await started({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    await advance(PLAY_MS);
    const explain = () =>
      answerOperator(
        holderOf(fleet).control,
        { method: 'explain', body: { kind: 'job', name: crashing } },
        1,
      );
    const why = `2 endpoints crashed under task ${crashing}.0.0.0, 2 of them`;
    const reason = expect.stringContaining(why) as string;
    const told = async () => [
      await holderOf(fleet).control.statusOf(crashing),
      explain(),
      fleet.rowOf(crashing),
    ];
    const expected = [
      { phase: 'failed', reason },
      { value: { outcome: 'failed', reason } },
      { phase: 'failed', reason },
    ];
    expect(await told()).toMatchObject(expected);
    fleet.kill(holderOf(fleet));
    await advance(6000);
    expect(await told()).toMatchObject(expected);
  });

  it('is given up by the next holders together, if all processes are killed again and again', async () => {
    const fleet = await started({ hostsPerPool: 4 });
    const crashing = submitCrashing(fleet);
    for (let loss = 0; loss < 6; loss += 1) {
      const before = Array.from(fleet.crashes.values()).reduce((sum, count) => sum + count, 0);
      const total = (): number =>
        Array.from(fleet.crashes.values()).reduce((sum, count) => sum + count, 0);
      for (let ms = 0; ms < 12_000 && total() === before; ms += 100) await advance(100);
      // Long enough that a holder has read the list of hosts and written what it concluded.
      await advance(1400);
      const names = fleet.entries.map(({ entryId }) => entryId);
      Array.from(fleet.entries).forEach(fleet.kill);
      await advance(500);
      names.forEach((name) => fleet.addEntry(name));
    }
    await advance(PLAY_MS);
    expect(fleet.broken).toEqual([]);
    expect(phaseOf(fleet, crashing)).toBe('failed');
  });
});

describe('endpoints that crash, with a task to blame and without', () => {
  type Trouble = { readonly kind: string; readonly atMs: number; readonly pick: number };
  type Work = {
    readonly step: Partial<StepSpec>;
    readonly runMs: number;
    readonly needsAdvice: boolean;
    readonly crashesAfterMs: number | undefined;
  };

  const trouble = fc.record({
    kind: fc.constantFrom('crash', 'crash', 'rack', 'hostList', 'killHolder', 'killAll', 'table'),
    atMs: fc.integer({ min: 0, max: 20_000 }),
    pick: fc.nat(1000),
  });

  const work = fc.record({
    step: fc.record({
      taskCount: fc.integer({ min: 1, max: 6 }),
      mostPerEndpoint: fc.constantFrom(0, 0, 2),
      isGang: fc.constantFrom(false, false, true),
    }),
    runMs: fc.integer({ min: 100, max: 3000 }),
    // Endpoints with an odd number may not run what needs advice, and in time all of a pool are odd.
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

  const strike = (fleet: SimFleet, { kind, pick }: Trouble): void => {
    const living = Array.from(fleet.endpoints.values()).filter((one) => one.isUp());
    const chosen = living[pick % Math.max(1, living.length)];
    const acts: Readonly<Record<string, () => void>> = {
      crash: () => chosen && fleet.crash(chosen.instanceId),
      rack: () =>
        living
          .filter((one) => one.pool === chosen?.pool)
          .slice(0, 2)
          .forEach(({ instanceId }) => fleet.crash(instanceId)),
      hostList: () => {
        Object.assign(fleet.faults, { isHostListDown: true });
        setTimeout(() => Object.assign(fleet.faults, { isHostListDown: false }), pick * 8);
      },
      killHolder: () => {
        const holder = fleet.holder();
        if (holder) restartLater(fleet, holder);
      },
      killAll: () => Array.from(fleet.entries).forEach((entry) => restartLater(fleet, entry)),
      table: () => {
        Object.assign(fleet.faults, { isTableDown: true });
        setTimeout(() => Object.assign(fleet.faults, { isTableDown: false }), pick * 4);
      },
    };
    acts[kind]?.();
  };

  const play = async (
    works: readonly Work[],
    troubles: readonly Trouble[],
    seed: number,
  ): Promise<void> => {
    const fleet = await started({ hostsPerPool: 4, seed });
    troubles.forEach((one) => setTimeout(() => strike(fleet, one), one.atMs));
    const jobs: (readonly [JobId, Work])[] = [];
    for (let index = 0; index < works.length; index += 1) {
      const one = works[index] as Work;
      const { step, runMs, needsAdvice, crashesAfterMs } = one;
      const crashing = crashesAfterMs === undefined ? {} : { crashesAfterMs };
      const job = fleet.submit({ pool: 'alpha', steps: [step], runMs, needsAdvice, ...crashing });
      jobs.push([job, one]);
      await advance(700);
    }
    await advance(100_000);
    expect(fleet.broken).toEqual([]);
    jobs.forEach(([job, { step, crashesAfterMs = Infinity }]) => {
      // The end of one member of a gang stands for all, and these members work on without one another.
      const expected = crashesAfterMs === Infinity ? ['completed'] : ['failed'];
      const allowed = step.isGang && crashesAfterMs < Infinity ? ['completed', 'failed'] : expected;
      expect(allowed.map((phase) => [job, phase])).toContainEqual([job, phaseOf(fleet, job)]);
    });
  };

  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('leave all that is not to blame done, and what is to blame given up in time', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(work, { minLength: 1, maxLength: 12 }),
        fc.array(trouble, { maxLength: 8 }),
        fc.integer({ min: 1, max: 100_000 }),
        async (works, troubles, seed) => {
          vi.useRealTimers();
          vi.useFakeTimers({ toFake: [...FAKED] });
          await play(works, troubles, seed);
        },
      ),
      {
        numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 25),
        // A play takes a third of a second; what fails is small enough to read.
        endOnFailure: true,
        // Two crashes by chance, each within 0.25 s of a start where nothing else had begun, look like the task's
        // doing: of drawn plays some have that. By hand any seed is played.
        ...(process.env.VALVELATCH_FUZZ_RUNS === undefined ? { seed: 1 } : {}),
        examples: [
          // Of a task that needs advice all endpoints' tickets had run out, and nobody asked for new ones.
          [
            [
              { ...PLAIN, needsAdvice: true, crashesAfterMs: 300 },
              { ...PLAIN, ...HARMLESS },
            ],
            [{ kind: 'crash', atMs: 0, pick: 113 }],
            1,
          ],
          // One that takes its endpoint down late, beside another that began later; then both endpoints go at once.
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
          // Crashes before and after an endpoint lived with the task for 0.8 s.
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

  it('give a task up in time also where two holders in a row are lost 0.1 s after their endpoints crashed', async () => {
    const drawn: Parameters<typeof play> = [
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
    await play(...drawn);
  });
});
