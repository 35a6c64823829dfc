/**
 * What a holder may conclude once another entry may have replaced it, in virtual time.
 *
 * Guards against starting a completed task again: it was started once more and stopped 2 s later, and one dispatch went
 * out twice. A data centre is cut off, with the holder in it, while a task runs on an endpoint on the other side.
 * Another entry takes control, receives the report that the task is done, acknowledges it, and has the endpoint's host
 * moved. When the cut ends, the lease of the first holder has not ended, and it reads the list of hosts before
 * anything tells it that it was replaced. The endpoint is gone, so the holder counts its runs as lost and starts the
 * task again in its own data centre.
 *
 * The cause is that a missing endpoint shows that its runs have stopped, but not that none of them was completed. Only
 * the holder to which they reported knows that, and by then that may be another entry.
 *
 * Evidence for the cause: both starts carried the same fence, so a single holder gave the run up. The end was
 * acknowledged while the endpoint's lease lasted, which requires another holder. And if the list of hosts answers
 * first, the sequence of events below leads to the same failure each time.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { SimulatedEndpoint } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  listRunKeys,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

/** Within this time a call that was sent during a cut times out and another one is sent. */
const CALL_MS = 1300;

/** How long before the end of a wait further work is submitted, so that it is started within the wait. */
const EXTRA_WORK_LEAD_MS = 700;

type Partition = {
  readonly fleet: SimFleet;
  readonly job: JobId;
  /** The holder that is cut off. */
  readonly first: SimEntry;
  /** The endpoint that runs the task, on the side of the other entries. */
  readonly far: SimulatedEndpoint;
};

const endpointOf = (fleet: SimFleet, jobId: JobId): SimulatedEndpoint => {
  const found = Array.from(fleet.endpoints.values()).find(({ runs }) =>
    Array.from(runs.keys()).some((key) => key.startsWith(jobId)),
  );
  if (!found) throw new Error(`job ${jobId} has no run on any endpoint`);
  return found;
};

/**
 * Cuts an entry off from the table, the hosts and the mesh. It reaches only the endpoints of the task's pool that
 * do not run the task; all other endpoints are on the side of the other entries.
 */
const cutOff = (fleet: SimFleet, entry: SimEntry, far: SimulatedEndpoint): void => {
  Object.assign(entry, { isCutFromTable: true, isCutFromHosts: true, isSilent: true });
  fleet.endpoints.forEach(({ instanceId, pool }) => {
    const isOnOtherSide = pool !== far.pool || instanceId === far.instanceId;
    fleet.entries
      .filter((one) => (one === entry) === isOnOtherSide)
      .forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));
  });
};

const healTable = (entry: SimEntry): void => {
  Object.assign(entry, { isCutFromTable: false, isSilent: false });
};

const healEndpoints = (fleet: SimFleet): void => {
  fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.clear());
};

/** Advances the time and submits other work near its end: with the orders for it the next holder acknowledges ends. */
const advanceWithMoreWork = async (fleet: SimFleet, ms: number): Promise<void> => {
  await advanceTime(ms - EXTRA_WORK_LEAD_MS);
  fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2, mostPerEndpoint: 1 }], runMs: 200 });
  await advanceTime(EXTRA_WORK_LEAD_MS);
};

/** Starts a task and cuts its holder off from the endpoint before the task is done. */
const startPartition = async ({ runMs = 1500, cutAfterMs = 500 } = {}): Promise<Partition> => {
  const fleet = await createStartedFleet({ hostsPerPool: 2 });
  const job = fleet.submit({ pool: 'alpha', steps: [{}], runMs });
  await advanceTime(700);
  const first = requireHolder(fleet);
  const far = endpointOf(fleet, job);
  await advanceTime(cutAfterMs);
  cutOff(fleet, first, far);
  return { fleet, job, first, far };
};

