/** The snapshot of a pool from which the holder of its control lease plans a turn. */
import type { Configuration } from '../configuration/configuration.js';
import { correctSize } from '../placement/correct-size.js';
import {
  addResources,
  noResources,
  type PlacementHost,
  type Resources,
} from '../placement/placement-input.js';
import type { HostRow, HostSpec, JobRow, PlacementRow, Versioned, WaveRow } from '../rows/rows.js';
import { findDeclaration } from '../configuration/configuration.js';
import type { HostId, JobId, PoolName, ServiceName, WaveId } from '../shared/ids.js';

/** The state of a host by the platform's list of hosts, which lags. */
export type ListedHostState = {
  readonly state: 'live' | 'leaving' | 'gone';
  /** The number of times that the host has booted. */
  readonly boots: number;
  /** Since when the host has been in this state, by the lease holder's monotonic clock. */
  readonly sinceMs: number;
};

/**
 * How a wave chooses its next hosts: a growing number of hosts with the least used first, one host at
 * a time, or all hosts of one rack after another.
 */
export type WaveStrategy = 'growing' | 'one-host' | 'rack';

/** The input of a control turn of one pool. */
export type PoolSnapshot = {
  readonly pool: PoolName;
  readonly configuration: Configuration;
  /** The fence row of the control lease; every write of the turn checks its version. */
  readonly fence: { readonly key: string; readonly version: number };
  /** The next placement epoch; larger than every epoch assigned before under this lease. */
  readonly nextEpoch: number;
  /** The declared hosts. */
  readonly specs: ReadonlyMap<HostId, HostSpec>;
  readonly hosts: ReadonlyMap<HostId, Versioned<HostRow>>;
  readonly placements: ReadonlyMap<JobId, Versioned<PlacementRow>>;
  readonly jobs: ReadonlyMap<JobId, Versioned<JobRow>>;
  readonly waves: ReadonlyMap<WaveId, Versioned<WaveRow>>;
  /** The last state of each host by the platform's list; a host that it never listed has none. */
  readonly listedHosts: ReadonlyMap<HostId, ListedHostState>;
  /** Since when each host's row has had its present version, by the lease holder's monotonic clock. */
  readonly hostRowSinceMs: ReadonlyMap<HostId, number>;
  /** Since when each placement's row has had its present version, by the same clock. */
  readonly placementRowSinceMs: ReadonlyMap<JobId, number>;
  /** How waves choose their hosts. Strategies other than 'growing' serve as baselines. */
  readonly waveStrategy: WaveStrategy;
  /** The measured number of cores that each task uses; the reports lag. */
  readonly usedCores: ReadonlyMap<JobId, number>;
  /** The earliest time at which a job may be retried, by the same clock. */
  readonly retryAtMs: ReadonlyMap<JobId, number>;
};

/**
 * Computes the resources that a placed job counts with: its declared size, corrected by its measured
 * use.
 *
 * @param snapshot - The snapshot.
 * @param placement - The placement.
 * @returns The resources to count with.
 */
export const resourcesOfPlacement = (
  snapshot: Pick<PoolSnapshot, 'configuration' | 'jobs' | 'usedCores'>,
  placement: PlacementRow,
): Resources => {
  const { service, jobId } = placement;
  const spec =
    service === null
      ? snapshot.jobs.get(jobId)?.value.job.spec
      : findDeclaration(snapshot.configuration, 'Service', service)?.spec;
  const { cores, memoryMb, accelerators } = spec ?? noResources;
  const declared = { cores, memoryMb, accelerators };
  return correctSize(declared, snapshot.usedCores.get(jobId), service !== null);
};

type HostLoad = { used: Resources; readonly executors: Map<ServiceName, number> };

const computeLoadByHost = (snapshot: PoolSnapshot): Map<HostId, HostLoad> => {
  const loads = new Map<HostId, HostLoad>();
  snapshot.placements.forEach(({ value: placement }) => {
    const load = loads.get(placement.hostId) ?? { used: noResources, executors: new Map() };
    load.used = addResources(load.used, resourcesOfPlacement(snapshot, placement));
    const { service } = placement;
    if (service !== null) load.executors.set(service, (load.executors.get(service) ?? 0) + 1);
    loads.set(placement.hostId, load);
  });
  return loads;
};

/**
 * Tells whether a host counts as live. The platform's list may lag, so a host that it does not
 * mention counts as live.
 *
 * @param snapshot - The snapshot.
 * @param hostId - The host.
 * @returns False if the platform's list says that the host is gone.
 */
export const isHostLive = (snapshot: Pick<PoolSnapshot, 'listedHosts'>, hostId: HostId): boolean =>
  snapshot.listedHosts.get(hostId)?.state !== 'gone';

/**
 * Lists the hosts that have a row and are declared, with the resources and executors placed on them.
 *
 * @param snapshot - The snapshot.
 * @returns The hosts of all pools, so that the reason of a refusal can say how many hosts are in
 *   another pool.
 */
export const listPlacementHosts = (snapshot: PoolSnapshot): readonly PlacementHost[] => {
  const loads = computeLoadByHost(snapshot);
  return Array.from(snapshot.hosts).flatMap(([hostId, { value: row }]) => {
    const spec = snapshot.specs.get(hostId);
    if (!spec) return [];
    const load = loads.get(hostId);
    return [
      {
        spec,
        row,
        isLive: isHostLive(snapshot, hostId),
        used: load?.used ?? noResources,
        executorCounts: load?.executors ?? new Map(),
      },
    ];
  });
};
