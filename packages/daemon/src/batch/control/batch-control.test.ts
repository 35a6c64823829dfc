/** Control of batch work under one holder, in a simulated fleet with virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId, JobId } from '@valvelatch/core/shared/ids';

import { type SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  phaseOf,
  listRunKeys,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

describe('control of batch work', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('without faults', () => {
    it('runs the steps of a job in order and stores its end', async () => {
      const fleet = await createStartedFleet();
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 6 }, { taskCount: 3, after: [0] }],
      });
      await advanceTime(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.violations).toEqual([]);
    });

    it('fails a job once a task has used up the attempts that its queue allows', async () => {
      const fleet = await createStartedFleet();
      const job = fleet.submit({ pool: 'alpha', steps: [{}], fails: true });
      await advanceTime(6000);
      expect(phaseOf(fleet, job)).toBe('failed');
      expect(fleet.violations).toEqual([]);
    });

    it('cancels a job and stops its runs', async () => {
      const fleet = await createStartedFleet();
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 20_000 });
      await advanceTime(1500);
      fleet.cancel(job);
      await advanceTime(2500);
      expect(phaseOf(fleet, job)).toBe('cancelled');
      expect(listRunKeys(fleet, job)).toEqual([]);
    });

    it('keeps the row of an ended job while clients may ask for it, and deletes it after that', async () => {
      const fleet = await createStartedFleet();
      const jobs = [0, 1].map(() => fleet.submit({ pool: 'alpha', steps: [{}] }));
      fleet.cancel(jobs[1] as JobId);
      await advanceTime(120_000);
      expect(jobs.map((job) => phaseOf(fleet, job))).toEqual(['completed', 'cancelled']);
      await advanceTime(80_000);
      expect(jobs.map((job) => phaseOf(fleet, job))).toEqual(['missing', 'missing']);
      expect(fleet.violations).toEqual([]);
    });

    it('starts the members of a gang under one run number, all or none', async () => {
      const fleet = await createStartedFleet();
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 5, cpuMillis: 4000, isGang: true }],
        runMs: 2000,
      });
      await advanceTime(1000);
      const numbers = Array.from(fleet.endpoints.values()).flatMap(({ runs }) =>
        Array.from(runs.values(), ({ run }) => run),
      );
      expect(new Set(numbers).size).toBe(1);
      expect(numbers).toHaveLength(5);
      await advanceTime(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
    });
  });

  describe('maintenance', () => {
    const listHosts = (fleet: SimFleet, pool: string): HostId[] =>
      Array.from(fleet.hosts.values())
        .filter((host) => host.pool === pool)
        .map(({ hostId }) => hostId);

    it('does not treat an endpoint as gone if its maintenance order was carried out under an earlier holder', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      const hosts = listHosts(fleet, 'alpha');
      // An earlier holder had the hosts maintained but could not store that: the platform answers a repeated
      // order in the same way.
      hosts.forEach((hostId) => fleet.maintained.add(`1/${hostId}`));
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8, isLasting: true }] });
      await advanceTime(4000);
      fleet.orderWave({ waveNumber: 1, hosts, withinMs: 30_000, maximum: 2 });
      await advanceTime(25_000);
      expect(fleet.violations).toEqual([]);
      expect(listRunKeys(fleet, job)).toHaveLength(8);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });

    it('takes down no host whose endpoint has not reported yet', async () => {
      // Guards against a new holder that, after all entries were killed, orders hosts before the first
      // endpoints have answered.
      const fleet = await createStartedFleet({ hostsPerPool: 5 });
      fleet.faults.answerMs = 150;
      fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 4, isLasting: true, mayMiss: 1, mostPerEndpoint: 1 }],
      });
      await advanceTime(4000);
      const wave = {
        waveNumber: 1,
        hosts: listHosts(fleet, 'alpha'),
        withinMs: 60_000,
        maximum: 3,
      };
      for (let round = 0; round < 10; round += 1) {
        await advanceTime(1300);
        const names = fleet.entries.map(({ entryId }) => entryId);
        Array.from(fleet.entries).forEach(fleet.kill);
        names.forEach((name) => fleet.addEntry(name));
        fleet.orderWave(wave);
      }
      await advanceTime(30_000);
      expect(fleet.violations).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });

    it('moves tasks of a step off a host that runs more of them than may be missing', async () => {
      // Guards against a wave that stalls (for 24 s): four tasks of a step run on one host, and only one may
      // be missing.
      const fleet = await createStartedFleet({ hostsPerPool: 3 });
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 4, isLasting: true, mayMiss: 1 }],
      });
      await advanceTime(4000);
      fleet.orderWave({
        waveNumber: 1,
        hosts: listHosts(fleet, 'alpha'),
        withinMs: 26_000,
        maximum: 3,
      });
      await advanceTime(26_000);
      expect(fleet.violations).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
      expect(listRunKeys(fleet, job)).toHaveLength(4);
    });

    it('does not keep a host empty while a disruption budget forbids taking it down', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 2 });
      // Three tasks, at most one on each endpoint, but only two hosts: one task is
      // always missing, so neither host may be taken down and both are needed.
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 3, isLasting: true, mayMiss: 1, mostPerEndpoint: 1 }],
      });
      await advanceTime(4000);
      fleet.orderWave({
        waveNumber: 1,
        hosts: listHosts(fleet, 'alpha'),
        withinMs: 30_000,
        maximum: 2,
      });
      await advanceTime(3000);
      const shortJob = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }] });
      await advanceTime(3000);
      expect(phaseOf(fleet, shortJob)).toBe('completed');
      expect(phaseOf(fleet, job)).toBe('live');
      expect(fleet.violations).toEqual([]);
    });
  });

  describe('queues that need advice', () => {
    it('start tasks with a ticket, and only where the advice service allows it', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 5 }, { taskCount: 3, after: [0] }],
        needsAdvice: true,
      });
      await advanceTime(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.violations).toEqual([]);
    });

    it('ask again if tickets have expired or answers were lost', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 4 });
      fleet.faults.lostAnswers = 0.3;
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 40, cpuMillis: 4000 }],
        runMs: 1500,
        needsAdvice: true,
      });
      await advanceTime(60_000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.violations).toEqual([]);
    });
  });

  describe('hosts that move to another pool', () => {
    it('get no tasks while their move is in flight', async () => {
      // Guards against placing tasks between the order to a host and its answer: the move would end them.
      const fleet = await createStartedFleet({ hostsPerPool: 6 });
      fleet.faults.hostOrderMs = 700;
      await advanceTime(4000);
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 60, cpuMillis: 8000 }], runMs: 4000 });
      const longRunningJobs: JobId[] = [];
      for (let round = 0; round < 12; round += 1) {
        await advanceTime(150);
        longRunningJobs.push(
          fleet.submit({ pool: 'beta', steps: [{ isLasting: true, cpuMillis: 500 }] }),
        );
      }
      await advanceTime(20_000);
      expect(fleet.violations).toEqual([]);
      expect(longRunningJobs.filter((jobId) => listRunKeys(fleet, jobId).length !== 1)).toEqual([]);
    });
  });
});
