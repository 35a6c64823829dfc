/** Plans one control turn of a pool: maps its snapshot to decisions with their preconditions. */
import { createDraft, type ControlAction, type WithheldAction } from './draft.js';
import { planExecutors, planUndeclaredExecutors } from './executors.js';
import { planHosts } from './hosts.js';
import { planJobs, planQuarantine } from './jobs.js';
import { planLostHosts } from './lost-hosts.js';
import { planPreemption } from './preemption.js';
import { planWaves } from './waves.js';
import type { PoolSnapshot } from './pool-snapshot.js';

/** The outcome of a turn. */
export type TurnPlan = {
  readonly actions: readonly ControlAction[];
  /** Actions that were considered and not taken, for explanations. */
  readonly withheld: readonly WithheldAction[];
  /** The epoch that the first placement of the next turn gets. */
  readonly nextEpoch: number;
};

/**
 * The steps of a turn, in their order. Placements end first, because that frees resources for new
 * ones. Waves come last, because the availability budgets must count what the turn has placed.
 */
const steps = [
  planLostHosts,
  planHosts,
  planQuarantine,
  planUndeclaredExecutors,
  planExecutors,
  planPreemption,
  planJobs,
  planWaves,
] as const;

/**
 * Plans one turn.
 *
 * @param snapshot - The snapshot of the pool, read by the holder of its control lease.
 * @param nowMs - The time by the lease holder's monotonic clock.
 * @returns The plan, with its actions in the order in which they are to be carried out.
 */
export const planPoolTurn = (snapshot: PoolSnapshot, nowMs: number): TurnPlan => {
  const draft = createDraft(snapshot, nowMs);
  steps.forEach((step) => step(draft));
  const { actions, withheld, nextEpoch } = draft;
  return { actions, withheld, nextEpoch };
};
