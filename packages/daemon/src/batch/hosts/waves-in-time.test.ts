/**
 * Maintenance of hosts that carry tasks of a lasting step, one task a host, while short work keeps the pools short of
 * room by turns. Guards against hosts that waited for time or room until the step's allowance could not let them go
 * one after the other any more: with one task that may be missed, 24 such hosts took 32.5 s of the 26 s.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId, JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, started } from '../testing/virtual-time.fixtures.js';

const WITHIN_MS = 26_000;
const POOLS = ['alpha', 'beta'];
const HOSTS_PER_POOL = 24;
const HOSTS_PER_RACK = 6;
const LASTING_TASKS = 12;
const PEAK_MS = 4000;
const SUBMIT_MS = 200;
/** Two of these fit on a host beside a lasting task; 10 at a time are more than a pool of 24 can do. */
const PEAK_TASKS = 13;
const QUIET_TASKS = 3;

describe('a wave over hosts with tasks of a lasting step', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const submitLasting = (fleet: SimFleet, mayMiss: number): readonly JobId[] =>
    POOLS.map((pool) =>
      fleet.submit({
        pool,
        steps: [
          {
            taskCount: LASTING_TASKS,
            isLasting: true,
            mostPerEndpoint: 1,
            cpuMillis: 2000,
            mayMiss,
          },
        ],
        startMs: 1000,
      }),
    );

  /** Short work of one pool after the other. */
  const keepBusy = (fleet: SimFleet): NodeJS.Timeout => {
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
    const fleet = await started({
      hostsPerPool: HOSTS_PER_POOL,
      domains: { hostsPerRack: HOSTS_PER_RACK, dataCentres: 2 },
    });
    const jobIds = submitLasting(fleet, mayMiss);
    await advance(3000);
    const work = keepBusy(fleet);
    await advance(4000);
    return { fleet, jobIds, work };
  };

  /** Waits until all waves are completed, and tells how long that took. */
  const completion = async (fleet: SimFleet, waves: readonly number[]): Promise<number> => {
    const beganAtMs = performance.now();
    const isOpen = (): boolean => waves.some((one) => fleet.waveStatus.get(one) !== 'completed');
    while (isOpen() && performance.now() - beganAtMs < 2 * WITHIN_MS) await advance(100);
    return performance.now() - beganAtMs;
  };

  it.each([
    { mayMiss: 1, maximum: 6 },
    { mayMiss: 1, maximum: 12 },
    { mayMiss: 2, maximum: 12 },
  ])(
    'is in time where every host has such a task, $mayMiss may be missed and $maximum may be down',
    async ({ mayMiss, maximum }) => {
      const { fleet, jobIds, work } = await busyFleet(mayMiss);
      const hosts = hostsCarrying(fleet, jobIds);
      expect(hosts).toHaveLength(POOLS.length * LASTING_TASKS);
      fleet.order({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum });
      const tookMs = await completion(fleet, [1]);
      clearInterval(work);
      expect(fleet.broken).toEqual([]);
      expect(tookMs).toBeLessThan(WITHIN_MS);
    },
  );

  it('is in time over half of the fleet, rack by rack', async () => {
    const { fleet, work } = await busyFleet(1);
    const hosts = hostsInRacks(fleet, ['rack-0', 'rack-1']);
    expect(hosts).toHaveLength(HOSTS_PER_POOL);
    fleet.order({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    const tookMs = await completion(fleet, [1]);
    clearInterval(work);
    expect(fleet.broken).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });

  it('moves each task once, onto hosts without maintenance ahead', async () => {
    const { fleet, jobIds, work } = await busyFleet(1);
    const hosts = hostsInRacks(fleet, ['rack-0', 'rack-1']);
    fleet.order({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    await completion(fleet, [1]);
    clearInterval(work);
    const moved = fleet.logged
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

  it('is within the allowance beside another wave that shares the step', async () => {
    const { fleet, work } = await busyFleet(1);
    ['rack-0', 'rack-1'].forEach((rack, index) =>
      fleet.order({
        waveNumber: index + 1,
        hosts: hostsInRacks(fleet, [rack]),
        withinMs: WITHIN_MS,
        maximum: 12,
      }),
    );
    const tookMs = await completion(fleet, [1, 2]);
    clearInterval(work);
    expect(fleet.broken).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });

  it('is called late at once, and once, where its time cannot be enough', async () => {
    // Guards against a wave that is found late only after its end.
    const { fleet, jobIds, work } = await busyFleet(1);
    const hosts = hostsCarrying(fleet, jobIds);
    fleet.order({ waveNumber: 1, hosts, withinMs: 10_000, maximum: 12 });
    await advance(500);
    clearInterval(work);
    const told = () => fleet.logged.filter(({ event }) => event === 'wave-late-expected');
    expect(told()).toHaveLength(1);
    expect(told()[0]?.fields).toMatchObject({ wave: 1, lateHosts: 6 });
    await advance(3000);
    expect(told()).toHaveLength(1);
  });

  it('is in time where its holder is replaced in between', async () => {
    const { fleet, jobIds, work } = await busyFleet(2);
    const hosts = hostsCarrying(fleet, jobIds);
    fleet.order({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum: 6 });
    await advance(4000);
    fleet.kill(holderOf(fleet));
    const tookMs = 4000 + (await completion(fleet, [1]));
    clearInterval(work);
    expect(fleet.broken).toEqual([]);
    expect(tookMs).toBeLessThan(WITHIN_MS);
  });
});
