/** Plans submitted jobs: they are placed, refused, ended or retried. */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Urgency } from '../declarations/schema.js';
import { findDeclaration } from '../configuration/configuration.js';
import { chooseHost } from '../placement/choose-host.js';
import { toSubmittedJob, teamQuotaCores, type PlaceableJob } from '../placement/placement-input.js';
import { rowKey, type JobRow, type PlacementRow } from '../rows/rows.js';
import type { HostId, JobId, TeamName } from '../shared/ids.js';
import { groupBy } from '../shared/group-by.js';
import {
  placeJob,
  removePlacement,
  recordWithheldAction,
  writeHost,
  writeJob,
  writePlacement,
  type Draft,
} from './draft.js';

const urgencyRank: Record<Urgency, number> = { urgent: 0, normal: 1, batch: 2 };

const byUrgency: Ord.Ord<{ readonly job: PlaceableJob }> = pipe(
  N.Ord,
  Ord.contramap(({ job }) => urgencyRank[job.urgency]),
);

const INITIAL_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;
/** How many hosts a job's row remembers of those on which it failed last. */
const MAX_REMEMBERED_HOSTS = 3;
/** A host is quarantined after this many distinct jobs have failed on it. */
const MIN_FAILED_JOBS_TO_QUARANTINE = 3;
/** At most this fraction of a pool's hosts is quarantined, but always at least one host may be. */
const MAX_QUARANTINED_FRACTION = 0.1;

/**
 * Counts the failures of a job that lengthen its retry backoff. The first host that is lost while it
 * runs the job does not count, because a host may be lost for any reason. Further ones do: a job that
 * crashes its hosts would crash the next one, too.
 *
 * @param row - The job's row.
 * @returns The job's failures, plus the hosts lost while they ran it beyond the first.
 */
export const countBackoffFailures = ({ failures, hostsLost = 0 }: JobRow): number =>
  failures + Math.max(0, hostsLost - 1);

/**
 * Computes the delay before a job is retried. It doubles with each failure, up to a maximum.
 *
 * @param failureCount - The failures that count for the backoff.
 * @returns The delay in milliseconds; 0 without a failure.
 */
export const retryDelayMs = (failureCount: number): number =>
  failureCount === 0 ? 0 : Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failureCount - 1));

/**
 * Updates the row of a job whose host was lost while it ran there.
 *
 * @param row - The job's row.
 * @param hostId - The lost host.
 * @returns The row with one more lost host counted.
 */
export const recordLostHost = (row: JobRow, hostId: HostId): JobRow => {
  const hostsLost = (row.hostsLost ?? 0) + 1;
  const reason = `lost with ${hostId}; ${hostsLost} hosts were lost under it; to be placed again`;
  return { ...row, hostsLost, reason };
};

type EndHandler = (row: JobRow, placement: PlacementRow) => JobRow;

const endHandlers: Record<PlacementRow['outcome'], EndHandler> = {
  none: (row) => ({ ...row, reason: 'stopped on its host, to be placed again' }),
  lost: (row, { hostId }) => recordLostHost(row, hostId),
  done: (row, { hostId }) => ({ ...row, phase: 'done', reason: `done on ${hostId}` }),
  failed: (row, { hostId }) => ({
    ...row,
    failures: row.failures + 1,
    failedOn: [hostId, ...row.failedOn.filter((host) => host !== hostId)].slice(
      0,
      MAX_REMEMBERED_HOSTS,
    ),
    reason: `failed on ${hostId}, ${row.failures + 1} times in all`,
  }),
};

const finishStopped = (draft: Draft, placement: PlacementRow, jobRow: JobRow): void => {
  const next = endHandlers[placement.outcome](jobRow, placement);
  removePlacement(draft, { row: placement, reason: next.reason, jobRow: next });
};

const mayInterruptJobs = (draft: Draft): boolean =>
  findDeclaration(draft.snapshot.configuration, 'Pool', draft.snapshot.pool)?.spec.prefer !==
  'moves';

const planPlacedJob = (draft: Draft, placement: PlacementRow, jobRow: JobRow): void => {
  if (placement.phase === 'stopped') {
    finishStopped(draft, placement, jobRow);
    return;
  }
  if (placement.phase === 'stopping') return;
  if (jobRow.phase === 'cancelled') {
    writePlacement(draft, { ...placement, phase: 'stopping' }, 'the job was cancelled');
    return;
  }
  const host = draft.hosts.get(placement.hostId);
  if (!host?.isLive || host.row.phase === 'assigned') return;
  if (mayInterruptJobs(draft)) {
    writePlacement(
      draft,
      { ...placement, phase: 'stopping' },
      `its host ${placement.hostId} drains`,
    );
  } else {
    recordWithheldAction(
      draft,
      rowKey.host(placement.hostId),
      `waits for ${placement.jobId} to end (prefer: moves)`,
    );
  }
};

