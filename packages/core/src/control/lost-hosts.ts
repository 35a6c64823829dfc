/**
 * Plans the placements on hosts that are gone. The placement of a submitted job ends once the lease
 * of its task has certainly ended; its data centre does not renew the leases of submitted jobs while
 * it cannot reach the platform. It does renew the leases of executors, so that a data centre that is
 * cut off continues to serve. The placement row of an executor is therefore kept, and its id is not
 * given to another executor, until the host is seen again or is no longer declared.
 */
import { rowKey, type PlacementRow } from '../rows/rows.js';
import { recordLostHost } from './jobs.js';
import { removePlacement, recordWithheldAction, writePlacement, type Draft } from './draft.js';

/** The longest time between reading a placement and starting its task, in milliseconds. */
export const MAX_START_DELAY_MS = 5000;
/** Allowance for drift between the clocks of two hosts, as a fraction of the lease. */
export const CLOCK_DRIFT_FRACTION = 0.05;

/**
 * Computes the time after which a task on a host that is gone can no longer be running: the task may
 * have started late, and the host's clock may be slow.
 *
 * @param leaseMs - The lease of the task in milliseconds.
 * @returns The wait in milliseconds, counted from when the placement was marked as stopping.
 */
export const leaseEndWaitMs = (leaseMs: number): number =>
  MAX_START_DELAY_MS + leaseMs * (1 + CLOCK_DRIFT_FRACTION);

const endLostPlacement = (draft: Draft, row: PlacementRow): void => {
  if (row.phase !== 'stopping') {
    // Agents that read a stopping placement do not renew its lease, so the wait for the end of the
    // lease is counted from this change.
    writePlacement(draft, { ...row, phase: 'stopping' }, `host ${row.hostId} is gone`);
    return;
  }
  const sinceMs = draft.snapshot.placementRowSinceMs.get(row.jobId) ?? draft.nowMs;
  const remainingMs = leaseEndWaitMs(row.leaseMs) - (draft.nowMs - sinceMs);
  if (remainingMs > 0) {
    const remainingS = Math.ceil(remainingMs / 1000);
    const reason = `host ${row.hostId} is gone; the lease may run for ${remainingS} s more`;
    recordWithheldAction(draft, rowKey.placement(row.jobId), reason);
    return;
  }
  const job = row.service === null ? draft.snapshot.jobs.get(row.jobId)?.value : undefined;
  removePlacement(draft, {
    row,
    reason: `host ${row.hostId} is gone and the lease has ended`,
    ...(job ? { jobRow: recordLostHost(job, row.hostId) } : {}),
  });
};

/**
 * Removes placements on hosts that are gone, each once its lease has certainly ended.
 *
 * @param draft - The working copy, changed in place.
 */
export const planLostHosts = (draft: Draft): void => {
  Array.from(draft.placements.values())
    .filter(({ pool }) => pool === draft.snapshot.pool)
    .filter(({ service, hostId }) => service === null || !draft.snapshot.specs.has(hostId))
    .filter(({ hostId }) => draft.snapshot.listedHosts.get(hostId)?.state === 'gone')
    .forEach((row) => endLostPlacement(draft, row));
};
