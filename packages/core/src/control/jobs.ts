/** Submitted jobs: from pending to placed, ended, refused or tried again. */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Urgency } from '../declarations/schema.js';
import { findDeclaration } from '../configuration/configuration.js';
import { chooseHost } from '../placement/choose-host.js';
import { submittedJob, teamQuotaCores, type PlaceableJob } from '../placement/placeable.js';
import { rowKey, type JobRow, type PlacementRow } from '../rows/rows.js';
import type { HostId, JobId, TeamName } from '../shared/ids.js';
import { groupBy } from '../shared/group-by.js';
import {
  placeOn,
  removePlacement,
  withhold,
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

const FIRST_BACKOFF_MS = 1000;
const LONGEST_BACKOFF_MS = 60_000;
/** How many of its last hosts a job remembers as those it failed on. */
const REMEMBERED_FAILURES = 3;
/** So many distinct jobs must fail on a host before the host is blamed. */
const QUARANTINE_AFTER_JOBS = 3;
/** No more than this share of a pool's hosts is quarantined. */
const MOST_QUARANTINED_SHARE = 0.1;

/**
 * Counts what speaks for a wait before a job is tried again. One host may be lost for any reason; a job that
 * brings hosts down would bring down the next one, too.
 *
 * @param row - The job's row.
 * @returns How often it failed, with the hosts lost under it beyond the first.
 */
export const setbacksOf = ({ failures, hostsLost = 0 }: JobRow): number =>
  failures + Math.max(0, hostsLost - 1);

/**
 * Gives the wait before a job is tried again.
 *
 * @param setbacks - What speaks for a wait.
 * @returns The wait in milliseconds.
 */
export const retryDelayMs = (setbacks: number): number =>
  setbacks === 0 ? 0 : Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (setbacks - 1));

/**
 * Gives the row of a job whose host was lost while it ran there.
 *
 * @param row - The job's row.
 * @param hostId - The host.
 * @returns The row, with one host more that was lost under it.
 */
export const afterLostHost = (row: JobRow, hostId: HostId): JobRow => {
  const hostsLost = (row.hostsLost ?? 0) + 1;
  const reason = `lost with ${hostId}; ${hostsLost} hosts were lost under it; to be placed again`;
  return { ...row, hostsLost, reason };
};

type Ended = (row: JobRow, placement: PlacementRow) => JobRow;

const afterEnd: Record<PlacementRow['outcome'], Ended> = {
  none: (row) => ({ ...row, reason: 'stopped on its host, to be placed again' }),
  lost: (row, { hostId }) => afterLostHost(row, hostId),
  done: (row, { hostId }) => ({ ...row, phase: 'done', reason: `done on ${hostId}` }),
  failed: (row, { hostId }) => ({
    ...row,
    failures: row.failures + 1,
    failedOn: [hostId, ...row.failedOn.filter((one) => one !== hostId)].slice(
      0,
      REMEMBERED_FAILURES,
    ),
    reason: `failed on ${hostId}, ${row.failures + 1} times in all`,
  }),
};

const endStopped = (draft: Draft, placement: PlacementRow, jobRow: JobRow): void => {
  const next = afterEnd[placement.outcome](jobRow, placement);
  removePlacement(draft, { row: placement, reason: next.reason, jobRow: next });
};

const mayInterrupt = (draft: Draft): boolean =>
  findDeclaration(draft.world.configuration, 'Pool', draft.world.pool)?.spec.prefer !== 'moves';

const planPlaced = (draft: Draft, placement: PlacementRow, jobRow: JobRow): void => {
  if (placement.phase === 'stopped') {
    endStopped(draft, placement, jobRow);
    return;
  }
  if (placement.phase === 'stopping') return;
  if (jobRow.phase === 'cancelled') {
    writePlacement(draft, { ...placement, phase: 'stopping' }, 'the job was cancelled');
    return;
  }
  const host = draft.hosts.get(placement.hostId);
  if (!host?.isLive || host.row.phase === 'assigned') return;
  if (mayInterrupt(draft)) {
    writePlacement(
      draft,
      { ...placement, phase: 'stopping' },
      `its host ${placement.hostId} drains`,
    );
  } else {
    withhold(
      draft,
      rowKey.host(placement.hostId),
      `waits for ${placement.jobId} to end (prefer: moves)`,
    );
  }
};

