/** Runs that stand still, and endpoints whose lease has surely ended. */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { mayRunInLaterLife } from './followed-runs.js';
import { withholdEndpoint } from './health.js';
import { loseRun } from './lost-runs.js';
import type { RunEvidence } from './run-end.js';
import { stopRun } from './runs.js';
import {
  isSoleHolder,
  type BatchState,
  type EndpointState,
  type RunState,
} from '../model/state.js';
import { expectStepTime } from '../jobs/step-times.js';

/**
 * A run whose percentage has not risen for so many times its expected time, but at least for
 * `LEAST_STILL_MS`, stands still. Tasks far from their data take `farFactor` (2 or 3) as long, on
 * slow endpoints up to 7 times; percentages still rise there.
 */
const STILL_FACTOR = 1;
const LEAST_STILL_MS = 2000;

/** Judged by what the endpoint last reported: an endpoint that is silent tells nothing of its runs. */
const isStill = (state: BatchState, run: RunState, { reportedAtMs }: EndpointState): boolean => {
  const nowMs = reportedAtMs;
  const { step, phase, progressAtMs, percent } = run;
  if (phase !== 'running' || step.spec.isGang) return false;
  if (step.spec.isLasting) return percent < 100 && nowMs - progressAtMs > LEAST_STILL_MS * 2;
  const expectedMs = expectStepTime(state, step);
  // A step of one hundredth must be longer than the time between two answers to be seen.
  return nowMs - progressAtMs > Math.max(LEAST_STILL_MS, expectedMs * STILL_FACTOR);
};

const stopStill = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  const still = Array.from(endpoint.runs.values()).filter((run) => isStill(state, run, endpoint));
  if (still.length === 0) return;
  still.forEach((run) => {
    const { task } = run;
    task.avoid = endpoint.endpointId;
    stopRun(state, endpoint, run, `has stood still at ${run.percent} %`);
  });
  if (endpoint.withheldUntilMs <= nowMs) {
    withholdEndpoint(state, endpoint, `${still.length} tasks stand still here`, nowMs);
  }
};

/** An endpoint whose lease has surely ended. */
export type LapsedEndpoint = { readonly endpointId: EndpointId; readonly endedAtMs: number };

/**
 * Looks for runs that stand still and for endpoints whose runs have surely ended: their lease is
 * over, and no other holder can have prolonged it.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time.
 * @returns The endpoints whose leases ended.
 */
export const watchRuns = (state: BatchState, nowMs: number): readonly LapsedEndpoint[] => {
  const lapsed: LapsedEndpoint[] = [];
  state.endpoints.forEach((endpoint) => {
    if (endpoint.runs.size === 0) return;
    stopStill(state, endpoint, nowMs);
    if (nowMs < endpoint.leaseEndsAtMs || !isSoleHolder(state, nowMs)) return;
    const runs = Array.from(endpoint.runs.values()).filter(
      (run) => !mayRunInLaterLife(state, endpoint, run, nowMs),
    );
    if (runs.length === 0) return;
    const { endpointId, leaseEndsAtMs: atMs } = endpoint;
    lapsed.push({ endpointId, endedAtMs: atMs });
    const evidence: RunEvidence = { cause: 'lease-over', atMs, detail: 'not-extended' };
    change(endpoint, { lapsedRuns: [...endpoint.lapsedRuns, ...runs] });
    runs.forEach((run) => loseRun(state, { endpoint, run, evidence, nowMs }));
  });
  return lapsed;
};

/** Another endpoint came to its host after it was last heard, and answers: it is not only cut off. */
const isSucceeded = (
  state: BatchState,
  { endpointId, hostId, reportedAtMs }: EndpointState,
): boolean =>
  hostId !== null &&
  Array.from(state.endpoints.values()).some(
    (other) =>
      other.hostId === hostId &&
      other.endpointId !== endpointId &&
      other.isKnown &&
      other.seenAtMs > reportedAtMs,
  );

/**
 * Finds endpoints that crashed, which nothing showed before their leases ended: the list of hosts
 * may be away.
 *
 * @param state - All that is known.
 * @returns The endpoints. Nothing is known to run there any more.
 */
export const findSucceededEndpoints = (state: BatchState): readonly EndpointId[] =>
  Array.from(state.endpoints.values())
    .filter(({ runs, lapsedRuns }) => lapsedRuns.length > 0 && runs.size === 0)
    .filter((endpoint) => isSucceeded(state, endpoint))
    .map(({ endpointId }) => endpointId);
