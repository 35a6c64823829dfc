/** A wave of maintenance over hosts in memory, for tests of its plan. */
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
import {
  createUpkeepWave,
  type UpkeepHost,
  type UpkeepWave,
} from '../maintenance/upkeep-progress.js';
import { planUpkeep } from '../maintenance/upkeep.js';

const POOL = brand<PoolName>('alpha');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
/** The time of a wave that has no time left for anything, and of one that has. */
export const LATE_MS = 1000;
export const EARLY_MS = 300_000;

/**
 * Builds a wave over hosts with an endpoint each that has answered; hosts beside it come after those.
 *
 * @param hostCount - How many hosts the wave has.
 * @param maximum - How many may be down at once.
 * @param withinMs - The wave's time.
 * @param besideCount - How many hosts are not in it.
 * @param rackOf - The rack of a host by its number; '' for none.
 * @returns The wave, and ways to have tasks run on its hosts and to plan it.
 */
export const waveOver = (
  hostCount: number,
  maximum: number,
  withinMs: number,
  besideCount = 0,
  rackOf: (index: number) => string = () => '',
) => {
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
  const views = endpoints.map(({ endpointId, hostId }, index) => ({
    hostId: hostId as HostId,
    pool: POOL,
    state: 'up' as const,
    dataCentre: brand<DataCentreId>(''),
    labels: rackOf(index) === '' ? [] : [rackOf(index)],
    capacity: CAPACITY,
    instanceId: instanceOf(endpointId),
  }));
  const inventory = createHostInventory();
  takeHostList(inventory, views, 0);
  const hostIds = views.slice(0, hostCount).map(({ hostId }) => hostId);
  const order = { waveNumber: 1, hosts: hostIds, withinMs, maximum };
  const wave = createUpkeepWave(order, [], 0);

  /** Has the tasks of a step run on the endpoints of these numbers. */
  const runOn = (name: string, changes: Partial<StepSpec>, places: readonly number[]): StepRun => {
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
    return step;
  };

  const planBoth = (
    waves: readonly UpkeepWave[],
    nowMs: number,
    isShort = false,
  ): readonly string[] =>
    planUpkeep({ state, inventory, downMs: 2300, isShort }, waves, nowMs).map(
      ({ hostId }) => hostId,
    );
  const plan = (nowMs: number, isShort = false): readonly string[] =>
    planBoth([wave], nowMs, isShort);
  /** The wave's first host in one wave and its second in another. */
  const split = (): readonly [UpkeepWave, UpkeepWave] => {
    const [first, second] = hostIds.map((hostId, index) =>
      createUpkeepWave({ ...order, waveNumber: index + 1, hosts: [hostId] }, [], 0),
    );
    if (!first || !second) throw new Error('the wave has fewer than two hosts');
    return [first, second];
  };
  const hosts = (): readonly UpkeepHost[] => Array.from(wave.hosts.values());
  /** All hosts are listed as up, with the same endpoints as before. */
  const relist = (nowMs: number) => takeHostList(inventory, views, nowMs);
  return { state, endpoints, wave, runOn, plan, planBoth, split, hosts, relist };
};
