/**
 * A scheduling pass over all pools. The pool that comes first rotates from pass to pass, because otherwise one pool could
 * use up all the starts that may be sent.
 */
import { change } from '../../shared/change.js';
import { expireSuspicions } from '../domains/suspected-domains.js';
import { giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { estimateUnreportedUsage } from '../accounts/quota.js';
import { schedulePool } from './schedule.js';
import type { BatchState } from '../model/state.js';

/**
 * Builds the function that runs the scheduling passes of one holder.
 *
 * @param state - The batch state, changed in place.
 * @returns A function that places waiting tasks in all pools. `startsLeft` is how many starts may be sent now.
 */
export const createScheduleCycle = (
  state: BatchState,
): ((startsLeft: number, nowMs: number) => void) => {
  let firstPool = 0;
  return (startsLeft, nowMs) => {
    change(state, { startsLeft });
    expireSuspicions(state, nowMs);
    giveUpRunsOfGoneEndpoints(state, nowMs);
    estimateUnreportedUsage(state, nowMs);
    const names = Array.from(state.pools.keys());
    firstPool = (firstPool + 1) % Math.max(1, names.length);
    [...names.slice(firstPool), ...names.slice(0, firstPool)].forEach((name) =>
      schedulePool(state, name, nowMs),
    );
  };
};
