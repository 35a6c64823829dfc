/** Placements on hosts that are gone: they end only after their lease has surely ended. */
import { rowKey, type PlacementRow } from '../rows/rows.js';
import { removePlacement, withhold, type Draft } from './draft.js';

/** Longest time between reading a placement and starting its task, in milliseconds. */
export const START_WINDOW_MS = 5000;
/** Allowance for drift between the clocks of two hosts while a lease runs. */
export const LEASE_DRIFT_FRACTION = 0.05;

/**
 * Gives the time after which a task on a host that has gone cannot be running any more.
 *
 * @param leaseMs - The lease of the task.
 * @returns The wait in milliseconds, counted from the last sign of the host.
 */
export const surelyEndedAfterMs = (leaseMs: number): number =>
  START_WINDOW_MS + leaseMs * (1 + LEASE_DRIFT_FRACTION);

const endLost = (draft: Draft, row: PlacementRow, goneForMs: number): void => {
  const waitMs = surelyEndedAfterMs(row.leaseMs);
  if (goneForMs < waitMs) {
    const leftS = Math.ceil((waitMs - goneForMs) / 1000);
    withhold(
      draft,
      rowKey.placement(row.jobId),
      `host ${row.hostId} is gone; its lease may run for ${leftS} s more`,
    );
    return;
  }
  removePlacement(draft, { row, reason: `host ${row.hostId} is gone and the lease has ended` });
};

/**
 * Ends placements on hosts that are gone, each once its lease has surely ended.
 *
 * @param draft - The working copy, changed in place.
 */
export const planLostHosts = (draft: Draft): void => {
  Array.from(draft.placements.values())
    .filter(({ pool }) => pool === draft.world.pool)
    .forEach((row) => {
      const sighting = draft.world.sightings.get(row.hostId);
      if (sighting?.state !== 'gone') return;
      endLost(draft, row, draft.nowMs - sighting.sinceMs);
    });
};
