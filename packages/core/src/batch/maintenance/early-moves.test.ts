/** Lasting tasks that move off hosts of a wave before these go down. */
import { describe, expect, it } from 'vitest';

import type { TaskKey } from '../model/job.js';
import type { EndpointState } from '../model/state.js';
import { EARLY_MS, waveOver } from '../testing/upkeep-wave.fixtures.js';

/** Hosts of a wave that carry a lasting and a short task each: 4 of one step take 10 s, and 12 s are kept. */
const TIGHT_MS = 14_000;
const LASTING = { isLasting: true, mayMiss: 1, mostPerEndpoint: 1 };

const movesIn = ({ effects }: ReturnType<typeof waveOver>['state']): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'stop' ? [effect.task] : []));

/** A wave over hosts at work with a lasting task each, beside empty hosts. */
const busyWave = (hostCount: number, besideCount: number, withinMs = TIGHT_MS, mayMiss = 1) => {
  const made = waveOver(hostCount, hostCount, withinMs, besideCount);
  const places = Array.from({ length: hostCount }, (_, index) => index);
  const step = made.runOn('served', { ...LASTING, mayMiss }, places);
  made.runOn('short', {}, places);
  return { ...made, step };
};

describe('a lasting task on a host of a wave', () => {
  it('moves where the hosts of its step would take too long one after the other', () => {
    // Guards against 12 hosts that took 25.7 s of 26 s, each with its task.
    const { state, plan, hosts } = busyWave(4, 4);
    expect(plan(0)).toEqual([]);
    expect(movesIn(state)).toHaveLength(1);
    expect(hosts().map(({ phase }) => phase)).toContain('closing');
  });

  it('stays while there is time for each host to go with its task', () => {
    const { state, plan } = busyWave(4, 4, EARLY_MS);
    plan(0);
    expect(movesIn(state)).toEqual([]);
  });

  it('stays where no host without maintenance ahead has room', () => {
    const { state, plan } = busyWave(4, 0);
    plan(0);
    expect(movesIn(state)).toEqual([]);
  });

  it('stays while another of its step is away', () => {
    const { state, plan, endpoints } = busyWave(4, 4);
    endpoints[3]?.runs.forEach((run) => Object.assign(run, { percent: 0 }));
    plan(0);
    expect(movesIn(state)).toEqual([]);
  });

  it('stays while a rack or a data centre is suspected lost', () => {
    const { state, plan } = busyWave(4, 4);
    Object.assign(state, { suspectedDomains: new Set(['rack-7']) });
    plan(0);
    expect(movesIn(state)).toEqual([]);
  });

  it('moves once', () => {
    const fresh = busyWave(1, 4, 1000);
    fresh.plan(0);
    expect(movesIn(fresh.state)).toHaveLength(1);
    const { state, plan, wave } = busyWave(1, 4, 1000);
    const [key] = Array.from(state.endpoints.values()).flatMap(({ runs }) =>
      Array.from(runs.keys()),
    );
    wave.moved.add(key as TaskKey);
    plan(0);
    expect(movesIn(state)).toEqual([]);
  });

  it('moves within the allowance, one after the other while there is time and no more at the end', () => {
    const inTime = busyWave(12, 12, 2 * 60_000, 2);
    inTime.plan(0);
    expect(movesIn(inTime.state)).toHaveLength(0);
    const atTheEnd = busyWave(12, 12, TIGHT_MS, 2);
    atTheEnd.plan(0);
    atTheEnd.plan(250);
    expect(movesIn(atTheEnd.state)).toHaveLength(2);
  });

  it('goes with a host that has nothing else on it', () => {
    const { state, runOn, plan } = waveOver(2, 2, TIGHT_MS, 2);
    runOn('served', LASTING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    expect(movesIn(state)).toEqual([]);
  });

  it('moves off a host with two of its step while others are away, so that one goes with the host', () => {
    // Guards against "2 of 22 tasks are not at work, 2 would go, 2 may be missed": both at once never fitted.
    const { state, runOn, plan, endpoints } = waveOver(1, 1, EARLY_MS, 4);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 0, 1, 2]);
    (endpoints[2] as EndpointState).runs.forEach((run) => Object.assign(run, { percent: 0 }));
    expect(plan(0)).toEqual([]);
    endpoints[2]?.runs.forEach((run) => Object.assign(run, { percent: 100 }));
    plan(250, true);
    expect(movesIn(state)).toHaveLength(1);
  });
});
