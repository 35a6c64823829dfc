/** Simulates a burst of jobs on one pool, with and without admission control. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName, type PoolName } from '../../shared/ids.js';
import {
  simulateFleet,
  shareWithinObjective,
  type SimulatedClient,
  type FleetSimulationResult,
  type SimulatedJob,
  type SimulatedPool,
} from '../testing/fleet-simulation.fixtures.js';
import { LATE_SUCCESS_FACTOR } from '../placement/job-rank.js';

const POOL: SimulatedPool = { name: brand<PoolName>('a'), hosts: 24, taskCpu: 6200, runMs: 800 };
/** Each of the 24 hosts runs ten tasks at once; a job has sixteen tasks of 0.8 s. */
const CAPACITY_JOBS_PER_S = (24 * 10) / (16 * 0.8);
const ACCOUNTS = 5;
const BURST_FROM_MS = 4000;
const BURST_FOR_MS = 10_000;
/** Load outside the burst, relative to the capacity. */
const BASE_LOAD = 0.5;

const isInBurst = (nowMs: number): boolean =>
  nowMs >= BURST_FROM_MS && nowMs < BURST_FROM_MS + BURST_FOR_MS;

const clientsOf = (factor: number, weight: number): readonly SimulatedClient[] =>
  Array.from({ length: ACCOUNTS }, (_, index) => ({
    name: brand<AccountName>(`account-${index}`),
    pool: POOL.name,
    weight,
    jobsPerS: (nowMs) => ((isInBurst(nowMs) ? factor : BASE_LOAD) * CAPACITY_JOBS_PER_S) / ACCOUNTS,
  }));

const simulate = (factor: number, isAdmissionOn: boolean, weight: number): FleetSimulationResult =>
  simulateFleet({
    pools: [POOL],
    spareHosts: 0,
    clients: clientsOf(factor, weight),
    submitForMs: BURST_FROM_MS + BURST_FOR_MS + 4000,
    isAdmissionOn,
  });

const jobsOfBurst = ({ jobs }: FleetSimulationResult): readonly SimulatedJob[] =>
  jobs.filter(({ atMs }) => isInBurst(atMs));

/** Rate of jobs that complete within their objective during the burst, relative to the capacity of the pool. */
const goodputOf = ({ jobs }: FleetSimulationResult): number => {
  const fromMs = BURST_FROM_MS + 2 * POOL.runMs;
  const untilMs = BURST_FROM_MS + BURST_FOR_MS;
  const done = jobs.filter(
    ({ atMs, doneAtMs, objectiveMs }) =>
      doneAtMs >= fromMs && doneAtMs < untilMs && doneAtMs - atMs <= objectiveMs,
  );
  return done.length / ((CAPACITY_JOBS_PER_S * (untilMs - fromMs)) / 1000);
};

const refusalsIn = ({ jobs }: FleetSimulationResult): number =>
  jobs.reduce((sum, { refusals }) => sum + refusals, 0);

// Without admission control all jobs are accepted. At twice the capacity 0.51 to 0.54 of them then meet their
// objective, and at five times the capacity 0.21 to 0.22.
describe.each([
  { factor: 2, weight: 3.75 },
  { factor: 2, weight: 12 },
  { factor: 5, weight: 3.75 },
  { factor: 5, weight: 12 },
])(
  'a burst of $factor times the capacity, from accounts of weight $weight',
  ({ factor, weight }) => {
    const withAdmission = simulate(factor, true, weight);
    const withoutAdmission = simulate(factor, false, weight);

    it('meets the objective of 95 % of jobs accepted at first attempt, against under 55 % without control', () => {
      const first = jobsOfBurst(withAdmission).filter(
        (job) => job.isAccepted && job.refusals === 0,
      );
      expect(shareWithinObjective(first)).toBeGreaterThanOrEqual(0.95);
      expect(shareWithinObjective(jobsOfBurst(withoutAdmission))).toBeLessThan(0.55);
    });

    it('has at least 75 % of all accepted jobs meet their objective, counted from the first attempt', () => {
      const accepted = jobsOfBurst(withAdmission).filter(({ isAccepted }) => isAccepted);
      expect(shareWithinObjective(accepted)).toBeGreaterThanOrEqual(0.75);
    });

    it('keeps the goodput at 0.9 of the capacity or more', () => {
      expect(goodputOf(withAdmission)).toBeGreaterThanOrEqual(0.9);
    });

    it('runs no task of a refused job', () => {
      const refused = withAdmission.jobs.filter(({ isAccepted }) => !isAccepted);
      expect(refused.length).toBeGreaterThan(0);
      expect(refused.filter(({ hasRun }) => hasRun)).toEqual([]);
    });

    it('counts fewer than 5 % of the tracked refusals as wrong', () => {
      const counts = withAdmission.admission.countsByQueue.get(brand(POOL.name));
      expect(counts?.refused).toBe(refusalsIn(withAdmission));
      expect(counts?.followedUp).toBeGreaterThan(20);
      expect(counts?.wronglyRefused).toBeLessThan(0.05 * (counts?.followedUp ?? 0));
    });
  },
);

