/** Tests of the rules that hold a host of a wave back, and of the resulting decisions. */
import { describe, expect, it } from 'vitest';

import { type HostId, brand } from '../../shared/ids.js';
import { taskKey } from '../model/job.js';
import type { EndpointState } from '../model/state.js';
import {
  PLENTY_OF_TIME_MS,
  NO_TIME_LEFT_MS,
  createTestWave,
} from '../testing/maintenance-wave.fixtures.js';
import { applyOrderOutcome } from './wave-progress.js';

const LONG_RUNNING = { isLasting: true, mayMiss: 1 };

describe('a host of a maintenance wave', () => {
  it('goes down at once if empty, up to the maximum, while the next hosts drain', () => {
    const { plan, hosts, endpoints } = createTestWave(5, 1, NO_TIME_LEFT_MS);
    expect(plan(0)).toEqual(['h-0']);
    expect(hosts().map(({ phase }) => phase)).toEqual([
      'asked',
      'closing',
      'closing',
      'waiting',
      'waiting',
    ]);
    expect(hosts()[1]?.reason).toBe('1 hosts are down, which is the maximum');
    expect(hosts()[3]?.reason).toBe('as many hosts as allowed are ahead of it');
    expect(endpoints.map(({ isCordoned }) => isCordoned)).toEqual([true, true, true, false, false]);
  });

  it('takes work again if it had already been down under an earlier holder', () => {
    // The platform answers the order as done because the host had been down before; the endpoint keeps running.
    const { plan, hosts, endpoints, wave, relist } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    plan(0);
    applyOrderOutcome(wave, brand<HostId>('h-0'), 'done', 100);
    expect(endpoints[0]?.isCordoned).toBe(true);
    relist(2500);
    plan(2600);
    expect([hosts()[0]?.phase, endpoints[0]?.isCordoned]).toEqual(['done', false]);
  });

  it('stays in use while it is busy and there is time, and empty hosts go down meanwhile', () => {
    const { runOn, plan, hosts } = createTestWave(2, 2, PLENTY_OF_TIME_MS);
    runOn('a', {}, [0]);
    expect(plan(0)).toEqual(['h-1']);
    expect(hosts()[0]?.reason).toBe('it is running tasks, and there is time left');
  });

  it('stays in use while capacity is short and there is time', () => {
    const { plan, hosts } = createTestWave(1, 1, PLENTY_OF_TIME_MS);
    expect(plan(0, true)).toEqual([]);
    expect(hosts()[0]?.reason).toBe('capacity is short, and there is time left');
  });

  it('waits three seconds for its short tasks and then goes down anyway', () => {
    const { runOn, plan, hosts } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    runOn('a', {}, [0]);
    expect([plan(0), plan(3000)]).toEqual([[], []]);
    expect(hosts()[0]).toMatchObject({ phase: 'closing', reason: '1 tasks must end first' });
    expect(plan(3001)).toEqual(['h-0']);
  });

  it('waits until its endpoint has reported its tasks to this holder', () => {
    const { plan, hosts, endpoints } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    Object.assign(endpoints[0] as EndpointState, { listing: 'none' });
    expect(plan(0)).toEqual([]);
    expect(hosts()[0]?.reason).toBe('its endpoint has not answered yet');
  });

  it('waits until its endpoint has listed all ended runs to this holder', () => {
    const { plan, hosts, endpoints } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    Object.assign(endpoints[0] as EndpointState, { listing: 'ends-missing' });
    expect(plan(0)).toEqual([]);
    expect(hosts()[0]?.reason).toBe('its endpoint has ended runs to list');
  });

  it('waits three seconds for a run that is being stopped although nobody waits for it', () => {
    const { plan, hosts, endpoints } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    const orphan = {
      task: taskKey(brand('00000000000000cc'), 0, 0, 0),
      run: 1001,
      step: undefined,
    };
    const orphanRuns = new Map([[orphan.task, orphan]]);
    Object.assign(endpoints[0] as EndpointState, { orphanRuns });
    expect([plan(0), plan(3000)]).toEqual([[], []]);
    expect(hosts()[0]?.reason).toBe('1 tasks must end first');
    expect(plan(3001)).toEqual(['h-0']);
  });

  it('does not wait for rows of a list that cannot be read', () => {
    const { plan, endpoints } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    Object.assign(endpoints[0] as EndpointState, { listing: 'rows-unreadable' });
    expect(plan(0)).toEqual(['h-0']);
  });

  it('stays while another draining host will go down with a task of the same step', () => {
    const { runOn, plan, hosts } = createTestWave(2, 2, NO_TIME_LEFT_MS);
    runOn('served', LONG_RUNNING, [0, 1]);
    runOn('short', {}, [0, 1]);
    expect(plan(0)).toEqual([]);
    expect(hosts().map(({ phase }) => phase)).toEqual(['closing', 'waiting']);
    expect(hosts()[1]?.reason).toBe('job served has another host draining first');
  });

  it('stays open for work while unavailable tasks use up the disruption budget of a step', () => {
    const { runOn, plan, hosts, endpoints } = createTestWave(2, 2, NO_TIME_LEFT_MS);
    runOn('served', LONG_RUNNING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    expect(hosts()[1]).toMatchObject({ phase: 'waiting' });
    expect(hosts()[1]?.reason).toContain('1 of 2 tasks are not at work, 1 would go');
    expect(endpoints[1]?.isCordoned).toBe(false);
  });

  it('has a task moved away if it runs more tasks of a step than the disruption budget', () => {
    const { state, runOn, plan, hosts } = createTestWave(1, 1, NO_TIME_LEFT_MS, 1);
    runOn('served', LONG_RUNNING, [0, 0]);
    expect(plan(0)).toEqual([]);
    expect(state.effects.filter(({ kind }) => kind === 'stop')).toHaveLength(1);
    expect(hosts()[0]?.phase).toBe('closing');
  });

  it('keeps its tasks if there is no capacity for them elsewhere', () => {
    const { state, runOn, plan } = createTestWave(1, 1, NO_TIME_LEFT_MS);
    runOn('served', LONG_RUNNING, [0, 0]);
    expect([plan(0), plan(60_000)]).toEqual([[], []]);
    expect(state.effects.filter(({ kind }) => kind === 'stop')).toEqual([]);
  });

  it('counts its own tasks only once against the disruption budget, even if its last answer is old', () => {
    // Regression: "2 of 22 tasks are not at work, 2 would go, 2 may be missed" counted the same two tasks twice.
    const { state, runOn, plan, hosts, endpoints } = createTestWave(1, 1, NO_TIME_LEFT_MS, 1);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 0, 1]);
    Object.assign(state, { clockMs: 3000 });
    Object.assign(endpoints[1] as EndpointState, { reportedAtMs: 3000 });
    expect(plan(3000)).toEqual(['h-0']);
    expect(hosts()[0]?.phase).toBe('asked');
  });

  it('stays while other endpoints with tasks of the step have stopped answering', () => {
    const { state, runOn, plan, hosts } = createTestWave(1, 1, NO_TIME_LEFT_MS, 1);
    runOn('served', LONG_RUNNING, [0, 1]);
    Object.assign(state, { clockMs: 3000 });
    expect(plan(3000)).toEqual([]);
    expect(hosts()[0]?.reason).toContain('1 of 2 tasks are not at work, 1 would go');
  });

  it('drains in parallel with another host if the disruption budget covers the tasks of both', () => {
    // Regression: hosts drained one after the other, and each blocked the step's disruption budget for 3 s.
    const { runOn, plan, hosts } = createTestWave(3, 3, NO_TIME_LEFT_MS);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 1, 2]);
    runOn('short', {}, [0, 1, 2]);
    plan(0);
    expect(hosts().map(({ phase }) => phase)).toEqual(['closing', 'closing', 'waiting']);
  });

  it('counts as unavailable even if its endpoint answers after the order was sent', () => {
    // Regression: a second host of the step went down before the first order took effect.
    const { runOn, plan, endpoints } = createTestWave(2, 2, NO_TIME_LEFT_MS);
    runOn('served', LONG_RUNNING, [0, 1]);
    expect(plan(0)).toEqual(['h-0']);
    endpoints[0]?.runs.forEach((run) => Object.assign(run, { percent: 100 }));
    expect(plan(250)).toEqual([]);
  });

  it('stays if it runs long-running tasks while a rack or data centre is suspected lost', () => {
    const { state, runOn, plan, hosts } = createTestWave(2, 2, NO_TIME_LEFT_MS);
    runOn('served', LONG_RUNNING, [0]);
    Object.assign(state, { suspectedDomains: new Set(['rack-7']) });
    expect(plan(0)).toEqual(['h-1']);
    expect(hosts()[0]?.reason).toBe('a rack or a data centre is suspected lost');
  });

  it('goes before hosts of other racks once its own rack has started', () => {
    const { plan, wave, relist } = createTestWave(
      4,
      1,
      NO_TIME_LEFT_MS,
      0,
      (index) => `rack-${index % 2}`,
    );
    const order = ['h-0', 'h-2', 'h-1', 'h-3'];
    order.forEach((hostId, turn) => {
      expect(plan(turn * 5000)).toEqual([hostId]);
      applyOrderOutcome(wave, brand<HostId>(hostId), 'done', turn * 5000);
      relist(turn * 5000 + 4000);
    });
  });

  it('stays while another wave has taken down a host with tasks of the same step in another rack', () => {
    const racks = (index: number): string => `rack-${index}`;
    const { runOn, planBoth, split } = createTestWave(2, 2, NO_TIME_LEFT_MS, 0, racks);
    runOn('served', { isLasting: true, mayMiss: 2 }, [0, 1]);
    const [first, second] = split();
    expect(planBoth([first, second], 0)).toEqual(['h-0']);
    expect(Array.from(second.hosts.values())[0]?.reason).toBe(
      'another wave has hosts of job served down in another rack',
    );
  });
});
