/** One pass over all pools: they take it in rotation to be first, or one would take what may be sent. */
import { change } from '../../shared/change.js';
import { endOldSuspicions } from '../domains/outage.js';
import { settleGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { reckonUnreported } from '../accounts/quota.js';
import { schedulePool } from './schedule.js';
import type { BatchState } from '../model/state.js';

/**
 * Builds the passes of one holder.
 *
 * @param state - All that is known, changed in place.
 * @returns A function that places what waits in all pools, with how many starts may be sent now.
 */
export const createScheduleCycle = (
  state: BatchState,
): ((startsLeft: number, nowMs: number) => void) => {
  let first = 0;
  return (startsLeft, nowMs) => {
    change(state, { startsLeft });
    endOldSuspicions(state, nowMs);
    settleGoneEndpoints(state, nowMs);
    reckonUnreported(state, nowMs);
    const names = Array.from(state.pools.keys());
    first = (first + 1) % Math.max(1, names.length);
    [...names.slice(first), ...names.slice(0, first)].forEach((name) =>
      schedulePool(state, name, nowMs),
    );
  };
};
