/** On a host that is over-used the least urgent job gives way and is placed again elsewhere. */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Urgency } from '../declarations/schema.js';
import type { PlacementRow } from '../rows/rows.js';
import { groupBy } from '../shared/group-by.js';
import { writePlacement, type Draft } from './draft.js';

/** A host is over-used when its tasks use more than this share of its cores. */
const OVERUSED_SHARE = 0.95;

/** Who gives way first; what is not listed never does. */
const givesWay: Partial<Record<Urgency, number>> = { batch: 0, normal: 1 };

type Candidate = { readonly row: PlacementRow; readonly urgency: Urgency; readonly rank: number };

const byRank: Ord.Ord<Candidate> = pipe(
  N.Ord,
  Ord.contramap(({ rank }) => rank),
);

const candidatesAmong = (draft: Draft, rows: readonly PlacementRow[]): readonly Candidate[] =>
  pipe(
    rows,
    RA.filter(({ phase }) => phase === 'running'),
    RA.chain((row) => {
      const urgency = draft.world.jobs.get(row.jobId)?.value.job.spec.urgency;
      const rank = urgency && givesWay[urgency];
      return urgency === undefined || rank === undefined ? [] : [{ row, urgency, rank }];
    }),
    RA.sort(byRank),
  );

const relieve = (draft: Draft, rows: readonly PlacementRow[], cores: number): void => {
  const usedCores = rows.reduce(
    (sum, { jobId }) => sum + (draft.world.usedCores.get(jobId) ?? 0),
    0,
  );
  if (usedCores <= cores * OVERUSED_SHARE) return;
  // One at a time: the next report shows whether it was enough.
  if (rows.some(({ phase }) => phase === 'stopping')) return;
  const [first] = candidatesAmong(draft, rows);
  if (!first) return;
  const { row, urgency } = first;
  const use = `its tasks use ${usedCores.toFixed(1)} of ${cores} cores`;
  writePlacement(
    draft,
    { ...row, phase: 'stopping' },
    `host ${row.hostId} is over-used, ${use}; ${row.jobId} (urgency ${urgency}) gives way`,
  );
};

/**
 * Relieves the over-used hosts of the pool.
 *
 * @param draft - The working copy, changed in place.
 */
export const planOveruse = (draft: Draft): void => {
  if (draft.world.usedCores.size === 0) return;
  groupBy(draft.placements.values(), ({ hostId }) => hostId).forEach((rows, hostId) => {
    const host = draft.hosts.get(hostId);
    if (host?.row.pool === draft.world.pool) relieve(draft, rows, host.spec.cores);
  });
};
