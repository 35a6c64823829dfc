/** Control of batch work in virtual time: what must hold at endpoints, under faults of all kinds. */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { EndpointId, HostId, JobId } from '@valvelatch/core/shared/ids';

import { createSimFleet, type SimEntry, type SimFleet } from './testing/sim-fleet.fixtures.js';

const FAKED = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'setImmediate',
  'clearImmediate',
  'performance',
  'Date',
] as const;

/** A source of chance that repeats. */
const chance = (seed: number): (() => number) => {
  let state = seed % 2147483647 || 1;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

const advance = async (ms: number): Promise<void> => {
  await vi.advanceTimersByTimeAsync(ms);
};

const phaseOf = (fleet: SimFleet, jobId: JobId): string => {
  const row = fleet.rowOf(jobId);
  return row?.kind === 'ended' ? row.phase : (row?.kind ?? 'missing');
};

const started = async (
  options: { hostsPerPool?: number; sparePool?: string; seed?: number } = {},
) => {
  const { seed = 7, ...rest } = options;
  const fleet = createSimFleet({ ...rest, random: chance(seed) });
  ['a', 'b', 'c'].forEach((name) => fleet.addEntry(name));
  await advance(1500);
  return fleet;
};

const runningOf = (fleet: SimFleet, jobId: JobId): readonly string[] =>
  Array.from(fleet.endpoints.values())
    .flatMap(({ runs }) => Array.from(runs.keys()))
    .filter((key) => key.startsWith(jobId));

const holderOf = (fleet: SimFleet): SimEntry => {
  const holder = fleet.holder();
  if (!holder) throw new Error('nobody holds control');
  return holder;
};

describe('control of batch work', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('on a calm day', () => {
    it('runs the steps of a job in order and writes its end', async () => {
      const fleet = await started();
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 6 }, { taskCount: 3, after: [0] }],
      });
      await advance(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });

    it('fails a job whose task fails as often as its queue allows', async () => {
      const fleet = await started();
      const job = fleet.submit({ pool: 'alpha', steps: [{}], fails: true });
      await advance(6000);
      expect(phaseOf(fleet, job)).toBe('failed');
      expect(fleet.broken).toEqual([]);
    });

    it('cancels a job and stops what runs of it', async () => {
      const fleet = await started();
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 20_000 });
      await advance(1500);
      fleet.cancel(job);
      await advance(2500);
      expect(phaseOf(fleet, job)).toBe('cancelled');
      expect(runningOf(fleet, job)).toEqual([]);
    });

    it('keeps the row of an ended job while clients may ask for it, and sweeps it after that', async () => {
      const fleet = await started();
      const jobs = [0, 1].map(() => fleet.submit({ pool: 'alpha', steps: [{}] }));
      fleet.cancel(jobs[1] as JobId);
      await advance(120_000);
      expect(jobs.map((job) => phaseOf(fleet, job))).toEqual(['completed', 'cancelled']);
      await advance(80_000);
      expect(jobs.map((job) => phaseOf(fleet, job))).toEqual(['missing', 'missing']);
      expect(fleet.broken).toEqual([]);
    });

    it('starts the members of a gang under one run number, all or none', async () => {
      const fleet = await started();
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 5, cpuMillis: 4000, isGang: true }],
        runMs: 2000,
      });
      await advance(1000);
      const numbers = Array.from(fleet.endpoints.values()).flatMap(({ runs }) =>
        Array.from(runs.values(), ({ run }) => run),
      );
      expect(new Set(numbers).size).toBe(1);
      expect(numbers).toHaveLength(5);
      await advance(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
    });
  });

  describe('maintenance', () => {
    const allHosts = (fleet: SimFleet, pool: string): HostId[] =>
      Array.from(fleet.hosts.values())
        .filter((host) => host.pool === pool)
        .map(({ hostId }) => hostId);

    it('takes no living endpoint for dead when an order was carried out under an earlier holder', async () => {
      const fleet = await started({ hostsPerPool: 4 });
      const hosts = allHosts(fleet, 'alpha');
      // Done before by a holder that could not write it down: the order is answered alike.
      hosts.forEach((hostId) => fleet.maintained.add(`1/${hostId}`));
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 8, isLasting: true }] });
      await advance(4000);
      fleet.order({ waveNumber: 1, hosts, withinMs: 30_000, maximum: 2 });
      await advance(25_000);
      expect(fleet.broken).toEqual([]);
      expect(runningOf(fleet, job)).toHaveLength(8);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });

    it('takes down no host whose endpoint it has not heard yet', async () => {
      // After a kill of all entries the first turn over hosts came before the first answers.
      const fleet = await started({ hostsPerPool: 5 });
      fleet.faults.answerMs = 150;
      fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 4, isLasting: true, mayMiss: 1, mostPerEndpoint: 1 }],
      });
      await advance(4000);
      const wave = { waveNumber: 1, hosts: allHosts(fleet, 'alpha'), withinMs: 60_000, maximum: 3 };
      for (let turn = 0; turn < 10; turn += 1) {
        await advance(1300);
        const names = fleet.entries.map(({ entryId }) => entryId);
        Array.from(fleet.entries).forEach(fleet.kill);
        names.forEach((name) => fleet.addEntry(name));
        fleet.order(wave);
      }
      await advance(30_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });

    it('moves tasks of one step off a host that holds more than may be missed', async () => {
      // A wave of the calm day stood still for 24 s: four tasks on a host, one may be missed.
      const fleet = await started({ hostsPerPool: 3 });
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 4, isLasting: true, mayMiss: 1 }],
      });
      await advance(4000);
      fleet.order({ waveNumber: 1, hosts: allHosts(fleet, 'alpha'), withinMs: 26_000, maximum: 3 });
      await advance(26_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
      expect(runningOf(fleet, job)).toHaveLength(4);
    });

    it('keeps no host empty while a budget forbids to take it down', async () => {
      const fleet = await started({ hostsPerPool: 2 });
      // One task a host: while one is away for good, no other may go, and both hosts are needed.
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 3, isLasting: true, mayMiss: 1, mostPerEndpoint: 1 }],
      });
      await advance(4000);
      fleet.order({ waveNumber: 1, hosts: allHosts(fleet, 'alpha'), withinMs: 30_000, maximum: 2 });
      await advance(3000);
      const other = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }] });
      await advance(3000);
      expect(phaseOf(fleet, other)).toBe('completed');
      expect(phaseOf(fleet, job)).toBe('live');
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('queues that need advice', () => {
    it('start tasks with a ticket, and only where the service allows it', async () => {
      const fleet = await started({ hostsPerPool: 4 });
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 5 }, { taskCount: 3, after: [0] }],
        needsAdvice: true,
      });
      await advance(4000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });

    it('ask again where tickets have run out or answers were lost', async () => {
      const fleet = await started({ hostsPerPool: 4 });
      fleet.faults.lostAnswers = 0.3;
      const job = fleet.submit({
        pool: 'alpha',
        steps: [{ taskCount: 40, cpuMillis: 4000 }],
        runMs: 1500,
        needsAdvice: true,
      });
      await advance(60_000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('a wave under several holders', () => {
    const busyWave = async () => {
      const fleet = await started({ hostsPerPool: 4 });
      const hosts = Array.from(fleet.hosts.values())
        .filter(({ pool }) => pool === 'alpha')
        .map(({ hostId }) => hostId);
      const work = setInterval(() => {
        fleet.submit({ pool: 'alpha', steps: [{ taskCount: 16 }], runMs: 900 });
      }, 400);
      await advance(4000);
      fleet.order({ waveNumber: 1, hosts, withinMs: 40_000, maximum: 2 });
      return { fleet, work };
    };

    it('is done in its own time, not in that of the last holder', async () => {
      // swrc trouble-3: each new holder counted the time anew, left hosts for later, and was late.
      const { fleet, work } = await busyWave();
      await advance(19_000);
      fleet.kill(holderOf(fleet));
      await advance(19_000);
      clearInterval(work);
      expect(fleet.waveStatus.get(1)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });

    it('has no more hosts down than it allows when its holder comes back at once', async () => {
      // A hunt with no pause between holders: the next one did not count what the last had ordered.
      const fleet = await started({ hostsPerPool: 6 });
      const hosts = Array.from(fleet.hosts.values())
        .filter(({ pool }) => pool === 'alpha')
        .map(({ hostId }) => hostId);
      await advance(2000);
      fleet.order({ waveNumber: 1, hosts, withinMs: 10_000, maximum: 2 });
      for (let turn = 0; turn < 12; turn += 1) {
        await advance(350);
        const holder = holderOf(fleet);
        fleet.kill(holder);
        fleet.addEntry(holder.entryId);
        fleet.reorder();
        await advance(450);
      }
      await advance(20_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });

    it('is done in its own time by entries that were started after it was ordered', async () => {
      const { fleet, work } = await busyWave();
      await advance(19_000);
      Array.from(fleet.entries).forEach(fleet.kill);
      ['d', 'e'].forEach((name) => fleet.addEntry(name));
      fleet.reorder();
      await advance(19_000);
      clearInterval(work);
      expect(fleet.waveStatus.get(1)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('hosts that change their pool', () => {
    it('places nothing on a host whose move is under way', async () => {
      // Both hunts' trouble-3 lost lasting tasks so: they were placed between order and answer.
      const fleet = await started({ hostsPerPool: 6 });
      fleet.faults.hostOrderMs = 700;
      await advance(4000);
      fleet.submit({ pool: 'alpha', steps: [{ taskCount: 60, cpuMillis: 8000 }], runMs: 4000 });
      const lasting: JobId[] = [];
      for (let turn = 0; turn < 12; turn += 1) {
        await advance(150);
        lasting.push(fleet.submit({ pool: 'beta', steps: [{ isLasting: true, cpuMillis: 500 }] }));
      }
      await advance(20_000);
      expect(fleet.broken).toEqual([]);
      expect(lasting.filter((jobId) => runningOf(fleet, jobId).length !== 1)).toEqual([]);
    });
  });

  describe('entries of different strength', () => {
    it('leave control to a strong one, whoever looks first', async () => {
      // On the grown site a weak entry took control after all had lost power, and could not carry it.
      const fleet = createSimFleet({ random: chance(3) });
      ['weak-1', 'weak-2'].forEach((name) => fleet.addEntry(name, 0.3));
      fleet.addEntry('strong', 1.3);
      await advance(3000);
      expect(holderOf(fleet).entryId).toBe('strong');
    });

    it('leave control to a strong one after an outage that all saw', async () => {
      const fleet = createSimFleet({ random: chance(3) });
      ['weak-1', 'weak-2'].forEach((name) => fleet.addEntry(name, 0.3));
      fleet.addEntry('strong', 1.3);
      await advance(3000);
      fleet.faults.isTableDown = true;
      await advance(6300);
      fleet.faults.isTableDown = false;
      await advance(2500);
      expect(holderOf(fleet).entryId).toBe('strong');
      expect(fleet.logged.filter(({ event }) => event === 'term-started')).toHaveLength(2);
    });

    it('have a weak holder where no strong one is left', async () => {
      const fleet = createSimFleet({ random: chance(3) });
      fleet.addEntry('weak', 0.3);
      fleet.kill(fleet.addEntry('strong', 1.3));
      await advance(3000);
      expect(holderOf(fleet).entryId).toBe('weak');
    });

    it('hand control over to a strong one that comes later, and go on', async () => {
      const fleet = createSimFleet({ random: chance(3) });
      fleet.addEntry('weak', 0.3);
      await advance(3000);
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 4 }], runMs: 9000 });
      await advance(1000);
      fleet.addEntry('strong', 1.3);
      await advance(7000);
      expect(holderOf(fleet).entryId).toBe('strong');
      await advance(9000);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('a holder that the table turns away while it serves others', () => {
    it('hands control over to one that is served', async () => {
      // speelveilig-grown scale-2: a holder that was cut off kept its lease through neighbours for
      // 28 s, could follow no feed, and started next to nothing.
      const fleet = await started();
      const first = holderOf(fleet);
      first.isCutFromTable = true;
      await advance(4500);
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3 }] });
      await advance(2500);
      expect(holderOf(fleet)).not.toBe(first);
      expect(phaseOf(fleet, job)).toBe('completed');
      expect(fleet.broken).toEqual([]);
    });

    it('does not take its own lapsed lease back through a neighbour', async () => {
      const fleet = await started();
      const first = holderOf(fleet);
      first.isFrozen = true;
      await advance(4200);
      Object.assign(first, { isFrozen: false, isCutFromTable: true });
      await advance(6000);
      expect(holderOf(fleet)).not.toBe(first);
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('a holder that is dead or stands still', () => {
    it('is replaced within 3.5 s, and what the next one starts is started once', async () => {
      const fleet = await started();
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 2500 });
      await advance(1000);
      const first = holderOf(fleet);
      first.isFrozen = true;
      await advance(3500);
      const next = fleet.entries.find((one) => one !== first && one.control.term());
      expect(next).toBeDefined();
      const later = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 6 }], runMs: 2500 });
      await advance(300);
      first.isFrozen = false;
      await advance(9000);
      expect([phaseOf(fleet, job), phaseOf(fleet, later)]).toEqual(['completed', 'completed']);
      expect(fleet.broken).toEqual([]);
    });
  });

  describe('inherited tasks', () => {
    it('waits for the lease of an endpoint that fell out of the list before it was heard', async () => {
      const fleet = await started();
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 3, isLasting: true }] });
      await advance(2000);
      const first = holderOf(fleet);
      const [endpointId] = Array.from(fleet.endpoints.values())
        .filter(({ runs }) => runs.size > 0)
        .map((one) => one.endpointId) as [EndpointId];
      fleet.entries.forEach((entry) => {
        if (entry !== first) entry.cutFrom.add(endpointId);
      });
      // The last word of the first holder keeps the tasks for 6 s; the next takes over after 4.5 s.
      fleet.kill(first);
      await advance(4800);
      expect(fleet.holder()).toBeDefined();
      fleet.unlist(endpointId);
      await advance(20_000);
      expect(fleet.broken).toEqual([]);
      expect(phaseOf(fleet, job)).toBe('live');
    });
  });

  describe('under faults, in any order', () => {
    type Fault = {
      readonly kind: string;
      readonly atMs: number;
      readonly forMs: number;
      readonly pick: number;
    };
    const fault = fc.record({
      kind: fc.constantFrom(
        'kill',
        'freeze',
        'cutTable',
        'cutEndpoint',
        'cutEndpointFromOne',
        'crash',
        'hang',
        'tableDown',
        'killAll',
      ),
      atMs: fc.integer({ min: 0, max: 14_000 }),
      forMs: fc.integer({ min: 200, max: 7000 }),
      pick: fc.nat(1000),
    });

    const strike = (fleet: SimFleet, { kind, forMs, pick }: Fault): void => {
      const entry = fleet.entries[pick % Math.max(1, fleet.entries.length)];
      const endpoint = Array.from(fleet.endpoints.values()).filter((one) => one.isUp())[pick % 4];
      const acts: Readonly<Record<string, () => void>> = {
        kill: () => {
          if (!entry) return;
          fleet.kill(entry);
          setTimeout(() => fleet.addEntry(entry.entryId), forMs);
        },
        killAll: () => {
          Array.from(fleet.entries).forEach((one) => {
            fleet.kill(one);
            setTimeout(() => fleet.addEntry(one.entryId), 700 + forMs / 4);
          });
        },
        freeze: () => {
          if (!entry) return;
          entry.isFrozen = true;
          setTimeout(() => Object.assign(entry, { isFrozen: false }), forMs);
        },
        cutTable: () => {
          if (!entry) return;
          entry.isCutFromTable = true;
          setTimeout(() => Object.assign(entry, { isCutFromTable: false }), forMs);
        },
        cutEndpoint: () => {
          if (!endpoint) return;
          Array.from(fleet.entries).forEach(({ cutFrom }) => {
            cutFrom.add(endpoint.endpointId);
            setTimeout(() => cutFrom.delete(endpoint.endpointId), forMs);
          });
        },
        cutEndpointFromOne: () => {
          if (!endpoint || !entry) return;
          entry.cutFrom.add(endpoint.endpointId);
          setTimeout(() => entry.cutFrom.delete(endpoint.endpointId), forMs);
        },
        crash: () => endpoint && fleet.crash(endpoint.endpointId),
        hang: () => {
          if (!endpoint) return;
          endpoint.mood = 'hangs';
          setTimeout(() => Object.assign(endpoint, { mood: 'sound' }), forMs);
        },
        tableDown: () => {
          Object.assign(fleet.faults, { isTableDown: true });
          setTimeout(() => Object.assign(fleet.faults, { isTableDown: false }), forMs);
        },
      };
      acts[kind]?.();
    };

    const play = async (seed: number, faults: readonly Fault[], noise: number): Promise<void> => {
      const random = chance(seed + 1);
      const fleet = await started({ sparePool: 'off', seed: seed + 1 });
      Object.assign(fleet.faults, {
        lostAnswers: noise,
        lateOrders: noise / 2,
        lostWrites: noise / 2,
      });
      faults.forEach((one) => setTimeout(() => strike(fleet, one), one.atMs));
      const jobs: JobId[] = [];
      for (let turn = 0; turn < 30; turn += 1) {
        jobs.push(
          fleet.submit({
            pool: random() < 0.6 ? 'alpha' : 'beta',
            steps: [{ taskCount: 1 + Math.floor(random() * 5) }, { taskCount: 2, after: [0] }],
            runMs: 200 + random() * 1500,
            fails: random() < 0.1,
          }),
        );
        if (random() < 0.1) fleet.cancel(jobs[Math.floor(random() * jobs.length)] as JobId);
        await advance(500);
      }
      Object.assign(fleet.faults, {
        lostAnswers: 0,
        lateOrders: 0,
        lostWrites: 0,
        isTableDown: false,
      });
      await advance(45_000);
      expect(fleet.broken).toEqual([]);
      const open = jobs.filter((jobId) => phaseOf(fleet, jobId) === 'live');
      expect(open).toEqual([]);
    };

    it('runs no task twice at once or after its noted end, keeps order, ends each job', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.integer({ min: 1, max: 1_000_000 }),
          fc.array(fault, { maxLength: 6 }),
          fc.constantFrom(0, 0.02, 0.1),
          async (seed, faults, noise) => {
            vi.useRealTimers();
            vi.useFakeTimers({ toFake: [...FAKED] });
            await play(seed, faults, noise);
          },
        ),
        {
          numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 25),
          // Seeds that failed once stay: an earlier holder's move was carried out 5 s late.
          examples: [[852855, [], 0.1]],
        },
      );
    }, 300_000);
  });
});
