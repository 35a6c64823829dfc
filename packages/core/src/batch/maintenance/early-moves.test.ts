/** Tests of moving long-running tasks off the hosts of a maintenance wave before the hosts go down. */
import { describe, expect, it } from 'vitest';

import type { TaskKey } from '../model/job.js';
import type { EndpointState } from '../model/state.js';
import { PLENTY_OF_TIME_MS, createTestWave } from '../testing/maintenance-wave.fixtures.js';

/** Too short for 4 hosts with tasks of one step: they take 10 s, and 12 s are reserved before the deadline. */
const TIGHT_MS = 14_000;
const LONG_RUNNING = { isLasting: true, mayMiss: 1, mostPerEndpoint: 1 };

const movedTasks = ({ effects }: ReturnType<typeof createTestWave>['state']): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'stop' ? [effect.task] : []));

/** Creates a wave over hosts with one long-running and one short task each, and empty hosts outside the wave. */
const busyWave = (hostCount: number, besideCount: number, withinMs = TIGHT_MS, mayMiss = 1) => {
  const made = createTestWave(hostCount, hostCount, withinMs, besideCount);
  const places = Array.from({ length: hostCount }, (_, index) => index);
  const step = made.runOn('served', { ...LONG_RUNNING, mayMiss }, places);
  made.runOn('short', {}, places);
  return { ...made, step };
};

describe('a long-running task on a host of a maintenance wave', () => {
  it('moves if the hosts of its step would miss the deadline one after the other', () => {
    // Regression: 12 hosts, each going down with its task, took 25.7 s of 26 s.
    const { state, plan, hosts } = busyWave(4, 4);
    expect(plan(0)).toEqual([]);
    expect(movedTasks(state)).toHaveLength(1);
    expect(hosts().map(({ phase }) => phase)).toContain('closing');
  });

  it('stays while there is time for each host to go down with its task', () => {
    const { state, plan } = busyWave(4, 4, PLENTY_OF_TIME_MS);
    plan(0);
    expect(movedTasks(state)).toEqual([]);
  });

  it('stays if no host without pending maintenance has capacity', () => {
    const { state, plan } = busyWave(4, 0);
    plan(0);
    expect(movedTasks(state)).toEqual([]);
  });

  it('stays while another task of its step is unavailable', () => {
    const { state, plan, endpoints } = busyWave(4, 4);
    endpoints[3]?.runs.forEach((run) => Object.assign(run, { percent: 0 }));
    plan(0);
    expect(movedTasks(state)).toEqual([]);
  });

  it('stays while a rack or data centre is suspected lost', () => {
    const { state, plan } = busyWave(4, 4);
    Object.assign(state, { suspectedDomains: new Set(['rack-7']) });
    plan(0);
    expect(movedTasks(state)).toEqual([]);
  });

  it('moves only once per wave', () => {
    const fresh = busyWave(1, 4, 1000);
    fresh.plan(0);
    expect(movedTasks(fresh.state)).toHaveLength(1);
    const { state, plan, wave } = busyWave(1, 4, 1000);
    const [key] = Array.from(state.endpoints.values()).flatMap(({ runs }) =>
      Array.from(runs.keys()),
    );
    wave.movedTasks.add(key as TaskKey);
    plan(0);
    expect(movedTasks(state)).toEqual([]);
  });

  it('does not move while there is time, and moves up to the full disruption budget near the deadline', () => {
    const inTime = busyWave(12, 12, 2 * 60_000, 2);
    inTime.plan(0);
    expect(movedTasks(inTime.state)).toHaveLength(0);
    const atTheEnd = busyWave(12, 12, TIGHT_MS, 2);
    atTheEnd.plan(0);
    atTheEnd.plan(250);
    expect(movedTasks(atTheEnd.state)).toHaveLength(2);
  });

  it('goes down with a host that runs nothing else', () => {
    const { state, runOn, plan } = createTestWave(2, 2, TIGHT_MS, 2);
    runOn('served', LONG_RUNNING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    expect(movedTasks(state)).toEqual([]);
  });

  it('moves off a host with two tasks of its step once no other is unavailable, so that only one goes down with the host', () => {
    // Regression: with "2 of 22 tasks are not at work, 2 would go, 2 may be missed", the budget never allowed both
    // tasks of the host at the same time.
    const { state, runOn, plan, endpoints } = createTestWave(1, 1, PLENTY_OF_TIME_MS, 4);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 0, 1, 2]);
    (endpoints[2] as EndpointState).runs.forEach((run) => Object.assign(run, { percent: 0 }));
    expect(plan(0)).toEqual([]);
    endpoints[2]?.runs.forEach((run) => Object.assign(run, { percent: 100 }));
    plan(250, true);
    expect(movedTasks(state)).toHaveLength(1);
  });
});
