/**
 * Detects endpoints on which tasks fail or hang, or that do not answer start orders. Failures count only if they come from tasks of distinct jobs, so that
 * one job that always fails does not take an endpoint out of service.
 */
import type { EndpointId, JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { BatchState, EndpointState } from '../model/state.js';

/** Number of distinct jobs that must have failed on an endpoint since the last task that was done there. */
const FAILED_JOBS_TO_WITHHOLD = 3;
/** Number of distinct jobs with start orders that the endpoint did not answer, since the last one that it did. */
const UNANSWERED_JOBS_TO_WITHHOLD = 3;
/** Duration of the first withholding; it doubles with each further one, up to `MAX_WITHHOLD_MS`. */
const FIRST_WITHHOLD_MS = 2500;
const MAX_WITHHOLD_MS = 10_000;

/**
 * Withholds an endpoint from new work.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param reason - The reason that operators see.
 * @param nowMs - The current time.
 */
export const withholdEndpoint = (
  state: BatchState,
  endpoint: EndpointState,
  reason: string,
  nowMs: number,
): void => {
  const { endpointId, pool, health } = endpoint;
  const forMs = Math.min(MAX_WITHHOLD_MS, FIRST_WITHHOLD_MS * 2 ** health.withholdCount);
  health.withholdCount += 1;
  health.failedJobs.clear();
  health.unansweredJobs.clear();
  change(endpoint, { withheldUntilMs: nowMs + forMs, withheldReason: reason });
  state.effects.push({
    kind: 'note',
    event: 'endpoint-withheld',
    fields: { endpoint: endpointId, pool, forMs, reason },
  });
};

/**
 * Records that a task failed on an endpoint, and withholds the endpoint after too many failures.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param jobId - The task's job.
 */
export const recordTaskFailure = (
  state: BatchState,
  endpoint: EndpointState,
  jobId: JobId,
): void => {
  const { failedJobs } = endpoint.health;
  failedJobs.add(jobId);
  if (failedJobs.size < FAILED_JOBS_TO_WITHHOLD) return;
  withholdEndpoint(
    state,
    endpoint,
    `tasks of ${failedJobs.size} jobs failed here with none done between`,
    state.clockMs,
  );
};

/**
 * Records that an endpoint did not answer the start orders of a task. It may list its runs soundly all the while, so that
 * nothing else shows that it starts none.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint.
 * @param jobId - The task's job.
 * @param nowMs - The current time.
 */
export const recordUnansweredStart = (
  state: BatchState,
  endpointId: EndpointId,
  jobId: JobId,
  nowMs: number,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  const { unansweredJobs } = endpoint.health;
  unansweredJobs.add(jobId);
  if (unansweredJobs.size < UNANSWERED_JOBS_TO_WITHHOLD) return;
  const reason = `start orders of ${unansweredJobs.size} jobs had no answer here, with none answered between`;
  withholdEndpoint(state, endpoint, reason, nowMs);
};

/**
 * Records that an endpoint answered a start order.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint.
 */
export const recordAnsweredStart = (state: BatchState, endpointId: EndpointId): void =>
  state.endpoints.get(endpointId)?.health.unansweredJobs.clear();

/**
 * Records that a task was done on an endpoint, which resets its failures.
 *
 * @param endpoint - The endpoint, modified in place.
 */
export const recordTaskSuccess = (endpoint: EndpointState): void => {
  const { health } = endpoint;
  health.failedJobs.clear();
  health.withholdCount = 0;
};
