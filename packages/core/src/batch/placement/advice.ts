/**
 * Advice on queues whose policy allows only some endpoints to run a step. A separate advice service decides which:
 * it is asked about a few endpoints, once for each step, and its answer does not change. An endpoint that may run the
 * step gets a ticket, which is valid for all tasks of the step on that incarnation of the endpoint.
 */
import type { EndpointId } from '../../shared/ids.js';
import { parseTaskKey, type TaskKey } from '../model/job.js';
import { findTask } from '../jobs/job-lifecycle.js';
import { isFinal, type BatchState, type EndpointState, type StepRun } from '../model/state.js';

/** The largest number of endpoints in one question. A job's objective allows for one question of this size for each step. */
const MAX_ASKED = 30;
/** Each refused endpoint costs another question, so twice as many endpoints as needed are asked about. */
const SPARE_FACTOR = 2;
/** The smallest number of endpoints that a question asks about, if as many are unknown. */
const MIN_ASKED = 4;
/** A ticket is not used this shortly before it expires, because the start order still has to reach the endpoint. */
const TICKET_MARGIN_MS = 200;
/** How long to wait before asking again after a question was not answered. */
const ASK_AGAIN_MS = 400;

/**
 * Returns the ticket with which an endpoint may run a step.
 *
 * @param step - The step.
 * @param endpointId - The endpoint.
 * @returns The ticket; '' if the queue needs no advice or the endpoint has no ticket.
 */
export const ticketOf = ({ advice }: StepRun, endpointId: EndpointId): string =>
  advice?.tickets.get(endpointId)?.ticket ?? '';

/**
 * Filters the endpoints that are known to be allowed to run a step.
 *
 * @param step - The step.
 * @param endpoints - The endpoints.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns All of them if the queue needs no advice, else those with a valid ticket.
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

/** Estimates how many empty endpoints the waiting tasks of a step need. */
const neededEndpoints = (
  { waiting, spec }: StepRun,
  endpoints: readonly EndpointState[],
): number => {
  const largestCpuMillis = Math.max(0, ...endpoints.map(({ capacity }) => capacity.cpuMillis));
  const byCpu =
    spec.fillsGaps || spec.cpuMillis === 0 ? Infinity : largestCpuMillis / spec.cpuMillis;
  const byLimit = spec.mostPerEndpoint === 0 ? Infinity : spec.mostPerEndpoint;
  const perEndpoint = Math.max(1, Math.floor(Math.min(byCpu, byLimit, waiting.length)));
  return Math.ceil(waiting.length / perEndpoint);
};

/**
 * Requests advice on endpoints that have capacity and about which nothing is known yet. Does nothing while a question
 * for the step is open, or for a short time after one was not answered.
 *
 * @param state - The batch state, changed in place.
 * @param step - A step with waiting tasks.
 * @param candidates - Endpoints that have capacity for a task of the step.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const requestAdvice = (
  state: BatchState,
  step: StepRun,
  candidates: readonly EndpointState[],
  nowMs: number,
): void => {
  const { advice, job, occurrence, number } = step;
  if (advice === null || advice.isQuestionOpen || nowMs < advice.nextQuestionAtMs) return;
  const unknown = candidates.filter(
    ({ endpointId }) =>
      !advice.refused.has(endpointId) &&
      (advice.tickets.get(endpointId)?.validUntilMs ?? 0) <= nowMs,
  );
  if (unknown.length === 0) return;
  const wanted = Math.max(MIN_ASKED, SPARE_FACTOR * neededEndpoints(step, candidates));
  const asked = unknown.slice(0, Math.min(MAX_ASKED, wanted));
  advice.isQuestionOpen = true;
  state.effects.push({
    kind: 'advise',
    jobId: job.job.jobId,
    occurrence: occurrence.number,
    step: number,
    endpoints: asked.map(({ endpointId }) => endpointId),
  });
};

/**
 * Finds the step that a question is about.
 *
 * @param state - The batch state.
 * @param question - The question.
 * @returns The step; undefined if its job is not known any more.
 */
export const findAskingStep = (
  { jobs }: BatchState,
  { jobId, occurrence, step }: AdviceQuestion,
): StepRun | undefined => jobs.get(jobId)?.occurrences.get(occurrence)?.steps[step];

/** An answer of the advice service. */
export type AdviceAnswer = {
  /** The endpoints that may run the step, each with its ticket. */
  readonly good: readonly (readonly [EndpointId, string])[];
  /** For how long the tickets are valid, in milliseconds. */
  readonly validMs: number;
};

/** A question to the advice service: a step and the endpoints asked about. */
export type AdviceQuestion = Extract<BatchState['effects'][number], { kind: 'advise' }>;

/**
 * Leaves out what has changed since a question was requested and before it is asked.
 *
 * @param state - The batch state, changed in place: advice that is not needed any more counts as not requested.
 * @param question - The question.
 * @returns The question about the endpoints that still exist; undefined if there is nothing to ask.
 */
export const updateQuestion = (
  state: BatchState,
  question: AdviceQuestion,
): AdviceQuestion | undefined => {
  const step = findAskingStep(state, question);
  if (!step?.advice) return undefined;
  const endpoints = question.endpoints.filter((endpointId) => state.endpoints.has(endpointId));
  const isNeeded = !isFinal(step.job.phase) && step.waiting.length > 0 && endpoints.length > 0;
  if (isNeeded) return { ...question, endpoints };
  step.advice.isQuestionOpen = false;
  return undefined;
};

/**
 * Applies an answer of the advice service.
 *
 * @param state - The batch state, changed in place.
 * @param question - The question.
 * @param answer - The answer; undefined if the service did not answer.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const applyAdvice = (
  state: BatchState,
  question: AdviceQuestion,
  answer: AdviceAnswer | undefined,
  nowMs: number,
): void => {
  const step = findAskingStep(state, question);
  if (!step?.advice) return;
  const { advice } = step;
  const { endpoints } = question;
  advice.isQuestionOpen = false;
  step.retryAtMs = 0;
  if (!answer) {
    advice.nextQuestionAtMs = nowMs + ASK_AGAIN_MS;
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
 * Removes a ticket that an endpoint did not accept.
 *
 * @param state - The batch state, changed in place.
 * @param key - The task whose start order carried the ticket.
 * @param endpointId - The endpoint.
 */
export const removeTicket = (state: BatchState, key: TaskKey, endpointId: EndpointId): void => {
  const name = parseTaskKey(key);
  const found = name && findTask(state, name);
  found?.step.advice?.tickets.delete(endpointId);
};
