/** When the next list request is sent to an endpoint, and for how long the endpoint may hold back its response. */
import type { RunState } from '@valvelatch/core/batch';

/** For how long an endpoint may hold back the response to a list request until a run ends. */
const LIST_WAIT_MS = 400;
/** The wait while gap-filling tasks run on the endpoint: next to them, load figures must be more recent. */
const GAP_FILLING_LIST_WAIT_MS = 500;
/** The wait while a long-running task there is not ready yet. */
const STARTING_LIST_WAIT_MS = 200;
/** The wait while rows of the endpoint's list cannot be read, as they may never be. */
export const UNREADABLE_LIST_WAIT_MS = 200;
/** The shortest pause between two list requests. Runs that end within it are reported in one response. */
export const MIN_LIST_PAUSE_MS = 20;
/**
 * The longest pause between two list requests. The pause grows with the delay of responses, so that each response
 * reports more ended runs. With a longer pause, a lease of 6 s would depend on one or two list requests.
 */
const MAX_LIST_PAUSE_MS = 1000;
/** The pause between two list requests while a run is being stopped, which takes up to `stopMs` (900). */
export const STOPPING_LIST_PAUSE_MS = 100;
/**
 * For how long the next list request waits at least for ended runs to be stored, before it is sent without
 * acknowledging them.
 */
export const SAVE_WAIT_MS = 80;

/**
 * Computes the pause between two list requests.
 *
 * @param delayMs - The mean delay of responses, in milliseconds.
 * @returns The pause in milliseconds.
 */
export const computeListPauseMs = (delayMs: number): number =>
  Math.min(MAX_LIST_PAUSE_MS, Math.max(MIN_LIST_PAUSE_MS, delayMs));

/**
 * Tells whether a run is being stopped.
 *
 * @param run - The run.
 * @returns True if its stop was ordered.
 */
export const isStopping = ({ phase }: RunState): boolean => phase === 'stopping';

/** Until a long-running task is seen to be ready, no other task of its step may be made unavailable. */
const isBecomingReady = ({ step, percent }: RunState): boolean =>
  step.spec.isLasting && percent < 100;

/**
 * Computes for how long an endpoint may hold back its report until one of its runs ends.
 *
 * @param runs - The runs there.
 * @returns The time in milliseconds; 0 if the report is needed at once.
 */
export const computeReportWaitMs = (runs: readonly RunState[]): number => {
  if (runs.length === 0 || runs.some(isStopping)) return 0;
  if (runs.some(isBecomingReady)) return STARTING_LIST_WAIT_MS;
  return runs.some(({ step }) => step.spec.fillsGaps) ? GAP_FILLING_LIST_WAIT_MS : LIST_WAIT_MS;
};
