/**
 * The working copy of a pool's snapshot during one control turn. Each step of the turn sees the
 * decisions of the steps before it, and every decision is recorded as one change with its
 * preconditions.
 */
import type { PlacementHost, PlaceableJob } from '../placement/placement-input.js';
import { addResources, noResources } from '../placement/placement-input.js';
import {
  rowKey,
  type HostRow,
  type JobRow,
  type PlacementRow,
  type WaveRow,
} from '../rows/rows.js';
import type { RowCheck, RowWrite } from '../rows/transaction.js';
import type { HostId, JobId, WaveId } from '../shared/ids.js';
import { listPlacementHosts, resourcesOfPlacement, type PoolSnapshot } from './pool-snapshot.js';

/** One decision of a turn: a set of writes that are committed in one transaction. */
export type ControlChange = {
  readonly kind: 'write';
  /** The key of the row that the decision is about, for logs and explanations. */
  readonly subject: string;
  readonly reason: string;
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
};

/**
 * A request to the platform to reboot a host. Requests with the same `requestName` reboot the host
 * once.
 */
export type RebootRequest = {
  readonly kind: 'reboot';
  readonly hostId: HostId;
  readonly requestName: string;
};

export type ControlAction = ControlChange | RebootRequest;

/** An action that was considered and not taken, with the key of its row and the reason. */
export type WithheldAction = { readonly subject: string; readonly reason: string };

/** The working copy of one turn, which the steps change in place. */
export type Draft = {
  readonly snapshot: PoolSnapshot;
  /** The start of the turn, by the lease holder's monotonic clock. */
  readonly nowMs: number;
  readonly hosts: Map<HostId, PlacementHost>;
  readonly placements: Map<JobId, PlacementRow>;
  readonly actions: ControlAction[];
  readonly withheld: WithheldAction[];
  /**
   * Hosts that a running wave has yet to maintain. An executor that is moved to one of them would
   * have to move again.
   */
  readonly hostsAwaitingMaintenance: ReadonlySet<HostId>;
  /** The epoch that the next placement gets. */
  nextEpoch: number;
};

const findHostsAwaitingMaintenance = (snapshot: PoolSnapshot): ReadonlySet<HostId> =>
  new Set(
    Array.from(snapshot.waves.values())
      .filter(({ value }) => value.phase === 'running')
      .flatMap(({ value }) =>
        value.hosts.filter((id) => snapshot.hosts.get(id)?.value.maintainedBy !== value.waveId),
      ),
  );

/**
 * Creates the working copy for a turn.
 *
 * @param snapshot - The pool's snapshot.
 * @param nowMs - The time by the lease holder's monotonic clock.
 * @returns The working copy.
 */
export const createDraft = (snapshot: PoolSnapshot, nowMs: number): Draft => ({
  snapshot,
  nowMs,
  hosts: new Map(listPlacementHosts(snapshot).map((host) => [host.spec.hostId, host])),
  placements: new Map(Array.from(snapshot.placements, ([id, { value }]) => [id, value])),
  actions: [],
  withheld: [],
  hostsAwaitingMaintenance: findHostsAwaitingMaintenance(snapshot),
  nextEpoch: snapshot.nextEpoch,
});

type VersionedRows = ReadonlyMap<string, { readonly version: number }>;

const versionCheckOf = (rows: VersionedRows, id: string, key: string): RowCheck => ({
  key,
  version: rows.get(id)?.version ?? 0,
});

const pushChange = (draft: Draft, change: Omit<ControlChange, 'kind'>): void => {
  const { fence } = draft.snapshot;
  draft.actions.push({ ...change, kind: 'write', checks: [fence, ...change.checks] });
};

/**
 * Writes a host's row. Does nothing for a host that is not declared.
 *
 * @param draft - The working copy, changed in place.
 * @param row - The new row.
 */
export const writeHost = (draft: Draft, row: HostRow): void => {
  const { hostId } = row;
  const key = rowKey.host(hostId);
  const host = draft.hosts.get(hostId);
  const spec = host?.spec ?? draft.snapshot.specs.get(hostId);
  if (!spec) return;
  draft.hosts.set(hostId, {
    spec,
    row,
    isLive: host?.isLive ?? true,
    used: host?.used ?? noResources,
    executorCounts: host?.executorCounts ?? new Map(),
  });
  pushChange(draft, {
    subject: key,
    reason: row.reason,
    checks: [versionCheckOf(draft.snapshot.hosts, hostId, key)],
    writes: [{ key, value: row }],
  });
};

export type PlaceJobOptions = {
  readonly job: PlaceableJob;
  readonly hostId: HostId;
  readonly reason: string;
};

const reserveResources = (draft: Draft, hostId: HostId, job: PlaceableJob): void => {
  const host = draft.hosts.get(hostId);
  if (!host) return;
  const executorCounts = new Map(host.executorCounts);
  if (job.service !== null) {
    executorCounts.set(job.service, (executorCounts.get(job.service) ?? 0) + 1);
  }
  draft.hosts.set(hostId, { ...host, used: addResources(host.used, job), executorCounts });
};

