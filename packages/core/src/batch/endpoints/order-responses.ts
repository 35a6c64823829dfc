/** Applies the responses to start and stop orders. */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { recordTrialSeen } from '../crashes/announced-start-record.js';
import type { TaskKey } from '../model/job.js';
import type { RunEvidence } from './run-end.js';
import { dropRun, requeue, stopRun } from './runs.js';
import type { BatchState } from '../model/state.js';

/** The result of a start order. */
export type StartOutcome = 'started' | 'rejected' | 'unknown';

/** The response to a start order. */
export type StartResponse = {
  readonly task: TaskKey;
  readonly run: number;
  /** `unknown` if there was no response. */
  readonly outcome: StartOutcome;
  /** A one-word reason for a rejection. */
  readonly reason?: string;
  /** The endpoint's clock when it started the run; left out if an order may have started it earlier. */
  readonly clockMs?: number | undefined;
  readonly nowMs: number;
};

/**
 * Handles a response that arrives after the incarnation was found to be over. Either that incarnation or the next one
 * has started the run; the first list of the next one shows which.
 */
const recordLateStart = (
  { goneEndpoints }: BatchState,
  endpointId: EndpointId,
  { task, run, outcome, nowMs }: StartResponse,
): void => {
  const known = goneEndpoints.get(endpointId)?.endpoint.runs.get(task);
  if (known?.run === run && outcome === 'started') change(known, { confirmedAtMs: nowMs });
};

/**
 * Applies the response to a start order.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint that it was sent to.
 * @param answer - The run, the result of the order, and the time.
 */
export const applyStartOutcome = (
  state: BatchState,
  endpointId: EndpointId,
  answer: StartResponse,
): void => {
  const { task, run, outcome, reason = '', clockMs, nowMs } = answer;
  recordLateStart(state, endpointId, answer);
  const endpoint = state.endpoints.get(endpointId);
  const known = endpoint?.runs.get(task);
  if (!endpoint || !known || known.run !== run || known.phase !== 'starting') return;
  if (outcome === 'started') {
    known.phase = 'running';
    change(known.step.job, { hasStarted: true });
    known.startClockMs = clockMs;
    known.confirmedAtMs = nowMs;
    known.startedByMs = Math.min(known.startedByMs, nowMs);
    recordTrialSeen(state, known);
  }
  if (outcome === 'rejected') {
    const evidence: RunEvidence = { cause: 'start-refused', atMs: nowMs, detail: reason };
    const updateTask = (): void => requeue(state, known.step, known.task);
    dropRun(state, { endpoint, run: known, evidence, nowMs, updateTask });
  }
  if (outcome === 'unknown') {
    known.phase = 'unsure';
    // A stop order also blocks a start order that arrives after it.
    stopRun(state, endpoint, known, 'the order to start had no answer');
  }
};

/**
 * Records that an endpoint has responded to a stop order. The run is dropped only when a later list shows that it is
 * not there: it may have ended before the order, and then its end is listed.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint.
 * @param task - The task.
 * @param run - The run.
 * @param nowMs - The current time.
 */
export const applyStopResponse = (
  state: BatchState,
  endpointId: EndpointId,
  task: TaskKey,
  run: number,
  nowMs: number,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  [endpoint?.runs.get(task), endpoint?.orphanRuns.get(task)].forEach((known) => {
    if (known?.run === run) change(known, { stopAnsweredAtMs: nowMs });
  });
};
