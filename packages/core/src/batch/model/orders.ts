/** Orders that are sent to endpoints, and how they can fail. All times are in milliseconds. */
import type { TaskKey } from './job.js';

/** Why an order was not carried out. */
export type OrderRefusal =
  | 'fence'
  | 'late'
  | 'old'
  | 'room'
  | 'ticket'
  | 'unhealthy'
  | 'other-endpoint'
  | 'other-life'
  | 'malformed'
  /** The data centre of the endpoint is evacuated; an entry refused the order, not the endpoint. */
  | 'evacuated'
  /** The holder learned that the run must not start before all of the order was sent. */
  | 'not-sent'
  | 'unreachable';

/** The failure of an order: it was not carried out, or it is not known whether it was. */
export type OrderError = {
  /** Whether the order may have had an effect, or may still have one within seconds. */
  readonly verdict: 'notRun' | 'mayHaveRun';
  readonly reason: OrderRefusal | 'no-answer';
  readonly detail: string;
};

/** A reading of the endpoint's own monotonic clock, taken at some time before its answer arrived. */
export type EndpointClock = { readonly clockMs: number };

/** An order to list the runs that are running and those that have ended. */
export type ListOrder = {
  readonly fence: number;
  /** The endpoint discards the ended runs up to this number, because they have been received. */
  readonly acknowledged: number;
  /** Extends the lease of all runs on the endpoint to this time on the endpoint's clock. */
  readonly keepUntilMs?: number;
  /** How long the endpoint may delay its answer until a run ends. */
  readonly waitMs: number;
};

/** An order to start a run of a task. */
export type StartOrder = {
  readonly task: TaskKey;
  readonly run: number;
  readonly spec: string;
  /** When the lease of the run ends, on the endpoint's clock. */
  readonly keepUntilMs: number;
  readonly fence: number;
  readonly checkpoint: string;
  /** The ticket of the advice service; '' if the queue needs no advice. */
  readonly ticket: string;
};

/** An order to stop a run. */
export type StopOrder = { readonly task: TaskKey; readonly run: number; readonly fence: number };

/** An order to limit a run to a percentage of its full pace. */
export type PaceOrder = StopOrder & { readonly percent: number };
