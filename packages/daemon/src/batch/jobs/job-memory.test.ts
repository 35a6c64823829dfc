/** Guards against accepted jobs that take more memory than the control holder has, whoever wrote their rows. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import {
  createSimAccount,
  type SimFleet,
  type SimJobOptions,
} from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  listRunKeys,
  phaseOf,
  requireHolder,
  requireOther,
  settle,
} from '../testing/virtual-time.fixtures.js';

const MEMORY_BYTES = 100_000;
const RUN_MS = 200;
/** Takes about a twentieth of the memory before it starts. */
const LARGE: SimJobOptions = { pool: 'alpha', steps: [{ taskCount: 200 }], runMs: RUN_MS };
const SMALL: SimJobOptions = { pool: 'beta', steps: [{ taskCount: 1 }], runMs: RUN_MS };

const createFleet = (seed = 7) =>
  createStartedFleet({ accounts: [], jobMemoryBytes: MEMORY_BYTES, seed });

const submit = async (fleet: SimFleet, options: SimJobOptions) => {
  const { job, queue } = fleet.prepareJob(options);
  return { jobId: job.jobId, answer: await settle(requireOther(fleet).intake.submit(queue, job)) };
};

const submitMany = async (fleet: SimFleet, options: SimJobOptions, count: number) => {
  const answers = [];
  for (let index = 0; index < count; index += 1) answers.push(await submit(fleet, options));
  return answers;
};

const isAccepted = ({ answer }: Awaited<ReturnType<typeof submit>>): boolean =>
  answer.kind === 'accepted';

/** Lets time pass, and returns the most that the jobs of the holder took meanwhile. */
const watchMemory = async (fleet: SimFleet, ms: number): Promise<number> => {
  let most = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 100) {
    await advanceTime(100);
    const memory = fleet.findHolder()?.control.term()?.memory;
    most = Math.max(most, memory?.measure(performance.now()).heldBytes ?? 0);
  }
  return most;
};

const countWith = (fleet: SimFleet, jobIds: readonly JobId[], phase: string): number =>
  jobIds.filter((jobId) => phaseOf(fleet, jobId) === phase).length;

