/** One control turn of a pool: what is known goes in, decisions with their preconditions come out. */
import { createDraft, type ControlAction, type Withheld } from './draft.js';
import { planExecutors, planUndeclared } from './executors.js';
import { planHosts } from './hosts.js';
import { planJobs, planQuarantine } from './jobs.js';
import { planLostHosts } from './lost-hosts.js';
import { planOveruse } from './overuse.js';
import { planWaves } from './waves.js';
import type { PoolWorld } from './world.js';

/** The outcome of a turn. */
export type TurnPlan = {
  readonly actions: readonly ControlAction[];
  /** What was considered and not done, for explanations. */
  readonly withheld: readonly Withheld[];
  readonly nextEpoch: number;
};

/** The order matters: what ends makes room, and the budget is counted after what is placed. */
const steps = [
  planLostHosts,
  planHosts,
  planQuarantine,
  planUndeclared,
  planExecutors,
  planOveruse,
  planJobs,
  planWaves,
] as const;

/**
 * Plans one turn.
 *
 * @param world - What the holder of the pool's lease knows.
 * @param nowMs - The time by its monotonic clock.
 * @returns The actions, in the order in which they are to be carried out.
 */
export const planPoolTurn = (world: PoolWorld, nowMs: number): TurnPlan => {
  const draft = createDraft(world, nowMs);
  steps.forEach((step) => step(draft));
  const { actions, withheld, nextEpoch } = draft;
  return { actions, withheld, nextEpoch };
};
