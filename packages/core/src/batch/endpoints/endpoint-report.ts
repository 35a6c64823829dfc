/** What an endpoint's response to a list request says: its active and its ended runs. */
import type { TaskKey } from '../model/job.js';

/**
 * How a run ended, as reported by the endpoint. `unknown`: it has ended, in a way that this build cannot read; the task
 * runs again, and nothing is counted against it.
 */
export type RunEndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'unknown';

/** An active run as listed by an endpoint. */
export type RunningReport = {
  readonly task: TaskKey;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of the work; a long-running task is ready at 100. */
  readonly percent: number;
  /** For a task that serves requests: tail response time in milliseconds. For others: number of processors in use. */
  readonly figure: number;
};

/** An ended run as listed by an endpoint. It is listed in each response until it is acknowledged. */
export type EndedRunReport = {
  /** Sequence number, which increases by one with each ended run of an incarnation. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly kind: RunEndKind;
  readonly checkpoint: string;
};

/** A list response of an endpoint. */
export type EndpointReport = {
  readonly running: readonly RunningReport[];
  readonly ended: readonly EndedRunReport[];
  /**
   * True if the response is incomplete: a run that is missing from it may have ended. Not all ended runs fit into it, or
   * rows of it cannot be read.
   */
  readonly hasMoreEnds: boolean;
  /** True if only unreadable rows are missing; left out if there is none. */
  readonly hasUnreadableRows?: boolean;
  /** The endpoint's clock when it responded; left out if it is not known. */
  readonly clockMs?: number;
  /** When the list request was sent. Runs that were started later may be missing from the response. */
  readonly requestedAtMs: number;
  readonly nowMs: number;
};

/** What a list response says of the runs there. */
export type EndpointLists = Pick<
  EndpointReport,
  'running' | 'ended' | 'hasMoreEnds' | 'hasUnreadableRows'
>;
