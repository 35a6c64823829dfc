/** What follows from the answers to orders to start and to stop. */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import type { TaskKey } from '../model/job.js';
import type { RunEvidence } from './run-end.js';
import { dropRun, requeue, stopRun } from './runs.js';
import type { BatchState } from '../model/state.js';

/** What became of an order to start a run. */
export type StartOutcome = 'started' | 'rejected' | 'unknown';

/** An answer to an order to start. */
export type StartAnswer = {
  readonly task: TaskKey;
  readonly run: number;
  /** Unknown if there was no answer. */
  readonly outcome: StartOutcome;
  /** Why it was rejected, in a word. */
  readonly reason?: string;
  readonly nowMs: number;
};

/** A life that was found over meanwhile may have begun it, or the next: that shows once the next one has told. */
const noteLateAnswer = (
  { goneEndpoints }: BatchState,
  endpointId: EndpointId,
  { task, run, outcome, nowMs }: StartAnswer,
): void => {
  const known = goneEndpoints.get(endpointId)?.endpoint.runs.get(task);
  if (known?.run === run && outcome === 'started') change(known, { confirmedAtMs: nowMs });
};

/**
 * Applies the answer to an order to start.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - Where it was sent.
 * @param answer - The run, what became of the order, and the time.
 */
export const applyStartOutcome = (
  state: BatchState,
  endpointId: EndpointId,
  answer: StartAnswer,
): void => {
  const { task, run, outcome, reason = '', nowMs } = answer;
  noteLateAnswer(state, endpointId, answer);
  const endpoint = state.endpoints.get(endpointId);
  const known = endpoint?.runs.get(task);
  if (!endpoint || !known || known.run !== run || known.phase !== 'starting') return;
  if (outcome === 'started') {
    known.phase = 'running';
    change(known.step.job, { hasBegun: true });
    known.confirmedAtMs = nowMs;
    known.begunByMs = Math.min(known.begunByMs, nowMs);
  }
  if (outcome === 'rejected') {
    const evidence: RunEvidence = { cause: 'start-refused', atMs: nowMs, detail: reason };
    const settle = (): void => requeue(state, known.step, known.task);
    dropRun(state, { endpoint, run: known, evidence, nowMs, settle });
  }
  if (outcome === 'unknown') {
    known.phase = 'unsure';
    // A stop also bars a start that arrives after it.
    stopRun(state, endpoint, known, 'the order to start had no answer');
  }
};

/**
 * Applies that an endpoint answered an order to stop. The run is dropped once a later answer shows
 * that it is not there: it may have ended before, and then its end is listed.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - The endpoint.
 * @param task - The task.
 * @param run - The run.
 * @param nowMs - The time.
 */
export const applyStopAnswer = (
  state: BatchState,
  endpointId: EndpointId,
  task: TaskKey,
  run: number,
  nowMs: number,
): void => {
  const known = state.endpoints.get(endpointId)?.runs.get(task);
  if (known && known.run === run) known.stopAnsweredAtMs = nowMs;
};
