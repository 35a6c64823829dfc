/** What holds a host of a wave up, and what is done about it. */
import { describe, expect, it } from 'vitest';

import { type HostId, brand } from '../../shared/ids.js';
import type { EndpointState } from '../model/state.js';
import { EARLY_MS, LATE_MS, waveOver } from '../testing/upkeep-wave.fixtures.js';
import { applyUpkeepAnswer } from './upkeep-progress.js';

const LASTING = { isLasting: true, mayMiss: 1 };

describe('a host of a wave', () => {
  it('goes at once if it is empty, up to the maximum, and the next ones are kept empty', () => {
    const { plan, hosts, endpoints } = waveOver(5, 1, LATE_MS);
    expect(plan(0)).toEqual(['h-0']);
    expect(hosts().map(({ phase }) => phase)).toEqual([
      'asked',
      'closing',
      'closing',
      'waiting',
      'waiting',
    ]);
    expect(hosts()[1]?.reason).toBe('1 hosts are down, which is the maximum');
    expect(hosts()[3]?.reason).toBe('as many hosts as may go are before it');
    expect(endpoints.map(({ isClosing }) => isClosing)).toEqual([true, true, true, false, false]);
  });

  it('takes work again where it had been down under an earlier holder and need not go again', () => {
    // The order is answered as done, and the endpoint that has lived there since lives on.
    const { plan, hosts, endpoints, wave, relist } = waveOver(1, 1, LATE_MS);
    plan(0);
    applyUpkeepAnswer(wave, brand<HostId>('h-0'), 'done', 100);
    expect(endpoints[0]?.isClosing).toBe(true);
    relist(2500);
    plan(2600);
    expect([hosts()[0]?.phase, endpoints[0]?.isClosing]).toEqual(['done', false]);
  });

  it('is left at work while there is time, and empty ones go meanwhile', () => {
    const { runOn, plan, hosts } = waveOver(2, 2, EARLY_MS);
    runOn('a', {}, [0]);
    expect(plan(0)).toEqual(['h-1']);
    expect(hosts()[0]?.reason).toBe('it is at work, and there is time left');
  });

  it('is left in use while room is short and there is time', () => {
    const { plan, hosts } = waveOver(1, 1, EARLY_MS);
    expect(plan(0, true)).toEqual([]);
    expect(hosts()[0]?.reason).toBe('room is short, and there is time left');
  });

  it('drains its short tasks for three seconds and then goes all the same', () => {
    const { runOn, plan, hosts } = waveOver(1, 1, LATE_MS);
    runOn('a', {}, [0]);
    expect([plan(0), plan(3000)]).toEqual([[], []]);
    expect(hosts()[0]).toMatchObject({ phase: 'closing', reason: '1 tasks are to end first' });
    expect(plan(3001)).toEqual(['h-0']);
  });

  it('waits until its endpoint has told this holder what runs there', () => {
    const { plan, hosts, endpoints } = waveOver(1, 1, LATE_MS);
    Object.assign(endpoints[0] as EndpointState, { isKnown: false });
    expect(plan(0)).toEqual([]);
    expect(hosts()[0]?.reason).toBe('its endpoint has not answered yet');
  });

  it('stays while another that drains is to take a task of the same step along', () => {
    const { runOn, plan, hosts } = waveOver(2, 2, LATE_MS);
    runOn('served', LASTING, [0, 1]);
    runOn('short', {}, [0, 1]);
    expect(plan(0)).toEqual([]);
    expect(hosts().map(({ phase }) => phase)).toEqual(['closing', 'waiting']);
    expect(hosts()[1]?.reason).toBe('job served gives another host first');
  });

  it('stays, open for work, while the tasks of a step that are away use up its budget', () => {
    const { runOn, plan, hosts, endpoints } = waveOver(2, 2, LATE_MS);
    runOn('served', LASTING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    expect(hosts()[1]).toMatchObject({ phase: 'waiting' });
    expect(hosts()[1]?.reason).toContain('1 of 2 tasks are not at work, 1 would go');
    expect(endpoints[1]?.isClosing).toBe(false);
  });

  it('has a task moved away where more of one step stand on it than may be missed', () => {
    const { state, runOn, plan, hosts } = waveOver(1, 1, LATE_MS, 1);
    runOn('served', LASTING, [0, 0]);
    expect(plan(0)).toEqual([]);
    expect(state.effects.filter(({ kind }) => kind === 'stop')).toHaveLength(1);
    expect(hosts()[0]?.phase).toBe('closing');
  });

  it('keeps its tasks where there is no room for them elsewhere', () => {
    const { state, runOn, plan } = waveOver(1, 1, LATE_MS);
    runOn('served', LASTING, [0, 0]);
    expect([plan(0), plan(60_000)]).toEqual([[], []]);
    expect(state.effects.filter(({ kind }) => kind === 'stop')).toEqual([]);
  });

  it('counts its own tasks once in the budget of their step, however old its answer is', () => {
    // Guards against "2 of 22 tasks are not at work, 2 would go, 2 may be missed" for the same two tasks.
    const { state, runOn, plan, hosts, endpoints } = waveOver(1, 1, LATE_MS, 1);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 0, 1]);
    Object.assign(state, { clockMs: 3000 });
    Object.assign(endpoints[1] as EndpointState, { reportedAtMs: 3000 });
    expect(plan(3000)).toEqual(['h-0']);
    expect(hosts()[0]?.phase).toBe('asked');
  });

  it('stays while others that have not answered for long may have lost their tasks', () => {
    const { state, runOn, plan, hosts } = waveOver(1, 1, LATE_MS, 1);
    runOn('served', LASTING, [0, 1]);
    Object.assign(state, { clockMs: 3000 });
    expect(plan(3000)).toEqual([]);
    expect(hosts()[0]?.reason).toContain('1 of 2 tasks are not at work, 1 would go');
  });

  it('drains beside another one whose tasks of the same step may be missed together', () => {
    // Guards against hosts that drained one after the other, each for 3 s of the step's allowance.
    const { runOn, plan, hosts } = waveOver(3, 3, LATE_MS);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 1, 2]);
    runOn('short', {}, [0, 1, 2]);
    plan(0);
    expect(hosts().map(({ phase }) => phase)).toEqual(['closing', 'closing', 'waiting']);
  });

  it('stays away for budgets where its endpoint answers after the order was sent', () => {
    // Guards against a second host of the step that goes down before the first order takes effect.
    const { runOn, plan, endpoints } = waveOver(2, 2, LATE_MS);
    runOn('served', LASTING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    endpoints[0]?.runs.forEach((run) => Object.assign(run, { percent: 100 }));
    expect(plan(250)).toEqual([]);
  });

  it('stays with its lasting tasks while a rack or a data centre is suspected lost', () => {
    const { state, runOn, plan, hosts } = waveOver(2, 2, LATE_MS);
    runOn('served', LASTING, [0]);
    Object.assign(state, { suspectedDomains: new Set(['rack-7']) });
    expect(plan(0)).toEqual(['h-1']);
    expect(hosts()[0]?.reason).toBe('a rack or a data centre is suspected lost');
  });

  it('goes before the hosts of another rack once its own rack has begun', () => {
    const { plan, wave, relist } = waveOver(4, 1, LATE_MS, 0, (index) => `rack-${index % 2}`);
    const order = ['h-0', 'h-2', 'h-1', 'h-3'];
    order.forEach((hostId, turn) => {
      expect(plan(turn * 5000)).toEqual([hostId]);
      applyUpkeepAnswer(wave, brand<HostId>(hostId), 'done', turn * 5000);
      relist(turn * 5000 + 4000);
    });
  });

  it('stays while another wave has a host of another rack down with tasks of the same step', () => {
    const racks = (index: number): string => `rack-${index}`;
    const { runOn, planBoth, split } = waveOver(2, 2, LATE_MS, 0, racks);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 1]);
    const [first, second] = split();
    expect(planBoth([first, second], 0)).toEqual(['h-0']);
    expect(Array.from(second.hosts.values())[0]?.reason).toBe(
      'another wave has hosts of job served down elsewhere',
    );
  });
});
