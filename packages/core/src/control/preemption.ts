/** Preempts the least urgent job on an overused host, so that it is placed again elsewhere. */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Urgency } from '../declarations/schema.js';
import type { PlacementRow } from '../rows/rows.js';
import { groupBy } from '../shared/group-by.js';
import { writePlacement, type Draft } from './draft.js';

/** A host is overused when its tasks use more than this fraction of its cores. */
const OVERUSE_THRESHOLD = 0.95;

/** Jobs of the lowest rank are preempted first; jobs of an urgency without a rank never are. */
const preemptionRank: Partial<Record<Urgency, number>> = { batch: 0, normal: 1 };

type Candidate = { readonly row: PlacementRow; readonly urgency: Urgency; readonly rank: number };

const byRank: Ord.Ord<Candidate> = pipe(
  N.Ord,
  Ord.contramap(({ rank }) => rank),
);

const listPreemptionCandidates = (
  draft: Draft,
  rows: readonly PlacementRow[],
): readonly Candidate[] =>
  pipe(
    rows,
    RA.filter(({ phase }) => phase === 'running'),
    RA.chain((row) => {
      const urgency = draft.snapshot.jobs.get(row.jobId)?.value.job.spec.urgency;
      const rank = urgency && preemptionRank[urgency];
      return urgency === undefined || rank === undefined ? [] : [{ row, urgency, rank }];
    }),
    RA.sort(byRank),
  );

const preemptOneJob = (draft: Draft, rows: readonly PlacementRow[], cores: number): void => {
  const usedCores = rows.reduce(
    (sum, { jobId }) => sum + (draft.snapshot.usedCores.get(jobId) ?? 0),
    0,
  );
  if (usedCores <= cores * OVERUSE_THRESHOLD) return;
  // Only one job is preempted at a time: the next usage report shows whether that was enough.
  if (rows.some(({ phase }) => phase === 'stopping')) return;
  const [first] = listPreemptionCandidates(draft, rows);
  if (!first) return;
  const { row, urgency } = first;
  const usage = `its tasks use ${usedCores.toFixed(1)} of ${cores} cores`;
  writePlacement(
    draft,
    { ...row, phase: 'stopping' },
    `host ${row.hostId} is over-used, ${usage}; ${row.jobId} (urgency ${urgency}) gives way`,
  );
};

/**
 * Preempts one job on each overused host of the pool, except where a task is already stopping.
 *
 * @param draft - The working copy, changed in place.
 */
export const planPreemption = (draft: Draft): void => {
  if (draft.snapshot.usedCores.size === 0) return;
  groupBy(draft.placements.values(), ({ hostId }) => hostId).forEach((rows, hostId) => {
    const host = draft.hosts.get(hostId);
    if (host?.row.pool === draft.snapshot.pool) preemptOneJob(draft, rows, host.spec.cores);
  });
};
