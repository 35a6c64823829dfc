/**
 * Placements on hosts that are gone. A submitted job ends once its lease has surely ended; its data
 * centre renews no such lease without the platform. An executor is renewed there all the same, so
 * that a data centre that is cut off goes on serving; its row stays, and so its name is not given
 * to another, until the host is seen again or is not declared any more.
 */
import { rowKey, type PlacementRow } from '../rows/rows.js';
import { afterLostHost } from './jobs.js';
import { removePlacement, withhold, writePlacement, type Draft } from './draft.js';

/** Longest time between reading a placement and starting its task, in milliseconds. */
export const START_WINDOW_MS = 5000;
/** Allowance for drift between the clocks of two hosts while a lease runs. */
export const LEASE_DRIFT_FRACTION = 0.05;

/**
 * Gives the time after which a task on a host that has gone cannot be running any more.
 *
 * @param leaseMs - The lease of the task.
 * @returns The wait in milliseconds, counted from when the placement was given up.
 */
export const surelyEndedAfterMs = (leaseMs: number): number =>
  START_WINDOW_MS + leaseMs * (1 + LEASE_DRIFT_FRACTION);

const endLost = (draft: Draft, row: PlacementRow): void => {
  if (row.phase !== 'stopping') {
    // From now on nobody who reads the row renews the lease, so its end can be counted from here.
    writePlacement(draft, { ...row, phase: 'stopping' }, `host ${row.hostId} is gone`);
    return;
  }
  const sinceMs = draft.world.placementSinceMs.get(row.jobId) ?? draft.nowMs;
  const leftMs = surelyEndedAfterMs(row.leaseMs) - (draft.nowMs - sinceMs);
  if (leftMs > 0) {
    const leftS = Math.ceil(leftMs / 1000);
    const reason = `host ${row.hostId} is gone; the lease may run for ${leftS} s more`;
    withhold(draft, rowKey.placement(row.jobId), reason);
    return;
  }
  const job = row.service === null ? draft.world.jobs.get(row.jobId)?.value : undefined;
  removePlacement(draft, {
    row,
    reason: `host ${row.hostId} is gone and the lease has ended`,
    ...(job ? { jobRow: afterLostHost(job, row.hostId) } : {}),
  });
};

/**
 * Ends placements on hosts that are gone, each once its lease has surely ended.
 *
 * @param draft - The working copy, changed in place.
 */
export const planLostHosts = (draft: Draft): void => {
  Array.from(draft.placements.values())
    .filter(({ pool }) => pool === draft.world.pool)
    .filter(({ service, hostId }) => service === null || !draft.world.specs.has(hostId))
    .filter(({ hostId }) => draft.world.sightings.get(hostId)?.state === 'gone')
    .forEach((row) => endLost(draft, row));
};
