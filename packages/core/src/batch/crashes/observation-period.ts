/** How long an endpoint must have been alive with a run before other runs are suspected first if it crashes. */
import type { EndpointState, RunState, Task } from '../model/state.js';

/**
 * Once an endpoint has been observed alive with a run for this long, the run is no longer a primary suspect for a crash.
 * A busy endpoint reports many times in this period; a quiet one is polled every 400 ms.
 */
const MIN_OBSERVATION_MS = 250;
/** Upper bound of the observation period, which is extended for a task that crashes its endpoints late. */
export const MAX_OBSERVATION_MS = 2000;

/**
 * Returns for how long an endpoint is known to have been alive with a run: until the poll that it last answered.
 *
 * @param endpoint - The endpoint, as of its last report.
 * @param run - The run.
 * @returns The time, in whole milliseconds.
 */
export const livedMs = ({ reportedAtMs }: EndpointState, { startedByMs }: RunState): number =>
  Math.max(0, Math.round(reportedAtMs - startedByMs));

/**
 * Returns the observation period of a task: twice the longest time that an endpoint was alive with it before
 * crashing, within bounds.
 */
const observationMs = ({ crashes }: Task): number => {
  const longestMs = Math.max(0, ...crashes.map((crash) => crash.livedMs));
  return Math.min(MAX_OBSERVATION_MS, Math.max(MIN_OBSERVATION_MS, 2 * longestMs));
};

/**
 * Tells whether an endpoint has been alive with a run for the whole observation period, so that other runs are
 * suspected first if it crashes.
 *
 * @param endpoint - The endpoint, as of its last report.
 * @param run - The run.
 * @returns True once the observation period has passed.
 */
export const hasSurvivedObservation = (endpoint: EndpointState, run: RunState): boolean =>
  livedMs(endpoint, run) >= observationMs(run.task);

/**
 * Lists the runs that an endpoint was ordered to start, as of its last report.
 *
 * @param endpoint - The endpoint.
 * @returns Its runs, including those that have been given up since.
 */
export const lastReportedRuns = ({ runs, expiredRuns }: EndpointState): readonly RunState[] => [
  ...Array.from(runs.values()).filter(({ phase }) => phase !== 'announced'),
  ...expiredRuns,
];