describe('a burst of twice the capacity while the holder learns of ends late', () => {
  it('leaves jobs that are in time: the delay of reports does not extend their objectives', () => {
    const { jobs } = simulateFleet({
      pools: [POOL],
      spareHosts: 0,
      clients: clientsOf(2, 0),
      submitForMs: BURST_FROM_MS + BURST_FOR_MS + 4000,
      reportDelayMs: 400,
    });
    const inBurst = jobs.filter(({ atMs }) => isInBurst(atMs));
    expect(shareWithinObjective(inBurst)).toBeGreaterThanOrEqual(0.3);
  });
});

// The holder handles 33 messages for a job of sixteen tasks. It can complete 0.5 and 0.2 of the jobs.
describe.each([
  { factor: 2, inTime: 0.42, inTimeWithout: 0.25 },
  { factor: 5, inTime: 0.11, inTimeWithout: 0.05 },
])(
  'a burst of $factor times what the holder can handle, on hosts with room for all of it',
  ({ factor, inTime, inTimeWithout }) => {
    const burstOf = (isAdmissionOn: boolean): readonly SimulatedJob[] =>
      jobsOfBurst(
        simulateFleet({
          pools: [{ ...POOL, hosts: 4 * POOL.hosts }],
          spareHosts: 0,
          clients: clientsOf(factor, 1),
          submitForMs: BURST_FROM_MS + BURST_FOR_MS + 4000,
          isAdmissionOn,
          messagesPerS: 33 * CAPACITY_JOBS_PER_S,
        }),
      );
    /** The share of jobs that were accepted in time to be of use, and are not done while they are. */
    const shareFailed = (jobs: readonly SimulatedJob[]): number =>
      jobs.filter(({ acceptedAtMs, atMs, doneAtMs, objectiveMs }) => {
        const usefulUntilMs = atMs + LATE_SUCCESS_FACTOR * objectiveMs;
        return acceptedAtMs + 2 * POOL.runMs <= usefulUntilMs && doneAtMs > usefulUntilMs;
      }).length / jobs.length;
    const withAdmission = burstOf(true);
    const withoutAdmission = burstOf(false);

    it('completes most of what the holder can handle in time, unlike without refusals', () => {
      expect(shareWithinObjective(withAdmission)).toBeGreaterThan(inTime);
      expect(shareWithinObjective(withoutAdmission)).toBeLessThan(inTimeWithout);
    });

    it('accepts few jobs that could be of use and are not done in time for it', () => {
      expect(shareFailed(withAdmission)).toBeLessThan(0.03);
      expect(shareFailed(withoutAdmission)).toBeGreaterThan(0.4);
    });

    it('has at least 95 % of jobs accepted at first attempt done while they are of use', () => {
      const first = withAdmission.filter((job) => job.isAccepted && job.refusals === 0);
      expect(shareWithinObjective(first, LATE_SUCCESS_FACTOR)).toBeGreaterThanOrEqual(0.95);
    });
  },
);

describe('one account that sends six times its weight to a holder that cannot handle it', () => {
  const HEAVY_INDEX = 0;
  const lightJobsOf = (isAdmissionOn: boolean): readonly SimulatedJob[] => {
    const accountJobsPerS = CAPACITY_JOBS_PER_S / ACCOUNTS;
    const clients = clientsOf(0, accountJobsPerS).map((client, index): SimulatedClient => {
      const factor = index === HEAVY_INDEX ? 6 : 0.9;
      return {
        ...client,
        jobsPerS: (nowMs) => (isInBurst(nowMs) ? factor : BASE_LOAD) * accountJobsPerS,
      };
    });
    const simulated = simulateFleet({
      pools: [{ ...POOL, hosts: 4 * POOL.hosts }],
      spareHosts: 0,
      clients,
      submitForMs: BURST_FROM_MS + BURST_FOR_MS + 4000,
      isAdmissionOn,
      messagesPerS: 33 * CAPACITY_JOBS_PER_S,
    });
    return jobsOfBurst(simulated).filter(
      ({ client }) => client.name !== clients[HEAVY_INDEX]?.name,
    );
  };

  it('leaves the accounts within their weight in time', () => {
    expect(shareWithinObjective(lightJobsOf(true))).toBeGreaterThan(0.8);
    expect(shareWithinObjective(lightJobsOf(false))).toBeLessThan(0.55);
  });
});

describe('a load of 0.8 of what the holder can handle', () => {
  it('is served in time, and no job is refused', () => {
    const simulated = simulateFleet({
      pools: [{ ...POOL, hosts: 4 * POOL.hosts }],
      spareHosts: 0,
      clients: clientsOf(0.8, 1),
      submitForMs: BURST_FROM_MS + BURST_FOR_MS,
      messagesPerS: 33 * CAPACITY_JOBS_PER_S,
    });
    expect(refusalsIn(simulated)).toBe(0);
    expect(shareWithinObjective(simulated.jobs)).toBeGreaterThan(0.95);
  });
});

describe('a burst of clients without accounts', () => {
  it('is served as without admission control, and no job is refused', () => {
    const simulated = simulate(5, true, 0);
    expect(refusalsIn(simulated)).toBe(0);
    const timesOf = ({ jobs }: FleetSimulationResult) =>
      jobs.map(({ atMs, doneAtMs }) => [atMs, doneAtMs]);
    expect(timesOf(simulated)).toEqual(timesOf(simulate(5, false, 0)));
  });
});
