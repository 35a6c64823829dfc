/** What the holder of a pool's control lease knows when it takes a turn. */
import type { Configuration } from '../configuration/configuration.js';
import { correctedSize } from '../placement/corrected-size.js';
import {
  addResources,
  noResources,
  type PlacementHost,
  type Resources,
} from '../placement/placeable.js';
import type { HostRow, HostSpec, JobRow, PlacementRow, Versioned, WaveRow } from '../rows/rows.js';
import { findDeclaration } from '../configuration/configuration.js';
import type { HostId, JobId, PoolName, ServiceName, WaveId } from '../shared/ids.js';

/** What the platform's lagging list says of a host. */
export type HostSighting = {
  readonly state: 'live' | 'leaving' | 'gone';
  /** How often the host has booted. */
  readonly boots: number;
  /** Since when it has been in this state, by the clock of the watcher. */
  readonly sinceMs: number;
};

/** How a wave chooses its next hosts. */
export type WaveStrategy = 'growing' | 'one-host' | 'rack';

/** All that a control turn of one pool depends on. */
export type PoolWorld = {
  readonly pool: PoolName;
  readonly configuration: Configuration;
  /** The fence row of the lease: each write of the turn depends on its version. */
  readonly fence: { readonly key: string; readonly version: number };
  /** Larger than any epoch that was handed out before under this lease. */
  readonly nextEpoch: number;
  readonly specs: ReadonlyMap<HostId, HostSpec>;
  readonly hosts: ReadonlyMap<HostId, Versioned<HostRow>>;
  readonly placements: ReadonlyMap<JobId, Versioned<PlacementRow>>;
  readonly jobs: ReadonlyMap<JobId, Versioned<JobRow>>;
  readonly waves: ReadonlyMap<WaveId, Versioned<WaveRow>>;
  readonly sightings: ReadonlyMap<HostId, HostSighting>;
  /** Since when each host's row has been as it is, by the clock of the watcher. */
  readonly hostSinceMs: ReadonlyMap<HostId, number>;
  /** Since when each placement's row has been as it is, by the clock of the watcher. */
  readonly placementSinceMs: ReadonlyMap<JobId, number>;
  /** How waves choose their hosts; others than the usual one serve as baselines. */
  readonly waveStrategy: WaveStrategy;
  /** Cores that tasks were measured to use; the reports lag. */
  readonly usedCores: ReadonlyMap<JobId, number>;
  /** When a job may be tried again, by the clock of the watcher. */
  readonly retryAtMs: ReadonlyMap<JobId, number>;
};

/**
 * Gives what a placed job takes: its declared size, corrected by its measured use.
 *
 * @param world - The world.
 * @param placement - The placement.
 * @returns The size to count with.
 */
export const sizeOfPlacement = (
  world: Pick<PoolWorld, 'configuration' | 'jobs' | 'usedCores'>,
  placement: PlacementRow,
): Resources => {
  const { service, jobId } = placement;
  const spec =
    service === null
      ? world.jobs.get(jobId)?.value.job.spec
      : findDeclaration(world.configuration, 'Service', service)?.spec;
  const { cores, memoryMb, accelerators } = spec ?? noResources;
  const declared = { cores, memoryMb, accelerators };
  return correctedSize(declared, world.usedCores.get(jobId), service !== null);
};

type Load = { used: Resources; readonly executors: Map<ServiceName, number> };

const loadByHost = (world: PoolWorld): Map<HostId, Load> => {
  const loads = new Map<HostId, Load>();
  world.placements.forEach(({ value: placement }) => {
    const load = loads.get(placement.hostId) ?? { used: noResources, executors: new Map() };
    load.used = addResources(load.used, sizeOfPlacement(world, placement));
    const { service } = placement;
    if (service !== null) load.executors.set(service, (load.executors.get(service) ?? 0) + 1);
    loads.set(placement.hostId, load);
  });
  return loads;
};

/**
 * Tells whether a host is there: the platform's list may lag, so no word counts as live.
 *
 * @param world - The world.
 * @param hostId - The host.
 * @returns False if the list says that the host is gone.
 */
export const isLive = (world: Pick<PoolWorld, 'sightings'>, hostId: HostId): boolean =>
  world.sightings.get(hostId)?.state !== 'gone';

/**
 * Lists the hosts that have a row, with what stands on them.
 *
 * @param world - The world.
 * @returns The hosts of all pools, so that a refusal can say how many are in another pool.
 */
export const placementHosts = (world: PoolWorld): readonly PlacementHost[] => {
  const loads = loadByHost(world);
  return Array.from(world.hosts).flatMap(([hostId, { value: row }]) => {
    const spec = world.specs.get(hostId);
    if (!spec) return [];
    const load = loads.get(hostId);
    return [
      {
        spec,
        row,
        isLive: isLive(world, hostId),
        used: load?.used ?? noResources,
        executors: load?.executors ?? new Map(),
      },
    ];
  });
};
