/**
 * Endpoints whose life is over. Their runs run no more, but how they ended is not known here: where
 * another entry may have become the holder, it may have heard that one is done before the endpoint
 * went. So what ran there is given up only while this holder is surely the only one.
 */
import type { EndpointId } from '../shared/ids.js';
import { change } from '../shared/change.js';
import { loseRun } from './reports.js';
import type { RunEvidence } from './run-end.js';
import { isSoleHolder, poolOf, type BatchState, type GoneEndpoint } from './state.js';

/** What shows that an endpoint is gone, and the time. */
export type EndpointEnd = Pick<GoneEndpoint, 'detail' | 'atMs'> & { readonly nowMs: number };

/**
 * Takes an endpoint for gone. Nothing is placed or counted there any more; tasks that ran there, and
 * inherited ones that may have, wait until `settleGoneEndpoints` gives them up.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - The endpoint.
 * @param end - What shows it.
 */
export const removeEndpoint = (
  state: BatchState,
  endpointId: EndpointId,
  { detail, atMs, nowMs }: EndpointEnd,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  state.endpoints.delete(endpointId);
  endpoint.runs.forEach(({ step, task }) => {
    if (step.spec.isLasting && task.awaySinceMs === 0) change(task, { awaySinceMs: nowMs });
  });
  state.goneEndpoints.set(endpointId, { endpoint, detail, atMs });
};

const settle = (
  state: BatchState,
  { endpoint, detail, atMs }: GoneEndpoint,
  nowMs: number,
): void => {
  const evidence: RunEvidence = { cause: 'endpoint-gone', atMs, detail };
  endpoint.runs.forEach((run) => loseRun(state, { endpoint, run, evidence, nowMs }));
  poolOf(state, endpoint.pool).notReported.delete(endpoint.endpointId);
};

/**
 * Gives up what ran on endpoints that are gone, unless another entry may be the holder: until then no
 * other can have heard how a run ended, and from then on nobody can hear it from them.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time.
 */
export const settleGoneEndpoints = (state: BatchState, nowMs: number): void => {
  if (state.goneEndpoints.size === 0 || !isSoleHolder(state, nowMs)) return;
  state.goneEndpoints.forEach((gone) => settle(state, gone, nowMs));
  state.goneEndpoints.clear();
};
