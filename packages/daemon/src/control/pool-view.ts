/** What the control of one pool knows: rows as they were read, and since when it has seen what. */
import {
  createRowAges,
  declaredHosts,
  retryDelayMs,
  setbacksOf,
  rowPrefix,
  type Configuration,
  type HostId,
  type HostRow,
  type HostSighting,
  type HostSpec,
  type JobId,
  type JobRow,
  type PlacementRow,
  type PoolName,
  type PoolWorld,
  type UsageRow,
  type Versioned,
  type WaveId,
  type WaveRow,
} from '@valvelatch/core';
import type { ListedHost } from '@valvelatch/platform';

export type PoolViewOptions = {
  readonly pool: PoolName;
  readonly configuration: () => Configuration;
  readonly nowMs: () => number;
};

export type PoolView = {
  /** Applies a reading of the platform's list of hosts. */
  readonly takeSightings: (listed: readonly ListedHost[]) => void;
  /** Puts together what a turn plans by. */
  readonly toWorld: (rows: Rows, lease: Pick<PoolWorld, 'fence' | 'nextEpoch'>) => PoolWorld;
};

/** Rows by their keys. */
export type Rows = ReadonlyMap<string, Versioned<unknown>>;

const byId = <Id extends string, Row>(rows: Rows, prefix: string): Map<Id, Versioned<Row>> =>
  new Map(
    Array.from(rows)
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, row]) => [key.slice(prefix.length) as Id, row as Versioned<Row>]),
  );

const usedCoresIn = (rows: Rows): ReadonlyMap<JobId, number> =>
  new Map(
    Array.from(byId<string, UsageRow>(rows, rowPrefix.usage).values()).flatMap(({ value }) =>
      Object.entries(value.usedCores).map(([jobId, cores]) => [jobId as JobId, cores] as const),
    ),
  );

/**
 * Builds the view of a pool.
 *
 * @param options - The pool, its configuration and the clock.
 * @returns The view, with nothing seen yet.
 */
export const createPoolView = ({ pool, configuration, nowMs }: PoolViewOptions): PoolView => {
  const sightings = new Map<HostId, HostSighting>();
  const setbacksSeen = new Map<JobId, { setbacks: number; retryAtMs: number }>();
  const hostAges = createRowAges<HostId>();
  const placementAges = createRowAges<JobId>();
  let specsRevision = -1;
  let specs: ReadonlyMap<HostId, HostSpec> = new Map();

  const takeSightings = (listed: readonly ListedHost[]): void => {
    listed.forEach(({ hostId, state, boots }) => {
      const known = sightings.get(hostId);
      const sinceMs = known?.state === state ? known.sinceMs : nowMs();
      sightings.set(hostId, { state, boots, sinceMs });
    });
  };

  const retryTimes = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): Map<JobId, number> => {
    jobs.forEach(({ value }, jobId) => {
      const setbacks = setbacksOf(value);
      if (setbacks === 0 || setbacksSeen.get(jobId)?.setbacks === setbacks) return;
      setbacksSeen.set(jobId, { setbacks, retryAtMs: nowMs() + retryDelayMs(setbacks) });
    });
    return new Map(Array.from(setbacksSeen, ([jobId, { retryAtMs }]) => [jobId, retryAtMs]));
  };

  const currentSpecs = (): ReadonlyMap<HostId, HostSpec> => {
    const current = configuration();
    if (current.revision !== specsRevision) {
      specs = new Map(declaredHosts(current).map((spec) => [spec.hostId, spec]));
      specsRevision = current.revision;
    }
    return specs;
  };

  const toWorld: PoolView['toWorld'] = (rows, { fence, nextEpoch }) => {
    const jobs = byId<JobId, JobRow>(rows, rowPrefix.job);
    const hosts = byId<HostId, HostRow>(rows, rowPrefix.host);
    const placements = byId<JobId, PlacementRow>(rows, rowPrefix.placement);
    return {
      pool,
      configuration: configuration(),
      fence,
      nextEpoch,
      specs: currentSpecs(),
      hosts,
      placements,
      jobs,
      waves: byId<WaveId, WaveRow>(rows, rowPrefix.wave),
      sightings,
      hostSinceMs: hostAges.see(hosts, nowMs()),
      placementSinceMs: placementAges.see(placements, nowMs()),
      waveStrategy: 'growing',
      usedCores: usedCoresIn(rows),
      retryAtMs: retryTimes(jobs),
    };
  };

  return { takeSightings, toWorld };
};