/**
 * Places a job. The transaction checks the version of the host's row, so that a job cannot be
 * placed on a host that has just been moved to another pool.
 *
 * @param draft - The working copy, changed in place.
 * @param options - The job, its host and the reason.
 */
export const placeJob = (draft: Draft, { job, hostId, reason }: PlaceJobOptions): void => {
  const state = draft;
  const key = rowKey.placement(job.jobId);
  const row: PlacementRow = {
    jobId: job.jobId,
    service: job.service,
    pool: job.pool,
    hostId,
    epoch: state.nextEpoch,
    phase: 'assigned',
    outcome: 'none',
    leaseMs: job.leaseMs,
    revision: state.snapshot.configuration.revision,
    reason,
    phaseReason: '',
  };
  state.nextEpoch += 1;
  reserveResources(state, hostId, job);
  state.placements.set(job.jobId, row);
  pushChange(state, {
    subject: key,
    reason,
    checks: [
      versionCheckOf(state.snapshot.placements, job.jobId, key),
      versionCheckOf(state.snapshot.hosts, hostId, rowKey.host(hostId)),
    ],
    writes: [{ key, value: row }],
  });
};

/**
 * Updates an existing placement.
 *
 * @param draft - The working copy, changed in place.
 * @param row - The placement with its new phase. Its `reason`, which says why the host was chosen,
 *   is kept.
 * @param reason - Why the phase changes; it is stored as `phaseReason`.
 */
export const writePlacement = (draft: Draft, row: PlacementRow, reason: string): void => {
  const key = rowKey.placement(row.jobId);
  draft.placements.set(row.jobId, row);
  pushChange(draft, {
    subject: key,
    reason,
    checks: [versionCheckOf(draft.snapshot.placements, row.jobId, key)],
    writes: [{ key, value: { ...row, phaseReason: reason } }],
  });
};

const releaseResources = (draft: Draft, row: PlacementRow): void => {
  const host = draft.hosts.get(row.hostId);
  if (!host) return;
  const size = resourcesOfPlacement(draft.snapshot, row);
  const executorCounts = new Map(host.executorCounts);
  const { service } = row;
  if (service !== null) executorCounts.set(service, (executorCounts.get(service) ?? 1) - 1);
  draft.hosts.set(row.hostId, {
    ...host,
    executorCounts,
    used: {
      cores: host.used.cores - size.cores,
      memoryMb: host.used.memoryMb - size.memoryMb,
      accelerators: host.used.accelerators - size.accelerators,
    },
  });
};

export type RemoveOptions = {
  readonly row: PlacementRow;
  readonly reason: string;
  /** The job's new row; undefined if the removal does not change it. */
  readonly jobRow?: JobRow;
};

/**
 * Removes a placement and, in the same transaction, updates the job's row if one is given.
 *
 * @param draft - The working copy, changed in place.
 * @param options - The placement, the reason and the job's new row.
 */
export const removePlacement = (draft: Draft, { row, reason, jobRow }: RemoveOptions): void => {
  const key = rowKey.placement(row.jobId);
  const jobKey = rowKey.job(row.jobId);
  releaseResources(draft, row);
  draft.placements.delete(row.jobId);
  const placementCheck = versionCheckOf(draft.snapshot.placements, row.jobId, key);
  pushChange(draft, {
    subject: jobRow ? jobKey : key,
    reason,
    checks: jobRow
      ? [placementCheck, versionCheckOf(draft.snapshot.jobs, row.jobId, jobKey)]
      : [placementCheck],
    writes: jobRow
      ? [
          { key, value: null },
          { key: jobKey, value: jobRow },
        ]
      : [{ key, value: null }],
  });
};

/**
 * Writes a job's row.
 *
 * @param draft - The working copy, changed in place.
 * @param jobId - The job.
 * @param row - The new row.
 */
export const writeJob = (draft: Draft, jobId: JobId, row: JobRow): void => {
  const key = rowKey.job(jobId);
  pushChange(draft, {
    subject: key,
    reason: row.reason,
    checks: [versionCheckOf(draft.snapshot.jobs, jobId, key)],
    writes: [{ key, value: row }],
  });
};

/**
 * Writes a wave's row.
 *
 * @param draft - The working copy, changed in place.
 * @param waveId - The wave.
 * @param row - The new row.
 */
export const writeWave = (draft: Draft, waveId: WaveId, row: WaveRow): void => {
  const key = rowKey.wave(waveId);
  pushChange(draft, {
    subject: key,
    reason: row.reason,
    checks: [versionCheckOf(draft.snapshot.waves, waveId, key)],
    writes: [{ key, value: row }],
  });
};

/**
 * Records an action that was considered and not taken.
 *
 * @param draft - The working copy, changed in place.
 * @param subject - The key of the row that the action would have changed.
 * @param reason - Why it was not taken, for operators.
 */
export const recordWithheldAction = (draft: Draft, subject: string, reason: string): void => {
  draft.withheld.push({ subject, reason });
};