describe('large jobs of one queue that come faster than they are done', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('and are submitted by clients', () => {
    it('are refused as not run, with Retry-After, before they exceed the bound', async () => {
      const fleet = await createFleet();
      const answers = await submitMany(fleet, LARGE, 25);
      const refused = answers.filter((one) => !isAccepted(one));
      expect(refused.length).toBeGreaterThan(0);
      refused.forEach(({ answer }) =>
        expect(answer).toMatchObject({ verdict: 'notRun', reason: 'overloaded' }),
      );
      const retriesAfterS = refused.map(({ answer }) =>
        'retryAfterS' in answer ? answer.retryAfterS : 0,
      );
      expect(Math.min(...retriesAfterS)).toBeGreaterThan(0);
      expect(await watchMemory(fleet, 1000)).toBeLessThan(MEMORY_BYTES);
      refused.forEach(({ jobId }) => expect(phaseOf(fleet, jobId)).toBe('missing'));
      expect(
        fleet.startsSent.filter(({ task }) => refused.some(({ jobId }) => task.startsWith(jobId))),
      ).toEqual([]);
    });

    it('leave memory for jobs of another queue, which are accepted and run', async () => {
      const fleet = await createFleet();
      await submitMany(fleet, LARGE, 25);
      const small = await submitMany(fleet, SMALL, 6);
      expect(small.every(isAccepted)).toBe(true);
      await advanceTime(3000);
      expect(
        countWith(
          fleet,
          small.map(({ jobId }) => jobId),
          'completed',
        ),
      ).toBe(6);
    });

    it('are accepted again once earlier ones are done', async () => {
      const fleet = await createFleet();
      const first = (await submitMany(fleet, LARGE, 25)).filter(isAccepted);
      await advanceTime(40_000);
      expect(
        countWith(
          fleet,
          first.map(({ jobId }) => jobId),
          'completed',
        ),
      ).toBe(first.length);
      expect(isAccepted(await submit(fleet, LARGE))).toBe(true);
    });

    it('are explained to operators, with the bound', async () => {
      const fleet = await createFleet();
      const refused = (await submitMany(fleet, LARGE, 25)).find((one) => !isAccepted(one));
      const memory = requireHolder(fleet).control.term()?.memory;
      expect(memory?.findRefusal(refused?.jobId as JobId)).toMatchObject({
        scope: 'queue=q-alpha',
        boundBytes: MEMORY_BYTES,
      });
    });
  });

  describe('and whose rows a holder finds in the table', () => {
    const createFullTable = (fleet: SimFleet) => ({
      large: Array.from({ length: 30 }, () => fleet.submit(LARGE)),
      small: Array.from({ length: 6 }, () => fleet.submit(SMALL)),
    });

    const replaceHolder = async (fleet: SimFleet, name: string): Promise<void> => {
      fleet.kill(requireHolder(fleet));
      fleet.addEntry(name);
      await advanceTime(4000);
    };

    it('stay in their rows until there is memory, and are all done', async () => {
      const fleet = await createFleet();
      const { large } = createFullTable(fleet);
      await replaceHolder(fleet, 'd');
      expect(requireHolder(fleet).control.term()?.state.deferredJobs.size).toBeGreaterThan(0);
      expect(await watchMemory(fleet, 90_000)).toBeLessThan(MEMORY_BYTES);
      expect(countWith(fleet, large, 'completed')).toBe(large.length);
      expect(fleet.violations).toEqual([]);
    });

    it('do not hold up jobs of another queue', async () => {
      const fleet = await createFleet();
      const { small } = createFullTable(fleet);
      await replaceHolder(fleet, 'd');
      await advanceTime(2000);
      expect(countWith(fleet, small, 'completed')).toBe(small.length);
    });

    it('are told to clients as pending, and counted as waiting', async () => {
      const fleet = await createFleet();
      const { large } = createFullTable(fleet);
      await replaceHolder(fleet, 'd');
      const { intake } = requireOther(fleet);
      const [deferred] = Array.from(
        requireHolder(fleet).control.term()?.state.deferredJobs.keys() ?? [],
      );
      expect(await settle(intake.status(deferred as JobId, null))).toMatchObject({
        status: { phase: 'pending' },
      });
      const { queue } = fleet.prepareJob(LARGE);
      const waiting = await settle(intake.waiting(queue));
      expect(waiting).toMatchObject({
        kind: 'waiting',
        count: expect.toSatisfy((count: number) => count > large.length / 2),
      });
    });

    it('are refused while earlier ones wait for memory', async () => {
      const fleet = await createFleet();
      createFullTable(fleet);
      await replaceHolder(fleet, 'd');
      expect(isAccepted(await submit(fleet, LARGE))).toBe(false);
    });

    it('are cancelled without a start', async () => {
      const fleet = await createFleet();
      createFullTable(fleet);
      await replaceHolder(fleet, 'd');
      const state = requireHolder(fleet).control.term()?.state;
      const deferred = Array.from(state?.deferredJobs.keys() ?? []).at(-1) as JobId;
      const { intake } = requireOther(fleet);
      expect(await settle(intake.cancel(deferred, null))).toEqual({ kind: 'cancelled' });
      expect(await settle(intake.status(deferred, null))).toMatchObject({
        status: { phase: 'cancelled' },
      });
      await advanceTime(1000);
      expect(phaseOf(fleet, deferred)).toBe('cancelled');
      expect(fleet.startsSent.filter(({ task }) => task.startsWith(deferred))).toEqual([]);
    });

    it.each([1, 2, 3, 4, 5, 6])(
      'run each task once although holders are lost while they wait, seed %i',
      async (seed) => {
        const fleet = await createFleet(seed);
        const { large, small } = createFullTable(fleet);
        for (let index = 0; index < 3; index += 1) {
          await replaceHolder(fleet, `later-${index}`);
          await advanceTime(3000 + seed * 700);
        }
        await advanceTime(90_000);
        expect(countWith(fleet, [...large, ...small], 'completed')).toBe(
          large.length + small.length,
        );
        expect(fleet.violations).toEqual([]);
      },
    );

    it('are added at once if an endpoint has a run of them, which goes on', async () => {
      const owner = createSimAccount('client-a', 0);
      const fleet = await createStartedFleet({ accounts: [owner], jobMemoryBytes: MEMORY_BYTES });
      const others = Array.from({ length: 30 }, () => fleet.submit(LARGE));
      const last = fleet.submit({ pool: 'beta', steps: [{ taskCount: 3 }], runMs: 9000 });
      await advanceTime(1500);
      requireHolder(fleet)
        .control.term()
        ?.state.deferredJobs.forEach((deferred) => Object.assign(deferred, { isRequested: true }));
      await advanceTime(1500);
      const runs = listRunKeys(fleet, last);
      expect(runs).toHaveLength(3);
      await replaceHolder(fleet, 'd');
      expect(requireHolder(fleet).control.term()?.state.deferredJobs.has(last)).toBe(false);
      const events = fleet.loggedEvents.filter(
        ({ fields }) => 'job' in fields && fields.job === last,
      );
      expect(events.map(({ event }) => event)).toContain('deferred-job-added');
      await advanceTime(9000);
      expect(phaseOf(fleet, last)).toBe('completed');
      expect(fleet.startsSent.filter(({ task }) => task.startsWith(last))).toHaveLength(3);
      await advanceTime(80_000);
      expect(countWith(fleet, others, 'completed')).toBe(others.length);
      expect(fleet.violations).toEqual([]);
    });
  });
});
