/**
 * Queues whose policy lets only some endpoints run a step. A service apart knows which: it is asked
 * for few endpoints, once a step, and what it answers does not change. An endpoint that may run the
 * step gets a ticket, which holds for all tasks of the step at that life of the endpoint.
 */
import type { EndpointId } from '../../shared/ids.js';
import { parseTaskKey, type TaskKey } from '../model/job.js';
import { findTask } from '../jobs/jobs.js';
import type { BatchState, EndpointState, StepRun } from '../model/state.js';

/** The objective of a job counts one question about so many endpoints a step. */
const MOST_ASKED = 30;
/** A refused endpoint costs another question: twice as many as are needed are asked about. */
const SPARE_FACTOR = 2;
const LEAST_ASKED = 4;
/** A ticket is not used in its last moments: the order is under way meanwhile. */
const TICKET_MARGIN_MS = 200;
/** A question without an answer is asked again after this time. */
const ASK_AGAIN_MS = 400;

/**
 * Gives the ticket of an endpoint.
 *
 * @param step - The step.
 * @param endpointId - The endpoint.
 * @returns The ticket; '' where the queue needs none.
 */
export const ticketOf = ({ advice }: StepRun, endpointId: EndpointId): string =>
  advice?.tickets.get(endpointId)?.ticket ?? '';

/**
 * Keeps the endpoints that may run a step by what is known now.
 *
 * @param step - The step.
 * @param endpoints - The endpoints.
 * @param nowMs - The time.
 * @returns All of them where the queue needs no advice, else those with a ticket.
 */
export const admittedEndpoints = (
  { advice }: StepRun,
  endpoints: readonly EndpointState[],
  nowMs: number,
): readonly EndpointState[] =>
  advice === null
    ? endpoints
    : endpoints.filter(
        ({ endpointId }) => (advice.tickets.get(endpointId)?.validUntilMs ?? 0) > nowMs,
      );

/** How many endpoints a step needs, if they were empty. */
const neededEndpoints = (
  { waiting, spec }: StepRun,
  endpoints: readonly EndpointState[],
): number => {
  const cpuMillis = Math.max(0, ...endpoints.map(({ capacity }) => capacity.cpuMillis));
  const byCpu = spec.fillsGaps || spec.cpuMillis === 0 ? Infinity : cpuMillis / spec.cpuMillis;
  const byRule = spec.mostPerEndpoint === 0 ? Infinity : spec.mostPerEndpoint;
  const perEndpoint = Math.max(1, Math.floor(Math.min(byCpu, byRule, waiting.length)));
  return Math.ceil(waiting.length / perEndpoint);
};

/**
 * Has the service asked about endpoints with room that are not known yet, unless it is being asked.
 *
 * @param state - All that is known, changed in place.
 * @param step - A step with tasks that wait.
 * @param candidates - Endpoints that have room for a task of it.
 * @param nowMs - The time.
 */
export const wantAdvice = (
  state: BatchState,
  step: StepRun,
  candidates: readonly EndpointState[],
  nowMs: number,
): void => {
  const { advice, job, occurrence, number } = step;
  if (advice === null || advice.isAsking || nowMs < advice.notBeforeMs) return;
  const unknown = candidates.filter(
    ({ endpointId }) =>
      !advice.refused.has(endpointId) &&
      (advice.tickets.get(endpointId)?.validUntilMs ?? 0) <= nowMs,
  );
  if (unknown.length === 0) return;
  const wanted = Math.max(LEAST_ASKED, SPARE_FACTOR * neededEndpoints(step, candidates));
  const asked = unknown.slice(0, Math.min(MOST_ASKED, wanted));
  advice.isAsking = true;
  state.effects.push({
    kind: 'advise',
    jobId: job.job.jobId,
    occurrence: occurrence.number,
    step: number,
    endpoints: asked.map(({ endpointId }) => endpointId),
  });
};

/** What the service answered. */
export type AdviceAnswer = {
  /** Endpoints that may run the step, with their tickets. */
  readonly good: readonly (readonly [EndpointId, string])[];
  readonly validMs: number;
};

/** Which step was asked about. */
export type AdviceQuestion = Extract<BatchState['effects'][number], { kind: 'advise' }>;

/**
 * Applies an answer of the service.
 *
 * @param state - All that is known, changed in place.
 * @param question - What was asked.
 * @param answer - The answer; undefined if there was none.
 * @param nowMs - The time.
 */
export const applyAdvice = (
  state: BatchState,
  { jobId, occurrence, step: number, endpoints }: AdviceQuestion,
  answer: AdviceAnswer | undefined,
  nowMs: number,
): void => {
  const step = state.jobs.get(jobId)?.occurrences.get(occurrence)?.steps[number];
  if (!step?.advice) return;
  const { advice } = step;
  advice.isAsking = false;
  step.retryAtMs = 0;
  if (!answer) {
    advice.notBeforeMs = nowMs + ASK_AGAIN_MS;
    return;
  }
  const validUntilMs = nowMs + Math.max(0, answer.validMs - TICKET_MARGIN_MS);
  const good = new Map(answer.good);
  endpoints.forEach((endpointId) => {
    const ticket = good.get(endpointId);
    if (ticket === undefined) advice.refused.add(endpointId);
    else advice.tickets.set(endpointId, { ticket, validUntilMs });
  });
};

/**
 * Forgets a ticket that an endpoint did not take.
 *
 * @param state - All that is known, changed in place.
 * @param key - The task that it was shown for.
 * @param endpointId - The endpoint.
 */
export const dropTicket = (state: BatchState, key: TaskKey, endpointId: EndpointId): void => {
  const name = parseTaskKey(key);
  const found = name && findTask(state, name);
  found?.step.advice?.tickets.delete(endpointId);
};
