/** What all placements of one scheduling pass over a pool have in common. */
import type { BatchState, EndpointState } from '../model/state.js';

/** The context of one scheduling pass over a pool. */
export type PoolPass = {
  readonly state: BatchState;
  /** The schedulable endpoints of the pool; for tasks that may share an endpoint, without the isolated ones. */
  readonly endpoints: readonly EndpointState[];
  /** Tells whether an endpoint of the pool may have crashed shortly before this holder took over. */
  readonly mayHaveCrashed: () => boolean;
  readonly nowMs: number;
};
