/** Orders to endpoints, and how they can fail. All times are milliseconds. */
import type { TaskKey } from './job.js';

/** Why an endpoint did nothing. */
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
  /** Its data centre is evacuated, or may be unheard: refused by an entry, not by the endpoint. */
  | 'evacuated'
  | 'unreachable';

/** An order that was not carried out, or may have been. */
export type OrderError = {
  /** Whether the order may have had an effect, now or within seconds. */
  readonly verdict: 'notRun' | 'mayHaveRun';
  readonly reason: OrderRefusal | 'no-answer';
  readonly detail: string;
};

/** The endpoint's own steady clock, at some time before the answer came in. */
export type EndpointClock = { readonly clockMs: number };

/** An order to list what runs and what has ended. */
export type ListOrder = {
  readonly fence: number;
  /** Ends up to this number are forgotten by the endpoint. */
  readonly acknowledged: number;
  /** All that runs there is kept until then, by the endpoint's clock. */
  readonly keepUntilMs?: number;
  /** How long the answer may wait for an end. */
  readonly waitMs: number;
};

export type StartOrder = {
  readonly task: TaskKey;
  readonly run: number;
  readonly spec: string;
  readonly keepUntilMs: number;
  readonly fence: number;
  readonly checkpoint: string;
  /** '' where the queue needs no advice. */
  readonly ticket: string;
};

export type StopOrder = { readonly task: TaskKey; readonly run: number; readonly fence: number };

export type PaceOrder = StopOrder & { readonly percent: number };
