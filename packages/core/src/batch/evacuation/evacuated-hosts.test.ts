/**
 * Guards against hosts of an evacuated data centre being counted as capacity, being moved to a pool that lacks
 * capacity, or delaying a maintenance wave.
 */
import { describe, expect, it } from 'vitest';

import {
  brand,
  type DataCentreId,
  type EndpointId,
  type HostId,
  type PoolName,
} from '../../shared/ids.js';
import { upsertEndpoint, type EndpointDescription } from '../endpoints/endpoints.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import { planMaintenance } from '../maintenance/plan-maintenance.js';
import { createMaintenanceWave } from '../maintenance/wave-progress.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { taskKey } from '../model/job.js';
import { createBatchState, poolOf, type EndpointState } from '../model/state.js';
import { schedulePool } from '../placement/schedule.js';
import { createHostInventory, applyHostList } from '../pools/host-inventory.js';
import type { ListedHost } from '../pools/listed-hosts.js';
import { planMoves } from '../pools/pool-moves.js';
import { computePoolNeeds, type PoolPlanInput } from '../pools/pool-needs.js';
import { DEFAULT_POOL_POLICY } from '../pools/pool-policy.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  createStateWithJob,
  TASK,
} from '../testing/batch-state.fixtures.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const SPARE = brand<PoolName>('spare');
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };

const sightingOn = (
  name: string,
  dataCentre: DataCentreId,
  hostId: HostId | null = null,
): EndpointDescription => ({
  endpointId: brand<EndpointId>(name),
  pool: POOL,
  hostId,
  address: '',
  dataCentre,
  labels: [],
  capacity: CAPACITY,
  isDraining: false,
});

const hostsIn = (dataCentre: DataCentreId, pool: PoolName, count: number): readonly ListedHost[] =>
  Array.from({ length: count }, (_, index) => ({
    hostId: brand<HostId>(`${pool}-${dataCentre}-${index}`),
    pool,
    state: 'up' as const,
    dataCentre,
    labels: [],
    capacity: CAPACITY,
    instanceId: pool === SPARE ? null : instanceIdOf(brand(`e-${dataCentre}-${index}`)),
  }));

/** Builds a pool and a spare pool with hosts in two data centres, of which the north one is evacuated. */
const createWorld = ({
  inNorth = 3,
  inSouth = 3,
  spareNorth = 2,
  spareSouth = 2,
  nowMs = 5000,
} = {}) => {
  const state = createBatchState(1);
  state.evacuatedDataCentres = new Set([NORTH]);
  const used = [...hostsIn(NORTH, POOL, inNorth), ...hostsIn(SOUTH, POOL, inSouth)];
  used.forEach(({ hostId, dataCentre, instanceId }) => {
    const endpoint = upsertEndpoint(state, sightingOn(String(instanceId), dataCentre, hostId), 0);
    endpoint.listing = 'complete';
  });
  const spare = [...hostsIn(NORTH, SPARE, spareNorth), ...hostsIn(SOUTH, SPARE, spareSouth)];
  const world: PoolPlanInput = {
    state,
    hosts: new Map([...used, ...spare].map((host) => [host.hostId, host])),
    pools: [
      { name: POOL, isSpare: false },
      { name: SPARE, isSpare: true },
    ],
    busyHosts: new Set(),
    nowMs,
  };
  return { world, state, used };
};

describe('an endpoint in an evacuated data centre', () => {
  it('takes no new work until the evacuation has ended', () => {
    const { state } = createWorld();
    const usableEndpoints = (): readonly EndpointState[] =>
      Array.from(state.endpoints.values()).filter((one) => isSchedulable(state, one, 5000));
    expect(new Set(usableEndpoints().map(({ dataCentre }) => dataCentre))).toEqual(
      new Set([SOUTH]),
    );
    state.evacuatedDataCentres = new Set();
    expect(usableEndpoints()).toHaveLength(6);
  });

  describe('whose data centre has been returned to service', () => {
    const endpointOfTask = (coldLeftMs: number, nowMs: number): EndpointId | undefined => {
      const state = createStateWithJob();
      upsertEndpoint(state, { ...sightingOn(FIRST, NORTH), coldLeftMs }, 0);
      upsertEndpoint(state, sightingOn(SECOND, SOUTH), 0);
      [FIRST, SECOND].forEach((endpointId) =>
        applyAnswer(state, { endpointId, requestedAtMs: nowMs, nowMs }),
      );
      schedulePool(state, POOL, nowMs);
      return Array.from(state.endpoints.values()).find(({ runs }) => runs.has(TASK))?.endpointId;
    };

    it('is chosen after an endpoint elsewhere while it is still cold, and in the usual order afterwards', () => {
      expect(endpointOfTask(0, 10)).toBe(FIRST);
      expect(endpointOfTask(3000, 10)).toBe(SECOND);
      expect(endpointOfTask(3000, 3010)).toBe(FIRST);
    });
  });
});

