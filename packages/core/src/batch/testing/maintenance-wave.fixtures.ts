/** An in-memory maintenance wave over hosts, for unit tests of its planning. */
import {
  type DataCentreId,
  type EndpointId,
  type HostId,
  type JobId,
  type PoolName,
  brand,
} from '../../shared/ids.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import { createHostInventory, applyHostList } from '../pools/host-inventory.js';
import type { StepSpec } from '../model/job.js';
import { addJob } from '../jobs/job-lifecycle.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import { addRun } from '../endpoints/runs.js';
import { createBatchState, type EndpointState, type StepRun, type Task } from '../model/state.js';
import {
  createMaintenanceWave,
  type MaintenanceHost,
  type MaintenanceWave,
} from '../maintenance/wave-progress.js';
import { planMaintenance } from '../maintenance/plan-maintenance.js';

const POOL = brand<PoolName>('alpha');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
/** The time limit of a wave whose hosts must all start immediately, in ms. */
export const NO_TIME_LEFT_MS = 1000;
/** The time limit of a wave with plenty of time left, in ms. */
export const PLENTY_OF_TIME_MS = 300_000;

/**
 * Creates a maintenance wave over hosts. Each host has an endpoint that has answered. Hosts outside the wave are numbered
 * after its hosts.
 *
 * @param hostCount - The number of hosts in the wave.
 * @param maximum - The maximum number of hosts that may be down at the same time.
 * @param withinMs - The time limit of the wave, in ms.
 * @param outsideCount - The number of hosts outside the wave.
 * @param rackOf - Returns the rack label of a host by its number; '' for none.
 * @returns The wave, and functions that add running tasks to its hosts and plan it.
 */
export const createTestWave = (
  hostCount: number,
  maximum: number,
  withinMs: number,
  outsideCount = 0,
  rackOf: (index: number) => string = () => '',
) => {
  const state = createBatchState(1);
  const endpoints = Array.from({ length: hostCount + outsideCount }, (_, index): EndpointState => {
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
    const endpoint = upsertEndpoint(state, { ...sighting, ...place, isDraining: false }, 0);
    endpoint.listing = 'complete';
    return endpoint;
  });
  const views = endpoints.map(({ endpointId, hostId }, index) => ({
    hostId: hostId as HostId,
    pool: POOL,
    state: 'up' as const,
    dataCentre: brand<DataCentreId>(''),
    labels: rackOf(index) === '' ? [] : [rackOf(index)],
    capacity: CAPACITY,
    instanceId: instanceIdOf(endpointId),
  }));
  const inventory = createHostInventory();
  applyHostList(inventory, views, 0);
  const hostIds = views.slice(0, hostCount).map(({ hostId }) => hostId);
  const order = { waveNumber: 1, hosts: hostIds, withinMs, maximum };
  const wave = createMaintenanceWave(order, [], 0);

  /** Adds a job whose tasks run on the endpoints with the given numbers, one task per entry. */
  const runOn = (name: string, changes: Partial<StepSpec>, places: readonly number[]): StepRun => {
    const jobId = brand<JobId>(name);
    const job = { jobId, queue: brand<never>('q'), pool: POOL, spec: '', repeats: 0 };
    const times = { firstDueAtMs: 0, intervalMs: 0, acceptedAtMs: 0 };
    const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
    const steps = [{ ...DEFAULT_STEP, taskCount: places.length, ...changes }];
    addJob(state, { job: { ...job, ...times, steps }, policy, nowMs: 0, wallClockMs: 0 });
    const step = state.jobs.get(jobId)?.occurrences.get(0)?.steps[0] as StepRun;
    places.forEach((place, index) => {
      const endpoint = endpoints[place] as EndpointState;
      const task = step.tasks.at(index) as Task;
      addRun(state, { endpoint, step, task, run: 1, phase: 'running', nowMs: 0 }).percent = 100;
    });
    return step;
  };

  /** Plans the given waves together and returns the hosts that are ordered down. */
  const planBoth = (
    waves: readonly MaintenanceWave[],
    nowMs: number,
    isCapacityShort = false,
  ): readonly string[] =>
    planMaintenance({ state, inventory, downMs: 2300, isCapacityShort }, waves, nowMs).map(
      ({ hostId }) => hostId,
    );
  const plan = (nowMs: number, isCapacityShort = false): readonly string[] =>
    planBoth([wave], nowMs, isCapacityShort);
  /** Creates two waves, one with the first host of the wave and one with the second. */
  const split = (): readonly [MaintenanceWave, MaintenanceWave] => {
    const [first, second] = hostIds.map((hostId, index) =>
      createMaintenanceWave({ ...order, waveNumber: index + 1, hosts: [hostId] }, [], 0),
    );
    if (!first || !second) throw new Error('the wave has fewer than two hosts');
    return [first, second];
  };
  const hosts = (): readonly MaintenanceHost[] => Array.from(wave.hosts.values());
  /** Applies a host list in which all hosts are up, with the same endpoints as before. */
  const relist = (nowMs: number) => applyHostList(inventory, views, nowMs);
  return { state, endpoints, wave, runOn, plan, planBoth, split, hosts, relist };
};
