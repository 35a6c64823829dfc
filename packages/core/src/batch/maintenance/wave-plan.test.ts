/** Tests of the latest start times of the hosts of a wave, and of the forecast of late hosts. */
import { describe, expect, it } from 'vitest';

import { budgetedLongRunningSteps } from '../pools/listed-hosts.js';
import type { EndpointState } from '../model/state.js';
import { createTestWave } from '../testing/maintenance-wave.fixtures.js';
import { latestStartOf, planWave, type PlannedHost } from './wave-plan.js';

const DOWN_MS = 2300;
const WITHIN_MS = 60_000;

const planOf = (maximum: number, tasks: number, mayMiss: number, nowMs = 0) => {
  const { wave, runOn, endpoints } = createTestWave(12, maximum, WITHIN_MS);
  const places = Array.from({ length: tasks }, (_, index) => index);
  if (tasks > 0) runOn('served', { isLasting: true, mayMiss }, places);
  const hosts = endpoints.map((endpoint: EndpointState): PlannedHost => ({
    longRunningSteps: budgetedLongRunningSteps(endpoint),
  }));
  return { plan: planWave(wave, hosts, DOWN_MS, nowMs), hosts };
};

const EMPTY: PlannedHost = { longRunningSteps: new Set() };

describe('a wave planned backwards from its deadline', () => {
  it('lets hosts without long-running tasks start as late as the maximum allows', () => {
    // 12 hosts, 4 at a time: 3 rounds of 4 s, and 12 s are reserved before the deadline.
    expect(latestStartOf(planOf(4, 0, 1).plan, EMPTY)).toBe(WITHIN_MS - 12_000 - 12_000);
  });

  it('makes hosts of a step start earlier with more hosts and a smaller disruption budget', () => {
    // Regression: hosts of a step waited as long as hosts that are limited only by the maximum.
    const latest = ([tasks, mayMiss]: readonly [number, number]): number => {
      const { plan, hosts } = planOf(12, tasks, mayMiss);
      return latestStartOf(plan, hosts[0] ?? EMPTY);
    };
    const latestMs = (
      [
        [2, 1],
        [6, 1],
        [6, 2],
        [6, 3],
      ] as const
    ).map(latest);
    expect(latestMs).toEqual([35_400, 10_200, 29_100, 35_400]);
  });

  it('never lets hosts of a step start later than other hosts', () => {
    const { plan, hosts } = planOf(1, 1, 1);
    expect(latestStartOf(plan, hosts[0] ?? EMPTY)).toBe(latestStartOf(plan, EMPTY));
  });

  it('reports a step as tight if its hosts would miss the deadline without moving tasks', () => {
    expect(planOf(12, 12, 1).plan.tightSteps.size).toBe(0);
    expect(planOf(12, 12, 1, 20_000).plan.tightSteps.size).toBe(1);
    expect(planOf(12, 12, 2, 20_000).plan.tightSteps.size).toBe(0);
  });

  it('reports how many hosts will be late, and whether the maximum or a step is the cause', () => {
    expect(planOf(4, 12, 2).plan.forecast).toEqual({ lateHosts: 0, reason: '' });
    expect(planOf(1, 0, 1, WITHIN_MS - 7000).plan.forecast).toEqual({
      lateHosts: 9,
      reason: '12 hosts are left, 1 may be down at once, and 7000 ms are left',
    });
    expect(planOf(12, 12, 1, WITHIN_MS - 7000).plan.forecast).toEqual({
      lateHosts: 8,
      reason:
        'queue=q job=served: 12 hosts have tasks of it, 1 may be missed, and 7000 ms are left',
    });
  });
});
