/**
 * Endpoints that fail or hang what they are given. Blame needs tasks of distinct jobs: one job that
 * can never be done does not condemn an endpoint.
 */
import type { JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { BatchState, EndpointState } from '../model/state.js';

/** So many distinct jobs must have failed on an endpoint since the last task that was done there. */
const JOBS_TO_BLAME = 3;
/** For how long it is withheld first; doubled with each strike, up to the longest. */
const FIRST_WITHHOLD_MS = 2500;
const LONGEST_WITHHOLD_MS = 10_000;

/**
 * Withholds an endpoint from new work.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 * @param reason - Why, for operators.
 * @param nowMs - The time.
 */
export const withholdEndpoint = (
  state: BatchState,
  endpoint: EndpointState,
  reason: string,
  nowMs: number,
): void => {
  const { endpointId, pool, health } = endpoint;
  const forMs = Math.min(LONGEST_WITHHOLD_MS, FIRST_WITHHOLD_MS * 2 ** health.strikes);
  health.strikes += 1;
  health.failedJobs.clear();
  change(endpoint, { withheldUntilMs: nowMs + forMs, withheldReason: reason });
  state.effects.push({
    kind: 'note',
    event: 'endpoint-withheld',
    fields: { endpoint: endpointId, pool, forMs, reason },
  });
};

/**
 * Records that a task failed on an endpoint.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 * @param jobId - The task's job.
 */
export const noteFailure = (state: BatchState, endpoint: EndpointState, jobId: JobId): void => {
  const { failedJobs } = endpoint.health;
  failedJobs.add(jobId);
  if (failedJobs.size < JOBS_TO_BLAME) return;
  withholdEndpoint(
    state,
    endpoint,
    `tasks of ${failedJobs.size} jobs failed here with none done between`,
    state.clockMs,
  );
};

/**
 * Records that a task was done on an endpoint.
 *
 * @param endpoint - The endpoint, changed in place.
 */
export const noteDone = (endpoint: EndpointState): void => {
  const { health } = endpoint;
  health.failedJobs.clear();
  health.strikes = 0;
};
