/** Detects runs without progress, and endpoints whose lease has certainly ended. */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { mayRunInUnreportedIncarnation } from './incarnation-runs.js';
import { withholdEndpoint } from './endpoint-health.js';
import { hasAnswered } from './listing-status.js';
import { replaceOrphanRuns } from './orphan-runs.js';
import { endRunWithoutReport } from './unreported-runs.js';
import type { RunEvidence } from './run-end.js';
import { stopRun } from './runs.js';
import {
  isSoleHolder,
  type BatchState,
  type EndpointState,
  type RunState,
} from '../model/state.js';
import { estimateStepTime } from '../jobs/step-times.js';

/**
 * A run is stalled if its percentage has not increased for this many times its expected duration, and for at least
 * `MIN_STALL_MS`. Tasks far from their data take `farFactor` (2 or 3) times as long, and up to 7 times as long on
 * slow endpoints, but their percentages still increase.
 */
const STALL_FACTOR = 1;
const MIN_STALL_MS = 2000;

/** Uses the time of the endpoint's last report, because a silent endpoint gives no information about its runs. */
const isStalled = (state: BatchState, run: RunState, { reportedAtMs }: EndpointState): boolean => {
  const nowMs = reportedAtMs;
  const { step, phase, progressAtMs, percent } = run;
  if (phase !== 'running' || step.spec.isGang) return false;
  if (step.spec.isLasting) return percent < 100 && nowMs - progressAtMs > MIN_STALL_MS * 2;
  const expectedMs = estimateStepTime(state, step);
  // One percent of progress is observed as a separate increase only if it takes longer than the interval of reports.
  return nowMs - progressAtMs > Math.max(MIN_STALL_MS, expectedMs * STALL_FACTOR);
};

const stopStalledRuns = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  const stalled = Array.from(endpoint.runs.values()).filter((run) =>
    isStalled(state, run, endpoint),
  );
  if (stalled.length === 0) return;
  stalled.forEach((run) => {
    const { task } = run;
    task.avoidedEndpoint = endpoint.endpointId;
    stopRun(state, endpoint, run, `has stood still at ${run.percent} %`);
  });
  if (endpoint.withheldUntilMs <= nowMs) {
    withholdEndpoint(state, endpoint, `${stalled.length} tasks stand still here`, nowMs);
  }
};

/** An endpoint whose lease has certainly ended. */
export type LapsedEndpoint = { readonly endpointId: EndpointId; readonly endedAtMs: number };

/**
 * Stops runs without progress, and gives up the runs of endpoints whose lease has ended and cannot have been renewed by
 * another holder.
 *
 * @param state - The holder's batch state, modified in place.
 * @param nowMs - The current time.
 * @returns The endpoints whose leases have ended.
 */
export const handleStalledAndLapsedRuns = (
  state: BatchState,
  nowMs: number,
): readonly LapsedEndpoint[] => {
  const lapsed: LapsedEndpoint[] = [];
  state.endpoints.forEach((endpoint) => {
    if (endpoint.runs.size + endpoint.orphanRuns.size === 0) return;
    stopStalledRuns(state, endpoint, nowMs);
    if (nowMs < endpoint.leaseEndsAtMs || !isSoleHolder(state, nowMs)) return;
    replaceOrphanRuns(state, endpoint, new Map());
    const runs = Array.from(endpoint.runs.values()).filter(
      (run) =>
        run.phase !== 'announced' && !mayRunInUnreportedIncarnation(state, endpoint, run, nowMs),
    );
    if (runs.length === 0) return;
    const { endpointId, leaseEndsAtMs: atMs } = endpoint;
    lapsed.push({ endpointId, endedAtMs: atMs });
    const evidence: RunEvidence = { cause: 'lease-over', atMs, detail: 'not-extended' };
    change(endpoint, { expiredRuns: [...endpoint.expiredRuns, ...runs] });
    runs.forEach((run) => endRunWithoutReport(state, { endpoint, run, evidence, nowMs }));
  });
  return lapsed;
};

/**
 * True if a newer endpoint appeared on the same host after the last report of this one, and responds. This rules out
 * that the older endpoint is only disconnected.
 */
const hasSuccessor = (
  state: BatchState,
  { endpointId, hostId, reportedAtMs }: EndpointState,
): boolean =>
  hostId !== null &&
  Array.from(state.endpoints.values()).some(
    (other) =>
      other.hostId === hostId &&
      other.endpointId !== endpointId &&
      hasAnswered(other) &&
      other.seenAtMs > reportedAtMs,
  );

/**
 * Finds crashed endpoints that nothing but the end of their leases has shown, as the host list may be unavailable.
 *
 * @param state - The holder's batch state.
 * @returns The endpoints. No runs are known to be there any more.
 */
export const findEndpointsWithSuccessor = (state: BatchState): readonly EndpointId[] =>
  Array.from(state.endpoints.values())
    .filter(({ runs, expiredRuns }) => expiredRuns.length > 0 && runs.size === 0)
    .filter((endpoint) => hasSuccessor(state, endpoint))
    .map(({ endpointId }) => endpointId);