describe('a holder of control', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('that was replaced and does not know it yet', () => {
    const expectCompletedOnce = async ({ fleet, job, first }: Partition): Promise<void> => {
      await advanceTime(CALL_MS);
      healTable(first);
      healEndpoints(fleet);
      await advanceTime(20_000);
      expect(fleet.violations).toEqual([]);
      expect(phaseOf(fleet, job)).toBe('completed');
    };

    it('does not start a task again because the list of hosts shows another incarnation of a host', async () => {
      const partition = await startPartition();
      await advanceWithMoreWork(partition.fleet, 4000);
      partition.fleet.crash(partition.far.instanceId);
      await advanceTime(300);
      partition.first.isCutFromHosts = false;
      await expectCompletedOnce(partition);
    });

    it('does not start a task again because another endpoint uses the address', async () => {
      const partition = await startPartition();
      await advanceWithMoreWork(partition.fleet, 4000);
      partition.fleet.crash(partition.far.instanceId);
      partition.fleet.faults.replacedEndpoints.add(partition.far.instanceId);
      await advanceTime(300);
      partition.first.unreachableEndpoints.delete(partition.far.instanceId);
      await expectCompletedOnce(partition);
    });

    it('does not start an inherited task because endpoints that never reported to it are gone', async () => {
      const { fleet, job, first, far } = await startPartition();
      fleet.kill(first);
      const others = Array.from(fleet.entries);
      // The second holder reaches the table but never the task's endpoint; the third holder reaches both.
      others.forEach(({ unreachableEndpoints }) => unreachableEndpoints.clear());
      await advanceTime(10);
      others.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(far.instanceId));
      while (!fleet.findHolder()) await advanceTime(100);
      const second = requireHolder(fleet);
      await advanceTime(600);
      others
        .filter((one) => one !== second)
        .forEach(({ unreachableEndpoints }) => unreachableEndpoints.clear());
      cutOff(fleet, second, far);
      await advanceWithMoreWork(fleet, 4000);
      fleet.crash(far.instanceId);
      await advanceTime(300);
      second.isCutFromHosts = false;
      await expectCompletedOnce({ fleet, job, first: second, far });
    });

    it('does not start a waiting task on an endpoint that appeared after it was replaced', async () => {
      // The next holder waits only for the endpoints that were listed when it took over, not for later ones.
      const fleet = await createStartedFleet({ hostsPerPool: 3 });
      const wholeHost = { cpuMillis: 8000 };
      fleet.submit({ pool: 'alpha', steps: [{ ...wholeHost, taskCount: 3 }], runMs: 3000 });
      await advanceTime(600);
      const job = fleet.submit({ pool: 'alpha', steps: [{}], runMs: 300 });
      await advanceTime(600);
      const first = requireHolder(fleet);
      const [crashedEndpoint] = Array.from(fleet.endpoints.values());
      if (!crashedEndpoint) throw new Error('the fleet has no endpoint');
      Object.assign(first, {
        isCutFromTable: true,
        isCutFromHosts: true,
        isCutFromEndpointList: true,
        isSilent: true,
      });
      fleet.endpoints.forEach(({ instanceId }) => first.unreachableEndpoints.add(instanceId));
      await advanceTime(1200);
      fleet.crash(crashedEndpoint.instanceId);
      await advanceTime(2900);
      const known = new Set(fleet.endpoints.values());
      const findNewEndpoint = () =>
        Array.from(fleet.endpoints.values()).find((one) => !known.has(one));
      while (!findNewEndpoint()) await advanceTime(10);
      const newInstanceId = findNewEndpoint()?.instanceId ?? crashedEndpoint.instanceId;
      first.unreachableEndpoints.delete(newInstanceId);
      fleet.entries
        .filter((one) => one !== first)
        .forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(newInstanceId));
      await advanceWithMoreWork(fleet, 1000);
      first.isCutFromEndpointList = false;
      await expectCompletedOnce({ fleet, job, first, far: crashedEndpoint });
    });

    it('does not start a task again, in whatever order it reaches the table, hosts and endpoints again', async () => {
      const delayMs = fc.integer({ min: 0, max: 1500 });
      await fc.assert(
        fc.asyncProperty(
          fc.record({
            runMs: fc.integer({ min: 700, max: 6000 }),
            cutAfterMs: fc.integer({ min: 0, max: 1800 }),
            crashAfterMs: fc.integer({ min: 2000, max: 7500 }),
            healAfterMs: fc.integer({ min: 3000, max: 8500 }),
            isReused: fc.boolean(),
            hostsMs: delayMs,
            tableMs: delayMs,
            farMs: delayMs,
          }),
          async ({ runMs, cutAfterMs, crashAfterMs, healAfterMs, isReused, ...heal }) => {
            vi.useRealTimers();
            vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
            const { fleet, job, first, far } = await startPartition({ runMs, cutAfterMs });
            setTimeout(
              () => fleet.submit({ pool: 'alpha', steps: [{}], runMs: 200 }),
              crashAfterMs - EXTRA_WORK_LEAD_MS,
            );
            setTimeout(() => {
              fleet.crash(far.instanceId);
              if (isReused) fleet.faults.replacedEndpoints.add(far.instanceId);
            }, crashAfterMs);
            setTimeout(
              () => Object.assign(first, { isCutFromHosts: false }),
              healAfterMs + heal.hostsMs,
            );
            setTimeout(() => healTable(first), healAfterMs + heal.tableMs);
            setTimeout(() => healEndpoints(fleet), healAfterMs + heal.farMs);
            await advanceTime(40_000);
            expect(fleet.violations).toEqual([]);
            expect(phaseOf(fleet, job)).toBe('completed');
          },
        ),
        {
          numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 25),
          // The list of hosts answers 173 ms before the table; one of 60 random sequences failed in this way.
          examples: [
            [
              {
                runMs: 1554,
                cutAfterMs: 901,
                crashAfterMs: 3689,
                healAfterMs: 4657,
                isReused: false,
                hostsMs: 0,
                tableMs: 173,
                farMs: 386,
              },
            ],
          ],
        },
      );
    }, 600_000);
  });

  describe('that was not replaced', () => {
    /** Starts a task of 30 s and returns the endpoint that runs it. */
    const startLongTask = async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 2 });
      const job = fleet.submit({ pool: 'alpha', steps: [{}], runMs: 30_000 });
      await advanceTime(1000);
      return { fleet, job, endpoint: endpointOf(fleet, job) };
    };

    it('starts the runs of a missing endpoint again as soon as the list of hosts shows that it is gone', async () => {
      const { fleet, job, endpoint } = await startLongTask();
      fleet.crash(endpoint.instanceId);
      await advanceTime(1500);
      expect(listRunKeys(fleet, job)).toHaveLength(1);
      expect(fleet.violations).toEqual([]);
    });

    it('starts these runs again within 2 s after a table outage, during which it was not certain to be the only holder', async () => {
      const { fleet, job, endpoint } = await startLongTask();
      fleet.entries.forEach((entry) =>
        Object.assign(entry, { isCutFromTable: true, isCutFromHosts: false }),
      );
      await advanceTime(4000);
      fleet.crash(endpoint.instanceId);
      await advanceTime(1500);
      expect(listRunKeys(fleet, job)).toEqual([]);
      fleet.entries.forEach(healTable);
      await advanceTime(2000);
      expect(listRunKeys(fleet, job)).toHaveLength(1);
      expect(fleet.violations).toEqual([]);
    });
  });
});
