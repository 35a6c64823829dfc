/** The latest times at which hosts of a wave must begin, and whether it can be in time. */
import { describe, expect, it } from 'vitest';

import { lastingSteps } from '../pools/hosts.js';
import type { EndpointState } from '../model/state.js';
import { waveOver } from '../testing/upkeep-wave.fixtures.js';
import { latestBeginMs, planWave, type PlannedHost } from './wave-plan.js';

const DOWN_MS = 2300;
const WITHIN_MS = 60_000;

const planOf = (maximum: number, tasks: number, mayMiss: number, nowMs = 0) => {
  const { wave, runOn, endpoints } = waveOver(12, maximum, WITHIN_MS);
  const places = Array.from({ length: tasks }, (_, index) => index);
  if (tasks > 0) runOn('served', { isLasting: true, mayMiss }, places);
  const hosts = endpoints.map((endpoint: EndpointState): PlannedHost => ({
    lasting: lastingSteps(endpoint),
  }));
  return { plan: planWave(wave, hosts, DOWN_MS, nowMs), hosts };
};

const EMPTY: PlannedHost = { lasting: new Set() };

describe('a wave planned backwards from its end', () => {
  it('lets hosts without lasting tasks begin as late as the maximum allows', () => {
    // 12 hosts, 4 at once: 3 rounds of 4 s, and 12 s are kept.
    expect(latestBeginMs(planOf(4, 0, 1).plan, EMPTY)).toBe(WITHIN_MS - 12_000 - 12_000);
  });

  it('has hosts of a step begin earlier the more of them there are and the fewer may be missed', () => {
    // Guards against hosts of a step that wait as long as those which only the maximum holds up.
    const latest = ([tasks, mayMiss]: readonly [number, number]): number => {
      const { plan, hosts } = planOf(12, tasks, mayMiss);
      return latestBeginMs(plan, hosts[0] ?? EMPTY);
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

  it('never lets hosts of a step begin later than the others', () => {
    const { plan, hosts } = planOf(1, 1, 1);
    expect(latestBeginMs(plan, hosts[0] ?? EMPTY)).toBe(latestBeginMs(plan, EMPTY));
  });

  it('calls a step tight where its hosts would take too long with their tasks', () => {
    expect(planOf(12, 12, 1).plan.tightSteps.size).toBe(0);
    expect(planOf(12, 12, 1, 20_000).plan.tightSteps.size).toBe(1);
    expect(planOf(12, 12, 2, 20_000).plan.tightSteps.size).toBe(0);
  });

  it('tells how many hosts cannot be in time and why, by the maximum or by a step', () => {
    expect(planOf(4, 12, 2).plan.outlook).toEqual({ lateHosts: 0, reason: '' });
    expect(planOf(1, 0, 1, WITHIN_MS - 7000).plan.outlook).toEqual({
      lateHosts: 9,
      reason: '12 hosts are left, 1 may be down at once, and 7000 ms are left',
    });
    expect(planOf(12, 12, 1, WITHIN_MS - 7000).plan.outlook).toEqual({
      lateHosts: 8,
      reason:
        'queue=q job=served: 12 hosts have tasks of it, 1 may be missed, and 7000 ms are left',
    });
  });
});
