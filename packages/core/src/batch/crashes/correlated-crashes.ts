/**
 * Tells crashes that happen at about the same time, as when a rack is lost, from those that tasks cause. Only crashes that
 * no task explains are compared.
 */
import { change } from '../../shared/change.js';
import { rackOf } from '../endpoints/endpoints.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import type {
  BatchState,
  EndpointState,
  GoneCause,
  GoneEndpoint,
  JobState,
  RecentCrash,
} from '../model/state.js';
import { hasSurvivedObservation, lastReportedRuns } from './observation-period.js';
import { RECENT_CRASH_MS } from './pool-calm.js';

/** Crashes within this time are treated as one event, because the host list is read only every 0.4 to 1 s. */
const CORRELATION_WINDOW_MS = 1000;
/** If this many other endpoints crash unexplained at about the same time, tasks are not the cause. */
const MIN_CORRELATED_ENDPOINTS = 2;

/**
 * Causes that show a crash: the endpoint is gone from its host, or another one has its host, address or id, without
 * an order or announcement.
 */
const CRASH_CAUSES: ReadonlySet<GoneCause> = new Set([
  'host-list',
  'host-taken',
  'replaced',
  'restarted',
  'succeeded',
]);

/**
 * Tells whether an endpoint crashed, as opposed to being shut down.
 *
 * @param gone - The endpoint, with the evidence that it is gone.
 * @returns False if the endpoint announced its end, was cordoned because of an order to its host, or may only be
 *   unresponsive.
 */
export const isCrash = ({ endpoint, detail }: Pick<GoneEndpoint, 'endpoint' | 'detail'>): boolean =>
  CRASH_CAUSES.has(detail) && !endpoint.hasAnnouncedEnd && !endpoint.isCordoned;

/** Returns the jobs with runs that the endpoint has not yet been alive with for the whole observation period. */
const jobsUnderObservation = (endpoint: EndpointState): ReadonlySet<JobState> =>
  new Set(
    lastReportedRuns(endpoint)
      .filter((run) => !hasSurvivedObservation(endpoint, run))
      .map(({ step }) => step.job),
  );

/**
 * Tells whether a task explains a crash: only one job has runs that have not survived the observation period, and
 * endpoints crashed before under the task of one of these runs.
 */
const isExplained = (endpoint: EndpointState): boolean =>
  jobsUnderObservation(endpoint).size === 1 &&
  lastReportedRuns(endpoint).some(
    (run) =>
      !hasSurvivedObservation(endpoint, run) && run.task.crashes.some(({ isKnown }) => isKnown),
  );

/**
 * Records that endpoints crashed. Must be called for all of them before the crashes are attributed to their runs,
 * because a whole rack may be lost at once.
 *
 * @param state - The batch state, changed in place.
 * @param gone - The endpoints that are gone; those that did not crash are ignored.
 * @param nowMs - The current time.
 */
export const addRecentCrashes = (
  state: BatchState,
  gone: readonly GoneEndpoint[],
  nowMs: number,
): void => {
  const fresh = gone.filter(isCrash).map(({ endpoint, atMs }): RecentCrash => {
    const { endpointId, pool } = endpoint;
    return { endpointId, pool, rack: rackOf(endpoint), atMs, isExplained: isExplained(endpoint) };
  });
  const recent = state.recentCrashes.filter(({ atMs }) => nowMs - atMs < RECENT_CRASH_MS);
  change(state, { recentCrashes: [...recent, ...fresh] });
};

/**
 * Tells whether an endpoint crashed at about the same time as another one in its rack, or as at least
 * MIN_CORRELATED_ENDPOINTS others anywhere. Crashes that a task explains are ignored, and several incarnations of one
 * endpoint count once.
 *
 * @param state - The batch state with the recent crashes.
 * @param gone - The endpoint that crashed.
 * @returns True if tasks are not the cause of the crash.
 */
export const hasCorrelatedCrashes = (
  { recentCrashes }: BatchState,
  { endpoint, atMs }: GoneEndpoint,
): boolean => {
  const others = recentCrashes.filter(
    (other) =>
      instanceIdOf(other.endpointId) !== instanceIdOf(endpoint.endpointId) &&
      !other.isExplained &&
      Math.abs(other.atMs - atMs) < CORRELATION_WINDOW_MS,
  );
  const rack = rackOf(endpoint);
  const isRack = rack !== '' && others.some((other) => other.rack === rack);
  const endpoints = new Set(others.map(({ endpointId }) => instanceIdOf(endpointId)));
  return isRack || endpoints.size >= MIN_CORRELATED_ENDPOINTS;
};
