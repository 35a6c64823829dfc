/**
 * Maintenance of hosts that run one task each of a long-running step, while short tasks use up the free capacity of
 * the pools in turn. Guards against hosts that wait for time or capacity for so long that the step's limit on
 * unavailable tasks (`mayMiss`) no longer lets them go down one after the other in time: with a limit of one task, 24
 * such hosts took 32.5 s where 26 s were allowed.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId, JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const WITHIN_MS = 26_000;
const POOLS = ['alpha', 'beta'];
const HOSTS_PER_POOL = 24;
const HOSTS_PER_RACK = 6;
const LONG_RUNNING_TASKS = 12;
const PEAK_MS = 4000;
const SUBMIT_MS = 200;
/**
 * Short tasks per submission to the pool at its peak. Two of them fit on a host beside a long-running task, so 10
 * per submission are already more than a pool of 24 hosts can run.
 */
const PEAK_TASKS = 13;
const QUIET_TASKS = 3;

describe('a wave over hosts with tasks of a long-running step', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const submitLongRunningJobs = (fleet: SimFleet, mayMiss: number): readonly JobId[] =>
    POOLS.map((pool) =>
      fleet.submit({
        pool,
        steps: [
          {
            taskCount: LONG_RUNNING_TASKS,
            isLasting: true,
            mostPerEndpoint: 1,
            cpuMillis: 2000,
            mayMiss,
          },
        ],
        startMs: 1000,
      }),
    );

  /** Submits short tasks continually, with a peak in one pool after the other. */
  const submitShortTasks = (fleet: SimFleet): NodeJS.Timeout => {
    const beganAtMs = performance.now();
    return setInterval(() => {
      const turn = Math.floor((performance.now() - beganAtMs) / PEAK_MS);
      POOLS.forEach((pool, index) => {
        const taskCount = turn % POOLS.length === index ? PEAK_TASKS : QUIET_TASKS;
        fleet.submit({ pool, steps: [{ taskCount, cpuMillis: 2800 }], runMs: 1000 });
      });
    }, SUBMIT_MS);
  };

  const hostsCarrying = (fleet: SimFleet, jobIds: readonly JobId[]): readonly HostId[] =>
    Array.from(fleet.endpoints.values())
      .filter((endpoint) => endpoint.isUp())
      .filter(({ runs }) =>
        Array.from(runs.keys()).some((key) => jobIds.some((id) => key.startsWith(id))),
      )
      .map(({ hostId }) => hostId);

  const hostsInRacks = (fleet: SimFleet, racks: readonly string[]): readonly HostId[] =>
    Array.from(fleet.hosts.values())
      .filter(({ labels }) => racks.some((rack) => labels.includes(rack)))
      .map(({ hostId }) => hostId);

  const busyFleet = async (mayMiss: number) => {
    const fleet = await createStartedFleet({
      hostsPerPool: HOSTS_PER_POOL,
      domains: { hostsPerRack: HOSTS_PER_RACK, dataCentres: 2 },
    });
    const jobIds = submitLongRunningJobs(fleet, mayMiss);
    await advanceTime(3000);
    const work = submitShortTasks(fleet);
    await advanceTime(4000);
    return { fleet, jobIds, work };
  };

  /** Waits until all waves are completed, and returns the time that took in ms. */
  const waitForCompletion = async (fleet: SimFleet, waves: readonly number[]): Promise<number> => {
    const beganAtMs = performance.now();
    const isOpen = (): boolean => waves.some((wave) => fleet.waveStatus.get(wave) !== 'completed');
    while (isOpen() && performance.now() - beganAtMs < 2 * WITHIN_MS) await advanceTime(100);
    return performance.now() - beganAtMs;
  };

  it.each([
    { mayMiss: 1, maximum: 6 },
    { mayMiss: 1, maximum: 12 },
    { mayMiss: 2, maximum: 12 },
  ])(
    'is in time if every host has such a task, $mayMiss may be unavailable and $maximum hosts down',
    async ({ mayMiss, maximum }) => {
      const { fleet, jobIds, work } = await busyFleet(mayMiss);
      const hosts = hostsCarrying(fleet, jobIds);
      expect(hosts).toHaveLength(POOLS.length * LONG_RUNNING_TASKS);
      fleet.orderWave({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum });
      const tookMs = await waitForCompletion(fleet, [1]);
      clearInterval(work);
      expect(fleet.violations).toEqual([]);
      expect(tookMs).toBeLessThan(WITHIN_MS);
    },
  );

  it('is in time over half of the fleet, ordered by racks', async () => {
    const { fleet, work } = await busyFleet(1);
    const hosts = hostsInRacks(fleet, ['rack-0', 'rack-1']);
    expect(hosts).toHaveLength(HOSTS_PER_POOL);
    fleet.orderWave({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    const tookMs = await waitForCompletion(fleet, [1]);
    clearInterval(work);
    expect(fleet.violations).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });

  it('moves each task once, to a host without upcoming maintenance', async () => {
    const { fleet, jobIds, work } = await busyFleet(1);
    const hosts = hostsInRacks(fleet, ['rack-0', 'rack-1']);
    fleet.orderWave({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    await waitForCompletion(fleet, [1]);
    clearInterval(work);
    const moved = fleet.loggedEvents
      .filter(({ event, fields }) => event === 'task-stop' && 'reason' in fields)
      .map(({ fields }) => fields as { readonly task: string; readonly reason: string })
      .filter(({ reason }) => reason.includes('moved off a host'))
      .map(({ task }) => task);
    expect(moved.length).toBeGreaterThan(0);
    expect(new Set(moved).size).toBe(moved.length);
    expect(jobIds.flatMap((jobId) => moved.filter((task) => task.startsWith(jobId)))).toHaveLength(
      moved.length,
    );
  });

  it('keeps the limit on unavailable tasks beside another wave over the same step', async () => {
    const { fleet, work } = await busyFleet(1);
    ['rack-0', 'rack-1'].forEach((rack, index) =>
      fleet.orderWave({
        waveNumber: index + 1,
        hosts: hostsInRacks(fleet, [rack]),
        withinMs: WITHIN_MS,
        maximum: 12,
      }),
    );
    const tookMs = await waitForCompletion(fleet, [1, 2]);
    clearInterval(work);
    expect(fleet.violations).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });

  it('is logged as late once, and at once, if it cannot be in time', async () => {
    // Guards against a wave that is found to be late only after its time is over.
    const { fleet, jobIds, work } = await busyFleet(1);
    const hosts = hostsCarrying(fleet, jobIds);
    fleet.orderWave({ waveNumber: 1, hosts, withinMs: 10_000, maximum: 12 });
    await advanceTime(500);
    clearInterval(work);
    const lateWarnings = () =>
      fleet.loggedEvents.filter(({ event }) => event === 'wave-late-expected');
    expect(lateWarnings()).toHaveLength(1);
    expect(lateWarnings()[0]?.fields).toMatchObject({ wave: 1, lateHosts: 6 });
    await advanceTime(3000);
    expect(lateWarnings()).toHaveLength(1);
  });

  it('is in time if the holder is replaced during the wave', async () => {
    const { fleet, jobIds, work } = await busyFleet(2);
    const hosts = hostsCarrying(fleet, jobIds);
    fleet.orderWave({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    await advanceTime(4000);
    fleet.kill(requireHolder(fleet));
    const tookMs = 4000 + (await waitForCompletion(fleet, [1]));
    clearInterval(work);
    expect(fleet.violations).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });
});
