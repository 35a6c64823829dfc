/**
 * Detects endpoints on which tasks fail or hang. Failures count only if they come from tasks of distinct jobs, so that
 * one job that always fails does not take an endpoint out of service.
 */
import type { JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { BatchState, EndpointState } from '../model/state.js';

/** Number of distinct jobs that must have failed on an endpoint since the last task that was done there. */
const FAILED_JOBS_TO_WITHHOLD = 3;
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
 * Records that a task was done on an endpoint, which resets its failures.
 *
 * @param endpoint - The endpoint, modified in place.
 */
export const recordTaskSuccess = (endpoint: EndpointState): void => {
  const { health } = endpoint;
  health.failedJobs.clear();
  health.withholdCount = 0;
};
