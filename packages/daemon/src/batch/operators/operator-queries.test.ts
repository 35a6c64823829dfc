/**
 * Operators' queries on a simulated fleet in virtual time: to a holder that has not read the list of hosts, and about late
 * waves, waiting and refused jobs, and evacuated data centres.
 */
import { DEFAULT_STEP, type BatchJobRow } from '@valvelatch/core/batch';
import { brand, type DataCentreId, type JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { answerOperator } from './operator-queries.js';
import { SIM_DATA_CENTRES } from '../testing/sim-platform.fixtures.js';
import { createSimAccount, type SimFleet } from '../testing/sim-fleet.fixtures.js';
import { SIM_QUEUE_POLICY } from '../testing/sim-environment.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

describe('an operator who queries', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const ask = (fleet: SimFleet, method: string, kind: string, name = '') =>
    answerOperator(requireHolder(fleet).control, { method, body: { kind, name } }, 1);

  describe('a holder that has never read the list of hosts', () => {
    const startWithoutHostList = async (): Promise<SimFleet> => {
      const fleet = await createStartedFleet({ hostsPerPool: 3 });
      const hosts = Array.from(fleet.hosts.keys()).slice(0, 2);
      fleet.orderWave({ waveNumber: 1, hosts, withinMs: 40_000, maximum: 1 });
      fleet.faults.isHostListDown = true;
      fleet.kill(requireHolder(fleet));
      await advanceTime(5000);
      return fleet;
    };

    it('gets the answer that the list is unavailable rather than an empty list', async () => {
      // An empty list would look like a fleet without hosts.
      const fleet = await startWithoutHostList();
      const detail = 'the list of hosts has not been read yet';
      expect(ask(fleet, 'get', 'hosts')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'get', 'pools')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'explain', 'host', 'h-alpha-0')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'get', 'jobs')?.kind).toBe('ok');
    });

    it('gets the wave as running, and the reason why each host waits', async () => {
      const fleet = await startWithoutHostList();
      expect(ask(fleet, 'get', 'waves')).toMatchObject({ value: [{ phase: 'running' }] });
      expect(ask(fleet, 'explain', 'wave', '1')).toMatchObject({
        value: {
          reasons: [0, 1].map((index) => ({
            of: `host h-alpha-${index}`,
            reason: 'waiting: the list of hosts has not been read yet',
          })),
        },
      });
    });

    it('gets the hosts once the list has been read', async () => {
      const fleet = await startWithoutHostList();
      fleet.faults.isHostListDown = false;
      await advanceTime(1000);
      expect(ask(fleet, 'get', 'hosts')?.kind).toBe('ok');
      expect(ask(fleet, 'explain', 'host', 'h-alpha-0')?.kind).toBe('ok');
    });
  });

  describe('a wave that cannot end in time', () => {
    it('gets how many hosts are forecast to be late and why', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 3 });
      const hosts = Array.from(fleet.hosts.keys());
      await advanceTime(8000);
      fleet.orderWave({ waveNumber: 1, hosts, withinMs: 5000, maximum: 1 });
      await advanceTime(500);
      const reason = 'hosts are left, 1 may be down at once, and';
      expect(ask(fleet, 'explain', 'wave', '1')).toMatchObject({
        value: { outcome: expect.stringContaining(reason) as string },
      });
    });
  });

  describe('why a job waits', () => {
    /** Starts a job with three tasks of an account whose quota allows one of them to run. */
    const startBeyondQuota = async () => {
      const accounts = [createSimAccount('client-a', 1000)];
      const fleet = await createStartedFleet({ hostsPerPool: 3, accounts });
      const step = { taskCount: 3, cpuMillis: 1000 };
      const jobId = fleet.submit({ pool: 'alpha', steps: [step], runMs: 20_000 });
      await advanceTime(1500);
      return { fleet, jobId };
    };

    it('gets the quota as the reason, with its figures, for the job and for its account', async () => {
      const { fleet, jobId } = await startBeyondQuota();
      const quota =
        '2 wait for quota: account=client-a has 1 cores, 100 MB running and may have 1 cores';
      expect(ask(fleet, 'explain', 'job', jobId)).toMatchObject({
        value: { reasons: [{ reason: expect.stringContaining(quota) as string }] },
      });
      expect(ask(fleet, 'get', 'accounts')).toMatchObject({
        value: [
          {
            account: 'client-a',
            jobs: 1,
            running: '1 cores, 100 MB',
            maximum: '1 cores',
            waitingTasks: 2,
            reason: '2 wait for quota, 0 for share, 0 for room',
          },
        ],
      });
      expect(ask(fleet, 'explain', 'account', 'client-a')).toMatchObject({
        value: { outcome: '1 jobs, 1 cores, 100 MB running of 1 cores' },
      });
    });

    it('gets an account that was removed from the configuration while it had an unfinished job', async () => {
      const { fleet } = await startBeyondQuota();
      fleet.declareAccounts([]);
      await advanceTime(4000);
      expect(ask(fleet, 'get', 'accounts')).toMatchObject({
        value: [
          { account: 'client-a', reason: expect.stringContaining('not in the conf') as string },
        ],
      });
    });
  });

  describe('about an evacuated data centre', () => {
    const startEvacuation = async (isSouthToo = false) => {
      const fleet = await createStartedFleet({ hostsPerPool: 4, evacuateMs: 5000 });
      const [north, south] = SIM_DATA_CENTRES as [DataCentreId, DataCentreId];
      const step = { taskCount: 8, mostPerEndpoint: 2, cpuMillis: 2000 };
      const before = fleet.submit({ pool: 'alpha', steps: [step], runMs: 3000 });
      await advanceTime(1000);
      fleet.evacuate(north);
      if (isSouthToo) fleet.evacuate(south);
      await advanceTime(300);
      return { fleet, before, north };
    };

    it('gets how many runs are left there, and the log tells when it begins, is empty and ends', async () => {
      const { fleet, north } = await startEvacuation();
      const outcome = expect.stringMatching(
        /^evacuated since .*: 4 short runs and 0 long-running tasks there, the last ends/u,
      ) as string;
      expect(ask(fleet, 'explain', 'data-centre', north)).toMatchObject({ value: { outcome } });
      expect(ask(fleet, 'status', '')).toMatchObject({ value: { evacuatedDataCentres: 1 } });
      await advanceTime(4000);
      expect(ask(fleet, 'get', 'data-centres')).toMatchObject({
        value: [
          {
            dataCentre: north,
            evacuatedSince: expect.stringMatching(/^\d{4}/u) as string,
            shortRuns: 0,
          },
          { evacuatedSince: '' },
        ],
      });
      fleet.withdrawEvacuation(north);
      await advanceTime(500);
      const events = fleet.loggedEvents.filter(({ event }) => event.startsWith('evacuation-'));
      expect(events.map(({ event }) => event)).toEqual([
        'evacuation-begun',
        'evacuation-empty',
        'evacuation-ended',
      ]);
      expect(events[0]?.fields).toMatchObject({ dataCentre: north, revision: 1, shortRuns: 4 });
    });

    it('gets which job waits because of the evacuation', async () => {
      const { fleet, north } = await startEvacuation(true);
      const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }] });
      await advanceTime(1000);
      const reason = '2 wait for room: data centre dc-0, dc-1 is evacuated';
      expect(ask(fleet, 'explain', 'job', job)).toMatchObject({
        value: { reasons: [{ reason: expect.stringContaining(reason) as string }] },
      });
      const waits = {
        of: `job ${job} step 0`,
        reason: expect.stringContaining('2 tasks') as string,
      };
      expect(ask(fleet, 'explain', 'data-centre', north)).toMatchObject({
        value: { reasons: expect.arrayContaining([waits]) as object[] },
      });
    });

    it('finds one log event for a data centre name that no endpoint has', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 3 });
      fleet.evacuate('nroth' as DataCentreId);
      await advanceTime(5000);
      const evacuationEvents = fleet.loggedEvents.filter(({ event }) =>
        event.startsWith('evacuation-'),
      );
      expect(evacuationEvents).toMatchObject([
        { event: 'evacuation-begun', fields: { endpoints: 0 } },
      ]);
    });
  });

  describe('why a job was refused', () => {
    /** Queues a backlog of minutes; then an entry that does not hold control passes one more job to the holder. */
    const overloadFleet = async () => {
      const account = createSimAccount('client-a', 0);
      const fleet = await createStartedFleet({ hostsPerPool: 3, accounts: [account] });
      await advanceTime(3000);
      const step = { taskCount: 24, cpuMillis: 1000, estimateMs: 2000 };
      Array.from({ length: 60 }).forEach(() =>
        fleet.submit({ pool: 'alpha', steps: [step], runMs: 2000 }),
      );
      await advanceTime(1500);
      const entry = fleet.entries.find((one) => one !== requireHolder(fleet));
      const jobId = brand<JobId>('00000000000000ff');
      const row: BatchJobRow = {
        kind: 'live',
        job: {
          jobId,
          queue: brand('q-alpha'),
          pool: brand('alpha'),
          spec: '',
          steps: [{ ...DEFAULT_STEP, ...step }],
          repeats: 0,
          firstDueAtMs: 0,
          intervalMs: 0,
          acceptedAtMs: Date.now(),
          owner: { account: account.name, maximum: account.maximum },
        },
        policy: SIM_QUEUE_POLICY,
      };
      const accepted = entry?.control.accept(row);
      await advanceTime(500);
      return { fleet, jobId, outcome: await accepted };
    };

    it('gets the forecast as the reason; the entry that passed the job on is told that it was refused, and no row is written', async () => {
      const { fleet, jobId, outcome } = await overloadFleet();
      expect(outcome).toMatchObject({ kind: 'refused' });
      expect(fleet.findJobRow(jobId)).toBeUndefined();
      expect(ask(fleet, 'explain', 'job', jobId)).toMatchObject({
        value: {
          outcome: 'refused',
          reason: expect.stringMatching(/forecast to be done in .* Retry-After \d+ s/) as string,
        },
      });
      expect(ask(fleet, 'get', 'accounts')).toMatchObject({
        value: [{ account: 'client-a', refused: 1 }],
      });
      await advanceTime(5000);
      expect(fleet.findJobRow(jobId)).toBeUndefined();
      expect(fleet.violations).toEqual([]);
    });
  });
});
