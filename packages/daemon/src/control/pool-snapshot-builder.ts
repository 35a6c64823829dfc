/** Input of the control turns of one pool: rows as read, and since when hosts and rows are unchanged. */
import {
  createRowVersionTracker,
  listDeclaredHosts,
  retryDelayMs,
  countBackoffFailures,
  rowPrefix,
  type Configuration,
  type HostId,
  type HostRow,
  type ListedHostState,
  type HostSpec,
  type JobId,
  type JobRow,
  type PlacementRow,
  type PoolName,
  type PoolSnapshot,
  type UsageRow,
  type Versioned,
  type WaveId,
  type WaveRow,
} from '@valvelatch/core';
import type { ListedHost } from '@valvelatch/platform';

export type PoolSnapshotBuilderOptions = {
  readonly pool: PoolName;
  readonly configuration: () => Configuration;
  readonly nowMs: () => number;
};

/** Collects the input of a pool's control turns. */
export type PoolSnapshotBuilder = {
  /** Records the states of the hosts in the platform's host list. */
  readonly updateListedHosts: (listed: readonly ListedHost[]) => void;
  /** Assembles the input of a turn. */
  readonly createSnapshot: (
    rows: RowsByKey,
    lease: Pick<PoolSnapshot, 'fence' | 'nextEpoch'>,
  ) => PoolSnapshot;
};

/** Rows by key. */
export type RowsByKey = ReadonlyMap<string, Versioned<unknown>>;

const rowsById = <Id extends string, Row>(
  rows: RowsByKey,
  prefix: string,
): Map<Id, Versioned<Row>> =>
  new Map(
    Array.from(rows)
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, row]) => [key.slice(prefix.length) as Id, row as Versioned<Row>]),
  );

const usedCoresIn = (rows: RowsByKey): ReadonlyMap<JobId, number> =>
  new Map(
    Array.from(rowsById<string, UsageRow>(rows, rowPrefix.usage).values()).flatMap(({ value }) =>
      Object.entries(value.usedCores).map(([jobId, cores]) => [jobId as JobId, cores] as const),
    ),
  );

/**
 * Creates the view of a pool.
 *
 * @param options - The pool, its configuration and the clock.
 * @returns The view, without any hosts or rows.
 */
export const createPoolSnapshotBuilder = ({
  pool,
  configuration,
  nowMs,
}: PoolSnapshotBuilderOptions): PoolSnapshotBuilder => {
  const listedHosts = new Map<HostId, ListedHostState>();
  const retriesByJob = new Map<JobId, { backoffFailures: number; retryAtMs: number }>();
  const hostRowVersions = createRowVersionTracker<HostId>();
  const placementRowVersions = createRowVersionTracker<JobId>();
  let specsRevision = -1;
  let specs: ReadonlyMap<HostId, HostSpec> = new Map();

  const updateListedHosts = (listed: readonly ListedHost[]): void => {
    listed.forEach(({ hostId, state, boots }) => {
      const previous = listedHosts.get(hostId);
      const sinceMs = previous?.state === state ? previous.sinceMs : nowMs();
      listedHosts.set(hostId, { state, boots, sinceMs });
    });
  };

  /** Computes when each failed job may be tried again; a job gets a new time when it has failed again. */
  const updateRetryTimes = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): Map<JobId, number> => {
    jobs.forEach(({ value }, jobId) => {
      const backoffFailures = countBackoffFailures(value);
      if (backoffFailures === 0 || retriesByJob.get(jobId)?.backoffFailures === backoffFailures)
        return;
      retriesByJob.set(jobId, {
        backoffFailures,
        retryAtMs: nowMs() + retryDelayMs(backoffFailures),
      });
    });
    return new Map(Array.from(retriesByJob, ([jobId, { retryAtMs }]) => [jobId, retryAtMs]));
  };

  const currentSpecs = (): ReadonlyMap<HostId, HostSpec> => {
    const current = configuration();
    if (current.revision !== specsRevision) {
      specs = new Map(listDeclaredHosts(current).map((spec) => [spec.hostId, spec]));
      specsRevision = current.revision;
    }
    return specs;
  };

  const createSnapshot: PoolSnapshotBuilder['createSnapshot'] = (rows, { fence, nextEpoch }) => {
    const jobs = rowsById<JobId, JobRow>(rows, rowPrefix.job);
    const hosts = rowsById<HostId, HostRow>(rows, rowPrefix.host);
    const placements = rowsById<JobId, PlacementRow>(rows, rowPrefix.placement);
    return {
      pool,
      configuration: configuration(),
      fence,
      nextEpoch,
      specs: currentSpecs(),
      hosts,
      placements,
      jobs,
      waves: rowsById<WaveId, WaveRow>(rows, rowPrefix.wave),
      listedHosts,
      hostRowSinceMs: hostRowVersions.update(hosts, nowMs()),
      placementRowSinceMs: placementRowVersions.update(placements, nowMs()),
      waveStrategy: 'growing',
      usedCores: usedCoresIn(rows),
      retryAtMs: updateRetryTimes(jobs),
    };
  };

  return { updateListedHosts, createSnapshot };
};
