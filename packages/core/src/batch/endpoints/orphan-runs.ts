/**
 * Orphan runs: runs that an endpoint lists and that this holder wants nowhere. An earlier holder started them, or a late
 * order. They are stopped, and take capacity until their ends are listed, as a stop takes time.
 */
import { change } from '../../shared/change.js';
import { parseTaskKey, type TaskKey } from '../model/job.js';
import type { BatchState, EndpointState, OrphanRun } from '../model/state.js';
import { hasListedRuns } from './listing-status.js';
import { releaseRun, reserveForRun, STOP_COMPLETED_WITHIN_MS } from './runs.js';

/**
 * An endpoint gets no new work for at most this long because of a run of unknown size. A name that is listed for longer,
 * whatever is ordered, is not that of a run.
 */
const UNKNOWN_SIZE_WITHHOLD_MS = 10_000;

const isSameRun = (one: OrphanRun, other: OrphanRun | undefined): boolean =>
  one.run === other?.run && one.step === other.step;

/**
 * Replaces the orphan runs of an endpoint. The capacity of those that are not among the new ones is released.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param orphanRuns - The runs, of which each task has one at most.
 */
export const replaceOrphanRuns = (
  state: BatchState,
  endpoint: EndpointState,
  orphanRuns: ReadonlyMap<TaskKey, OrphanRun>,
): void => {
  const former = endpoint.orphanRuns;
  former.forEach((one) => {
    if (one.step && !isSameRun(one, orphanRuns.get(one.task)))
      releaseRun(state, endpoint, one.step);
  });
  orphanRuns.forEach((one) => {
    if (one.step && !isSameRun(one, former.get(one.task))) reserveForRun(state, endpoint, one.step);
  });
  change(endpoint, { orphanRuns });
};

/**
 * Tells whether an orphan run must be ordered to stop: it was not yet, its order was not answered, or it should have
 * ended since.
 *
 * @param orphan - The run.
 * @param listedAtMs - When the list was requested that still names it.
 * @returns False while an answered order may still take effect.
 */
export const mustBeStopped = ({ stopAnsweredAtMs }: OrphanRun, listedAtMs: number): boolean =>
  stopAnsweredAtMs === Infinity || listedAtMs - stopAnsweredAtMs > STOP_COMPLETED_WITHIN_MS;

/**
 * Tells whether an endpoint may run something of which this holder doesn't know how much capacity it takes.
 *
 * @param endpoint - The endpoint.
 * @param nowMs - The current time.
 * @returns True while it lists a run of a job that is not known.
 */
export const hasRunOfUnknownSize = ({ orphanRuns }: EndpointState, nowMs: number): boolean =>
  orphanRuns.size > 0 &&
  Array.from(orphanRuns.values()).some(
    ({ task, step, firstListedAtMs }) =>
      !step && parseTaskKey(task) && nowMs - firstListedAtMs < UNKNOWN_SIZE_WITHHOLD_MS,
  );

/**
 * Tells whether an endpoint is empty, so that its host can be taken away without a loss.
 *
 * @param endpoint - The endpoint.
 * @returns True if nothing runs there and it holds back no ended runs.
 */
export const isEmpty = (endpoint: EndpointState): boolean =>
  endpoint.runs.size === 0 && endpoint.orphanRuns.size === 0 && hasListedRuns(endpoint);