const coresByTeam = (draft: Draft): Map<TeamName, number> => {
  const used = new Map<TeamName, number>();
  draft.placements.forEach((placement) => {
    const team = draft.world.jobs.get(placement.jobId)?.value.job.spec.team as TeamName | undefined;
    if (team === undefined) return;
    const declared = draft.world.jobs.get(placement.jobId)?.value.job.spec.cores ?? 0;
    used.set(team, (used.get(team) ?? 0) + declared);
  });
  return used;
};

const placePending = (
  draft: Draft,
  job: PlaceableJob,
  row: JobRow,
  used: Map<TeamName, number>,
): void => {
  const subject = rowKey.job(job.jobId);
  const chosen = chooseHost(job, Array.from(draft.hosts.values()));
  if (chosen.kind === 'none' && chosen.never) {
    writeJob(draft, job.jobId, { ...row, phase: 'refused', reason: chosen.reason });
    return;
  }
  const quota = teamQuotaCores(draft.world.configuration, job.team);
  const usedCores = used.get(job.team) ?? 0;
  if (usedCores + job.cores > quota) {
    const over = `team=${job.team} uses ${usedCores} of its ${quota} cores, ${job.jobId} wants ${job.cores}`;
    withhold(draft, subject, over);
    return;
  }
  if (chosen.kind === 'none') {
    withhold(draft, subject, chosen.reason);
    return;
  }
  used.set(job.team, usedCores + job.cores);
  placeOn(draft, { job, hostId: chosen.hostId, reason: chosen.reason });
};

const isDue = (draft: Draft, jobId: JobId): boolean =>
  draft.nowMs >= (draft.world.retryAtMs.get(jobId) ?? 0);

const ofThisPool = (draft: Draft): readonly (readonly [JobId, JobRow])[] =>
  Array.from(draft.world.jobs)
    .filter(([, { value }]) => value.job.spec.pool === draft.world.pool)
    .map(([jobId, { value }]) => [jobId, value] as const);

/**
 * Plans the submitted jobs of the pool, the urgent ones first.
 *
 * @param draft - The working copy, changed in place.
 */
export const planJobs = (draft: Draft): void => {
  const jobs = ofThisPool(draft);
  jobs.forEach(([jobId, row]) => {
    const placement = draft.placements.get(jobId);
    if (placement) planPlaced(draft, placement, row);
  });
  const used = coresByTeam(draft);
  pipe(
    jobs,
    RA.filter(
      ([jobId, { phase }]) =>
        phase === 'pending' && !draft.world.placements.has(jobId) && isDue(draft, jobId),
    ),
    RA.map(([, row]) => ({ row, job: submittedJob(row.job, row.failedOn) })),
    RA.sort(byUrgency),
  ).forEach(({ row, job }) => placePending(draft, job, row, used));
};

const failedJobsByHost = (draft: Draft): ReadonlyMap<HostId, readonly JobId[]> => {
  const failures = Array.from(draft.world.jobs).flatMap(([jobId, { value }]) =>
    value.failedOn.map((hostId) => ({ hostId, jobId })),
  );
  const groups = groupBy(failures, ({ hostId }) => hostId);
  return new Map(Array.from(groups, ([hostId, all]) => [hostId, all.map(({ jobId }) => jobId)]));
};

/**
 * Takes hosts out of use on which several distinct jobs have failed.
 *
 * @param draft - The working copy, changed in place.
 */
export const planQuarantine = (draft: Draft): void => {
  const inPool = Array.from(draft.hosts.values()).filter(
    ({ row }) => row.pool === draft.world.pool,
  );
  let quarantined = inPool.filter(({ row }) => row.phase === 'quarantined').length;
  const failed = failedJobsByHost(draft);
  inPool.forEach(({ spec, row }) => {
    const jobs = failed.get(spec.hostId) ?? [];
    if (row.phase !== 'assigned' || jobs.length < QUARANTINE_AFTER_JOBS) return;
    if (quarantined + 1 > Math.max(1, inPool.length * MOST_QUARANTINED_SHARE)) {
      withhold(
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