const sumCoresByTeam = (draft: Draft): Map<TeamName, number> => {
  const usedCoresByTeam = new Map<TeamName, number>();
  draft.placements.forEach((placement) => {
    const team = draft.snapshot.jobs.get(placement.jobId)?.value.job.spec.team as
      TeamName | undefined;
    if (team === undefined) return;
    const declaredCores = draft.snapshot.jobs.get(placement.jobId)?.value.job.spec.cores ?? 0;
    usedCoresByTeam.set(team, (usedCoresByTeam.get(team) ?? 0) + declaredCores);
  });
  return usedCoresByTeam;
};

const placePendingJob = (
  draft: Draft,
  job: PlaceableJob,
  row: JobRow,
  usedCoresByTeam: Map<TeamName, number>,
): void => {
  const subject = rowKey.job(job.jobId);
  const chosen = chooseHost(job, Array.from(draft.hosts.values()));
  if (chosen.kind === 'none' && chosen.isPermanent) {
    writeJob(draft, job.jobId, { ...row, phase: 'refused', reason: chosen.reason });
    return;
  }
  const quota = teamQuotaCores(draft.snapshot.configuration, job.team);
  const usedCores = usedCoresByTeam.get(job.team) ?? 0;
  if (usedCores + job.cores > quota) {
    const reason = `team=${job.team} uses ${usedCores} of its ${quota} cores, ${job.jobId} wants ${job.cores}`;
    recordWithheldAction(draft, subject, reason);
    return;
  }
  if (chosen.kind === 'none') {
    recordWithheldAction(draft, subject, chosen.reason);
    return;
  }
  usedCoresByTeam.set(job.team, usedCores + job.cores);
  placeJob(draft, { job, hostId: chosen.hostId, reason: chosen.reason });
};

const isRetryDue = (draft: Draft, jobId: JobId): boolean =>
  draft.nowMs >= (draft.snapshot.retryAtMs.get(jobId) ?? 0);

const listPoolJobs = (draft: Draft): readonly (readonly [JobId, JobRow])[] =>
  Array.from(draft.snapshot.jobs)
    .filter(([, { value }]) => value.job.spec.pool === draft.snapshot.pool)
    .map(([jobId, { value }]) => [jobId, value] as const);

/**
 * Plans the submitted jobs of the pool. Pending jobs are placed in order of urgency.
 *
 * @param draft - The working copy, changed in place.
 */
export const planJobs = (draft: Draft): void => {
  const jobs = listPoolJobs(draft);
  jobs.forEach(([jobId, row]) => {
    const placement = draft.placements.get(jobId);
    if (placement) planPlacedJob(draft, placement, row);
  });
  const usedCoresByTeam = sumCoresByTeam(draft);
  pipe(
    jobs,
    RA.filter(
      ([jobId, { phase }]) =>
        phase === 'pending' && !draft.snapshot.placements.has(jobId) && isRetryDue(draft, jobId),
    ),
    RA.map(([, row]) => ({ row, job: toSubmittedJob(row.job, row.failedOn) })),
    RA.sort(byUrgency),
  ).forEach(({ row, job }) => placePendingJob(draft, job, row, usedCoresByTeam));
};

const failedJobsByHost = (draft: Draft): ReadonlyMap<HostId, readonly JobId[]> => {
  const failures = Array.from(draft.snapshot.jobs).flatMap(([jobId, { value }]) =>
    value.failedOn.map((hostId) => ({ hostId, jobId })),
  );
  const groups = groupBy(failures, ({ hostId }) => hostId);
  return new Map(Array.from(groups, ([hostId, all]) => [hostId, all.map(({ jobId }) => jobId)]));
};

/**
 * Quarantines hosts on which several distinct jobs have failed.
 *
 * @param draft - The working copy, changed in place.
 */
export const planQuarantine = (draft: Draft): void => {
  const inPool = Array.from(draft.hosts.values()).filter(
    ({ row }) => row.pool === draft.snapshot.pool,
  );
  let quarantined = inPool.filter(({ row }) => row.phase === 'quarantined').length;
  const failed = failedJobsByHost(draft);
  inPool.forEach(({ spec, row }) => {
    const jobs = failed.get(spec.hostId) ?? [];
    if (row.phase !== 'assigned' || jobs.length < MIN_FAILED_JOBS_TO_QUARANTINE) return;
    if (quarantined + 1 > Math.max(1, inPool.length * MAX_QUARANTINED_FRACTION)) {
      recordWithheldAction(
        draft,
        rowKey.host(spec.hostId),
        'too many hosts of the pool are quarantined already',
      );
      return;
    }
    quarantined += 1;
    const reason = `${jobs.length} distinct jobs failed on it: ${jobs.join(', ')}`;
    writeHost(draft, { ...row, phase: 'quarantined', reason });
  });
};
