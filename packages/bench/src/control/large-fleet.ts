/** Builds configurations and pool snapshots of large fleets to measure control turns. */
import {
  brand,
  listDeclaredHosts,
  emptyConfiguration,
  toExecutorJob,
  findDeclaration,
  applySnapshot,
  type Configuration,
  type Declaration,
  type HostId,
  type HostRow,
  type JobId,
  type JobRow,
  type PlacementRow,
  type PoolName,
  type PoolSnapshot,
  type ServiceName,
  type Versioned,
} from '@valvelatch/core';

/** The size of a fleet. */
export type FleetSize = {
  readonly hosts: number;
  readonly pools: number;
  readonly dataCentres: number;
  readonly teams: number;
};

/** The fleet size that is expected in two years. */
export const expectedFleetSize: FleetSize = {
  hosts: 21_000,
  pools: 23,
  dataCentres: 20,
  teams: 95,
};

const HOSTS_PER_RACK = 4;
const SERVICES_PER_POOL = 5;
const EXECUTORS_PER_SERVICE = 40;

const named = <Kind extends Declaration['kind']>(
  kind: Kind,
  name: string,
  spec: Extract<Declaration, { kind: Kind }>['spec'],
): Declaration => ({ kind, name, labels: {}, spec }) as unknown as Declaration;

const range = (count: number): readonly number[] => Array.from({ length: count }, (_, i) => i);

const declareService = (pool: number, index: number, teams: number): Declaration =>
  named('Service', `service-${pool}-${index}`, {
    pool: `pool-${pool}`,
    team: `team-${(pool * SERVICES_PER_POOL + index) % teams}`,
    executors: EXECUTORS_PER_SERVICE,
    minReady: EXECUTORS_PER_SERVICE / 2,
    slots: 8,
    connections: 64,
    selector: 'disk=ssd',
    requestTimeoutMs: 5000,
    cores: 4,
    memoryMb: 8192,
    accelerators: 0,
  });

const declareRack = (index: number, { pools, dataCentres }: FleetSize): Declaration => ({
  ...named('HostGroup', `rack-${index}`, {
    dataCentre: `dc-${index % dataCentres}`,
    rack: `rack-${index}`,
    pool: `pool-${Math.floor(index / dataCentres) % pools}`,
    hosts: HOSTS_PER_RACK,
    cores: 32,
    memoryMb: 131_072,
    accelerators: index % 2 === 0 ? 3 : 0,
  }),
  labels: { disk: 'ssd' },
});

/**
 * Builds the configuration of a fleet.
 *
 * @param size - The size of the fleet.
 * @returns The configuration.
 */
export const createFleetConfiguration = (size: FleetSize): Configuration =>
  applySnapshot(emptyConfiguration, {
    revision: 1,
    declarations: [
      ...range(size.dataCentres).map((index) =>
        named('DataCentre', `dc-${index}`, { region: `region-${index % 9}`, entrySeats: 6 }),
      ),
      ...range(size.pools).map((index) =>
        named('Pool', `pool-${index}`, { prefer: 'roll-out', reserveFor: 'rack' }),
      ),
      ...range(size.teams).map((index) =>
        named('Team', `team-${index}`, { quotaCores: 10_000, quotaAccelerators: 1000 }),
      ),
      ...range(Math.ceil(size.hosts / HOSTS_PER_RACK)).map((index) => declareRack(index, size)),
      ...range(size.pools).flatMap((pool) =>
        range(SERVICES_PER_POOL).map((index) => declareService(pool, index, size.teams)),
      ),
    ],
  });

const versioned = <Value>(value: Value): Versioned<Value> => ({ value, version: 1 });

const placeAll = (configuration: Configuration, pool: PoolName, hosts: readonly HostId[]) => {
  const placements = new Map<JobId, Versioned<PlacementRow>>();
  range(SERVICES_PER_POOL).forEach((service) => {
    const name = brand<ServiceName>(`service-${pool.slice('pool-'.length)}-${service}`);
    const declaration = findDeclaration(configuration, 'Service', name);
    if (!declaration) return;
    range(EXECUTORS_PER_SERVICE).forEach((index) => {
      const { jobId, leaseMs } = toExecutorJob(declaration, brand<JobId>(`${name}-${index}`));
      const place = (service * EXECUTORS_PER_SERVICE + index) % hosts.length;
      placements.set(
        jobId,
        versioned({
          jobId,
          service: name,
          pool,
          hostId: hosts[place] as HostId,
          epoch: index,
          phase: 'running',
          outcome: 'none',
          leaseMs,
          revision: 1,
          reason: 'measured',
          phaseReason: '',
        }),
      );
    });
  });
  return placements;
};

/**
 * Builds the snapshot of a pool whose executors are all placed and running.
 *
 * @param configuration - The configuration of the fleet.
 * @param pool - The pool.
 * @param jobs - The jobs that are still pending.
 * @returns The snapshot, with the rows of the pool's own hosts.
 */
export const createPoolSnapshot = (
  configuration: Configuration,
  pool: PoolName,
  jobs: ReadonlyMap<JobId, Versioned<JobRow>> = new Map(),
): PoolSnapshot => {
  const specs = listDeclaredHosts(configuration).filter(({ initialPool }) => initialPool === pool);
  const hosts = new Map<HostId, Versioned<HostRow>>(
    specs.map(({ hostId }) => [
      hostId,
      versioned({
        hostId,
        pool,
        phase: 'assigned',
        reason: 'measured',
        drain: null,
        bootsBefore: 0,
        maintainedBy: null,
      }),
    ]),
  );
  return {
    pool,
    configuration,
    fence: { key: 'fence', version: 1 },
    nextEpoch: 1_000_000,
    specs: new Map(specs.map((spec) => [spec.hostId, spec])),
    hosts,
    placements: placeAll(configuration, pool, Array.from(hosts.keys())),
    jobs,
    waves: new Map(),
    listedHosts: new Map(
      specs.map(({ hostId }) => [hostId, { state: 'live', boots: 1, sinceMs: 0 }]),
    ),
    hostRowSinceMs: new Map(),
    placementRowSinceMs: new Map(),
    waveStrategy: 'growing',
    usedCores: new Map(),
    retryAtMs: new Map(),
  };
};

/**
 * Builds pending jobs of a pool.
 *
 * @param pool - The pool.
 * @param count - The number of jobs.
 * @returns The rows of the jobs.
 */
export const createPendingJobs = (
  pool: PoolName,
  count: number,
): ReadonlyMap<JobId, Versioned<JobRow>> =>
  new Map(
    range(count).map((index) => {
      const name = `job-${index}`;
      const spec = {
        pool: pool as string,
        team: 'team-0',
        urgency: 'urgent' as const,
        selector: 'disk=ssd',
        runTimeS: 60,
        leaseS: 30,
        cores: 2,
        memoryMb: 1024,
        accelerators: 0,
      };
      const job: JobRow['job'] = { kind: 'Job', name, labels: {}, spec };
      return [
        brand<JobId>(name),
        versioned({
          job,
          phase: 'pending' as const,
          failures: 0,
          failedOn: [],
          reason: 'submitted',
        }),
      ];
    }),
  );
