/** What holds a host of a wave up, and what is done about it. */
import { describe, expect, it } from 'vitest';

import {
  type DataCentreId,
  type EndpointId,
  type HostId,
  type JobId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { instanceOf } from '../model/endpoint-life.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import { createHostInventory, takeHostList } from '../pools/host-inventory.js';
import type { StepSpec } from '../model/job.js';
import { takeInJob } from '../jobs/jobs.js';
import { PLAIN_STEP } from '../model/plain-step.js';
import { addRun } from '../endpoints/runs.js';
import { createBatchState, type EndpointState, type StepRun, type Task } from '../model/state.js';
import { applyUpkeepAnswer, createUpkeepWave, type UpkeepHost } from './upkeep-progress.js';
import { planUpkeep } from './upkeep.js';

const POOL = brand<PoolName>('alpha');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
const LATE_MS = 1000;
const EARLY_MS = 300_000;

/** A wave over hosts with an endpoint each that has answered; hosts beside it come after those. */
const waveOver = (hostCount: number, maximum: number, withinMs: number, besideCount = 0) => {
  const state = createBatchState(1);
  const endpoints = Array.from({ length: hostCount + besideCount }, (_, index): EndpointState => {
    const sighting = {
      endpointId: brand<EndpointId>(`e-${index}`),
      pool: POOL,
      capacity: CAPACITY,
    };
    const place = {
      hostId: brand<HostId>(`h-${index}`),
      address: '',
      dataCentre: brand<DataCentreId>(''),
      labels: [],
    };
    const endpoint = seeEndpoint(state, { ...sighting, ...place, isDraining: false }, 0);
    endpoint.isKnown = true;
    return endpoint;
  });
  const views = endpoints.map(({ endpointId, hostId }) => ({
    hostId: hostId as HostId,
    pool: POOL,
    state: 'up' as const,
    dataCentre: brand<DataCentreId>(''),
    labels: [],
    capacity: CAPACITY,
    instanceId: instanceOf(endpointId),
  }));
  const inventory = createHostInventory();
  takeHostList(inventory, views, 0);
  const hostIds = views.slice(0, hostCount).map(({ hostId }) => hostId);
  const order = { waveNumber: 1, hosts: hostIds, withinMs, maximum };
  const wave = createUpkeepWave(order, [], 0);

  /** Has the tasks of a step run on the endpoints of these numbers. */
  const runOn = (name: string, changes: Partial<StepSpec>, places: readonly number[]): void => {
    const jobId = brand<JobId>(name);
    const job = { jobId, queue: brand<never>('q'), pool: POOL, spec: '', repeats: 0 };
    const times = { firstDueAtMs: 0, intervalMs: 0, acceptedAtMs: 0 };
    const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
    const steps = [{ ...PLAIN_STEP, taskCount: places.length, ...changes }];
    takeInJob(state, { job: { ...job, ...times, steps }, policy, nowMs: 0, todayMs: 0 });
    const step = state.jobs.get(jobId)?.occurrences.get(0)?.steps[0] as StepRun;
    places.forEach((place, index) => {
      const endpoint = endpoints[place] as EndpointState;
      const task = step.tasks[index] as Task;
      addRun(state, { endpoint, step, task, run: 1, phase: 'running', nowMs: 0 }).percent = 100;
    });
  };

  const plan = (nowMs: number, isShort = false): readonly string[] =>
    planUpkeep({ state, inventory, downMs: 2300, isShort }, [wave], nowMs).map(
      ({ hostId }) => hostId,
    );
  const hosts = (): readonly UpkeepHost[] => Array.from(wave.hosts.values());
  /** All hosts are listed as up, with the same endpoints as before. */
  const relist = (nowMs: number) => takeHostList(inventory, views, nowMs);
  return { state, endpoints, wave, runOn, plan, hosts, relist };
};

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
});