describe('hosts in an evacuated data centre', () => {
  it('count neither as present or joining capacity nor towards the minimum number of hosts of a pool', () => {
    const { world, state } = createWorld();
    const [need] = computePoolNeeds(world);
    expect(need).toMatchObject({ capacityCpu: 3 * CAPACITY.cpuMillis, joiningCpu: 0 });
    expect(need?.hosts.map(({ dataCentre }) => dataCentre)).toEqual([SOUTH, SOUTH, SOUTH]);
    state.endpoints.forEach((endpoint) => Object.assign(endpoint, { listing: 'none' }));
    expect(computePoolNeeds(world)[0]).toMatchObject({ joiningCpu: 3 * CAPACITY.cpuMillis });
  });

  it('count as empty only once their endpoints have listed all ended runs, like those elsewhere', () => {
    const { world, state } = createWorld();
    const countEmpty = (): number => {
      const [need] = computePoolNeeds(world);
      return (need?.emptyEndpoints.length ?? 0) + (need?.emptyEvacuatedEndpoints.length ?? 0);
    };
    expect(countEmpty()).toBe(state.endpoints.size);
    state.endpoints.forEach((endpoint) => Object.assign(endpoint, { listing: 'ends-missing' }));
    expect(countEmpty()).toBe(0);
  });

  it('do not count as empty while a run that nobody waits for is being stopped there', () => {
    const { world, state } = createWorld();
    const orphan = {
      task: taskKey(brand('00000000000000cc'), 0, 0, 0),
      run: 1001,
      step: undefined,
    };
    const orphanRuns = new Map([[orphan.task, orphan]]);
    state.endpoints.forEach((endpoint) => Object.assign(endpoint, { orphanRuns }));
    const [need] = computePoolNeeds(world);
    expect(need).toMatchObject({ emptyEndpoints: [], emptyEvacuatedEndpoints: [] });
  });

  it('are not moved from the spare pool, while hosts elsewhere are moved in the same pass', () => {
    const { world, state } = createWorld({ spareNorth: 9, spareSouth: 3 });
    const hostsMovedForShortage = (cores: number): readonly HostId[] => {
      poolOf(state, POOL).demand.recordArrival(cores * 1000, world.nowMs);
      return planMoves(world)
        .filter(({ toPool }) => toPool === POOL)
        .map(({ hostId }) => hostId);
    };
    const moved = hostsMovedForShortage(10_000);
    expect(moved).toHaveLength(3);
    expect(moved.every((hostId) => hostId.includes(SOUTH))).toBe(true);
  });

  it('are parked once they have been empty for long enough, however much capacity the pool lacks', () => {
    const { world, state, used } = createWorld({ spareSouth: 0 });
    const [busy] = Array.from(state.endpoints.values());
    busy?.runs.set(TASK, {} as never);
    const moves = planMoves(world);
    expect(moves.map(({ hostId, toPool }) => [hostId, toPool])).toEqual(
      used
        .filter(({ dataCentre }) => dataCentre === NORTH)
        .slice(1)
        .map(({ hostId }) => [hostId, SPARE]),
    );
    expect(planMoves({ ...world, nowMs: DEFAULT_POOL_POLICY.parkAfterMs - 1 })).toEqual([]);
  });
});

describe('a maintenance wave over hosts of which some are in an evacuated data centre', () => {
  const orderedHosts = (isCapacityShort: boolean) => {
    const { state, used } = createWorld();
    const inventory = createHostInventory();
    applyHostList(inventory, used, 0);
    // The hosts in the evacuated data centre come last in the order of the wave.
    const hosts = Array.from(used, ({ hostId }) => hostId).reverse();
    const wave = createMaintenanceWave(
      { waveNumber: 1, hosts, withinMs: 300_000, maximum: 2 },
      [],
      0,
    );
    const world = { state, inventory, downMs: 2000, isCapacityShort };
    return planMaintenance(world, [wave], 1000).map(({ hostId }) => hostId);
  };

  it('takes the hosts in the evacuated data centre first', () => {
    expect(orderedHosts(false).every((hostId) => hostId.includes(NORTH))).toBe(true);
  });

  it('takes only the hosts in the evacuated data centre while capacity is short', () => {
    const ordered = orderedHosts(true);
    expect(ordered).toHaveLength(2);
    expect(ordered.every((hostId) => hostId.includes(NORTH))).toBe(true);
  });
});
